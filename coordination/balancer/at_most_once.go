package balancer

import (
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/verdict"
	"github.com/jujubehaven/jujubehaven/state/flow"
)

// duplicateWindow is how long after the packet of a request a duplicate of the
// packet must not run the request again. It is the idle timeout of datagram
// flows.
const duplicateWindow = datagramIdleTimeout

// takeoverWindow is how long after a takeover the new owner drops openings that
// its target does not admit: the former owner may have admitted them just
// before.
const takeoverWindow = time.Second

// atMostOnce reports whether forwarding the packet twice could run a request
// twice: it may open a flow, carries payload and belongs to a service that is
// not idempotent. Such a flow is only placed at the first accepting target of
// its order, so that a host without any state of it can derive its target.
func (l *lookup) atMostOnce() bool {
	return mayOpen(l.packet) && l.packet.PayloadLen > 0 && !l.endpoint.service.idempotent
}

// firstAccepting returns the first target of the order that accepts new flows,
// whether or not its owner is reachable.
func (l *lookup) firstAccepting() *targetView {
	for i := range orderLen {
		t := l.target(i)
		if t == nil || (t.accepting && !t.zoneOut) {
			return t
		}
	}
	return nil
}

// openAtMostOnce queries every host that may have the flow, then lets the owner
// of the first accepting target place it.
func (b *Balancer) openAtMostOnce(l *lookup, shard *flow.Shard, out *Action) {
	if l.relay.Stage == packet.StagePlace {
		b.placeAtMostOnce(l, shard, out)
		return
	}
	b.continueLookup(l, shard, out)
}

// hasPartitionedZone reports whether some target of the service is in a zone
// without a reachable host.
func (l *lookup) hasPartitionedZone() bool {
	for _, t := range l.endpoint.service.targets {
		if t.partitioned {
			return true
		}
	}
	return false
}

// concludeAtMostOnce handles an at-most-once opening whose flow no queried host
// has.
func (b *Balancer) concludeAtMostOnce(l *lookup, shard *flow.Shard, out *Action) {
	r := &l.relay
	first := l.firstAccepting()
	switch {
	case r.ViewsDiffer:
		b.drop(out, DropViewsDiffer)
	case r.PeerUnreachable && !l.hasPartitionedZone():
		// A host was lost recently: its targets will have a new owner when the
		// caller retransmits.
		b.drop(out, DropPeerUnreachable)
	case r.PeerUnreachable:
		b.refuseUnsure(l, out)
	case r.Excluded&fromReplica != 0:
		b.forwardToCandidate(l, shard, out)
	case first == nil:
		b.refuseUnsure(l, out)
	case first.crossZone:
		b.refuseUnsure(l, out)
	case first.owned:
		b.placeAtMostOnce(l, shard, out)
	default:
		r.Stage = packet.StagePlace
		if !b.relayTo(l, first.owner(), out) {
			b.drop(out, DropPeerUnreachable)
		}
	}
}

// placeAtMostOnce places the flow at the first accepting target, or refuses it.
func (b *Balancer) placeAtMostOnce(l *lookup, shard *flow.Shard, out *Action) {
	first := l.firstAccepting()
	if first == nil || !first.owned {
		b.drop(out, DropViewsDiffer)
		return
	}
	if !b.provablyNew(l, first) {
		b.refuseUnsure(l, out)
		return
	}
	d := first.state.admission.Load().AdmitOverShare(l.now)
	switch {
	case d.OK:
		b.place(l, shard, first, out)
	case l.now-time.Duration(first.state.ownedSince.Load()) < takeoverWindow:
		b.drop(out, DropTakingOver)
	case b.hasRecentFlows(l, first):
		b.refuse(l, verdict.CauseNoCapacity, max(d.RetryAfter, refuseRetryAfter), out)
	default:
		b.refuseUnsure(l, out)
	}
}

// markReordered sets the reordered bit in the relay header if this host saw the
// service's orders change within duplicateWindow.
func (l *lookup) markReordered() {
	s := l.endpoint.service
	if s.formerFirsts != nil && l.now-s.changed < duplicateWindow {
		l.relay.Excluded |= reordered
	}
}

// provablyNew reports whether the flow can't be at any target but the first
// accepting one: the targets before it in the order are ruled out and, if the
// orders changed recently, so are the rest of the order and the former first
// targets.
func (b *Balancer) provablyNew(l *lookup, first *targetView) bool {
	l.markReordered()
	changed := l.relay.Excluded&reordered != 0
	for i := range orderLen {
		t := l.target(i)
		if t == nil {
			break
		}
		if t == first && !changed {
			return true
		}
		if t != first && l.relay.Excluded&(1<<i) == 0 {
			return false
		}
	}
	for _, index := range l.formerFirsts() {
		if t := l.view.formerTarget(index); t != nil && t != first && !l.isRuledOut(t) {
			return false
		}
	}
	return true
}

// hasRecentFlows reports whether this host has owned the target long enough to
// have all its flows of the last duplicateWindow in the table.
func (b *Balancer) hasRecentFlows(l *lookup, t *targetView) bool {
	ownedFor := l.now - time.Duration(t.state.ownedSince.Load())
	return t.owned && (t.state.complete.Load() || ownedFor >= duplicateWindow)
}

// refuseUnsure refuses an opening whose request may have run.
func (b *Balancer) refuseUnsure(l *lookup, out *Action) {
	b.refuseWith(l, verdict.Verdict{
		Run: verdict.MayHaveRun, Cause: verdict.CauseUnsure, RetryAfter: refuseRetryAfter,
	}, out)
}
