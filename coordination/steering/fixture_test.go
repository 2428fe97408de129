package steering

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// fixture is a Steering with a service of six targets, three in each of two
// zones, and a second service of one target.
type fixture struct {
	*Steering
	t    *testing.T
	view fleet.View
	now  time.Duration
	// complete and completeKnown are what CompleteTo returns.
	complete      time.Duration
	completeKnown bool
	// refreshes counts the calls of Refresh.
	refreshes int
	events    []Event
	// resets holds the flows that Tick gave up.
	resets []reset
}

type reset struct {
	segment Segment
	action  Action
}

func (w *fixture) recordReset(p *Segment, a *Action) { w.resets = append(w.resets, reset{*p, *a}) }

var (
	feeds  = endpoint("198.18.0.1:8443") // idempotent
	orders = endpoint("198.18.0.1:8080")
	split  = endpoint("198.18.0.2:80")
)

func endpoint(text string) packet.Endpoint {
	return packet.NewEndpoint(netip.MustParseAddrPort(text), packet.ProtoTCP)
}

func newFixture(t *testing.T) *fixture {
	w := &fixture{t: t, now: time.Second}
	w.Steering = New(Config{
		Zone: "a", CompleteTo: func() (time.Duration, bool) { return w.complete, w.completeKnown },
		Refresh: func() { w.refreshes++ },
		Events:  func(e Event) { w.events = append(w.events, e) },
	})
	w.view.Config = fleet.Config{
		Version: 1,
		Routes: []fleet.Route{
			{Endpoint: feeds, Shares: []fleet.Share{{Service: "book", Weight: 1}}, Idempotent: true},
			{Endpoint: orders, Shares: []fleet.Share{{Service: "book", Weight: 1}}},
			{Endpoint: split, Shares: []fleet.Share{{Service: "book", Weight: 3}, {Service: "maps", Weight: 1}}},
		},
		Services: map[string]fleet.ServiceLimits{"book": {}, "maps": {}},
	}
	for i := range 3 {
		w.add(fmt.Sprintf("a%d", i), "book", "a")
		w.add(fmt.Sprintf("b%d", i), "book", "b")
	}
	w.add("m0", "maps", "a")
	w.apply()
	return w
}

func (w *fixture) add(key, service, zone string) {
	n := len(w.view.Targets) + 1
	w.view.Targets = append(w.view.Targets, fleet.Entry{Target: fleet.Target{
		Key: fleet.TargetKey(key), Number: uint64(n), Service: service, Zone: zone, Slots: 3, Started: 1, Heartbeats: 1,
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80),
	}})
}

// entry returns the view's entry of a target, to be changed before apply.
func (w *fixture) entry(key fleet.TargetKey) *fleet.Entry {
	for i := range w.view.Targets {
		if w.view.Targets[i].Key == key {
			return &w.view.Targets[i]
		}
	}
	w.t.Fatalf("no target %s", key)
	return nil
}

// apply passes a copy of the view to SetView.
func (w *fixture) apply() {
	v := w.view
	v.Targets = append([]fleet.Entry(nil), w.view.Targets...)
	w.SetView(w.now, &v)
}

// caller is the caller's end of a flow.
type caller struct {
	w     *fixture
	p     Segment
	token Token
}

func (w *fixture) caller(n int, to packet.Endpoint) *caller {
	c := &caller{w: w}
	addr := netip.AddrFrom4([4]byte{100, 64, byte(n >> 8), byte(n)})
	c.p.Flow = packet.Flow{Caller: addr.As16(), CallerPort: 40000, Service: to}
	c.p.Seq = 1000
	return c
}

func (c *caller) send() Action {
	var a Action
	c.w.Handle(c.w.now, &c.p, &a)
	return a
}

// open sends an opening; copies is the number of openings before it.
func (c *caller) open(copies uint32) Action {
	c.p.Class, c.p.Token, c.p.Copy, c.p.Payload = packet.Opening, 0, copies, nil
	c.p.Seq = 1000
	a := c.send()
	if a.Kind == Forward {
		c.token = a.Token
	}
	return a
}

// confirm completes the handshake.
func (c *caller) confirm() Action {
	c.p.Class, c.p.Token, c.p.Seq, c.p.Ack, c.p.Payload = packet.Data, c.token, 1001, 501, nil
	return c.send()
}

var requestBytes = []byte("GET / HTTP/1.1\r\nRequest-Id: 77aa\r\n\r\n")

// sendRequest sends the data of a request, or retransmits it.
func (c *caller) sendRequest() Action {
	c.p.Class, c.p.Token, c.p.Payload = packet.Data, c.token, requestBytes
	return c.send()
}

// acknowledge acknowledges a response.
func (c *caller) acknowledge() Action {
	c.p.Seq += uint32(len(requestBytes))
	c.p.Ack += 600
	c.p.Payload = nil
	return c.send()
}

// established returns a caller with an open flow, and the flow's target.
func (w *fixture) established(n int, to packet.Endpoint) (*caller, fleet.TargetKey) {
	c := w.caller(n, to)
	a := c.open(0)
	if a.Kind != Forward {
		w.t.Fatalf("opening of caller %d: %v", n, a.Cause)
	}
	c.confirm()
	return c, a.Key
}
