package steering

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// cutAt is when the replays below cut zone b off, callersPerSecond the rate of
// new flows before and after.
const (
	cutAt            = 3 * time.Second
	callersPerSecond = 45
)

// replayCut replays callers of one host while the targets of zone b can't be
// reached from cutAt on and those of zone a may take no flows. It calls check
// every 10 ms from cutAt on.
func replayCut(t *testing.T, seed uint64, until time.Duration, check func(*replay)) *replay {
	r := newReplay(t, seed)
	r.view.ZonesOut = map[string]bool{"a": true}
	r.apply()
	r.lost = func(key fleet.TargetKey) bool { return r.now >= cutAt && r.entry(key).Zone == "b" }
	for due := time.Second; due < until; due += time.Duration(r.rng.ExpFloat64() / callersPerSecond * float64(time.Second)) {
		r.at(due, func() { r.request(due, callerRetries) })
	}
	for at := cutAt; at < until; at += 10 * time.Millisecond {
		r.at(at, func() { check(r) })
	}
	r.run()
	return r
}

// Guards against a host that finds out target by target that a zone was cut off:
// it lost flows at each of them and stayed in rotation for two seconds, although
// nothing answered it.
func TestCutZoneIsFoundAsAWhole(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		var found time.Duration
		replayCut(t, seed, cutAt+3*time.Second, func(r *replay) {
			if r.CutOff() && found == 0 {
				found = r.now - cutAt
			}
			is.True(found == 0 || r.CutOff()) // the verdict stands although no retry is due
		})
		t.Logf("seed %d: cut off after %v", seed, found)
		is.True(found > 0 && found <= 600*time.Millisecond)
	}
}

// Guards against readiness that goes up and down while a cut lasts: flows that
// were opened through another host acknowledge answers that came there, which
// says nothing about this host's path.
func TestAnswersThroughOtherHostsDoNotEndACut(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	w.view.ZonesOut = map[string]bool{"a": true}
	w.apply()
	moved, _ := w.established(1, orders)
	cutZone(w, "b")
	is.True(w.CutOff())
	moved.p.Ack += 6000 // answers to requests that another host forwarded
	moved.sendRequest()
	is.True(w.CutOff())
	opened := w.caller(2, orders)
	opened.open(0)
	opened.token = TokenOf("b1") // another host's opening reached this target
	if opened.w.flows[opened.p.Flow].target.token == opened.token {
		opened.token = TokenOf("b2")
	}
	opened.confirm()
	is.True(w.CutOff())
}

// cutZone lets a flow at each target of a zone go unanswered.
func cutZone(w *fixture, zone string) {
	w.now += time.Second
	for _, t := range w.targets {
		if t.entry.Zone == zone && t.eligible() {
			t.health.recordOpeningRetransmission(w.now, w.now-200*time.Millisecond)
			w.judgePath(w.now, t.path)
		}
	}
}

// The verdict about a zone ends with an answer to a flow of this host, with an
// answer of one of the zone's hosts that came after it, or when it was not
// confirmed for long.
func TestEndOfUnreachableZone(t *testing.T) {
	cases := map[string]struct {
		do        func(*fixture)
		reachable bool
	}{
		"no evidence": {func(w *fixture) { w.now += 5 * time.Second }, false},
		"a flow is answered": {func(w *fixture) {
			c := w.caller(7, orders)
			c.open(0)
			c.confirm()
		}, true},
		"a host of the zone answered before": {func(w *fixture) {
			w.SetZoneQueries(w.now, nil, map[string]time.Duration{"b": w.now - time.Millisecond})
		}, false},
		"a host of the zone answers": {func(w *fixture) {
			w.now += time.Second
			w.SetZoneQueries(w.now, nil, map[string]time.Duration{"b": w.now - time.Millisecond})
		}, true},
		"a host of another zone answers": {func(w *fixture) {
			w.now += time.Second
			w.SetZoneQueries(w.now, nil, map[string]time.Duration{"a": w.now})
		}, false},
		"the hold has passed": {func(w *fixture) {
			w.now += maxUnreachableHold
			w.Tick(w.now, w.recordReset)
		}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newFixture(t)
			w.view.ZonesOut = map[string]bool{"a": true}
			w.apply()
			cutZone(w, "b")
			is.Equal(w.Unreachable(), []string{"b"})
			c.do(w)
			is.Equal(!w.CutOff(), c.reachable)
		})
	}
}

