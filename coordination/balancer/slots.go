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
	// slotNotice is the time between the steps of opening slots, so that each
	// is known to the successor before the next.
	slotNotice = time.Second
	// slotOdd spreads a target's slot keys and slotOddInverse undoes it,
	// modulo slotCount.
	slotOdd        = 2654435761
	slotOddInverse = 244002641
)

// slotAt is the inverse of slotKey.
func slotAt(target uint64, key uint32) uint32 {
	return (key - uint32(target>>32)) * slotOddInverse & (slotCount - 1)
}

// slotProgress is how far the opening of a fresh target's slots is. Slots are
// opened in three steps: the successor is told of the flows that would become
// ambiguous, then that the slots are about to open, then they open.
type slotProgress struct {
	announced uint32
	changed   time.Duration
}

// openFreshSlots lets fresh targets accept openings of more slots. Flows of a
// slot that are at other targets owned here would become ambiguous for this
// host's successor, so it is told of them first.
func (b *Balancer) openFreshSlots(now time.Duration, v *view) {
	for _, t := range v.targets {
		st := t.state
		open := st.openSlots.Load()
		if !t.mine || open >= slotCount || now-st.slots.changed < slotNotice {
			continue
		}
		st.slots.changed = now
		switch {
		case st.slots.announced > open:
			st.openSlots.Store(st.slots.announced)
			st.told.Store(b.prepareSlots(now, v, t, st.slots.announced))
		case st.told.Load() > open:
			st.slots.announced = st.told.Load()
			st.rumor.Store(st.slots.announced)
			b.beatNow = true
		default:
			st.told.Store(b.prepareSlots(now, v, t, open))
		}
		b.share.flushSoon(now)
	}
}

// prepareSlots tells the successor of what it must know before more slots are
// opened, and returns the new bound of prepared slots.
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
		if left == 0 || !b.shareSlot(now, v, t, slot) {
			return key
		}
		left--
	}
	return slotCount
}

// untold reports whether the flow goes on and no successor was told of it.
func untold(e *flow.Entry) bool {
	goesOn := e.State == flow.Opening || e.State == flow.Established
	return goesOn && e.Flags&(flow.Replicated|flow.Moved) == 0
}

// slotsPerStep returns how many slots may be prepared in one step, so that the
// other owners of the zone, who hold about as many flows as this host, can tell
// of theirs before the slots open.
func (b *Balancer) slotsPerStep() int {
	const stepLength = 3 * slotNotice
	budget := b.cfg.FlowBudget * int(stepLength/time.Millisecond) / 1000 / 3
	flows := budget / (hashCost * (ownersKept - 1))
	perSlot := b.flows.Len()/slotCount + 1
	return max(1, flows/perSlot)
}

// shareSlot tells the successor of all flows of the slot that are at another
// target owned here; it reports false when the budget did not suffice.
func (b *Balancer) shareSlot(now time.Duration, v *view, fresh *targetView, slot uint32) bool {
	s := b.flows.ShardAt(int(slot % flowShards))
	s.Lock()
	defer s.Unlock()
	done := true
	s.Range(func(k *flow.Key, e *flow.Entry) bool {
		tv := v.targets[e.Target]
		if tv == fresh || !tv.mine || tv.service != fresh.service || !untold(e) {
			return true
		}
		hash := b.hashOf(k)
		if slotOf(hash) != slot {
			return true
		}
		if !b.tellSuccessors(now, tv, hash, false) {
			done = false
			return false
		}
		e.Flags |= flow.Replicated
		return true
	})
	return done
}

// tellUrgent tells successors of flows that were just placed where they would
// not look: at once if the slot is closed at its first target, else while the
// budget has room. A sweep finds the others when they are older.
func (b *Balancer) tellUrgent(now time.Duration, v *view) {
	for _, u := range b.urgent.take() {
		room := b.share.budget.TokensAt(at(now)) > b.share.idle
		if !u.closed && !room {
			continue
		}
		b.tellPlaced(now, v, &u)
		if u.closed {
			b.share.flushSoon(now)
		}
	}
}

// tellPlaced tells of one flow if it is still there and was not told of.
func (b *Balancer) tellPlaced(now time.Duration, v *view, u *urgentFlow) {
	s := b.flows.Shard(u.hash)
	s.Lock()
	defer s.Unlock()
	e := s.Get(&u.key)
	if e == nil || e.Flags&(flow.Replicated|flow.Moved) != 0 {
		return
	}
	tv := v.targets[e.Target]
	switch {
	case !tv.mine:
	case u.closed:
		b.tellSuccessorsAhead(now, tv, u.hash)
		e.Flags |= flow.Replicated
	case b.tellSuccessors(now, tv, u.hash, false):
		e.Flags |= flow.Replicated
	}
}

