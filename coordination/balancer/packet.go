package balancer

import (
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/verdict"
	"github.com/jujubehaven/jujubehaven/state/flow"
)

// movedEntryTTL is how long the entry of a handed-over flow is kept, to relay
// packets that arrive during the handover.
const movedEntryTTL = 5 * time.Second

// lookup holds one packet and the state derived from it.
type lookup struct {
	now      time.Duration
	view     *view
	packet   *packet.Packet
	endpoint *endpointView
	order    *order
	hash     uint64
	slot     uint32
	key      flow.Key
	relay    packet.Relay
	// tried is set once this host has tried to place the flow.
	tried bool
}

// target returns the i-th target of the flow's order, nil past its end.
func (l *lookup) target(i int) *targetView {
	pos := l.order[i]
	if pos == noTarget {
		return nil
	}
	return l.endpoint.service.targets[pos]
}

// serves reports whether the target with the ID belongs to the packet's service.
func (l *lookup) serves(id uint64) bool {
	t := l.view.byID(id)
	return t != nil && t.service.name == l.endpoint.service.name
}

// formerFirsts returns the former first targets of the flow's order, latest
// first, as target indices plus one.
func (l *lookup) formerFirsts() []uint32 {
	s := l.endpoint.service
	if s.formerFirsts == nil {
		return nil
	}
	return s.formerFirsts[l.slot][:]
}

// formerTarget returns the target of an entry of formerFirsts, nil if there is
// none or its zone is out.
func (v *view) formerTarget(index uint32) *targetView {
	if index == 0 || int(index) > len(v.targets) {
		return nil
	}
	if t := v.targets[index-1]; !t.zoneOut {
		return t
	}
	return nil
}

// HandlePacket decides about one packet. in is the relay header of a packet
// from another host; it is nil or of StageNone for a packet from the fabric.
// Calls for different flows may run concurrently. Resets[:ResetLen] of the
// action must be sent whatever its kind.
func (b *Balancer) HandlePacket(now time.Duration, p *packet.Packet, in *packet.Relay, out *Action) {
	out.clear()
	v := b.view.Load()
	if v == nil || len(v.services) == 0 || now-time.Duration(b.lastTick.Load()) > maxTickGap {
		b.drop(out, DropNotReady)
		return
	}
	ep := v.endpoints[p.Flow.Service]
	if ep == nil {
		b.drop(out, DropNoService)
		return
	}
	l := lookup{now: now, view: v, packet: p, endpoint: ep, hash: p.Flow.Hash()}
	l.slot = slotOf(l.hash)
	l.order = &ep.service.orders[l.slot]
	l.key = flow.Key{Caller: p.Flow.Caller, Endpoint: ep.index, Port: p.Flow.CallerPort}
	if in != nil {
		l.relay = *in
	}
	b.decide(&l, out)
}

// decide forwards packets of known flows and starts or continues the lookup of
// others.
func (b *Balancer) decide(l *lookup, out *Action) {
	shard := b.flows.Shard(l.hash)
	shard.Lock()
	defer shard.Unlock()
	e := shard.Get(&l.key)
	if e != nil && e.Flags&flow.Moved != 0 && sinceTicks(l.now, e.Since) > movedEntryTTL {
		shard.Delete(&l.key)
		e = nil
	}
	if e != nil {
		b.handleKnown(l, shard, e, out)
		return
	}
	if l.relay.Stage == packet.StageAdopt {
		b.adoptCandidate(l, shard, out)
		return
	}
	if l.packet.Class == packet.Opening || l.packet.Class == packet.Datagram {
		b.openFlow(l, shard, out)
		return
	}
	b.continueLookup(l, shard, out)
}

// handleKnown handles a packet of a flow in the table.
func (b *Balancer) handleKnown(l *lookup, shard *flow.Shard, e *flow.Entry, out *Action) {
	tv := l.view.targets[e.Target]
	if e.State == flow.GivenUp {
		b.giveUp(l, e, verdict.CauseZoneOut, out)
		return
	}
	if tv.service.name != l.endpoint.service.name {
		b.handleFormerService(l, shard, tv, e, out)
		return
	}
	if tv.zoneOut {
		b.handleZoneOut(l, shard, tv, e, out)
		return
	}
	if l.packet.Class == packet.Opening && b.reopen(l, shard, tv, e, out) {
		return
	}
	owner := tv.owner()
	// A flow that was handed over to this host stays here even if this host's
	// view names another owner; otherwise two hosts with different views could
	// relay the packet back and forth.
	handedOver := l.relay.Stage == packet.StageAdopt
	if tv.owned || tv.removed || owner == 0 || handedOver {
		b.forwardKnown(l, tv, e, out)
		return
	}
	b.handOver(l, tv, e, out)
}

