package balancer

import (
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/verdict"
	"github.com/jujubehaven/jujubehaven/state/flow"
)

// queriedOwners is how many owners of a target a lookup queries: the current
// one and its successor, which owned the target before the current owner
// joined.
const queriedOwners = 2

// continueLookup relays the packet of an unknown flow to the next host that may
// have the flow, or ends the lookup if all have been queried.
func (b *Balancer) continueLookup(l *lookup, shard *flow.Shard, out *Action) {
	b.recordVisit(l)
	if next := b.nextHost(l); next != 0 {
		if !b.relayTo(l, next, out) {
			b.drop(out, DropPeerUnreachable)
		}
		return
	}
	b.concludeLookup(l, shard, out)
}

// recordVisit adds this host, its candidate and the targets that it rules out to
// the relay header.
func (b *Balancer) recordVisit(l *lookup) {
	r := &l.relay
	if r.Stage == packet.StageNone {
		r.Stage = packet.StageLookup
		r.View = l.view.digest
	}
	if r.View != l.view.digest {
		r.ViewsDiffer = true
	}
	r.Visit(b.id)
	b.setCandidate(l)
	l.markReordered()
	for i := range orderLen {
		t := l.target(i)
		if t == nil {
			break
		}
		if b.rulesOut(l, t) {
			r.Excluded |= 1 << i
		}
	}
}

// setCandidate names the flow's likely target in the relay header: the target
// in this host's replicas, else the latest former first target of the order. A
// candidate that a replica named is kept.
func (b *Balancer) setCandidate(l *lookup) {
	r := &l.relay
	if r.Excluded&fromReplica != 0 {
		return
	}
	if replicaTarget := b.replicas.target(l.hash); l.serves(replicaTarget) {
		r.Candidate = replicaTarget
		r.Excluded |= fromReplica
		return
	}
	if r.Candidate != 0 {
		return
	}
	for _, index := range l.formerFirsts() {
		if t := l.view.formerTarget(index); t != nil {
			r.Candidate = t.id
			return
		}
	}
}

// rulesOut reports whether this host, which doesn't have the flow in its table,
// can exclude that the flow is at the target.
func (b *Balancer) rulesOut(l *lookup, t *targetView) bool {
	st := t.state
	if t.owned {
		return st.covers(l.slot) || (l.atMostOnce() && b.hasRecentFlows(l, t))
	}
	successor := st.handedTo.Load()
	if successor == 0 || successor != t.owner() {
		return false
	}
	// Flows that the new owner has placed since are found when it is queried.
	return st.completeAtHandover.Load() || st.coveredAtHandover.Load().has(l.slot)
}

// nextHost returns the next host to query, 0 if none is left. While the view is
// degraded, hosts of this zone come first. Then follow the hosts of the order's
// first target, of former first targets, of the rest of the order, and of the
// service's other targets.
func (b *Balancer) nextHost(l *lookup) uint32 {
	if int(l.relay.VisitedLen) >= packet.MaxVisited {
		return 0
	}
	if l.view.degraded {
		if host := b.nextHostInZone(l); host != 0 {
			return host
		}
	}
	if host := b.unvisitedHost(l, l.target(0)); host != 0 {
		return host
	}
	for _, index := range l.formerFirsts() {
		if host := b.unvisitedHost(l, l.view.formerTarget(index)); host != 0 {
			return host
		}
	}
	for i := 1; i < orderLen; i++ {
		if host := b.unvisitedHost(l, l.target(i)); host != 0 {
			return host
		}
	}
	return b.nextHostOutsideOrder(l)
}

// nextHostOutsideOrder returns a host of the service's targets outside the
// order, which may hold a flow that was placed by an earlier order, 0 if none
// is left. Openings skip these hosts unless they must run at most once: they
// can be placed again.
func (b *Balancer) nextHostOutsideOrder(l *lookup) uint32 {
	if mayOpen(l.packet) && !l.atMostOnce() {
		return 0
	}
	for _, t := range l.endpoint.service.targets {
		if host := b.unvisitedHost(l, t); host != 0 {
			return host
		}
	}
	return 0
}

