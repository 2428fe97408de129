package steering

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/verdict"
)

// addedRoute returns a route that the fixture's view lacks.
func addedRoute() fleet.Route {
	return fleet.Route{Endpoint: endpoint("198.18.0.7:443"), Shares: []fleet.Share{{Service: "book", Weight: 1}}}
}

// newReadFixture returns a fixture that has read everything up to a while ago.
func newReadFixture(t *testing.T) *fixture {
	t.Helper()
	w := newFixture(t)
	w.complete, w.completeKnown = w.now, true
	w.now += 400 * time.Millisecond
	return w
}

// movedFlow returns a flow on an added route that another host has opened and whose
// packets arrive at this host, which has not read the route yet.
func (w *fixture) movedFlow(t *testing.T) *caller {
	t.Helper()
	other := newFixture(t)
	other.view.Config.Version = 2
	other.view.Config.Routes = append(other.view.Config.Routes, addedRoute())
	other.apply()
	c, _ := other.established(1, addedRoute().Endpoint)
	c.w = w
	return c
}

// Guards against a reset of an open flow on a route that was just added, by a host that
// has not read the configuration yet and gets the flow's packets when another one stops.
func TestOpenFlowOnAnUnreadRouteIsKept(t *testing.T) {
	is := is.New(t)
	w := newReadFixture(t)
	c := w.movedFlow(t)
	a := c.sendRequest()
	is.Equal(a.Kind, Drop)
	is.Equal(a.Cause, CauseNoRoute)
	is.Equal(w.refreshes, 1) // the store is read at once
	w.now += 200 * time.Millisecond
	is.Equal(c.sendRequest().Kind, Drop)
	w.Tick(w.now, w.recordReset)
	is.Equal(len(w.resets), 0)
	w.view.Config.Version = 2
	w.view.Config.Routes = append(w.view.Config.Routes, addedRoute())
	w.apply()
	w.complete = w.now
	w.now += sweepInterval
	w.Tick(w.now, w.recordReset)
	is.Equal(len(w.resets), 0)
	is.Equal(c.sendRequest().Kind, Forward)
	is.Equal(len(w.absent), 0)
}

// Guards against an open flow on a route that does not exist whose caller waits for its
// deadline: one read of the store suffices for the reset, without a further packet.
func TestOpenFlowWithoutARouteIsResetAfterOneRead(t *testing.T) {
	is := is.New(t)
	w := newReadFixture(t)
	c := w.movedFlow(t)
	is.Equal(c.sendRequest().Kind, Drop)
	w.complete = w.now + time.Millisecond
	w.now += sweepInterval
	w.Tick(w.now, w.recordReset)
	is.Equal(len(w.resets), 1)
	is.Equal(w.resets[0].segment.Flow, c.p.Flow)
	is.Equal(w.resets[0].segment.Ack, c.p.Ack)
	is.Equal(w.resets[0].action.Cause, CauseNoRoute)
	is.Equal(w.resets[0].action.Run, verdict.MayHaveRun)
	is.Equal(w.Counts().Resets[CauseNoRoute], uint64(1))
	w.now += sweepInterval
	w.Tick(w.now, w.recordReset)
	is.Equal(len(w.resets), 1) // once
}

// Guards against a reset of a flow on a route that was dropped and added again, by a
// host that has read only the drop.
func TestOpenFlowOnARouteThatIsAddedAgainIsKept(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	routes := w.view.Config.Routes
	w.view.Config.Version = 2
	w.view.Config.Routes = routes[1:]
	w.apply()
	w.complete, w.completeKnown = w.now, true
	w.now += 400 * time.Millisecond
	other := newFixture(t)
	c, key := other.established(1, feeds)
	c.w = w
	is.Equal(c.sendRequest().Kind, Drop)
	w.view.Config.Version = 3
	w.view.Config.Routes = routes
	w.apply()
	a := c.sendRequest()
	is.Equal(a.Kind, Forward)
	is.Equal(a.Key, key)
}

// Guards against a flow on a dropped route that is kept because this host's calls to the
// store have failed lately, although it has read the drop and had seen the flow before.
func TestFlowOnADroppedRouteIsResetWhileTheStoreFails(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	c, _ := w.established(1, feeds)
	w.now += time.Second
	w.view.Config.Version = 2
	w.view.Config.Routes = w.view.Config.Routes[1:]
	w.apply()
	w.complete, w.completeKnown = w.now, false
	a := c.sendRequest()
	is.Equal(a.Kind, Reset)
	is.Equal(a.Cause, CauseNoRoute)
	is.Equal(w.caller(2, feeds).confirm().Kind, Drop) // not seen before
}

// Guards against reads of the store that are not repeated while a flow waits for one,
// since a request for a read may be refused by its rate limit.
func TestReadIsRequestedUntilItIsComplete(t *testing.T) {
	is := is.New(t)
	w := newReadFixture(t)
	c := w.movedFlow(t)
	c.sendRequest()
	for n := range 3 {
		w.now += sweepInterval
		w.Tick(w.now, w.recordReset)
		is.Equal(w.refreshes, 2+n)
	}
	w.now += absentRetention
	w.Tick(w.now, w.recordReset)
	is.Equal(len(w.absent), 0) // its caller has given up
	is.Equal(len(w.resets), 0)
}

