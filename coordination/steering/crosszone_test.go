package steering

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/coordination/crosszone"
	"github.com/jujubehaven/jujubehaven/coordination/fleet"
)

// newZoneFixture returns a host of a large zone "a" with ten targets of service book
// in each of the zones a, b and c.
func newZoneFixture(t *testing.T) *fixture {
	w := newFixture(t)
	w.Steering = New(Config{Zone: "a", Balancing: Balancing{CrossZone: true}})
	w.view.Targets = nil
	for _, zone := range []string{"a", "b", "c"} {
		for n := range 10 {
			w.add(fmt.Sprintf("%s%d", zone, n), "book", zone)
		}
	}
	w.apply()
	return w
}

// peersBusy reports requests of other hosts of the zone at each target of a zone.
func peersBusy(w *fixture, loads map[Token]TargetLoad, zone string, busy int) {
	for i := range w.view.Targets {
		if e := &w.view.Targets[i]; e.Zone == zone {
			loads[TokenOf(e.Key)] = TargetLoad{Open: busy, Busy: busy}
		}
	}
}

// summaryOf returns a zone's summary of service book.
func summaryOf(zone string, at time.Duration, s crosszone.Service) crosszone.Zone {
	s.ID = crosszone.ID("book")
	return crosszone.Zone{Name: zone, At: at, Services: []crosszone.Service{s}}
}

// rounds passes the loads and summaries to the host for a number of rounds.
func (w *fixture) rounds(n int, loads map[Token]TargetLoad, zones func(at time.Duration) []crosszone.Zone) {
	for range n {
		w.now += reportInterval
		w.SetPeerLoads(&PeerLoads{Hosts: 20, Settled: true, Targets: loads, Zones: zones(w.now), At: w.now})
	}
}

// placedBy opens n flows at the same moment and counts them by the zone of their
// target. The flows leave no load behind.
func (w *fixture) placedBy(n int) map[string]int {
	placed := map[string]int{}
	for i := range n {
		c := w.caller(i, feeds)
		a := c.open(0)
		if a.Kind == Forward {
			placed[w.entry(a.Key).Zone]++
		} else {
			placed[a.Cause.String()]++
		}
		w.removeFlow(c.p.Flow)
	}
	return placed
}

// A zone with an excess sends away the share that the others offer. Guards against
// flows that queue in a full zone, and against more of them sent away than offered.
func TestExcessIsSentAway(t *testing.T) {
	is := is.New(t)
	w := newZoneFixture(t)
	loads := map[Token]TargetLoad{}
	peersBusy(w, loads, "a", 4)
	w.rounds(10, loads, func(at time.Duration) []crosszone.Zone {
		return []crosszone.Zone{
			summaryOf("a", at, crosszone.Service{Slots: 30, Busy: 40, Demand: 40}),
			summaryOf("b", at, crosszone.Service{Slots: 30, Busy: 16, Demand: 16, Offer: 8}),
			summaryOf("c", at, crosszone.Service{Slots: 30, Busy: 20, Demand: 20, Offer: 4}),
		}
	})
	is.Equal(w.ServicePlans()[0].Share, 12.0/40) // of an excess of 14.5
	placed := w.placedBy(4000)
	t.Log(placed)
	is.True(placed["b"] > 700 && placed["b"] < 900) // 8 of 40
	is.True(placed["c"] > 330 && placed["c"] < 470) // 4 of 40
}

