package balancer

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/peer"
	"github.com/jujubehaven/jujubehaven/state/flow"
)

const (
	// slotStepInterval is the time between the steps of opening slots, so that
	// the successor receives each step before the next.
	slotStepInterval = time.Second
	// slotMultiplier permutes the slots into a target's slot keys;
	// slotMultiplierInverse is its inverse modulo slotCount.
	slotMultiplier        = 2654435761
	slotMultiplierInverse = 244002641
)

// slotAt is the inverse of slotKey.
func slotAt(target uint64, key uint32) uint32 {
	return (key - uint32(target>>32)) * slotMultiplierInverse & (slotCount - 1)
}

// slotProgress is the progress of opening the gated slots of a target. Opening a
// slot makes its flows at other targets ambiguous: a successor could no longer
// derive their target. So slots are opened in three steps: these flows are
// replicated, the slots are announced to the other hosts, the slots are opened.
type slotProgress struct {
	// announced bounds the keys of the announced slots.
	announced uint32
	// changed is the time of the last step.
	changed time.Duration
}

// openGatedSlots advances the opening of the gated slots of owned targets.
// Flows of a slot at other targets owned by this host would become ambiguous
// for its successor, so they are replicated first.
func (b *Balancer) openGatedSlots(now time.Duration, v *view) {
	for _, t := range v.targets {
		st := t.state
		open := st.openSlots.Load()
		if !t.owned || open >= slotCount || now-st.slots.changed < slotStepInterval {
			continue
		}
		st.slots.changed = now
		switch {
		case st.slots.announced > open:
			st.openSlots.Store(st.slots.announced)
			st.preparedSlots.Store(b.prepareSlots(now, v, t, st.slots.announced))
		case st.preparedSlots.Load() > open:
			st.slots.announced = st.preparedSlots.Load()
			st.advertisedSlots.Store(st.slots.announced)
			b.heartbeatNow = true
		default:
			st.preparedSlots.Store(b.prepareSlots(now, v, t, open))
		}
		b.replicator.flushSoon(now)
	}
}

// prepareSlots replicates the flows that become ambiguous when more slots are
// opened, and returns the new bound of prepared slot keys.
func (b *Balancer) prepareSlots(now time.Duration, v *view, t *targetView, from uint32) uint32 {
	if t.owners[1] == 0 {
		return slotCount
	}
	left := b.slotsPerStep()
	for key := from; key < slotCount; key++ {
		slot := slotAt(t.id, key)
		if !t.state.gated.Load().has(slot) {
			continue
		}
		if left == 0 || !b.replicateForSlot(now, v, t, slot) {
			return key
		}
		left--
	}
	return slotCount
}

// unreplicated reports whether the flow is open and no successor has it.
func unreplicated(e *flow.Entry) bool {
	open := e.State == flow.Opening || e.State == flow.Established
	return open && e.Flags&(flow.Replicated|flow.Moved) == 0
}

// slotsPerStep returns how many slots may be prepared in one step, so that the
// other owners of the zone, which hold about as many flows as this host, can
// replicate theirs before the slots open.
func (b *Balancer) slotsPerStep() int {
	const stepLength = 3 * slotStepInterval
	budget := b.cfg.FlowBudget * int(stepLength/time.Millisecond) / 1000 / 3
	flows := budget / (fingerprintWireBytes * (maxOwners - 1))
	perSlot := b.flows.Len()/slotCount + 1
	return max(1, flows/perSlot)
}

// replicateForSlot replicates all flows of the slot that are at another target
// owned by this host; it reports false when the budget is exhausted.
func (b *Balancer) replicateForSlot(now time.Duration, v *view, target *targetView, slot uint32) bool {
	s := b.flows.ShardAt(int(slot % flowShards))
	s.Lock()
	defer s.Unlock()
	done := true
	s.Range(func(k *flow.Key, e *flow.Entry) bool {
		tv := v.targets[e.Target]
		if tv == target || !tv.owned || tv.service != target.service || !unreplicated(e) {
			return true
		}
		hash := b.hashOf(k)
		if slotOf(hash) != slot {
			return true
		}
		if !b.replicate(now, tv, hash, false) {
			done = false
			return false
		}
		e.Flags |= flow.Replicated
		return true
	})
	return done
}

// replicateUrgent replicates flows that were just placed and whose target a
// successor could not derive: those with overBudget at once, the others while
// the budget is idle. Sweeps replicate the rest later.
func (b *Balancer) replicateUrgent(now time.Duration, v *view) {
	for _, u := range b.urgent.take() {
		idle := b.replicator.budget.TokensAt(limiterTime(now)) > b.replicator.idleTokens
		if !u.overBudget && !idle {
			continue
		}
		b.replicatePlaced(now, v, &u)
		if u.overBudget {
			b.replicator.flushSoon(now)
		}
	}
}

// replicatePlaced replicates one flow if it still exists and is not replicated.
func (b *Balancer) replicatePlaced(now time.Duration, v *view, u *urgentFlow) {
	s := b.flows.Shard(u.hash)
	s.Lock()
	defer s.Unlock()
	e := s.Get(&u.key)
	if e == nil || e.Flags&(flow.Replicated|flow.Moved) != 0 {
		return
	}
	tv := v.targets[e.Target]
	switch {
	case !tv.owned:
	case u.overBudget:
		b.replicateOverBudget(now, tv, u.hash)
		e.Flags |= flow.Replicated
	case b.replicate(now, tv, u.hash, false):
		e.Flags |= flow.Replicated
	}
}