// nextHostInZone returns an unvisited host of this zone, 0 if there is none.
// During a partition a packet that left the zone may not get back.
func (b *Balancer) nextHostInZone(l *lookup) uint32 {
	for i := range orderLen {
		t := l.target(i)
		if t == nil {
			return 0
		}
		for _, host := range [...]uint32{t.owners[0], t.leavingOwner, t.owners[1]} {
			if l.view.hosts[host].sameZone && !l.relay.HasVisited(host) {
				return host
			}
		}
	}
	return 0
}

// unvisitedHost returns an unvisited host of the target, 0 if there is none. It
// skips unreachable hosts and sets PeerUnreachable for them.
func (b *Balancer) unvisitedHost(l *lookup, t *targetView) uint32 {
	r := &l.relay
	if t == nil {
		return 0
	}
	if t.partitioned {
		r.PeerUnreachable = true
		return 0
	}
	for _, host := range [...]uint32{t.owners[0], t.leavingOwner, t.owners[1]} {
		if host == 0 || host == b.id || r.HasVisited(host) {
			continue
		}
		next := l.view.hosts[host].next
		if next == 0 || (next != host && r.HasVisited(next)) {
			r.PeerUnreachable = true
			continue
		}
		return host
	}
	return 0
}

// concludeLookup handles a flow that no queried host has.
func (b *Balancer) concludeLookup(l *lookup, shard *flow.Shard, out *Action) {
	r := &l.relay
	switch {
	case l.atMostOnce():
		b.concludeAtMostOnce(l, shard, out)
	case r.Stage == packet.StageLookup && mayOpen(l.packet):
		b.placeUnknown(l, shard, out)
	case r.PeerUnreachable:
		b.drop(out, DropPeerUnreachable)
	case r.ViewsDiffer:
		b.drop(out, DropViewsDiffer)
	default:
		b.forwardToCandidate(l, shard, out)
	}
}

// forwardToCandidate forwards the packet to the target that the flow is
// inferred to be at; without one the flow is lost.
func (b *Balancer) forwardToCandidate(l *lookup, shard *flow.Shard, out *Action) {
	t := b.inferCandidate(l)
	switch {
	case t == nil:
		b.resetLost(l, out)
	case t.crossZone && !l.view.otherZoneReachable:
		b.drop(out, DropPeerUnreachable)
	case t.crossZone:
		b.resetOthers(l, t, out)
		b.forward(t, out)
	case t.owned:
		b.counters.concluded.Add(1)
		b.resetOthers(l, t, out)
		b.adopt(l, shard, t, flow.Inferred, out)
	default:
		l.relay.Stage = packet.StageAdopt
		l.relay.Candidate = t.id
		if !b.relayTo(l, t.owner(), out) {
			b.drop(out, DropPeerUnreachable)
			return
		}
		b.resetOthers(l, t, out)
	}
}

// resetOthers resets the flow at all targets of the service but the chosen one.
// If the flow is at another target, the packet makes the chosen target reset
// the caller, and the connection at the other target must not stay half-open. A
// target without the flow ignores the reset.
func (b *Balancer) resetOthers(l *lookup, chosen *targetView, out *Action) {
	p := l.packet
	if p.Class != packet.Data && p.Class != packet.Closing {
		return
	}
	e := flow.Entry{Seq: nextSeq(p), Ack: p.Ack}
	for _, t := range l.endpoint.service.targets {
		if t != chosen && !t.zoneOut {
			b.addReset(out, resetToTarget(&p.Flow, t, &e))
		}
	}
}

