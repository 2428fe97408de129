package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/internal/fakes/caller"
	"github.com/jujubehaven/jujubehaven/protocol/document"
)

const (
	// DemoLimit bounds the whole demonstration.
	DemoLimit = 28 * time.Second
	// demoRequestTimeout is the longest wait for one answer.
	demoRequestTimeout = 3 * time.Second
	// demoRetryInterval is the wait between two attempts.
	demoRetryInterval = 200 * time.Millisecond
	// demoFlows is the number of flows opened at the start, demoNewFlows the
	// number opened while a zone is out.
	demoFlows    = 8
	demoNewFlows = 4
	// demoRequestBytes is the length of each request in bytes.
	demoRequestBytes = 3000
	demoZone         = "zone-1"
)

// demo is a demonstration in progress.
type demo struct {
	system *system
	out    io.Writer
	flows  []*demoFlow
	sent   int
	// answered counts requests; givenUp and broken count flows.
	answered, givenUp, broken int
}

// demoFlow is one caller's connection and the zone of its target.
type demoFlow struct {
	number int
	conn   *caller.Conn
	zone   string
	ended  bool
}

// Demo starts two zones on loopback in this process, serves flows, takes a zone
// out, returns it and prints the result of each request to out. It ends within
// DemoLimit and returns an error if a flow was broken.
func Demo(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, DemoLimit)
	defer cancel()
	cfg := Default()
	cfg.Zones, cfg.HostsPerZone, cfg.TargetsPerZone = 2, 2, 2
	s, err := newSystem(cfg)
	if err != nil {
		return errors.Wrap(err, "start")
	}
	defer s.close()
	d := &demo{system: s, out: out}
	if err := d.run(ctx); err != nil {
		return err
	}
	d.printf("done: %d requests answered whole, %d flows given up with their zone, %d broken", d.answered, d.givenUp, d.broken)
	if d.broken > 0 {
		return errors.Newf("%d flows were broken", d.broken)
	}
	return nil
}

func (d *demo) run(ctx context.Context) error {
	d.printf("started 2 zones with 2 balancers and 2 targets each, all on loopback in this process")
	for _, h := range d.system.hosts {
		d.printf("  balancer %s in %s takes packets at %s", h.name, h.zone, h.data())
	}
	if err := d.open(ctx, demoFlows); err != nil {
		return err
	}
	if err := d.openIn(ctx, demoZone); err != nil {
		return err
	}
	d.requestAll(ctx, "")
	d.printf("taking %s out", demoZone)
	if err := d.setZone(ctx, document.ZoneOut); err != nil {
		return err
	}
	d.requestAll(ctx, demoZone)
	if err := d.open(ctx, demoNewFlows); err != nil {
		return err
	}
	d.printf("returning %s", demoZone)
	if err := d.setZone(ctx, document.ZoneIn); err != nil {
		return err
	}
	if err := d.openIn(ctx, demoZone); err != nil {
		return err
	}
	d.requestAll(ctx, "")
	return nil
}

func (d *demo) printf(format string, args ...any) {
	// The demonstration continues if its output can't be written.
	_, _ = fmt.Fprintf(d.out, format+"\n", args...)
}

// setZone writes the zones document and waits until it is in force at all
// balancers.
func (d *demo) setZone(ctx context.Context, state document.ZoneState) error {
	if err := d.system.setZone(demoZone, state); err != nil {
		return err
	}
	want := fmt.Sprintf(`"key":"%s","generation":%d`, document.ZonesKey, d.generation())
	for _, h := range d.system.hosts {
		for !strings.Contains(h.documents(ctx), want) {
			if !sleep(ctx, demoRetryInterval) {
				return errors.Newf("%s did not put the zones document in force", h.name)
			}
		}
	}
	d.printf("  the document is in force at all balancers")
	return nil
}

// open opens flows and sends one request on each.
func (d *demo) open(ctx context.Context, count int) error {
	for range count {
		if _, err := d.openOne(ctx); err != nil {
			return err
		}
	}
	return nil
}

// openIn opens flows until a target of the zone serves one.
func (d *demo) openIn(ctx context.Context, zone string) error {
	for {
		f, err := d.openOne(ctx)
		if err != nil {
			return err
		}
		if f.zone == zone {
			return nil
		}
	}
}

// openOne opens a flow and sends a request on it. A refused opening, which is
// usual while targets warm up, has had no effect and is retried.
func (d *demo) openOne(ctx context.Context) (*demoFlow, error) {
	for {
		conn, err := d.system.caller.Dial(ctx, service)
		if err == nil {
			f := &demoFlow{number: len(d.flows) + 1, conn: conn}
			d.flows = append(d.flows, f)
			d.request(ctx, f, "")
			return f, nil
		}
		if !errors.Is(err, caller.ErrRefused) || !sleep(ctx, demoRetryInterval) {
			return nil, errors.Wrap(err, "open a flow")
		}
	}
}

// requestAll sends a request on each open flow.
func (d *demo) requestAll(ctx context.Context, zoneOut string) {
	for _, f := range d.flows {
		if !f.ended {
			d.request(ctx, f, zoneOut)
		}
	}
}

// request sends one request and prints its result. Flows in zoneOut are expected
// to be given up.
func (d *demo) request(ctx context.Context, f *demoFlow, zoneOut string) {
	d.sent++
	id := fmt.Sprintf("request-%d ", d.sent)
	limited, cancel := context.WithTimeout(ctx, demoRequestTimeout)
	defer cancel()
	answer, err := f.conn.Request(limited, id+strings.Repeat("x", demoRequestBytes-len(id)))
	if err == nil {
		d.answered++
		f.zone = d.system.zoneOf[answer.Target]
		d.printf("  flow %2d from %s: %s in %s answered %d bytes whole", f.number, f.conn.Local(), answer.Target, f.zone, len(answer.Text))
		return
	}
	f.ended = true
	if f.zone != "" && f.zone == zoneOut {
		d.givenUp++
		d.printf("  flow %2d from %s: given up with %s: %v", f.number, f.conn.Local(), f.zone, err)
		return
	}
	d.broken++
	d.printf("  flow %2d from %s: BROKEN at %s: %v", f.number, f.conn.Local(), f.conn.Target(), err)
}

// generation returns the generation of the zones document in the store, or 0 if
// it can't be parsed.
func (d *demo) generation() uint64 {
	text, _ := d.system.platform.Value(store.DocumentKey(document.ZonesKey))
	zones, err := document.ParseZones("zones", text)
	if err != nil {
		return 0
	}
	return zones.Generation
}

// documents returns the balancer's list of documents in force, or an empty text
// if it does not answer.
func (h *host) documents(ctx context.Context) string {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.admin().String()+document.InForcePath, http.NoBody)
	if err != nil {
		return ""
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return ""
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return ""
	}
	return string(text)
}

// sleep waits for pause; it reports false if ctx was done first.
func sleep(ctx context.Context, pause time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(pause):
		return true
	}
}