// Guards against targets that look idle but belong to a full zone: an opening goes to
// such a zone only if the own one cannot even queue it. Without a summary it goes
// there, as without the setting.
func TestFullZoneIsNotChosenWhileTheOwnOneQueues(t *testing.T) {
	is := is.New(t)
	w := newZoneFixture(t)
	full := func(at time.Duration) []crosszone.Zone {
		return []crosszone.Zone{
			summaryOf("a", at, crosszone.Service{Slots: 30, Busy: 70, Demand: 45}),
			summaryOf("b", at, crosszone.Service{Slots: 30, Busy: 40, Demand: 40}), // far less loaded
			summaryOf("c", at, crosszone.Service{Slots: 30, Busy: 60, Demand: 45}),
		}
	}
	loads := map[Token]TargetLoad{}
	peersBusy(w, loads, "a", 8) // of at most 9 that may wait
	w.rounds(2, loads, func(time.Duration) []crosszone.Zone { return nil })
	is.Equal(w.placedBy(100)["a"], 0) // as without summaries
	w.rounds(2, loads, full)
	is.Equal(w.placedBy(100), map[string]int{"a": 100})

	peersBusy(w, loads, "a", 9)
	w.rounds(1, loads, full)
	placed := w.placedBy(900)
	t.Log(placed)
	is.Equal(placed["a"], 0)
	is.True(placed["b"] > placed["c"] && placed["c"] > 200) // by what the queues can take, 50 and 30

	// All queues are full. A third of those in the other zones is left to this one, whose
	// flows would get nothing otherwise; once they use it up, they are dropped.
	overfull := func(at time.Duration) []crosszone.Zone {
		zones := full(at)
		zones[1].Services[0].Busy, zones[2].Services[0].Busy = 90, 95
		return zones
	}
	w.rounds(1, loads, overfull)
	placed = w.placedBy(10)
	is.Equal(placed["b"]+placed["c"], 10)
	peersBusy(w, loads, "b", 3)
	peersBusy(w, loads, "c", 3)
	w.rounds(1, loads, overfull)
	is.Equal(w.placedBy(10), map[string]int{CauseBusy.String(): 10})
}

// Guards against summaries that are used after they have expired, also when no new
// report of loads arrives.
func TestExpiredSummaryIsNotUsed(t *testing.T) {
	is := is.New(t)
	w := newZoneFixture(t)
	loads := map[Token]TargetLoad{}
	peersBusy(w, loads, "a", 7)
	w.rounds(2, loads, func(at time.Duration) []crosszone.Zone {
		return []crosszone.Zone{summaryOf("a", at, crosszone.Service{Slots: 30}), summaryOf("b", at, crosszone.Service{Slots: 30, Busy: 60})}
	})
	is.Equal(w.placedBy(100)["b"], 0)
	w.now += crosszone.Lifetime
	is.True(w.placedBy(100)["b"] > 0)
}

// Guards against copies of one opening that hosts place in different zones, and against
// a copy that goes again to a zone which left the previous one unanswered.
func TestCopiesOfAnOpeningDecideAlike(t *testing.T) {
	is := is.New(t)
	first, second := newZoneFixture(t), newZoneFixture(t)
	loads := map[Token]TargetLoad{}
	peersBusy(first, loads, "a", 2)
	zones := func(at time.Duration) []crosszone.Zone {
		return []crosszone.Zone{summaryOf("a", at, crosszone.Service{Slots: 30, Busy: 50, Demand: 50}), summaryOf("b", at, crosszone.Service{Slots: 30, Offer: 25})}
	}
	first.rounds(10, loads, zones)
	second.rounds(10, loads, zones)
	away := 0
	for n := range 400 {
		a, b := first.caller(n, feeds), second.caller(n, feeds)
		zone := first.entry(a.open(0).Key).Zone
		is.Equal(zone == "a", second.entry(b.open(2).Key).Zone == "a")
		if zone != "a" {
			away++
		}
		first.removeFlow(a.p.Flow)
		second.removeFlow(b.p.Flow)
	}
	is.True(away > 100)
	for n := range 400 {
		c := first.caller(n, feeds)
		if first.entry(c.open(0).Key).Zone != "a" {
			is.Equal(first.entry(c.open(1).Key).Zone, "a")
			return
		}
	}
}

