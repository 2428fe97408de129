package balancer

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/admission"
	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// minOwnershipTime is how long a host must have owned a target, as seen from
// this host, to count as having placed flows there. When all hosts start at
// once, owners change faster than that.
const minOwnershipTime = time.Second

// targetState is the state of a target that this process keeps across views.
type targetState struct {
	// index numbers the targets of this process in the order of their first
	// use; it differs between hosts.
	index uint32
	id    uint64
	// admission is nil unless this host has owned the target.
	admission atomic.Pointer[admission.Target]
	// complete is set while every flow at the target is in this host's table,
	// because the host has owned it since it had no flows.
	complete atomic.Bool
	// covered are the slots for which this host has placed every flow that the
	// target received as the first target of the slot.
	covered atomic.Pointer[slotSet]
	// gated are the slots that the target gained by the latest change and that
	// are opened in steps. openSlots bounds the keys of the open ones, see
	// slotKey; it is slotCount when all are open.
	gated atomic.Pointer[slotSet]
	// preparedSlots bounds the keys of the slots that are open or about to
	// open: the flows that become ambiguous are replicated.
	preparedSlots atomic.Uint32
	openSlots     atomic.Uint32
	// advertisedSlots bounds the keys of the slots that may be open according
	// to the owner's last announcement.
	advertisedSlots atomic.Uint32
	// lastProgress is when a flow at the target last made progress, in
	// nanoseconds.
	lastProgress atomic.Int64
	// ownedSince is when this host became the target's owner, in nanoseconds.
	ownedSince atomic.Int64

	// The balancer's mutex guards the remaining fields; the packet path reads
	// handedTo, completeAtHandover and coveredAtHandover without it.
	last   *targetView
	config admission.Config
	owner  uint32
	// ownerSince is when the current owner became the owner. inherited is set
	// if this host owns the target and may lack flows of a former owner.
	ownerSince time.Duration
	inherited  bool
	// handedTo is the host that took the target over from this one, zero when
	// the table can't rule out flows at the target any more. completeAtHandover
	// and coveredAtHandover are the values of complete and covered at that
	// time.
	handedTo           atomic.Uint32
	completeAtHandover atomic.Bool
	coveredAtHandover  atomic.Pointer[slotSet]
	wasOut             bool
	seen               bool
	// withheldPercent is the share of the target's limits that its ramp
	// withholds, in percent, as last advertised by its owner.
	withheldPercent uint8
	// successors receive the replicated flows of the target.
	successors [maxOwners - 1]uint32
	// ownerPair holds the owner and its successor in the latest view.
	ownerPair [queriedOwners]uint32
	// staleShards counts the shards in which flows still have to be marked as
	// not replicated, since the successors changed.
	staleShards atomic.Int32
	// slots is the progress of opening the gated slots.
	slots slotProgress
}

// slotKey orders a service's slots for a target; gated slots with a key below
// openSlots are open.
func slotKey(target uint64, slot uint32) uint32 {
	return (slot*slotMultiplier + uint32(target>>32)) & (slotCount - 1)
}

// slotOpen reports whether the target accepts openings of the slot.
func (st *targetState) slotOpen(slot uint32) bool {
	return !st.gated.Load().has(slot) || slotKey(st.id, slot) < st.openSlots.Load()
}

// slotPrepared reports whether the slot is closed and the flows of the slot at
// other targets are replicated.
func (st *targetState) slotPrepared(slot uint32) bool {
	return !st.slotOpen(slot) && slotKey(st.id, slot) < st.preparedSlots.Load()
}

// covers reports whether every flow of the slot at the target is in the table
// or in the replicas.
func (st *targetState) covers(slot uint32) bool {
	return st.complete.Load() || st.covered.Load().has(slot)
}

// slotAdvertisedClosed reports whether the target's owner has advertised that
// the target accepts no openings of the slot yet.
func (st *targetState) slotAdvertisedClosed(slot uint32) bool {
	return st.gated.Load().has(slot) && slotKey(st.id, slot) >= st.advertisedSlots.Load()
}

// admissionConfig returns the admission settings of a target.
func admissionConfig(id uint64, t *document.Target) admission.Config {
	return admission.Config{
		ID:       id,
		Limits:   t.Limits,
		Ramp:     t.Ramp,
		Draining: t.State == document.TargetDraining,
	}
}

// internTarget returns the state of a target, created on first use.
func (b *Balancer) internTarget(id uint64) *targetState {
	if st, ok := b.targetsByID[id]; ok {
		return st
	}
	st := &targetState{index: uint32(len(b.targets)), id: id}
	st.openSlots.Store(slotCount)
	st.advertisedSlots.Store(slotCount)
	b.targets = append(b.targets, st)
	b.targetsByID[id] = st
	return st
}

