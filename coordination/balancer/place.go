package balancer

import (
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/admission"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/verdict"
	"github.com/jujubehaven/jujubehaven/state/flow"
)

// failoverTime is how long after a host fell silent an opening that finds no room
// is dropped instead of refused: the caller's TCP sends it again after 1 s and
// after 3 s, when the lost host's targets take openings from a new owner.
const failoverTime = 2 * time.Second

// openFlow handles a packet that may open a flow and that this host doesn't
// know. Only the owner of the order's first target places it, after asking the
// other hosts when it may be a retransmission.
func (b *Balancer) openFlow(l *lookup, shard *flow.Shard, out *Action) {
	if l.careful() {
		b.openCarefully(l, shard, out)
		return
	}
	if l.relay.Stage == packet.StagePlace || l.relay.Stage == packet.StagePlaceAny {
		b.placeFrom(l, shard, out)
		return
	}
	first := b.firstOpen(l)
	if first == nil {
		b.refuseUnplaced(l, out)
		return
	}
	switch {
	case !first.mine && !l.relay.HasVisited(first.owner()):
		b.visit(l)
		if !b.relayTo(l, first.owner(), out) {
			b.drop(out, DropPeerUnreachable)
		}
	case first.mine && l.relay.VisitedLen <= 1 && !b.mustAsk(l, first):
		b.visit(l)
		b.startPlacing(l, shard, out)
	default:
		b.walk(l, shard, out)
	}
}

// refuseUnplaced refuses an opening if its service has no target that accepts
// new flows. If there is one and its owner can't be reached from here, as while
// this host starts, the caller's next copy may come to a host that can.
func (b *Balancer) refuseUnplaced(l *lookup, out *Action) {
	if l.firstAccepting() != nil {
		b.drop(out, DropNotReady)
		return
	}
	b.refuse(l, verdict.CauseNoTarget, refuseRetryAfter, out)
}

// firstOpen returns the first target of the order that accepts new flows and
// whose owner can be reached. A zone without a reachable host is passed over,
// so that a zone that is cut off serves what it can.
func (b *Balancer) firstOpen(l *lookup) *targetView {
	for i := range orderLen {
		t := l.target(i)
		if t == nil {
			return nil
		}
		if b.canPlace(l, t) {
			return t
		}
	}
	return nil
}

// canPlace reports whether a new flow may be tried at the target from here.
func (b *Balancer) canPlace(l *lookup, t *targetView) bool {
	if !t.accepting || t.out || t.far || t.owner() == 0 {
		return false
	}
	return t.mine || l.view.hosts[t.owner()].next != 0
}

// mustAsk reports whether the packet may belong to a flow that another host
// placed: the target or its service changed lately, or it is a datagram, which
// looks the same in the middle of a flow.
func (b *Balancer) mustAsk(l *lookup, first *targetView) bool {
	if l.packet.Class == packet.Datagram {
		return true
	}
	owned := l.now - time.Duration(first.state.since.Load())
	ranked := l.now - l.endpoint.service.changed
	return owned < openingMemory || ranked < openingMemory
}

// returnToPlace sends an opening that no asked host knows to the owner of the
// first target.
func (b *Balancer) returnToPlace(l *lookup, shard *flow.Shard, out *Action) {
	if b.firstOpen(l) == nil {
		b.refuseUnplaced(l, out)
		return
	}
	b.startPlacing(l, shard, out)
}

// startPlacing begins the search for a target that admits the flow.
func (b *Balancer) startPlacing(l *lookup, shard *flow.Shard, out *Action) {
	l.relay.Stage = packet.StagePlace
	l.relay.Excluded = 0
	l.relay.VisitedLen = 0
	b.placeFrom(l, shard, out)
}

// placeFrom tries the order's targets that have not refused the flow yet: the
// ones owned here at once, the others by way of their owners.
func (b *Balancer) placeFrom(l *lookup, shard *flow.Shard, out *Action) {
	if !l.relay.Visit(b.id) {
		b.refuse(l, verdict.CauseNoCapacity, refuseRetryAfter, out)
		return
	}
	retryAfter := refuseRetryAfter
	if b.placePass(l, shard, &retryAfter, out) {
		return
	}
	if l.relay.Stage == packet.StagePlace && l.relay.Excluded&softRefused != 0 {
		l.relay.Stage = packet.StagePlaceAny
		l.relay.Excluded = 0
		l.tried = true
		if b.placePass(l, shard, &retryAfter, out) {
			return
		}
	}
	if l.now-l.view.lostAt < failoverTime {
		// The lost host's targets have room again once they have a new owner.
		b.drop(out, DropTakingOver)
		return
	}
	if l.relay.ViewsDiffer {
		// A target was left out because two hosts take each other for its owner.
		b.drop(out, DropViewsDiffer)
		return
	}
	b.refuse(l, verdict.CauseNoCapacity, retryAfter, out)
}