// handleFormerService ends a flow whose address has moved to another service.
// An opening is placed as a flow of the new service.
func (b *Balancer) handleFormerService(l *lookup, shard *flow.Shard, tv *targetView, e *flow.Entry, out *Action) {
	b.release(tv, l.now, e)
	entry := *e
	shard.Delete(&l.key)
	if mayOpen(l.packet) {
		b.openFlow(l, shard, out)
		return
	}
	b.giveUp(l, &entry, verdict.CauseTargetGone, out)
	if l.packet.Flow.Service.Proto == packet.ProtoTCP {
		b.addReset(out, resetToTarget(&l.packet.Flow, tv, &entry))
	}
}

// handleZoneOut gives up a flow whose target's zone is out. An opening is
// placed elsewhere if its request can't have run.
func (b *Balancer) handleZoneOut(l *lookup, shard *flow.Shard, tv *targetView, e *flow.Entry, out *Action) {
	b.release(tv, l.now, e)
	if b.mayRunTwice(l, tv, e) {
		e.State = flow.GivenUp
		e.LastSeen = ticks(l.now)
		b.giveUp(l, e, verdict.CauseZoneOut, out)
		return
	}
	entry := *e
	shard.Delete(&l.key)
	if mayOpen(l.packet) {
		b.openFlow(l, shard, out)
		return
	}
	b.giveUp(l, &entry, verdict.CauseZoneOut, out)
}

// mayRunTwice reports whether placing the packet at another target could run a
// request of a non-idempotent service twice.
func (b *Balancer) mayRunTwice(l *lookup, tv *targetView, e *flow.Entry) bool {
	ended := e.State == flow.Closing || e.State == flow.Reset
	carriesRequest := mayOpen(l.packet) && l.packet.PayloadLen > 0
	return carriesRequest && !ended && e.Flags&flow.Payload != 0 && !tv.service.idempotent
}

// reopen handles an opening that reuses the addresses and ports of an ended
// flow; it reports false if the flow has not ended. The new flow is placed at the
// same target, which may still hold the old connection, unless this host does
// not own the target or the target does not admit the flow.
func (b *Balancer) reopen(l *lookup, shard *flow.Shard, tv *targetView, e *flow.Entry, out *Action) bool {
	if e.State != flow.Closing && e.State != flow.Reset {
		return false
	}
	b.release(tv, l.now, e)
	tv.service.counts.ended.Add(1)
	shard.Delete(&l.key)
	if tv.owned && tv.accepting && b.admit(l.now, tv) {
		b.place(l, shard, tv, out)
		return true
	}
	b.openFlow(l, shard, out)
	return true
}

// handOver relays the packet of a known flow to the new owner of its target.
func (b *Balancer) handOver(l *lookup, tv *targetView, e *flow.Entry, out *Action) {
	l.relay.Stage = packet.StageAdopt
	l.relay.Candidate = tv.id
	if !b.relayTo(l, tv.owner(), out) {
		b.drop(out, DropPeerUnreachable)
		return
	}
	if e.Flags&flow.Moved == 0 {
		b.release(tv, l.now, e)
		e.Flags |= flow.Moved
		e.Since = ticks(l.now)
		b.counters.handedOver.Add(1)
	}
}

// forwardKnown updates the flow and forwards the packet to its target.
func (b *Balancer) forwardKnown(l *lookup, tv *targetView, e *flow.Entry, out *Action) {
	p := l.packet
	adm := tv.state.admission.Load()
	if p.PayloadLen > 0 {
		e.Flags |= flow.Payload
	}
	switch p.Class {
	case packet.Opening:
		if e.State == flow.Opening && adm != nil {
			adm.Retransmitted(l.now)
		}
	case packet.Data, packet.Closing:
		b.recordProgress(l, tv, e)
		if p.Class == packet.Closing {
			e.State = flow.Closing
		}
	case packet.Datagram:
		b.establish(l.now, tv, e)
	case packet.Reset:
		b.release(tv, l.now, e)
		e.State = flow.Reset
		e.Since = ticks(l.now)
	case packet.ICMPError:
	}
	e.LastSeen = ticks(l.now)
	b.forward(tv, out)
}

