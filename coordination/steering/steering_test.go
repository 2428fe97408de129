package steering

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/verdict"
)

func TestFlowKeepsTargetAtAnyHost(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	c, key := w.established(1, feeds)
	other := newFixture(t)
	c.w = other
	a := c.sendRequest()
	is.Equal(a.Kind, Forward)
	is.Equal(a.Key, key)
	is.Equal(a.Token, c.token)
	is.Equal(a.Target, w.entry(key).Number)
	is.Equal(a.Dest, w.entry(key).Addr)
}

func TestPacketsAreDroppedWithoutView(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	c := w.caller(1, feeds)
	w.Steering = New(Config{Zone: "a"})
	a := c.open(0)
	is.Equal(a.Kind, Drop)
	is.Equal(a.Cause, CauseNotReady)
}

func TestUnknownAddress(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	c := w.caller(1, endpoint("198.18.0.9:80"))
	a := c.open(0)
	is.Equal(a.Kind, Reset)
	is.Equal(a.Cause, CauseNoRoute)
	is.Equal(a.Run, verdict.NotRun)
	c.p.Class = packet.Reset
	is.Equal(c.send().Kind, Drop) // a reset gets no answer
}

// Guards against a reply to a packet with a service's address as its source:
// the reply would go to the service.
func TestForgedSource(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	c := w.caller(1, endpoint("100.64.0.9:40000"))
	c.p.Flow.Caller, c.p.Flow.CallerPort = feeds.Addr, feeds.Port
	a := c.open(0)
	is.Equal(a.Kind, Drop)
	is.Equal(a.Cause, CauseForged)
}

// Removing a route ends its flows; changing its services keeps open flows at
// their targets.
func TestConfigurationsAndOpenFlows(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	c, key := w.established(1, feeds)
	w.view.Config.Version = 2
	w.view.Config.Routes[0].Shares = []fleet.Share{{Service: "maps", Weight: 1}}
	w.apply()
	is.Equal(c.sendRequest().Key, key)
	is.Equal(w.caller(2, feeds).open(0).Key, fleet.TargetKey("m0"))
	w.now += time.Second
	w.view.Config.Version = 3
	w.view.Config.Routes = w.view.Config.Routes[1:]
	w.apply()
	w.complete, w.completeKnown = w.now, true // no later configuration adds the route again
	a := c.sendRequest()
	is.Equal(a.Kind, Reset)
	is.Equal(a.Cause, CauseNoRoute)
}

// Open flows of a draining target, and of a zone that takes no new flows,
// continue.
func TestOpenFlowsContinueWhenDrainingOrZoneOut(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	c, key := w.established(1, feeds)
	w.entry(key).Draining = true
	w.view.ZonesOut = map[string]bool{"a": true}
	w.apply()
	a := c.sendRequest()
	is.Equal(a.Kind, Forward)
	is.Equal(a.Key, key)
}

// silenceTarget makes several flows of one target retransmit their data until
// the target counts as silent. It returns one of the callers and the target.
func silenceTarget(w *fixture, to packet.Endpoint) (*caller, fleet.TargetKey) {
	for _, key := range []fleet.TargetKey{"a1", "a2", "b0", "b1", "b2"} {
		w.entry(key).Draining = true
	}
	w.apply()
	var callers []*caller
	for n := range 3 {
		c, _ := w.established(n, to)
		callers = append(callers, c)
	}
	w.now += time.Second
	for range 4 {
		for _, c := range callers {
			c.sendRequest()
		}
		w.now += 250 * time.Millisecond
		for _, key := range []fleet.TargetKey{"m0", "b0"} {
			w.targets[key].health.recordAnswer(w.now) // other targets answer this host
		}
	}
	w.now += 300 * time.Millisecond
	return callers[0], "a0"
}

// A target that restarts under its key starts without its former health data,
// and flows of the former incarnation are forwarded to it, which resets them.
func TestRestartedTarget(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	c, key := silenceTarget(w, orders)
	is.True(w.targets[key].health.silent)
	w.entry(key).Started = 9
	w.apply()
	is.True(!w.targets[key].health.silent)
	is.Equal(c.sendRequest().Kind, Forward)
}

// A target's counts return to zero when all its flows have ended or moved to
// another host.
func TestCountsReturnToZero(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	for n := range 30 {
		c, _ := w.established(n, feeds)
		if n%2 == 0 {
			c.sendRequest()
		}
		if n%3 == 0 {
			c.p.Class = packet.Closing
			c.send()
		}
	}
	w.now += time.Minute
	w.Tick(w.now, w.recordReset)
	w.now += time.Minute
	w.Tick(w.now, w.recordReset)
	for _, t := range w.targets {
		is.Equal(t.open, 0)
		is.Equal(t.busy, 0)
		is.Equal(t.opening, 0)
	}
	is.Equal(w.NumFlows(), 0)
}

// A flow whose packets take another host must stop counting as load here.
func TestLoadOfAFlowThatMovedExpires(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	c, key := w.established(1, feeds)
	c.sendRequest()
	is.Equal(w.targets[key].busy, 1)
	w.now += busyLoadExpiry + sweepInterval
	w.Tick(w.now, w.recordReset)
	is.Equal(w.targets[key].busy, 0)
	is.Equal(w.targets[key].open, 1)
	w.now += openLoadExpiry
	w.Tick(w.now, w.recordReset)
	is.Equal(w.targets[key].open, 0)
	c.sendRequest() // its packets take this host again
	is.Equal(w.targets[key].open, 1)
	is.Equal(w.targets[key].busy, 1)
}

func TestKnownFlowAllocatesNothing(t *testing.T) {
	w := newFixture(t)
	c, _ := w.established(1, feeds)
	c.sendRequest()
	var a Action
	allocs := testing.AllocsPerRun(1000, func() {
		c.p.Ack++
		c.w.Handle(w.now, &c.p, &a)
	})
	is.New(t).Equal(allocs, 0.0)
}

func BenchmarkKnownFlow(b *testing.B) {
	w := newFixture(&testing.T{})
	callers := make([]*caller, 10000)
	for n := range callers {
		callers[n] = w.caller(n, feeds)
		callers[n].p.Flow.CallerPort = uint16(1 + n%60000)
		callers[n].token = TokenOf("a0")
		callers[n].confirm()
	}
	var a Action
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c := callers[i%len(callers)]
		c.p.Ack++
		w.Handle(w.now, &c.p, &a)
	}
}