// urgentFlow is a flow to replicate soon after it was placed.
type urgentFlow struct {
	key  flow.Key
	hash uint64
	// overBudget is set if the flow is replicated even if the budget is
	// exhausted: the order's first target is about to open the slot, or the
	// flow's target is advertised as closed to it.
	overBudget bool
}

// urgentFlows collects urgent flows from the packet path. It is locked after a
// flow shard.
type urgentFlows struct {
	sync.Mutex
	list []urgentFlow
}

// add queues a flow.
func (u *urgentFlows) add(f urgentFlow) {
	u.Lock()
	u.list = append(u.list, f)
	u.Unlock()
}

// take returns the queued flows and empties the queue.
func (u *urgentFlows) take() []urgentFlow {
	u.Lock()
	defer u.Unlock()
	list := u.list
	u.list = nil
	return list
}

// targetRamps lists the owned targets that have closed slots or are still
// ramping up.
func (b *Balancer) targetRamps(now time.Duration, v *view) []peer.TargetRamp {
	var list []peer.TargetRamp
	if v == nil {
		return nil
	}
	for _, t := range v.targets {
		adm := t.state.admission.Load()
		if !t.owned || adm == nil {
			continue
		}
		ramp := peer.TargetRamp{Target: t.id, OpenSlots: slotCount, ColdPercent: withheldPercent(adm.WarmShare(now))}
		if t.state.openSlots.Load() < slotCount {
			ramp.OpenSlots = t.state.slots.announced
		}
		if ramp.OpenSlots < slotCount || ramp.ColdPercent > 0 || t.state.openSlots.Load() < slotCount {
			list = append(list, ramp)
		}
	}
	return list
}

// recordRamps records the open slots and ramps of the sender's targets, for the
// case that this host takes them over. When slots are about to open, it
// replicates the flows of those slots at targets owned by this host, as they
// become ambiguous.
func (b *Balancer) recordRamps(now time.Duration, hb *peer.Heartbeat) {
	if hb.Documents == b.docsDigest {
		b.resetUnlistedRamps(now, hb)
	}
	for _, s := range hb.Ramps {
		st, ok := b.targetsByID[s.Target]
		if !ok || st.owner != hb.From {
			continue
		}
		before := st.advertisedSlots.Load()
		st.advertisedSlots.Store(s.OpenSlots)
		st.withheldPercent = s.ColdPercent
		b.replicateAnnounced(now, st, before, s.OpenSlots)
	}
}

// replicateAnnounced replicates the flows at targets owned by this host that
// become ambiguous when another host's target opens more slots. The announcing
// host limits the slots of each step, so the future budget covers the flows.
func (b *Balancer) replicateAnnounced(now time.Duration, st *targetState, from, to uint32) {
	v := b.view.Load()
	if v == nil || b.cfg.Replication != ReplicateExceptions {
		return
	}
	for key := from; key < to; key++ {
		slot := slotAt(st.id, key)
		if st.gated.Load().has(slot) {
			b.replicateSlot(now, v, st.last.service.name, slot)
		}
	}
	b.replicator.flushSoon(now)
}

// replicateSlot replicates a service's flows of a slot at targets owned by this
// host.
func (b *Balancer) replicateSlot(now time.Duration, v *view, service string, slot uint32) {
	s := b.flows.ShardAt(int(slot % flowShards))
	s.Lock()
	defer s.Unlock()
	s.Range(func(k *flow.Key, e *flow.Entry) bool {
		tv := v.targets[e.Target]
		if !tv.owned || tv.service.name != service || !unreplicated(e) {
			return true
		}
		hash := b.hashOf(k)
		if slotOf(hash) != slot {
			return true
		}
		b.replicateOverBudget(now, tv, hash)
		e.Flags |= flow.Replicated
		return true
	})
}

// resetUnlistedRamps records all slots as open and the ramp as finished for
// the sender's targets that its heartbeat doesn't list.
func (b *Balancer) resetUnlistedRamps(now time.Duration, hb *peer.Heartbeat) {
	for _, st := range b.targets {
		if st.owner != hb.From || (st.advertisedSlots.Load() >= slotCount && st.withheldPercent == 0) {
			continue
		}
		listed := slices.ContainsFunc(hb.Ramps, func(s peer.TargetRamp) bool { return s.Target == st.id })
		if !listed {
			st.withheldPercent = 0
			before := st.advertisedSlots.Load()
			st.advertisedSlots.Store(slotCount)
			b.replicateAnnounced(now, st, before, slotCount)
		}
	}
}

// withheldPercent returns the share of a target's limits that its ramp withholds,
// in percent; warm is the share that it grants, 0 to 1.
func withheldPercent(warm float64) uint8 {
	const fullPercent = 100
	return uint8(math.Ceil((1 - warm) * fullPercent))
}

// continueRamp continues the ramp of a target whose former owner had not
// finished it.
func (st *targetState) continueRamp(now time.Duration) {
	const fullPercent = 100
	if st.withheldPercent > 0 {
		st.admission.Load().SetWarmShare(now, 1-float64(st.withheldPercent)/fullPercent)
	}
}