// urgentFlow is a flow that its target's successors should know of soon.
type urgentFlow struct {
	key  flow.Key
	hash uint64
	// closed is set when the order's first target was closed to the slot.
	closed bool
}

// urgentFlows collects urgent flows from the packet path. Its lock comes after
// a shard's.
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

// take returns the queued flows and forgets them.
func (u *urgentFlows) take() []urgentFlow {
	u.Lock()
	defer u.Unlock()
	list := u.list
	u.list = nil
	return list
}

// shares lists the owned targets that do not accept all their slots yet, or
// whose ramp is not over.
func (b *Balancer) shares(now time.Duration, v *view) []peer.TargetRamp {
	var list []peer.TargetRamp
	if v == nil {
		return nil
	}
	for _, t := range v.targets {
		adm := t.state.admission.Load()
		if !t.mine || adm == nil {
			continue
		}
		share := peer.TargetRamp{Target: t.id, OpenSlots: slotCount, ColdPercent: coldPercent(adm.WarmShare(now))}
		if t.state.openSlots.Load() < slotCount {
			share.OpenSlots = t.state.slots.announced
		}
		if share.OpenSlots < slotCount || share.ColdPercent > 0 || t.state.openSlots.Load() < slotCount {
			list = append(list, share)
		}
	}
	return list
}

// hearShares records how far the sender's fresh targets are, for the case that
// this host succeeds it. When slots are about to open, the flows of those slots
// at targets owned here are told to successors, as they become ambiguous.
func (b *Balancer) hearShares(now time.Duration, hb *peer.Heartbeat) {
	if hb.Documents == b.docsDigest {
		b.forgetRumors(now, hb)
	}
	for _, s := range hb.Ramps {
		st, ok := b.targetsByID[s.Target]
		if !ok || st.owner != hb.From {
			continue
		}
		before := st.rumor.Load()
		st.rumor.Store(s.OpenSlots)
		st.cold = s.ColdPercent
		b.tellAnnounced(now, st, before, s.OpenSlots)
	}
}

// tellAnnounced tells successors of the flows at targets owned here that become
// ambiguous when another host's fresh target opens more slots. The opening host
// paces its steps, so the budget of the time to come covers it.
func (b *Balancer) tellAnnounced(now time.Duration, fresh *targetState, from, to uint32) {
	v := b.view.Load()
	if v == nil || b.cfg.Sharing != ShareExceptions {
		return
	}
	for key := from; key < to; key++ {
		slot := slotAt(fresh.id, key)
		if fresh.gated.Load().has(slot) {
			b.tellSlot(now, v, fresh.last.service.name, slot)
		}
	}
	b.share.flushSoon(now)
}

// tellSlot tells successors of a service's flows of a slot at targets owned
// here.
func (b *Balancer) tellSlot(now time.Duration, v *view, service string, slot uint32) {
	s := b.flows.ShardAt(int(slot % flowShards))
	s.Lock()
	defer s.Unlock()
	s.Range(func(k *flow.Key, e *flow.Entry) bool {
		tv := v.targets[e.Target]
		if !tv.mine || tv.service.name != service || !untold(e) {
			return true
		}
		hash := b.hashOf(k)
		if slotOf(hash) != slot {
			return true
		}
		b.tellSuccessorsAhead(now, tv, hash)
		e.Flags |= flow.Replicated
		return true
	})
}

// forgetRumors opens all slots of the sender's targets that it doesn't list.
func (b *Balancer) forgetRumors(now time.Duration, hb *peer.Heartbeat) {
	for _, st := range b.targets {
		if st.owner != hb.From || (st.rumor.Load() >= slotCount && st.cold == 0) {
			continue
		}
		listed := slices.ContainsFunc(hb.Ramps, func(s peer.TargetRamp) bool { return s.Target == st.id })
		if !listed {
			st.cold = 0
			before := st.rumor.Load()
			st.rumor.Store(slotCount)
			b.tellAnnounced(now, st, before, slotCount)
		}
	}
}

// coldPercent is the part of a target's limits that its ramp withholds.
func coldPercent(warm float64) uint8 {
	const whole = 100
	return uint8(math.Ceil((1 - warm) * whole))
}

// continueRamp goes on with the ramp of a target that was taken over from an
// owner who had not finished it.
func (st *targetState) continueRamp(now time.Duration) {
	const whole = 100
	if st.cold > 0 {
		st.admission.Load().SetWarmShare(now, 1-float64(st.cold)/whole)
	}
}