// inferCandidate returns the target that the flow is inferred to be at, nil if
// there is none: the one named by a replica; else the first of the order, since
// flows elsewhere are replicated; else the latest former first target; else any
// target that is not ruled out.
func (b *Balancer) inferCandidate(l *lookup) *targetView {
	r := &l.relay
	named := l.view.byID(r.Candidate)
	usable := l.serves(r.Candidate) && !named.zoneOut
	if usable && r.Excluded&fromReplica != 0 {
		return named
	}
	if first := l.target(0); first != nil && r.Excluded&1 == 0 {
		return first
	}
	for _, index := range l.formerFirsts() {
		if t := l.view.formerTarget(index); t != nil && !l.isRuledOut(t) {
			return t
		}
	}
	if usable && !l.isRuledOut(named) {
		return named
	}
	for i := range orderLen {
		if t := l.target(i); t != nil && r.Excluded&(1<<i) == 0 {
			return t
		}
	}
	return nil
}

// isRuledOut reports whether the flow is known not to be at the target.
func (l *lookup) isRuledOut(t *targetView) bool {
	for i := range orderLen {
		if l.target(i) == t {
			return l.relay.Excluded&(1<<i) != 0
		}
	}
	return false
}

// resetLost resets both ends of a flow that is at no target. While a lost host
// may still be serving, or the view has changed recently, this isn't proven and
// the packet is dropped.
func (b *Balancer) resetLost(l *lookup, out *Action) {
	p := l.packet
	switch {
	case p.Class == packet.Reset || p.Class == packet.ICMPError:
		b.drop(out, DropUnknownFlow)
	case l.view.mayBePartitioned || l.now-l.view.changed < viewSettleTime:
		b.drop(out, DropViewsDiffer)
	default:
		e := flow.Entry{Seq: nextSeq(p), Ack: p.Ack, State: flow.Established, Flags: flow.Payload}
		b.giveUp(l, &e, verdict.CauseLostState, out)
		if first := l.target(0); first != nil {
			b.addReset(out, resetToTarget(&p.Flow, first, &e))
		}
	}
}

// giveUp ends a flow and resets its caller. The request may have run even if
// this host saw no payload, since other hosts may have forwarded some.
func (b *Balancer) giveUp(l *lookup, e *flow.Entry, cause verdict.Cause, out *Action) {
	out.Kind = Refuse
	out.Verdict = verdict.Verdict{Run: verdict.MayHaveRun, Cause: cause, RetryAfter: giveUpRetryAfter}
	if l.packet.AckValid {
		e.Ack = l.packet.Ack
	}
	if l.packet.Flow.Service.Proto == packet.ProtoTCP {
		b.addReset(out, resetToCaller(&l.packet.Flow, e))
	}
	b.counters.countVerdict(out.Verdict)
	l.endpoint.service.counts.broken[cause].Add(1)
}

// giveUpRetryAfter is the retry time for callers of flows that were given up.
const giveUpRetryAfter = time.Second

// addReset adds a reset to the action, unless it is full.
func (b *Balancer) addReset(out *Action, r Reset) {
	if int(out.ResetLen) < len(out.Resets) {
		out.Resets[out.ResetLen] = r
		out.ResetLen++
	}
}

// resetToCaller returns the reset for the caller. Its sequence number is the
// caller's own acknowledgement number, which the caller accepts (RFC 9293,
// section 3.10.7.4).
func resetToCaller(f *packet.Flow, e *flow.Entry) Reset {
	return Reset{Flow: *f, Seq: e.Ack, Ack: e.Seq, AckValid: true}
}

// resetToTarget returns the reset for the target. Its sequence number is the
// caller's next one.
func resetToTarget(f *packet.Flow, t *targetView, e *flow.Entry) Reset {
	return Reset{Flow: *f, ToTarget: true, Dest: t.tunnel, Seq: e.Seq, Ack: e.Ack, AckValid: e.Ack != 0}
}

// mayOpen reports whether the packet may open a flow.
func mayOpen(p *packet.Packet) bool {
	return p.Class == packet.Opening || p.Class == packet.Datagram
}