// Guards against openings that are sent to a zone that is out, that this host cannot
// reach or whose targets are cold, because it offers capacity.
func TestUnusableZoneGetsNothing(t *testing.T) {
	causes := map[string]func(w *fixture){
		"zone out":    func(w *fixture) { w.view.ZonesOut = map[string]bool{"b": true}; w.apply() },
		"unreachable": func(w *fixture) { w.paths["b"].unreachable = true },
		"cold": func(w *fixture) {
			for i := range w.view.Targets {
				if e := &w.view.Targets[i]; e.Zone == "b" {
					e.ColdUntil = time.Hour
				}
			}
			w.apply()
		},
		"silent": func(w *fixture) {
			for _, t := range w.targets {
				if t.entry.Zone == "b" {
					t.health.markSilent(w.now)
				}
			}
		},
	}
	for name, cause := range causes {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newZoneFixture(t)
			loads := map[Token]TargetLoad{}
			peersBusy(w, loads, "a", 2)
			zones := func(at time.Duration) []crosszone.Zone {
				return []crosszone.Zone{summaryOf("a", at, crosszone.Service{Slots: 30, Busy: 40, Demand: 40}), summaryOf("b", at, crosszone.Service{Slots: 30, Offer: 25})}
			}
			w.rounds(10, loads, zones)
			is.True(w.placedBy(200)["b"] > 0)
			cause(w)
			is.Equal(w.placedBy(200), map[string]int{"a": 200}) // before the next round, too
			if name == "zone out" || name == "unreachable" {
				w.rounds(1, loads, zones)
				is.Equal(w.ServicePlans()[0].Share, 0.0)
			}
		})
	}
}

// Guards against a zone that reports the capacity of targets that take no new flows.
func TestCapacityFollowsTheStateOfTargets(t *testing.T) {
	is := is.New(t)
	w := newZoneFixture(t)
	w.view.Config.Services = map[string]fleet.ServiceLimits{"book": {ColdOpenings: 5, Connections: 9}}
	w.view.Config.Version++
	w.apply()
	slots := func() int {
		for _, l := range w.ZoneLoads(w.now) {
			if l.Service == "book" && l.Zone == "a" {
				return l.Slots
			}
		}
		return 0
	}
	is.Equal(slots(), 30)
	w.entry("a0").Draining = true
	w.entry("a1").ColdUntil = time.Hour
	w.entry("a2").Missing = true
	w.entry("a3").Gone = true
	w.apply()
	is.Equal(slots(), 18)
	w.targets["a4"].health.markSilent(w.now)
	w.targets["a5"].avoided = true // it rejects its requests at once
	w.targets["a6"].peersUnanswered = minSilentFlows
	w.targets["a7"].peersOpen = 9
	is.Equal(slots(), 6)
	w.targets["a8"].peersBusy = 10 // a full queue: its requests use up the slots of others
	loads := w.ZoneLoads(w.now)
	is.Equal(len(loads), 1)
	is.Equal(loads[0], crosszone.Load{Service: "book", Zone: "a", Slots: 6, Busy: 10})
	w.cfg.Balancing.CrossZone = false
	is.Equal(len(w.ZoneLoads(w.now)), 0)
}

// Guards against changes of the share that are not reported, and against reports of a
// service that follow each other within a few seconds.
func TestShareEvents(t *testing.T) {
	is := is.New(t)
	w := newZoneFixture(t)
	var events []ShareEvent
	w.cfg.ShareEvents = func(e ShareEvent) { events = append(events, e) }
	demand := 40
	zones := func(at time.Duration) []crosszone.Zone {
		return []crosszone.Zone{summaryOf("a", at, crosszone.Service{Slots: 30, Demand: demand}), summaryOf("b", at, crosszone.Service{Slots: 30, Offer: 25})}
	}
	w.rounds(100, nil, zones)
	is.Equal(len(events), 2) // the first step, and five seconds later the whole
	is.Equal(events[0], ShareEvent{Service: "book", Share: 0.1, Slots: 30, Demand: 40})
	demand = 20
	w.rounds(100, nil, zones)
	is.Equal(len(events), 3)
	is.Equal(events[2].Share, 0.0)
}

// Guards against summaries that change decisions although the setting is off.
func TestSummariesAreIgnoredWithoutTheSetting(t *testing.T) {
	is := is.New(t)
	w := newZoneFixture(t)
	w.cfg.Balancing.CrossZone = false
	w.rounds(10, nil, func(at time.Duration) []crosszone.Zone {
		return []crosszone.Zone{summaryOf("a", at, crosszone.Service{Slots: 30, Demand: 60}), summaryOf("b", at, crosszone.Service{Slots: 30, Offer: 25})}
	})
	is.Equal(w.placedBy(100), map[string]int{"a": 100})
	is.Equal(len(w.ServicePlans()), 0)
}
