package steering

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/protocol/explain"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

func (w *fixture) explain(flow packet.Flow) *explain.Answer {
	w.t.Helper()
	answer, err := w.Explain(w.now, flow)
	is.New(w.t).NoErr(err)
	return answer
}

// candidate returns the candidate of an answer with a key.
func candidate(t *testing.T, a *explain.Answer, key string) *explain.Candidate {
	t.Helper()
	for i := range a.Candidates {
		if a.Candidates[i].Target == key {
			return &a.Candidates[i]
		}
	}
	t.Fatalf("no candidate %s", key)
	return nil
}

// An explanation must name the target that an opening at the same time gets, or the
// cause why it gets none, under all loads and kinds of targets.
func TestExplanationAgreesWithPlacement(t *testing.T) {
	for _, expected := range []bool{false, true} {
		for _, hosts := range []int{1, 4, 12} {
			t.Run(fmt.Sprintf("by work %v, %d hosts", expected, hosts), func(t *testing.T) {
				is := is.New(t)
				z := newZoneReplay(t, 5, hosts, 12)
				for _, w := range z.hosts {
					w.cfg.Balancing.ExpectedWork = expected
					w.view.Config.Services = map[string]fleet.ServiceLimits{"book": {ColdOpenings: 20, Connections: 6}, "maps": {}}
					w.view.Config.Version++
					w.entry("t0").Draining = true
					w.entry("t1").ColdUntil = time.Hour
					w.entry("t2").Missing = true
					w.entry("t3").Zone = "b"
					w.apply()
				}
				placed, refused := 0, 0
				for n := range 2000 {
					z.at(time.Second+time.Duration(n)*4*time.Millisecond, func() {
						w := z.hosts[n%hosts]
						w.now = z.now
						c := w.caller(n, feeds)
						c.p.Flow.CallerPort = 9
						answer := w.explain(c.p.Flow)
						a := c.open(0)
						is.Equal(answer.Chosen, string(a.Key))
						is.Equal(answer.Cause, a.Cause.String())
						if a.Kind == Forward {
							placed++
							is.Equal(len(candidate(t, answer, answer.Chosen).RuledOut), 0)
							return
						}
						refused++
						for i := range answer.Candidates {
							is.True(len(answer.Candidates[i].RuledOut) > 0)
						}
					})
				}
				z.load(time.Second, 4*time.Second, constant(0.6))
				z.load(4*time.Second, 7*time.Second, constant(2))
				z.run(9 * time.Second)
				t.Logf("%d placed, %d not", placed, refused)
				is.True(placed > 100 && refused > 0)
			})
		}
	}
}

// targetState is what an explanation must not change of a target.
type targetState struct {
	Open, Opening, Busy int
	NextCold            time.Duration
	Health              string
	Avoided             bool
}

// state returns all counts and states of a Steering that a decision may change.
func (s *Steering) state() (Counts, map[fleet.TargetKey]targetState, map[packet.Flow]string, int) {
	targets := map[fleet.TargetKey]targetState{}
	for key, t := range s.targets {
		targets[key] = targetState{t.open, t.opening, t.busy, t.nextColdOpening, fmt.Sprintf("%+v", t.health), t.avoided}
	}
	flows := map[packet.Flow]string{}
	for key, f := range s.flows {
		flows[key] = fmt.Sprint(f.target.entry.Key, f.placedAt, f.lastSeen, f.busy, f.opening, f.open, f.closed)
	}
	return s.counts, targets, flows, len(s.absent)
}

// Explanations must not change counts, the rate of cold targets, flows, the state of
// targets or the estimates.
func TestExplanationChangesNoState(t *testing.T) {
	is := is.New(t)
	w := workFixture(t)
	w.view.Config.Services = map[string]fleet.ServiceLimits{"book": {ColdOpenings: 1}, "maps": {}}
	w.view.Config.Version++
	w.entry("a0").ColdUntil = time.Hour
	w.apply()
	w.serve(0, 30, orders, 40*time.Millisecond)
	open, _ := w.established(100, orders)
	open.sendRequest()
	counts, targets, flows, unknown := w.state()
	times, _ := w.routes[orders].serviceTime(w.now)
	for n := range 300 {
		w.explain(w.caller(200+n, orders).p.Flow)
		w.explain(w.caller(200+n, split).p.Flow)
	}
	w.explain(open.p.Flow)
	_, err := w.Explain(w.now, w.caller(1, endpoint("198.18.0.9:1")).p.Flow)
	is.True(err != nil)
	countsAfter, targetsAfter, flowsAfter, unknownAfter := w.state()
	is.Equal(counts, countsAfter)
	is.Equal(cmp.Diff(targets, targetsAfter), "")
	is.Equal(cmp.Diff(flows, flowsAfter), "")
	is.Equal(unknown, unknownAfter)
	timesAfter, _ := w.routes[orders].serviceTime(w.now)
	is.Equal(times, timesAfter)
}