// Once a zone's hosts answer again, its silent targets are tried at once instead
// of after their backoff.
func TestTargetsOfReachableZoneAreTriedAtOnce(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	cutZone(w, "b")
	for _, target := range w.targets {
		target.health.recordAttempt(w.now)
	}
	w.now += 100 * time.Millisecond
	w.SetZoneQueries(w.now, nil, map[string]time.Duration{"b": w.now})
	for _, target := range w.targets {
		is.True(target.entry.Zone != "b" || target.health.usable(w.now))
	}
}

// Fewer silent targets than needed, or one that answers, leave the zone
// reachable: the targets themselves have failed.
func TestFailedTargetsAreNotACut(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(3, 3))
	for range 200 {
		w := newFixture(t)
		w.now += time.Second
		answering := fleet.TargetKey([]string{"b0", "b1", "b2"}[rng.IntN(3)])
		for _, key := range []fleet.TargetKey{"b0", "b1", "b2"} {
			w.now += time.Duration(rng.IntN(100)) * time.Millisecond
			if key == answering {
				w.recordProgress(w.now, w.targets[key])
				continue
			}
			w.targets[key].health.recordOpeningRetransmission(w.now, w.now-200*time.Millisecond)
			w.judgePath(w.now, w.targets[key].path)
		}
		is.Equal(len(w.Unreachable()), 0)
	}
}

// A second zone takes a single unanswered target: the host's own link is likely
// down.
func TestSecondUnreachableZone(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	cutZone(w, "a")
	is.True(!w.CutOff())
	w.targets["b1"].health.recordOpeningRetransmission(w.now, w.now-200*time.Millisecond)
	w.judgePath(w.now, w.targets["b1"].path)
	is.True(w.CutOff())
}

// New flows avoid all targets of an unreachable zone, also those that no flow
// has tried.
func TestPlacementAvoidsUnreachableZone(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	w.add("a3", "book", "a")
	w.apply()
	cutZone(w, "a")
	w.targets["a3"].health.silent = false
	for n := range 6 {
		is.Equal(w.entry(w.caller(n, orders).open(0).Key).Zone, "b")
	}
}

// Guards against callers that wait for the targets of a lost zone until their
// deadline: their packets come to hosts of other zones, which have seen nothing
// of their flows. The flows are given up once the zone's hosts do not answer
// either, and not before: a few dead targets may look like a lost zone.
func TestFlowsOfLostZoneAreGivenUp(t *testing.T) {
	cases := map[string]struct {
		queried  bool
		answered bool
		// serves is set if the flow's target was not found silent.
		serves bool
		to     packet.Endpoint
		want   Kind
	}{
		"its hosts are silent, too":        {queried: true, to: feeds, want: Reset},
		"its hosts were not queried":       {to: feeds, want: Forward},
		"this target was not found silent": {queried: true, serves: true, to: feeds, want: Forward},
		"one of its hosts answers":         {queried: true, answered: true, to: feeds, want: Forward},
		"the request may not run twice":    {queried: true, to: orders, want: Forward},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newFixture(t)
			cutZone(w, "b")
			if c.serves {
				w.targets["b1"].health = health{}
			}
			if c.queried {
				w.SetZoneQueries(w.now, []string{"b"}, nil)
			}
			w.now += minDeadSilence
			for key, target := range w.targets {
				if w.entry(key).Zone == "a" {
					target.health.recordAnswer(w.now)
				}
			}
			if c.answered {
				w.SetZoneQueries(w.now, nil, map[string]time.Duration{"b": w.now})
			}
			moved := w.caller(9, c.to) // opened through a host of zone b
			moved.token = TokenOf("b1")
			moved.p.Ack = 501
			is.Equal(moved.sendRequest().Kind, c.want)
		})
	}
}