// internEndpoint returns the index of an endpoint in this process, assigned on
// first use.
func (b *Balancer) internEndpoint(ep packet.Endpoint) uint32 {
	if i, ok := b.endpointIndex[ep]; ok {
		return i
	}
	i := uint32(len(b.endpoints))
	b.endpoints = append(b.endpoints, ep)
	b.endpointIndex[ep] = i
	return i
}

// updateOwnership records which targets this host gains and loses in a new
// view.
func (b *Balancer) updateOwnership(now time.Duration, v *view) {
	// A target that appears after documents were in force has been added; one
	// in the first documents may have flows already.
	old := b.view.Load()
	hadDocuments := old != nil && len(old.services) > 0
	gained := make(map[uint32]bool)
	for _, t := range v.targets {
		st := t.state
		fresh := (!st.seen && hadDocuments) || (st.wasOut && !t.zoneOut)
		if fresh {
			st.withheldPercent = withheldPercent(0)
		}
		if fresh && b.cfg.Replication == ReplicateExceptions {
			st.advertisedSlots.Store(0)
		}
		switch {
		case t.owned && st.owner != b.id:
			b.takeOwnership(now, t, fresh)
			gained[t.index] = true
		case t.owned && fresh:
			b.takeOwnership(now, t, true)
			gained[t.index] = true
		case t.owned:
			if adm := st.admission.Load(); adm != nil {
				adm.Update(now, st.config)
			}
		case st.owner == b.id:
			st.handedTo.Store(t.owner())
			st.completeAtHandover.Store(st.complete.Load())
			st.coveredAtHandover.Store(st.covered.Load())
			st.complete.Store(false)
			st.covered.Store(nil)
			// The new owner lacks the flows that the successors have.
			st.staleShards.Store(flowShards)
		case st.handedTo.Load() != t.owner():
			st.handedTo.Store(0)
		}
		if successors := [maxOwners - 1]uint32(t.owners[1:]); t.owned && st.successors != successors {
			st.successors = successors
			st.staleShards.Store(flowShards)
		}
		b.requestBackfill(st, [queriedOwners]uint32{t.owners[0], t.owners[1]})
		if st.owner != t.owner() {
			st.owner = t.owner()
			st.ownerSince = now
		}
		st.wasOut = t.zoneOut
		st.seen = true
	}
	b.recountFlows(now, gained, v)
}

// requestBackfill requests backfills for hosts that became a target's owner or
// successor: they may lack flows that this host holds replicas of.
func (b *Balancer) requestBackfill(st *targetState, pair [queriedOwners]uint32) {
	if pair == st.ownerPair {
		return
	}
	for _, host := range pair {
		known := host == 0 || host == b.id || slices.Contains(st.ownerPair[:], host)
		if !known && st.ownerPair[0] != 0 {
			b.backfill.requests = append(b.backfill.requests, backfillRequest{target: st.id, to: host})
		}
	}
	st.ownerPair = pair
}

// closedSlots returns the slots that the target's former owner never opened and
// of which the target is not a former first target: it received no flow as the
// first target of them.
func (st *targetState) closedSlots(former *formerFirsts) *slotSet {
	var closed slotSet
	for slot := range uint32(slotCount) {
		if st.slotAdvertisedClosed(slot) {
			closed.add(slot)
		}
	}
	closed.removeAll(former.slotsOf(st.index))
	return &closed
}

// takeOwnership makes this host the owner of a target. A fresh target has no
// flows, so the table is complete for it from the start. A target whose former
// owner had not opened all slots has no flows of the closed ones.
func (b *Balancer) takeOwnership(now time.Duration, t *targetView, fresh bool) {
	st := t.state
	st.admission.Store(admission.NewTarget(now, st.config, fresh, b.cfg.Seed^st.id))
	if !fresh {
		st.continueRamp(now)
		st.admission.Load().SetRetained(now, b.inheritedFlows(now, t))
	}
	st.inherited = !fresh && st.owner != 0 && now-st.ownerSince >= minOwnershipTime
	st.complete.Store(fresh)
	st.covered.Store(st.closedSlots(t.service.formerFirsts))
	st.handedTo.Store(0)
	st.ownedSince.Store(int64(now))
	switch {
	case fresh && b.cfg.Replication == ReplicateExceptions:
		st.openSlots.Store(0)
		st.slots = slotProgress{}
		st.preparedSlots.Store(0)
	default:
		advertised := st.advertisedSlots.Load()
		st.openSlots.Store(advertised)
		st.slots = slotProgress{announced: advertised}
		st.preparedSlots.Store(advertised)
	}
}
