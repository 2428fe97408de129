package steering

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/verdict"
)

// waitingFlow returns a caller that waits for the answer of a target which has
// died; no other flow of this host is at the target. Other targets answer.
func waitingFlow(w *fixture, idempotent bool) (*caller, fleet.TargetKey) {
	to := orders
	if idempotent {
		to = feeds
	}
	c, key := w.established(1, to)
	w.now += time.Second
	c.sendRequest()
	for _, wait := range []time.Duration{200, 400} {
		w.now += wait * time.Millisecond
		othersAnswer(w, key)
		c.sendRequest()
	}
	return c, key
}

func othersAnswer(w *fixture, key fleet.TargetKey) {
	for other, t := range w.targets {
		if other != key {
			t.health.recordAnswer(w.now)
		}
	}
}

// peersReport applies a report of the zone's other hosts about a target.
func peersReport(w *fixture, key fleet.TargetKey, unanswered int) {
	w.SetPeerLoads(&PeerLoads{Hosts: 29, Settled: true, Targets: map[Token]TargetLoad{TokenOf(key): {Unanswered: unanswered}}})
}

// Guards against callers that wait for a dead target until their deadline: in a
// zone of 29 hosts each host had one flow at a target that had crashed, which
// was not evidence enough for any of them, and callers that back off send no
// packet that could be answered with a reset.
func TestFlowOfDeadTargetIsResetWithoutAPacket(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	c, key := waitingFlow(w, true)
	w.Tick(w.now, w.recordReset)
	is.Equal(len(w.resets), 0) // a single flow is no evidence
	is.Equal(len(w.events), 0)
	peersReport(w, key, 2)
	w.now += sweepInterval
	othersAnswer(w, key)
	w.Tick(w.now, w.recordReset)
	is.Equal(len(w.resets), 1)
	is.Equal(w.resets[0].segment.Flow, c.p.Flow)
	is.Equal(w.resets[0].segment.Ack, c.p.Ack)
	is.Equal(w.resets[0].action.Cause, CauseTargetSilent)
	is.Equal(w.resets[0].action.Run, verdict.MayHaveRun)
	is.Equal(w.resets[0].action.Key, key)
	is.Equal(w.counts.Resets[CauseTargetSilent], uint64(1))
	is.Equal(len(w.events), 1) // the target is silent
	w.now += sweepInterval
	w.Tick(w.now, w.recordReset)
	is.Equal(len(w.resets), 1) // once
}

// A flow is kept while its target may live: without the confirmation of others,
// while the target answers, when most targets are silent to this host, when the
// evidence is old, or when the request may run only once.
func TestFlowIsKeptWhileItsTargetMayLive(t *testing.T) {
	cases := map[string]struct {
		once bool
		do   func(w *fixture, c *caller, key fleet.TargetKey)
	}{
		"one flow elsewhere": {do: func(w *fixture, _ *caller, key fleet.TargetKey) { peersReport(w, key, 1) }},
		"it answers this host": {do: func(w *fixture, _ *caller, key fleet.TargetKey) {
			peersReport(w, key, 2)
			w.recordProgress(w.now, w.targets[key])
		}},
		"most targets are silent": {do: func(w *fixture, _ *caller, key fleet.TargetKey) {
			peersReport(w, key, 2)
			for other, t := range w.targets {
				if other != key {
					t.health.lastProgress = 0
				}
			}
		}},
		"the evidence is old": {do: func(w *fixture, _ *caller, key fleet.TargetKey) {
			peersReport(w, key, 2)
			w.now += unansweredWindow
			othersAnswer(w, key)
		}},
		"not idempotent": {once: true, do: func(w *fixture, _ *caller, key fleet.TargetKey) { peersReport(w, key, 2) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newFixture(t)
			caller, key := waitingFlow(w, !c.once)
			c.do(w, caller, key)
			for range 4 {
				w.now += sweepInterval
				if name != "most targets are silent" {
					othersAnswer(w, key)
				}
				w.Tick(w.now, w.recordReset)
			}
			is.Equal(len(w.resets), 0)
		})
	}
}

// A host reports what its flows show: unanswered flows before it has enough of
// them for a verdict, a silent target as enough for two hosts, and answers.
func TestReportOfUnansweredFlows(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	report := func(key fleet.TargetKey) TargetStats {
		for _, s := range w.TargetStats(w.now) {
			if s.Key == key {
				return s
			}
		}
		return TargetStats{}
	}
	c, key := waitingFlow(w, true)
	is.Equal(report(key).Unanswered, 1)
	is.True(!report(key).Silent)
	is.True(!report(key).Answered)
	w.targets[key].health.markSilent(w.now)
	is.Equal(report(key).Unanswered, minSilentFlows)
	is.True(report(key).Silent)
	c.acknowledge()
	is.Equal(report(key).Unanswered, 0)
	is.True(report(key).Answered)
	w.now += answerReportWindow
	is.True(!report(key).Answered)
}

// Guards against a reset that reaches a later flow: a caller that has closed its
// flow may use the port again, through another host too.
func TestClosedFlowIsNotReset(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	c, key := waitingFlow(w, true)
	c.p.Class, c.p.Payload = packet.Closing, nil
	c.send()
	peersReport(w, key, 2)
	w.now += sweepInterval
	othersAnswer(w, key)
	w.Tick(w.now, w.recordReset)
	is.True(w.targets[key].health.silent)
	is.Equal(len(w.resets), 0)
}