// Each state that excludes a target or ranks it lower must be named.
func TestExplanationNamesWhatRulesOut(t *testing.T) {
	for _, c := range []struct {
		name        string
		prepare     func(w *fixture)
		out, ranked string
	}{
		{"draining", func(w *fixture) { w.entry("a0").Draining = true }, outDraining, ""},
		{"gone", func(w *fixture) { w.entry("a0").Gone = true }, outGone, ""},
		{"zone out", func(w *fixture) { w.view.ZonesOut = map[string]bool{"a": true} }, outZone, ""},
		{"missing", func(w *fixture) { w.entry("a0").Missing = true }, "", lowerMissing},
		{"connection limit", func(w *fixture) {
			w.view.Config.Services = map[string]fleet.ServiceLimits{"book": {Connections: 2}, "maps": {}}
			w.view.Config.Version++
			w.SetPeerLoads(&PeerLoads{Hosts: 2, Targets: map[Token]TargetLoad{TokenOf("a0"): {Open: 2}}})
		}, outConnectionLimit, ""},
		{"queue full", func(w *fixture) {
			w.SetPeerLoads(&PeerLoads{Hosts: 2, Targets: map[Token]TargetLoad{TokenOf("a0"): {Busy: 9}}})
		}, outQueueFull, ""},
		{"cold limit", func(w *fixture) {
			w.view.Config.Services = map[string]fleet.ServiceLimits{"book": {ColdOpenings: 1}, "maps": {}}
			w.view.Config.Version++
			w.entry("a0").ColdUntil = time.Hour
			w.targets["a0"].nextColdOpening = time.Hour
		}, outColdLimit, lowerCold},
		{"silent", func(w *fixture) {
			w.targets["a0"].health.silent, w.targets["a0"].health.retryAt = true, time.Hour
		}, "", lowerSilent},
		{"silent at peers", func(w *fixture) {
			w.SetPeerLoads(&PeerLoads{Hosts: 2, Targets: map[Token]TargetLoad{TokenOf("a0"): {Unanswered: 2}}})
		}, "", lowerSilentAtPeers},
		{"unreachable zone", func(w *fixture) { w.targets["a0"].path.unreachable = true }, "", lowerUnreachableZone},
		{"avoided", func(w *fixture) { w.targets["a0"].avoided = true }, "", lowerAvoided},
		{"other zone", func(w *fixture) { w.cfg.Zone = "b" }, "", lowerOtherZone},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newFixture(t)
			c.prepare(w)
			w.apply()
			a0 := candidate(t, w.explain(w.caller(1, feeds).p.Flow), "a0")
			is.Equal(c.out != "", slices.Contains(a0.RuledOut, c.out))
			is.Equal(c.ranked != "", slices.Contains(a0.RankedLower, c.ranked))
		})
	}
}

// A question without an answer must get an error that says why, and an open flow be
// named with its target.
func TestExplanationErrorsAndKnownFlows(t *testing.T) {
	is := is.New(t)
	_, err := New(Config{Zone: "a"}).Explain(0, packet.Flow{})
	is.True(errors.Is(err, ErrNoView))
	w := newFixture(t)
	_, err = w.Explain(w.now, w.caller(1, endpoint("198.18.0.9:1")).p.Flow)
	is.True(errors.Is(err, ErrNoRoute))
	is.Equal(err.Error(), "to 198.18.0.9:1: no route")
	c, key := w.established(1, feeds)
	w.now += time.Second
	answer := w.explain(c.p.Flow)
	is.Equal(answer.KnownTarget, string(key))
	is.Equal(answer.Ages, []explain.Age{{Name: "view", Seconds: 1}})
	is.Equal(answer.Service, "book")
}
