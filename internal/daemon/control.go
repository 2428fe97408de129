package daemon

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/balancer"
	"github.com/jujubehaven/jujubehaven/protocol/peer"
	"github.com/jujubehaven/jujubehaven/transport/tunnel"
)

const (
	// seedRetry is the wait after a hello to a seed failed, seedRefresh after it
	// succeeded. Both have a random jitter of up to half the value.
	seedRetry   = 500 * time.Millisecond
	seedRefresh = 30 * time.Second
)

// peerHandler passes the messages of peers to the balancer and serves documents
// to them.
type peerHandler struct{ d *Daemon }

// HandleHello implements peerlink.Handler.
func (h peerHandler) HandleHello(m peer.Hello) peer.HelloReply {
	return h.d.balancer.HandleHello(h.d.clock(), m)
}

// HandleHeartbeat implements peerlink.Handler.
func (h peerHandler) HandleHeartbeat(m peer.Heartbeat) {
	h.d.balancer.HandleHeartbeat(h.d.clock(), m)
}

// HandleFlows implements peerlink.Handler.
func (h peerHandler) HandleFlows(m peer.Flows) {
	h.d.balancer.HandleFlows(h.d.clock(), m)
}

// Inventory implements peerlink.Handler.
func (h peerHandler) Inventory() peer.Inventory { return h.d.docs.Inventory() }

// Document implements peerlink.Handler.
func (h peerHandler) Document(key string) (peer.Document, bool) { return h.d.docs.Document(key) }

// tickLoop calls the balancer's tick until ctx is done.
func (d *Daemon) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.tick(ctx)
		}
	}
}

// tick runs one balancer tick and sends its output without blocking.
func (d *Daemon) tick(ctx context.Context) {
	out := d.balancer.Tick(d.clock())
	for i := range out.Heartbeats {
		d.links.SendHeartbeat(out.Heartbeats[i].To.Control, out.Heartbeats[i].Heartbeat)
	}
	for i := range out.Flows {
		d.links.SendFlows(out.Flows[i].To.Control, out.Flows[i].Flows)
	}
	for _, h := range out.Hellos {
		d.hellos.start(h.Control, func() { d.hello(ctx, h.Control, h.Hello) })
	}
	d.docs.FetchFrom(out.FetchFrom)
	d.resetGivenUp(out.Resets)
}

// resetGivenUp sends resets to both ends of flows that the balancer gave up.
func (d *Daemon) resetGivenUp(flows []balancer.GivenUp) {
	if len(flows) == 0 {
		return
	}
	d.tunnel.Send(func(send *tunnel.Sender) {
		for i := range flows {
			sendResets(send, flows[i].Resets[:flows[i].ResetLen])
		}
	})
	d.logGivenUp(flows)
}

// givenUpKey groups the given-up flows that share a log line.
type givenUpKey struct {
	service, run, cause string
}

func (d *Daemon) logGivenUp(flows []balancer.GivenUp) {
	counts := map[givenUpKey]int{}
	for i := range flows {
		f := &flows[i]
		counts[givenUpKey{f.Service, f.Verdict.Run.String(), f.Verdict.Cause.String()}]++
	}
	for kind, n := range counts {
		d.log.Warn().Str("event", "flows_given_up").Str("service", kind.service).
			Str("cause", kind.cause).Str("run", kind.run).Int("flows", n).Send()
	}
}

// hello sends a hello to the peer at a control address and reports whether it
// replied.
func (d *Daemon) hello(ctx context.Context, control string, m peer.Hello) bool {
	reply, err := d.links.Hello(ctx, control, m)
	if err != nil {
		d.log.Debug().Str("event", "hello_failed").Str("peer", control).Err(err).Send()
		return false
	}
	d.balancer.HandleHelloReply(d.clock(), reply)
	return true
}

// contactSeeds sends hellos to the seeds periodically, so that replaced or
// partitioned hosts find each other again.
func (d *Daemon) contactSeeds(ctx context.Context, wg *sync.WaitGroup) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, seed := range d.settings.Peers.Seeds {
		if seed != d.settings.Control {
			wg.Go(func() { d.contactSeed(ctx, seed) })
		}
	}
}

func (d *Daemon) contactSeed(ctx context.Context, seed netip.AddrPort) {
	m := peer.Hello{Host: d.host, Phase: peer.PhaseJoining}
	for ctx.Err() == nil {
		wait := seedRetry
		if d.hello(ctx, seed.String(), m) {
			wait = seedRefresh
		}
		sleep(ctx, wait/2+rand.N(wait))
	}
}

// pendingHellos holds the control addresses with a hello in flight, so that a
// peer that does not reply gets one hello at a time.
type pendingHellos struct {
	mu      sync.Mutex
	pending map[string]bool
}

func (p *pendingHellos) start(control string, send func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending[control] {
		return
	}
	p.pending[control] = true
	go func() {
		defer p.done(control)
		send()
	}()
}

func (p *pendingHellos) done(control string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, control)
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