// Guards against reads of the store that are requested although this host has read enough
// and only waits for the store to settle.
func TestReadIsNotRequestedWhileTheStoreSettles(t *testing.T) {
	is := is.New(t)
	w := newReadFixture(t)
	w.completeKnown = false
	c := w.movedFlow(t)
	is.Equal(c.sendRequest().Kind, Drop)
	is.Equal(w.refreshes, 1)
	w.complete = w.now + time.Millisecond
	for range 4 {
		w.now += sweepInterval
		w.Tick(w.now, w.recordReset)
	}
	is.Equal(w.refreshes, 1)
	is.Equal(len(w.resets), 0)
	w.completeKnown = true
	w.now += sweepInterval
	w.Tick(w.now, w.recordReset)
	is.Equal(len(w.resets), 1)
}

// Guards against the use of one flow's time for another: a flow with the same unknown
// token that opens later may be at a target that has started since.
func TestUnknownTokenOfALaterFlow(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	w.completeKnown = true
	first, later := w.caller(1, feeds), w.caller(2, feeds)
	first.token, later.token = 0x99999999, 0x99999999
	is.Equal(first.confirm().Kind, Drop)
	w.now += time.Second
	w.complete = w.now
	w.now += 100 * time.Millisecond
	is.Equal(later.confirm().Kind, Drop)
	is.Equal(later.sendRequest().Kind, Drop)
	is.Equal(first.sendRequest().Kind, Reset)
}

// Guards against a reply to a caller's reset, which ends the flow by itself, and
// against a read of the store for it.
func TestResetWithoutARouteIsDropped(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	c := w.caller(1, addedRoute().Endpoint)
	c.p.Class = packet.Reset
	is.Equal(c.send().Kind, Drop)
	is.Equal(w.refreshes, 0)
	is.Equal(len(w.absent), 0)
}

// restarted records in the view that a target started again under its key.
func (w *fixture) restarted(key fleet.TargetKey) {
	e := w.entry(key)
	e.Gone, e.Since, e.Started = false, 0, e.Started+1
	w.apply()
}

// Guards against a reset of a flow that is open at a target which started again under
// its ID, by a host that has only read that the former one left and gets the flow's
// packets when another host stops.
func TestOpenFlowAtARestartedTargetIsKept(t *testing.T) {
	is := is.New(t)
	w, other := newFixture(t), newFixture(t)
	c, key := other.established(1, feeds)
	w.entry(key).Gone, w.entry(key).Since = true, w.now
	w.apply()
	w.complete, w.completeKnown = w.now, true
	w.now += 400 * time.Millisecond
	c.w = w
	a := c.sendRequest()
	is.Equal(a.Kind, Drop)
	is.Equal(a.Cause, CauseTargetGone)
	is.Equal(w.refreshes, 1)
	w.restarted(key)
	w.complete = w.now + time.Millisecond
	w.now += sweepInterval
	w.Tick(w.now, w.recordReset)
	is.Equal(len(w.resets), 0)
	a = c.sendRequest()
	is.Equal(a.Kind, Forward)
	is.Equal(a.Key, key)
}

// Guards against a reset of a flow that this host has sent to a target which it did not
// know to have been replaced under its ID: it reads of the end of the former one first.
func TestOpenFlowAtATargetThatWasReplacedUnnoticed(t *testing.T) {
	is := is.New(t)
	w, other := newFixture(t), newFixture(t)
	c, key := other.established(1, feeds)
	w.complete, w.completeKnown = w.now, true
	w.now += 400 * time.Millisecond
	c.w = w
	is.Equal(c.sendRequest().Kind, Forward) // at the address of both
	w.now += 100 * time.Millisecond
	w.entry(key).Gone, w.entry(key).Since = true, w.now
	w.apply()
	w.complete += 200 * time.Millisecond // a part of what is written
	is.Equal(c.sendRequest().Kind, Drop)
	w.Tick(w.now, w.recordReset)
	is.Equal(len(w.resets), 0)
	w.restarted(key)
	is.Equal(c.sendRequest().Kind, Forward)
}

// Guards against a flow at a target that is gone whose caller waits for its deadline, if
// this host has not seen the flow before: one read of the store suffices for the reset.
func TestUnseenFlowAtAGoneTargetIsResetAfterOneRead(t *testing.T) {
	is := is.New(t)
	w, other := newFixture(t), newFixture(t)
	c, key := other.established(1, feeds)
	w.entry(key).Gone, w.entry(key).Since = true, w.now
	w.apply()
	w.complete = w.now
	w.now += 400 * time.Millisecond
	c.w = w
	is.Equal(c.sendRequest().Kind, Drop)
	w.complete = w.now + time.Millisecond
	w.now += sweepInterval
	w.Tick(w.now, w.recordReset)
	is.Equal(len(w.resets), 0) // the store may lack an entry after an outage
	w.completeKnown = true
	w.now += sweepInterval
	w.Tick(w.now, w.recordReset)
	is.Equal(len(w.resets), 1)
	is.Equal(w.resets[0].action.Cause, CauseTargetGone)
	is.Equal(w.resets[0].action.Key, key)
}
