package balancer

import (
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/admission"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/verdict"
	"github.com/jujubehaven/jujubehaven/state/flow"
)

// failoverWindow is the time after the loss of a host in which an opening is
// dropped instead of refused if no target admits it: the caller's TCP
// retransmits it after 1 and 3 seconds, when the lost host's targets have a new
// owner.
const failoverWindow = 2 * time.Second

// openFlow handles a packet that may open a flow and whose flow is not in the
// table. The owner of the first placeable target starts the placement, after the
// other hosts were queried if the packet may be a retransmission.
func (b *Balancer) openFlow(l *lookup, shard *flow.Shard, out *Action) {
	if l.atMostOnce() {
		b.openAtMostOnce(l, shard, out)
		return
	}
	if l.relay.Stage == packet.StagePlace || l.relay.Stage == packet.StagePlaceAny {
		b.continuePlacing(l, shard, out)
		return
	}
	first := b.firstPlaceable(l)
	if first == nil {
		b.refuseUnplaced(l, out)
		return
	}
	switch {
	case !first.owned && !l.relay.HasVisited(first.owner()):
		b.recordVisit(l)
		if !b.relayTo(l, first.owner(), out) {
			b.drop(out, DropPeerUnreachable)
		}
	case first.owned && l.relay.VisitedLen <= 1 && !b.mustQueryPeers(l, first):
		b.recordVisit(l)
		b.startPlacing(l, shard, out)
	default:
		b.continueLookup(l, shard, out)
	}
}

// refuseUnplaced refuses an opening if no target of its service accepts new
// flows. If one does but its owner is not reachable from here, for example
// while this host starts, the opening is dropped: the retransmission may arrive
// at a host that can place it.
func (b *Balancer) refuseUnplaced(l *lookup, out *Action) {
	if l.firstAccepting() != nil {
		b.drop(out, DropNotReady)
		return
	}
	b.refuse(l, verdict.CauseNoTarget, refuseRetryAfter, out)
}

// firstPlaceable returns the first target of the order that accepts new flows
// and has a reachable owner in its zone. Zones without a reachable host are
// skipped, so that a partitioned zone keeps serving with the targets it
// reaches.
func (b *Balancer) firstPlaceable(l *lookup) *targetView {
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

// canPlace reports whether this host may try the target for a new flow.
func (b *Balancer) canPlace(l *lookup, t *targetView) bool {
	if !t.accepting || t.zoneOut || t.crossZone || t.owner() == 0 {
		return false
	}
	return t.owned || l.view.hosts[t.owner()].next != 0
}

// mustQueryPeers reports whether the packet may belong to a flow that another
// host placed: the target's owner or the service's orders changed recently, or
// the packet is a datagram, which does not show whether it opens a flow.
func (b *Balancer) mustQueryPeers(l *lookup, first *targetView) bool {
	if l.packet.Class == packet.Datagram {
		return true
	}
	ownedFor := l.now - time.Duration(first.state.ownedSince.Load())
	orderAge := l.now - l.endpoint.service.changed
	return ownedFor < retransmissionWindow || orderAge < retransmissionWindow
}

// placeUnknown starts to place an opening whose flow no queried host has.
func (b *Balancer) placeUnknown(l *lookup, shard *flow.Shard, out *Action) {
	if b.firstPlaceable(l) == nil {
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
	b.continuePlacing(l, shard, out)
}

// continuePlacing tries the targets of the order that have not refused the flow
// yet: owned ones at once, the others by relaying to their owners.
func (b *Balancer) continuePlacing(l *lookup, shard *flow.Shard, out *Action) {
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
	if l.now-l.view.lastLost < failoverWindow {
		// The lost host's targets can admit flows once they have a new owner.
		b.drop(out, DropTakingOver)
		return
	}
	if l.relay.ViewsDiffer {
		// A target was skipped because two hosts each have the other as its owner.
		b.drop(out, DropViewsDiffer)
		return
	}
	b.refuse(l, verdict.CauseNoCapacity, retryAfter, out)
}

// placePass tries the targets in order; it reports whether the flow was placed
// or relayed.
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
		if !t.owned && !l.tried && l.sender() == t.owner() {
			// Each of the two hosts has the other as the target's owner.
			r.ViewsDiffer = true
			r.Excluded |= 1 << i
			continue
		}
		if !t.owned {
			if b.relayTo(l, t.owner(), out) {
				return true
			}
			r.PeerUnreachable = true
			continue
		}
		l.tried = true
		if b.tryAdmit(l, t, retryAfter) {
			b.place(l, shard, t, out)
			return true
		}
		r.Excluded |= 1 << i
	}
	return false
}

// sender returns the host that relayed the packet to this one while placing, 0
// if there is none. This host is the last entry of Visited.
func (l *lookup) sender() uint32 {
	if l.relay.VisitedLen < 2 {
		return 0
	}
	return l.relay.Visited[l.relay.VisitedLen-2]
}

// tryAdmit asks the admission of an owned target to admit the flow. It records
// a soft refusal in the relay header and stores the target's retry time, if it
// gives one, in retryAfter.
func (b *Balancer) tryAdmit(l *lookup, t *targetView, retryAfter *time.Duration) bool {
	soft := l.relay.Stage == packet.StagePlace
	if soft && !t.state.slotOpen(l.slot) {
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

// admit asks the admission of an owned target to admit a flow that stays at it.
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
	b.queueUrgentReplication(l, first, t)
	shard.Insert(&l.key, &e)
	b.forward(t, out)
}

// queueUrgentReplication queues a new flow for early replication if a successor
// could not derive its target. While the first target of the order is closed to
// the slot, a successor rules it out and can derive the next one; this no longer
// holds when the slot is about to open.
func (b *Balancer) queueUrgentReplication(l *lookup, first, t *targetView) {
	if b.cfg.Replication != ReplicateExceptions {
		return
	}
	aboutToOpen := first.owned && first.state.slotPrepared(l.slot)
	closed := first.state.slotAdvertisedClosed(l.slot) || !first.state.slotOpen(l.slot)
	switch {
	case aboutToOpen || t.state.slotAdvertisedClosed(l.slot):
		b.urgent.add(urgentFlow{key: l.key, hash: l.hash, overBudget: true})
	case first != t && !closed:
		b.urgent.add(urgentFlow{key: l.key, hash: l.hash})
	}
}

// refuseRetryAfter is the retry time of a refusal for which no target gave one.
const refuseRetryAfter = time.Second

// refuse refuses an opening. For a non-idempotent service it must only be
// called if no payload of the request can have been forwarded.
func (b *Balancer) refuse(l *lookup, cause verdict.Cause, retryAfter time.Duration, out *Action) {
	run := verdict.NotRun
	if l.packet.PayloadLen > 0 && l.endpoint.service.idempotent {
		run = verdict.MayHaveRun
	}
	b.refuseWith(l, verdict.Verdict{Run: run, Cause: cause, RetryAfter: retryAfter}, out)
}

// refuseWith refuses an opening with the verdict.
func (b *Balancer) refuseWith(l *lookup, v verdict.Verdict, out *Action) {
	out.Kind = Refuse
	out.Verdict = v
	if p := l.packet; p.Class == packet.Opening {
		// RFC 9293, section 3.5.2: a reset in reply to a SYN has sequence
		// number zero and acknowledges the SYN.
		b.addReset(out, Reset{Flow: p.Flow, Ack: nextSeq(p), AckValid: true})
	}
	b.counters.countVerdict(out.Verdict)
	l.endpoint.service.counts.refused[v.Cause].Add(1)
}
