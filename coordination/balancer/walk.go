package balancer

import (
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/verdict"
	"github.com/jujubehaven/jujubehaven/state/flow"
)

// askedOwners is how many of a target's serving hosts are asked about a flow:
// its owner and the one that owned it before the owner joined.
const askedOwners = 2

// walk passes the packet of a flow that this host doesn't know along the hosts
// that may know it, or concludes when all were asked.
func (b *Balancer) walk(l *lookup, shard *flow.Shard, out *Action) {
	b.visit(l)
	if next := b.nextHost(l); next != 0 {
		if !b.relayTo(l, next, out) {
			b.drop(out, DropPeerUnreachable)
		}
		return
	}
	b.conclude(l, shard, out)
}

// visit adds what this host can say about the flow to the relay header.
func (b *Balancer) visit(l *lookup) {
	r := &l.relay
	if r.Stage == packet.StageNone {
		r.Stage = packet.StageLookup
		r.View = l.view.digest
	}
	if r.View != l.view.digest {
		r.ViewsDiffer = true
	}
	r.Visit(b.id)
	b.nameCandidate(l)
	l.noteReorder()
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

// nameCandidate puts into the relay header where this host supposes the flow:
// what it was told, or the target that was the order's first before.
func (b *Balancer) nameCandidate(l *lookup) {
	r := &l.relay
	if r.Excluded&fromReplica != 0 {
		return
	}
	if told := b.replicas.target(l.hash); l.serves(told) {
		r.Candidate = told
		r.Excluded |= fromReplica
		return
	}
	if r.Candidate != 0 {
		return
	}
	for _, index := range l.past() {
		if t := l.view.pastTarget(index); t != nil {
			r.Candidate = t.id
			return
		}
	}
}

// rulesOut reports whether this host, which doesn't know the flow, can say
// that it is not at the target.
func (b *Balancer) rulesOut(l *lookup, t *targetView) bool {
	st := t.state
	if t.mine {
		return st.covers(l.slot) || (l.careful() && b.remembersAll(l, t))
	}
	successor := st.frozenFor.Load()
	if successor == 0 || successor != t.owner() {
		return false
	}
	// What the successor has placed since, it says itself when it is asked.
	return st.frozenWhole.Load() || st.frozenCovered.Load().has(l.slot)
}

// nextHost returns the next host to ask, 0 when all were asked: the hosts of
// the order's first target, of the targets that were first before, of the rest
// of the order, and of the service's other targets.
func (b *Balancer) nextHost(l *lookup) uint32 {
	if int(l.relay.VisitedLen) >= packet.MaxVisited {
		return 0
	}
	if l.view.degraded {
		if host := b.nearHostToAsk(l); host != 0 {
			return host
		}
	}
	if host := b.hostToAsk(l, l.target(0)); host != 0 {
		return host
	}
	for _, index := range l.past() {
		if host := b.hostToAsk(l, l.view.pastTarget(index)); host != 0 {
			return host
		}
	}
	for i := 1; i < orderLen; i++ {
		if host := b.hostToAsk(l, l.target(i)); host != 0 {
			return host
		}
	}
	return b.nextBeyondOrder(l)
}

// nextBeyondOrder returns a host of the service's other targets, which may hold
// a flow that was placed by an order that is no longer in force, 0 if all were
// asked. Openings are not worth it: they can be placed anew.
func (b *Balancer) nextBeyondOrder(l *lookup) uint32 {
	if opens(l.packet) && !l.careful() {
		return 0
	}
	for _, t := range l.endpoint.service.targets {
		if host := b.hostToAsk(l, t); host != 0 {
			return host
		}
	}
	return 0
}

// nearHostToAsk returns a host of this zone that was not asked. While hosts are
// cut off from each other, a packet that left the zone may not find back.
func (b *Balancer) nearHostToAsk(l *lookup) uint32 {
	for i := range orderLen {
		t := l.target(i)
		if t == nil {
			return 0
		}
		for _, host := range [...]uint32{t.owners[0], t.leaver, t.owners[1]} {
			if l.view.hosts[host].near && !l.relay.HasVisited(host) {
				return host
			}
		}
	}
	return 0
}

// hostToAsk returns a host of the target that was not asked, 0 if there is
// none. A host that can't be reached is passed over and noted.
func (b *Balancer) hostToAsk(l *lookup, t *targetView) uint32 {
	r := &l.relay
	if t == nil {
		return 0
	}
	if t.cut {
		r.PeerUnreachable = true
		return 0
	}
	for _, host := range [...]uint32{t.owners[0], t.leaver, t.owners[1]} {
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

// conclude decides about a flow that no asked host knows.
func (b *Balancer) conclude(l *lookup, shard *flow.Shard, out *Action) {
	r := &l.relay
	switch {
	case l.careful():
		b.concludeCarefully(l, shard, out)
	case r.Stage == packet.StageLookup && opens(l.packet):
		b.returnToPlace(l, shard, out)
	case r.PeerUnreachable:
		b.drop(out, DropPeerUnreachable)
	case r.ViewsDiffer:
		b.drop(out, DropViewsDiffer)
	default:
		b.concludeUnknown(l, shard, out)
	}
}

// concludeUnknown forwards the packet to the first target that the flow may be
// at; if there is none the flow is lost.
func (b *Balancer) concludeUnknown(l *lookup, shard *flow.Shard, out *Action) {
	t := b.candidate(l)
	switch {
	case t == nil:
		b.concludeLost(l, out)
	case t.far && !l.view.hearsAway:
		b.drop(out, DropPeerUnreachable)
	case t.far:
		b.resetOthers(l, t, out)
		b.forward(t, out)
	case t.mine:
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

// resetOthers resets the flow at the service's other targets: if it is at one
// of them, the packet forwarded to the chosen target ends the caller's side, and
// the target's must not hang. A target that doesn't have it ignores the reset.
func (b *Balancer) resetOthers(l *lookup, chosen *targetView, out *Action) {
	p := l.packet
	if p.Class != packet.Data && p.Class != packet.Closing {
		return
	}
	e := flow.Entry{Seq: nextSeq(p), Ack: p.Ack}
	for _, t := range l.endpoint.service.targets {
		if t != chosen && !t.out {
			b.addReset(out, resetToTarget(&p.Flow, t, &e))
		}
	}
}

// candidate returns the target that the flow is concluded to be at: the one
// that a host was told of; else the first of the order, since flows elsewhere
// are told of; else the one that was first before; else any that nobody has
// ruled out.
func (b *Balancer) candidate(l *lookup) *targetView {
	r := &l.relay
	named := l.view.byID(r.Candidate)
	usable := l.serves(r.Candidate) && !named.out
	if usable && r.Excluded&fromReplica != 0 {
		return named
	}
	if first := l.target(0); first != nil && r.Excluded&1 == 0 {
		return first
	}
	for _, index := range l.past() {
		if t := l.view.pastTarget(index); t != nil && !l.isCleared(t) {
			return t
		}
	}
	if usable && !l.isCleared(named) {
		return named
	}
	for i := range orderLen {
		if t := l.target(i); t != nil && r.Excluded&(1<<i) == 0 {
			return t
		}
	}
	return nil
}

// isCleared reports whether the flow is known not to be at the target.
func (l *lookup) isCleared(t *targetView) bool {
	for i := range orderLen {
		if l.target(i) == t {
			return l.relay.Excluded&(1<<i) != 0
		}
	}
	return false
}

// concludeLost resets both ends of a flow that is provably at no target. While
// a lost host may still be serving, or the view is new, nothing is proved.
func (b *Balancer) concludeLost(l *lookup, out *Action) {
	p := l.packet
	switch {
	case p.Class == packet.Reset || p.Class == packet.ICMPError:
		b.drop(out, DropUnknownFlow)
	case l.view.perhapsCutOff || l.now-l.view.changed < settleTime:
		b.drop(out, DropViewsDiffer)
	default:
		e := flow.Entry{Seq: nextSeq(p), Ack: p.Ack, State: flow.Established, Flags: flow.Payload}
		b.giveUp(l, &e, verdict.CauseLostState, out)
		if first := l.target(0); first != nil {
			b.addReset(out, resetToTarget(&p.Flow, first, &e))
		}
	}
}

// giveUp ends a flow: the caller is reset at once. Its request may have run even
// if this host saw no payload, since others may have forwarded some.
func (b *Balancer) giveUp(l *lookup, e *flow.Entry, cause verdict.Cause, out *Action) {
	out.Kind = Refuse
	out.Verdict = verdict.Verdict{Run: verdict.MayHaveRun, Cause: cause, RetryAfter: giveUpRetryAfter}
	if l.packet.AckValid {
		e.Ack = l.packet.Ack
	}
	if l.packet.Flow.Service.Proto == packet.ProtoTCP {
		b.addReset(out, resetToCaller(&l.packet.Flow, e))
	}
	b.counters.gaveUp(out.Verdict)
	l.endpoint.service.counts.broken[cause].Add(1)
}

// giveUpRetryAfter is when a caller whose flow was given up may come back.
const giveUpRetryAfter = time.Second

// addReset adds a reset to the action.
func (b *Balancer) addReset(out *Action, r Reset) {
	if int(out.ResetLen) < len(out.Resets) {
		out.Resets[out.ResetLen] = r
		out.ResetLen++
	}
}

// resetToCaller ends the caller's side: its own acknowledgement number is the
// sequence number that it accepts (RFC 9293, section 3.10.7.4).
func resetToCaller(f *packet.Flow, e *flow.Entry) Reset {
	return Reset{Flow: *f, Seq: e.Ack, Ack: e.Seq, AckValid: true}
}

// resetToTarget ends the target's side with the caller's next sequence number.
func resetToTarget(f *packet.Flow, t *targetView, e *flow.Entry) Reset {
	return Reset{Flow: *f, ToTarget: true, Dest: t.tunnel, Seq: e.Seq, Ack: e.Ack, AckValid: e.Ack != 0}
}

// opens reports whether the packet may open a flow.
func opens(p *packet.Packet) bool {
	return p.Class == packet.Opening || p.Class == packet.Datagram
}
