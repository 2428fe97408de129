package balancer

import (
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/verdict"
	"github.com/jujubehaven/jujubehaven/state/flow"
)

// carefulMemory is how long after a request's packet a copy of it is kept from
// running a second time. It is the idle time of datagram flows.
const carefulMemory = datagramIdleTimeout

// takeOverTime is how long after taking a target over its owner holds openings
// back, for those that the former owner admitted last.
const takeOverTime = time.Second

// careful reports whether forwarding the packet twice could run a request twice:
// it opens a flow, carries payload and belongs to a service that is not
// idempotent. Such a flow is only ever placed at the first accepting target of
// its order, so that a host that knows nothing of it can tell where it would be.
func (l *lookup) careful() bool {
	return opens(l.packet) && l.packet.PayloadLen > 0 && !l.endpoint.service.idempotent
}

// firstAccepting returns the first target of the order that accepts new flows,
// whether its owner can be reached or not.
func (l *lookup) firstAccepting() *targetView {
	for i := range orderLen {
		t := l.target(i)
		if t == nil || (t.accepting && !t.out) {
			return t
		}
	}
	return nil
}

// openCarefully asks every host that may know the flow, then has the owner of
// the first accepting target place it.
func (b *Balancer) openCarefully(l *lookup, shard *flow.Shard, out *Action) {
	if l.relay.Stage == packet.StagePlace {
		b.placeCarefully(l, shard, out)
		return
	}
	b.walk(l, shard, out)
}

// seesCut reports whether a zone of the service has no host that is heard.
func (l *lookup) seesCut() bool {
	for _, t := range l.endpoint.service.targets {
		if t.cut {
			return true
		}
	}
	return false
}

// concludeCarefully decides about an opening with payload that no asked host
// knows.
func (b *Balancer) concludeCarefully(l *lookup, shard *flow.Shard, out *Action) {
	r := &l.relay
	first := l.firstAccepting()
	switch {
	case r.ViewsDiffer:
		b.drop(out, DropViewsDiffer)
	case r.PeerUnreachable && !l.seesCut():
		// A host has just fallen silent: the caller's next copy comes when its
		// targets have a new owner.
		b.drop(out, DropPeerUnreachable)
	case r.PeerUnreachable:
		b.refuseUnsure(l, out)
	case r.Excluded&fromReplica != 0:
		b.concludeUnknown(l, shard, out)
	case first == nil:
		b.refuseUnsure(l, out)
	case first.far:
		b.refuseUnsure(l, out)
	case first.mine:
		b.placeCarefully(l, shard, out)
	default:
		r.Stage = packet.StagePlace
		if !b.relayTo(l, first.owner(), out) {
			b.drop(out, DropPeerUnreachable)
		}
	}
}

// placeCarefully places the flow at the first accepting target, or refuses it.
func (b *Balancer) placeCarefully(l *lookup, shard *flow.Shard, out *Action) {
	first := l.firstAccepting()
	if first == nil || !first.mine {
		b.drop(out, DropViewsDiffer)
		return
	}
	if !b.surelyNew(l, first) {
		b.refuseUnsure(l, out)
		return
	}
	d := first.state.admission.Load().AdmitOverShare(l.now)
	switch {
	case d.OK:
		b.place(l, shard, first, out)
	case l.now-time.Duration(first.state.since.Load()) < takeOverTime:
		b.drop(out, DropTakingOver)
	case b.remembersAll(l, first):
		b.refuse(l, verdict.CauseNoCapacity, max(d.RetryAfter, refuseRetryAfter), out)
	default:
		b.refuseUnsure(l, out)
	}
}

// noteReorder adds to the relay header whether this host saw the order change
// lately.
func (l *lookup) noteReorder() {
	s := l.endpoint.service
	if s.past != nil && l.now-s.changed < carefulMemory {
		l.relay.Excluded |= reordered
	}
}

// surelyNew reports whether the flow can be at no target but the first
// accepting one: those before it in the order have been ruled out and, if the
// order changed lately, so have all others that may have been first.
func (b *Balancer) surelyNew(l *lookup, first *targetView) bool {
	l.noteReorder()
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
	for _, index := range l.past() {
		if t := l.view.pastTarget(index); t != nil && t != first && !l.isCleared(t) {
			return false
		}
	}
	return true
}

// remembersAll reports whether this host has owned the target for so long that
// it knows all its flows of the time within which copies come.
func (b *Balancer) remembersAll(l *lookup, t *targetView) bool {
	owned := l.now - time.Duration(t.state.since.Load())
	return t.mine && (t.state.whole.Load() || owned >= carefulMemory)
}

// refuseUnsure refuses a request that may have run.
func (b *Balancer) refuseUnsure(l *lookup, out *Action) {
	b.refuseAs(l, verdict.Verdict{
		Run: verdict.MayHaveRun, Cause: verdict.CauseUnsure, RetryAfter: refuseRetryAfter,
	}, out)
}
