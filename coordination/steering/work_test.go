package steering

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// workFixture returns a fixture with the load by expected work.
func workFixture(t *testing.T) *fixture {
	w := newFixture(t)
	w.cfg.Balancing.ExpectedWork = true
	return w
}

// serve lets flows of a route be served one after the other, each for the given time.
func (w *fixture) serve(first, n int, route packet.Endpoint, took time.Duration) {
	for i := range n {
		c := w.caller(first+i, route)
		if a := c.open(0); a.Kind != Forward {
			w.t.Fatalf("opening: %v", a.Cause)
		}
		w.now += 6 * time.Millisecond
		c.confirm()
		c.sendRequest()
		w.now += took + 6*time.Millisecond
		c.acknowledge()
		c.p.Class = packet.Closing
		c.send()
	}
}

// A request that is likely to run for long must weigh more than one that is about to
// end, and more than two short ones.
func TestLongRequestWeighsMore(t *testing.T) {
	is := is.New(t)
	w := workFixture(t)
	w.serve(0, 40, feeds, 10*time.Millisecond)
	w.serve(40, 40, orders, 200*time.Millisecond)
	w.Tick(w.now+sweepInterval, w.recordReset)
	times, ok := w.routes[orders].serviceTime(w.now)
	is.True(ok)
	is.True(times > 190*time.Millisecond && times < 210*time.Millisecond) // without the round trip
	long, _ := w.established(100, orders)
	long.sendRequest()
	short, _ := w.established(101, feeds)
	short.sendRequest()
	longLoad := w.load(w.now, w.flows[long.p.Flow].target)
	shortLoad := w.load(w.now, w.flows[short.p.Flow].target)
	t.Logf("load of the target with the long request %.2f, with the short one %.2f", longLoad, shortLoad)
	is.True(longLoad > 2*shortLoad)
	is.True(longLoad < freeSlotCost) // it has free slots
}

// Guards against loads by expected work although the setting is off.
func TestCountsWithoutSetting(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	w.serve(0, 40, orders, 50*time.Millisecond)
	_, ok := w.routes[orders].serviceTime(w.now)
	is.True(!ok)
	c, key := w.established(100, orders)
	c.sendRequest()
	is.True(math.Abs(w.load(w.now, w.targets[key])-(1+openFlowLoad)/3) < 1e-9)
}

// What is learned of a route must survive a new configuration, and be discarded for a
// service that the route no longer leads to.
func TestEstimatesFollowConfiguration(t *testing.T) {
	is := is.New(t)
	w := workFixture(t)
	w.serve(0, 40, orders, 50*time.Millisecond)
	w.view.Config.Version++
	w.apply()
	_, ok := w.routes[orders].serviceTime(w.now)
	is.True(ok)
	w.view.Config.Version++
	w.view.Config.Routes[1].Shares = []fleet.Share{{Service: "maps", Weight: 1}}
	w.apply()
	_, ok = w.routes[orders].serviceTime(w.now)
	is.True(!ok)
}

// Guards against lists of requests in progress that differ from the counts, over
// flows that end, are reset, move to another target or are forgotten.
func TestPendingListsMatchCounts(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		z := newZoneReplay(t, seed, 3, 6)
		for _, w := range z.hosts {
			w.cfg.Balancing.ExpectedWork = true
		}
		check := func() {
			for _, w := range z.hosts {
				for key, target := range w.targets {
					listed := 0
					var last *flow
					for f := target.firstPending; f != nil; f = f.next {
						is.True(f.target == target && f.listed && (f.busy || f.opening) && f.previous == last)
						last = f
						listed++
					}
					is.True(target.lastPending == last)
					pending := 0
					for _, f := range w.flows {
						if f.target == target && (f.busy || f.opening) {
							pending++
						}
					}
					if listed != pending {
						t.Fatalf("%s: %d listed, %d pending", key, listed, pending)
					}
				}
			}
		}
		z.load(time.Second, 4*time.Second, constant(1.3))
		for at := time.Second; at < 6*time.Second; at += 50 * time.Millisecond {
			z.at(at, check)
		}
		z.at(2*time.Second, func() {
			w := z.hosts[0]
			w.entry("t1").Started++
			w.entry("t2").Gone = true
			w.now = z.now
			w.apply()
		})
		z.run(10 * time.Second)
	}
}

// The packets of an open flow must not allocate, with the estimates in use.
func TestNoAllocationForKnownFlows(t *testing.T) {
	is := is.New(t)
	w := workFixture(t)
	w.serve(0, 40, orders, 50*time.Millisecond)
	c, _ := w.established(100, orders)
	allocated := testing.AllocsPerRun(200, func() {
		w.now += 20 * time.Millisecond
		c.sendRequest()
		w.now += 56 * time.Millisecond
		c.acknowledge()
	})
	is.Equal(allocated, 0.0)
}

// Idle flows whose callers send many requests must weigh more than the constant.
func TestIdleFlowsOfBusyCallersWeighMore(t *testing.T) {
	is := is.New(t)
	w := workFixture(t)
	var callers []*caller
	for n := range 12 {
		c := w.caller(n, orders)
		c.open(0)
		callers = append(callers, c)
	}
	w.now += 6 * time.Millisecond
	for _, c := range callers {
		c.confirm()
	}
	for range 60 { // each caller has a request in service for 100 of 500 ms
		for _, c := range callers {
			c.sendRequest()
		}
		w.now += 100 * time.Millisecond
		for _, c := range callers {
			c.acknowledge()
		}
		w.now += 200 * time.Millisecond
		w.Tick(w.now, w.recordReset)
		w.now += 200 * time.Millisecond
		w.Tick(w.now, w.recordReset)
	}
	learned := w.pools["book"].times.IdleFlowLoad(w.now, openFlowLoad)
	t.Logf("load of an idle flow %.3f", learned)
	is.True(learned > 0.15 && learned < 0.25)
}

// BenchmarkPlacement measures an opening in a zone with 100 targets and three requests
// of this host in progress at each, by counts and by expected work.
func BenchmarkPlacement(b *testing.B) {
	for _, expected := range []bool{false, true} {
		b.Run(fmt.Sprintf("by work %v", expected), func(b *testing.B) {
			w := newFixture(&testing.T{})
			w.cfg.Balancing.ExpectedWork = expected
			for n := range 100 {
				w.add(fmt.Sprintf("c%d", n), "book", "a")
			}
			w.apply()
			w.serve(0, 40, orders, 50*time.Millisecond)
			w.SetPeerLoads(&PeerLoads{Hosts: 20, Settled: true})
			for n := range 300 {
				c, _ := w.established(100+n, orders)
				c.sendRequest()
			}
			c := w.caller(1, orders)
			c.p.Flow.CallerPort = 9
			c.p.Class = packet.Opening
			pl := w.pools["book"]
			b.ReportAllocs()
			for b.Loop() {
				w.now += time.Microsecond
				c.p.Flow.CallerPort++
				w.lowestCost(w.now, pl, &c.p, w.routes[feeds], nil, &admission{ownZoneLimit: 3, otherZoneLimit: 3})
			}
		})
	}
}