// placePass tries the targets in order; it reports whether the flow was placed
// or passed on.
func (b *Balancer) placePass(l *lookup, shard *flow.Shard, retryAfter *time.Duration, out *Action) bool {
	r := &l.relay
	for i := range orderLen {
		t := l.target(i)
		if t == nil {
			return false
		}
		if r.Excluded&(1<<i) != 0 || !b.canPlace(l, t) {
			continue
		}
		if !t.mine && !l.tried && l.sender() == t.owner() {
			// Each of the two takes the other for the owner.
			r.ViewsDiffer = true
			r.Excluded |= 1 << i
			continue
		}
		if !t.mine {
			if b.relayTo(l, t.owner(), out) {
				return true
			}
			r.PeerUnreachable = true
			continue
		}
		l.tried = true
		if b.tryTarget(l, t, retryAfter) {
			b.place(l, shard, t, out)
			return true
		}
		r.Excluded |= 1 << i
	}
	return false
}

// sender returns the host that passed the packet on to this one while it is
// placed, 0 if there is none. This host is the last that it visited.
func (l *lookup) sender() uint32 {
	if l.relay.VisitedLen < 2 {
		return 0
	}
	return l.relay.Visited[l.relay.VisitedLen-2]
}

// tryTarget asks the admission of a target owned here.
func (b *Balancer) tryTarget(l *lookup, t *targetView, retryAfter *time.Duration) bool {
	soft := l.relay.Stage == packet.StagePlace
	if soft && !t.state.opens(l.slot) {
		l.relay.Excluded |= softRefused
		return false
	}
	adm := t.state.admission.Load()
	var d admission.Decision
	if soft {
		d = adm.Admit(l.now)
	} else {
		d = adm.AdmitOverShare(l.now)
	}
	if !d.OK && d.Reason == admission.ReasonOverShare {
		l.relay.Excluded |= softRefused
	}
	if !d.OK && d.RetryAfter > 0 {
		*retryAfter = d.RetryAfter
	}
	return d.OK
}

// admit asks the admission of an owned target on behalf of a flow that stays
// with it.
func (b *Balancer) admit(now time.Duration, t *targetView) bool {
	return t.state.admission.Load().AdmitOverShare(now).OK
}

// place records a new flow at an owned target that admitted it.
func (b *Balancer) place(l *lookup, shard *flow.Shard, t *targetView, out *Action) {
	at := ticks(l.now)
	e := flow.Entry{
		Target:   t.index,
		Seq:      nextSeq(l.packet),
		Since:    at,
		LastSeen: at,
		State:    flow.Opening,
		Flags:    flow.Counted,
	}
	if l.packet.PayloadLen > 0 {
		e.Flags |= flow.Payload
	}
	if l.relay.PeerUnreachable {
		e.Flags |= flow.PeerUnreachable
	}
	b.counters.placed.Add(1)
	t.service.counts.placed.Add(1)
	first := l.target(0)
	if first != t {
		b.counters.placedElsewhere.Add(1)
	}
	b.queueUrgent(l, first, t)
	shard.Insert(&l.key, &e)
	b.forward(t, out)
}

// queueUrgent has successors told soon of a flow that they could not work out.
// A flow beside a first target that is closed to the slot can be worked out
// until the slot is about to open.
func (b *Balancer) queueUrgent(l *lookup, first, t *targetView) {
	if b.cfg.Sharing != ShareExceptions {
		return
	}
	opening := first.mine && first.state.aboutToOpen(l.slot)
	closed := first.state.closedTo(l.slot) || !first.state.opens(l.slot)
	switch {
	case opening || t.state.closedTo(l.slot):
		b.urgent.add(urgentFlow{key: l.key, hash: l.hash, closed: true})
	case first != t && !closed:
		b.urgent.add(urgentFlow{key: l.key, hash: l.hash})
	}
}

// refuseRetryAfter is when a refused caller may come back if no target says
// better.
const refuseRetryAfter = time.Second

// refuse answers an opening at once. Openings with payload of services that are
// not idempotent come here only when no payload can have left.
func (b *Balancer) refuse(l *lookup, cause verdict.Cause, retryAfter time.Duration, out *Action) {
	run := verdict.NotRun
	if l.packet.PayloadLen > 0 && l.endpoint.service.idempotent {
		run = verdict.MayHaveRun
	}
	b.refuseAs(l, verdict.Verdict{Run: run, Cause: cause, RetryAfter: retryAfter}, out)
}

// refuseAs answers an opening with a verdict.
func (b *Balancer) refuseAs(l *lookup, v verdict.Verdict, out *Action) {
	out.Kind = Refuse
	out.Verdict = v
	if p := l.packet; p.Class == packet.Opening {
		// RFC 9293, section 3.5.2: a reset in answer to a SYN has sequence
		// number zero and acknowledges the SYN.
		b.addReset(out, Reset{Flow: p.Flow, Ack: nextSeq(p), AckValid: true})
	}
	b.counters.gaveUp(out.Verdict)
	l.endpoint.service.counts.refused[v.Cause].Add(1)
}