// recordProgress records the caller's sequence and acknowledgement numbers, or
// counts a retransmission.
func (b *Balancer) recordProgress(l *lookup, tv *targetView, e *flow.Entry) {
	p := l.packet
	b.establish(l.now, tv, e)
	next := nextSeq(p)
	stalled := p.PayloadLen > 0 && next == e.Seq && p.Ack == e.Ack && e.State != flow.Opening
	if stalled {
		if e.Retries < maxRetries {
			e.Retries++
		}
		return
	}
	tv.state.lastProgress.Store(int64(l.now))
	e.Retries = 0
	e.Since = ticks(l.now)
	e.Seq = next
	if p.AckValid {
		e.Ack = p.Ack
	}
}

// maxRetries caps the retransmission count of a flow, which is 8 bits wide.
const maxRetries = 250

// nextSeq returns the sequence number that follows the packet.
func nextSeq(p *packet.Packet) uint32 {
	next := p.Seq + uint32(p.PayloadLen)
	if p.Class == packet.Opening || p.Class == packet.Closing {
		next++
	}
	return next
}

// establish marks the flow as established: the target has answered its opening.
func (b *Balancer) establish(now time.Duration, tv *targetView, e *flow.Entry) {
	if e.State != flow.Opening {
		return
	}
	e.State = flow.Established
	if adm := tv.state.admission.Load(); adm != nil && e.Flags&flow.Counted != 0 {
		adm.Established(now, sinceTicks(now, e.Since))
	}
}

// release removes the flow from the counts of its target.
func (b *Balancer) release(tv *targetView, now time.Duration, e *flow.Entry) {
	adm := tv.state.admission.Load()
	if e.Flags&flow.Counted == 0 || adm == nil {
		return
	}
	e.Flags &^= flow.Counted
	if e.State == flow.Opening {
		adm.Abandoned(now)
		return
	}
	adm.Ended(now, true)
}

// adoptCandidate records a flow that another host handed over with its target,
// the candidate, or inferred to be at the candidate.
func (b *Balancer) adoptCandidate(l *lookup, shard *flow.Shard, out *Action) {
	tv := l.view.byID(l.relay.Candidate)
	if !l.serves(l.relay.Candidate) {
		b.drop(out, DropViewsDiffer)
		return
	}
	if tv.zoneOut {
		b.drop(out, DropUnknownFlow)
		return
	}
	b.adopt(l, shard, tv, 0, out)
}

// adopt records an established flow at a target and forwards its packet.
func (b *Balancer) adopt(l *lookup, shard *flow.Shard, tv *targetView, flags flow.Flags, out *Action) {
	if l.packet.Class == packet.Reset || l.packet.Class == packet.ICMPError {
		b.forward(tv, out)
		return
	}
	at := ticks(l.now)
	e := flow.Entry{
		Target:   tv.index,
		Since:    at,
		LastSeen: at,
		State:    flow.Established,
		Flags:    flags | flow.Payload,
	}
	if adm := tv.state.admission.Load(); adm != nil && tv.owned {
		adm.Adopt(l.now)
		e.Flags |= flow.Counted
	}
	b.counters.adopted.Add(1)
	b.forwardKnown(l, tv, &e, out)
	shard.Insert(&l.key, &e)
}

// byID returns a target by its ID, nil if the view has none.
func (v *view) byID(id uint64) *targetView {
	return v.ids[id]
}

// forward sends the packet to a target.
func (b *Balancer) forward(tv *targetView, out *Action) {
	out.Kind = Forward
	out.Dest = tv.tunnel
	out.Target = tv.id
	b.counters.forwarded.Add(1)
}

// drop discards the packet without a reply.
func (b *Balancer) drop(out *Action, cause DropCause) {
	out.Kind = Drop
	out.Drop = cause
	b.counters.drops[cause].Add(1)
}

// relayTo relays the packet to another host, directly or through an
// intermediate host; it reports false if neither is reachable.
func (b *Balancer) relayTo(l *lookup, host uint32, out *Action) bool {
	route, ok := l.view.hosts[host]
	if !ok || route.next == 0 {
		return false
	}
	if route.next != host && l.relay.HasVisited(route.next) {
		return false
	}
	out.Kind = RelayTo
	out.Host = route.next
	out.Dest = route.dest
	out.Relay = l.relay
	b.counters.relayed.Add(1)
	return true
}
