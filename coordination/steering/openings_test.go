package steering

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/verdict"
)

func TestSharesOfARoute(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	maps := 0
	const flows = 2000
	for n := range flows {
		c := w.caller(n, split)
		a := c.open(0)
		is.Equal(a.Kind, Forward)
		if a.Key == "m0" {
			maps++
		}
		c.p.Class, c.p.Token = packet.Closing, c.token
		c.send()
		w.now += 10 * time.Millisecond
		w.Tick(w.now, w.recordReset)
	}
	is.True(maps > flows/5 && maps < flows*3/10) // a quarter
}

// A retransmitted opening goes to another target, and the target that did not
// answer gets no new flow during its backoff.
func TestUnansweredOpening(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	c := w.caller(1, orders)
	first := c.open(0)
	w.now += 200 * time.Millisecond
	second := c.open(1)
	is.Equal(second.Cause, CauseReplaced)
	is.True(second.Key != first.Key)
	for n := 2; n < 40; n++ {
		is.True(w.caller(n, orders).open(0).Key != first.Key)
		w.now += 10 * time.Millisecond
	}
	is.Equal(len(w.events), 1)
	is.Equal(w.events[0].Key, first.Key)
}

// A target that answers other flows must not become silent because of one lost
// opening.
func TestLostOpeningAtATargetThatAnswers(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	c := w.caller(1, orders)
	first := c.open(0)
	w.now += 50 * time.Millisecond
	for n := 2; n < 10; n++ {
		w.established(n, orders)
	}
	w.now += 150 * time.Millisecond
	c.open(1)
	is.Equal(len(w.events), 0)
	is.True(!w.targets[first.Key].health.silent)
}

// After a partition between zones, a retransmitted opening goes to a target of
// the host's own zone.
func TestUnansweredOpeningReturnsToOwnZone(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	for i := range 3 {
		w.entry(fleet.TargetKey([]string{"a0", "a1", "a2"}[i])).Draining = true
	}
	w.apply()
	c := w.caller(1, orders)
	first := c.open(0)
	is.Equal(first.Cause, CausePlacedAway)
	for i := range 3 {
		w.entry(fleet.TargetKey([]string{"a0", "a1", "a2"}[i])).Draining = false
	}
	w.apply()
	w.now += 200 * time.Millisecond
	is.Equal(w.entry(c.open(1).Key).Zone, "a")
}

// One opening is lost on its way to a target that answers all others and has
// the least load. Its retransmission must go to another target all the same:
// the target may not accept openings, or the path to it may lose packets.
func TestRetransmittedOpeningAvoidsFormerTarget(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	c := w.caller(1, orders)
	former := c.open(0).Key
	const busy = 2 // of three slots: a retransmitted opening may still be placed there
	for key, other := range w.targets {
		if key != former {
			other.peersBusy = busy
		}
	}
	w.now += 200 * time.Millisecond
	w.targets[former].health.recordAnswer(w.now)
	for key, other := range w.targets {
		is.True(key == former || w.load(w.now, w.targets[former]) < w.load(w.now, other)) // it has the least load
	}
	is.True(c.open(1).Key != former)
}

func TestIneligibleTargetsGetNoNewFlows(t *testing.T) {
	changes := map[string]func(w *fixture, e *fleet.Entry){
		"draining": func(_ *fixture, e *fleet.Entry) { e.Draining = true },
		"gone":     func(_ *fixture, e *fleet.Entry) { e.Gone = true },
		"zone out": func(w *fixture, e *fleet.Entry) { w.view.ZonesOut = map[string]bool{"a": e.Zone == "a"} },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newFixture(t)
			for _, key := range []fleet.TargetKey{"a0", "a1", "a2"} {
				change(w, w.entry(key))
			}
			w.apply()
			for n := range 20 {
				a := w.caller(n, feeds).open(0)
				is.Equal(a.Cause, CausePlacedAway)
			}
		})
	}
}

func TestOpeningWithoutTargetIsRefusedImmediately(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	for i := range w.view.Targets {
		w.view.Targets[i].Draining = true
	}
	w.apply()
	a := w.caller(1, orders).open(0)
	is.Equal(a.Kind, Reset)
	is.Equal(a.Cause, CauseNoTarget)
	is.Equal(a.Run, verdict.NotRun)
}

// Guards against a healthy target that new flows avoid: a caller that reuses the
// port of a closed flow does not repeat an opening.
func TestOpeningOnAReusedPortIsNoRepetition(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	for _, t := range w.view.Targets {
		if t.Zone == "a" && t.Key != "a1" {
			w.entry(t.Key).Draining = true
		}
	}
	w.apply()
	c := w.caller(1, orders)
	is.Equal(c.open(0).Key, fleet.TargetKey("a1"))
	c.confirm()
	c.p.Class, c.p.Token = packet.Closing, c.token
	c.send()
	again := c.open(0)
	is.Equal(again.Key, fleet.TargetKey("a1")) // the only target of the own zone
	is.Equal(again.Cause, CausePlaced)
}
