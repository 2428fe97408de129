package balancer

import "slices"

// slotSet is a set of a service's slots.
type slotSet [slotCount / 64]uint64

// has reports whether the slot is in the set; a nil set is empty.
func (s *slotSet) has(slot uint32) bool {
	return s != nil && s[slot/64]&(1<<(slot%64)) != 0
}

// add adds the slot to the set.
func (s *slotSet) add(slot uint32) {
	s[slot/64] |= 1 << (slot % 64)
}

// union returns a new set with the slots of both sets; either may be nil.
func (s *slotSet) union(other *slotSet) *slotSet {
	var sum slotSet
	if s != nil {
		sum = *s
	}
	if other != nil {
		for i := range sum {
			sum[i] |= other[i]
		}
	}
	return &sum
}

// removeAll removes the slots of another set from this one.
func (s *slotSet) removeAll(other *slotSet) {
	for i := range s {
		s[i] &^= other[i]
	}
}

// gainedSlots is the effect of changed orders on one target. promoted are the
// slots in whose order it moved ahead of another target; contested are those in
// which it moved ahead of the former first target, which stays in the order and
// is in the same zone: if the hosts of the zone fail, flows at the two targets
// can't be told apart.
type gainedSlots struct {
	promoted, contested slotSet
}

// compareOrders returns the slots that each target gained by a change of a
// service's orders, by target ID.
func compareOrders(before, after *serviceDoc) map[uint64]*gainedSlots {
	gained := make(map[uint64]*gainedSlots)
	oldIDs, newIDs := before.targetIDs(), after.targetIDs()
	zones := after.zonesByID(newIDs)
	for slot := range uint32(slotCount) {
		from := before.orders[slot].ids(oldIDs)
		to := after.orders[slot].ids(newIDs)
		if from == to {
			continue
		}
		for i, id := range to {
			if id == 0 || !movedAhead(&from, &to, i) {
				continue
			}
			g := gained[id]
			if g == nil {
				g = &gainedSlots{}
				gained[id] = g
			}
			g.promoted.add(slot)
			if slices.Contains(to[i+1:], from[0]) && zones[id] == zones[from[0]] {
				g.contested.add(slot)
			}
		}
	}
	return gained
}

// movedAhead reports whether the i-th target of an order was behind one of the
// targets that follow it, or not in the order at all.
func movedAhead(from, to *[orderLen]uint64, i int) bool {
	was := slices.Index(from[:], to[i])
	if was < 0 {
		return true
	}
	for _, id := range to[i+1:] {
		if at := slices.Index(from[:], id); id != 0 && at >= 0 && at < was {
			return true
		}
	}
	return false
}

// targetIDs returns the IDs of the document's targets by position.
func (d *serviceDoc) targetIDs() []uint64 {
	ids := make([]uint64, len(d.doc.Targets))
	for i := range d.doc.Targets {
		ids[i] = TargetID(d.doc.Name, d.doc.Targets[i].Name)
	}
	return ids
}

// zonesByID returns the zones of the document's targets by target ID.
func (d *serviceDoc) zonesByID(ids []uint64) map[uint64]string {
	zones := make(map[uint64]string, len(ids))
	for i, id := range ids {
		zones[id] = d.doc.Targets[i].Zone
	}
	return zones
}

// ids returns the IDs of the order's targets, 0 past its end.
func (o *order) ids(byPos []uint64) [orderLen]uint64 {
	var list [orderLen]uint64
	for i, pos := range o {
		if pos != noTarget {
			list[i] = byPos[pos]
		}
	}
	return list
}

// maxFormerFirsts is the number of former first targets kept for each slot.
const maxFormerFirsts = 3

// formerFirsts holds the former first targets of each slot's order, latest
// first, as target indices plus one; 0 ends a list.
type formerFirsts [slotCount][maxFormerFirsts]uint32

// slotsOf returns the slots of which the target with the index is a former first
// target; it may still have flows from that time.
func (p *formerFirsts) slotsOf(index uint32) *slotSet {
	var slots slotSet
	if p == nil {
		return &slots
	}
	for slot := range p {
		if slices.Contains(p[slot][:], index+1) {
			slots.add(uint32(slot))
		}
	}
	return &slots
}

// updateFormerFirsts returns the former first targets after a change of orders.
func (b *Balancer) updateFormerFirsts(before, after *serviceDoc) *formerFirsts {
	former := &formerFirsts{}
	if before.formerFirsts != nil {
		*former = *before.formerFirsts
	}
	oldIDs, newIDs := before.targetIDs(), after.targetIDs()
	for slot := range former {
		from := before.orders[slot].ids(oldIDs)[0]
		to := after.orders[slot].ids(newIDs)[0]
		if from == to || from == 0 {
			continue
		}
		list := []uint32{b.internTarget(from).index + 1}
		current := uint32(0)
		if to != 0 {
			current = b.internTarget(to).index + 1
		}
		for _, index := range former[slot] {
			if index != 0 && index != current && !slices.Contains(list, index) {
				list = append(list, index)
			}
		}
		if current != 0 && slices.Contains(former[slot][:], current) {
			list = append(list, current)
		}
		former[slot] = [maxFormerFirsts]uint32{}
		copy(former[slot][:], list)
	}
	return former
}

// gateSlots records the slots that targets gained by a change of a document.
// Contested slots stay closed until the flows at their former first targets are
// replicated.
func (b *Balancer) gateSlots(before, after *serviceDoc) {
	gained := compareOrders(before, after)
	for _, id := range after.targetIDs() {
		g := gained[id]
		if g == nil {
			continue
		}
		st := b.internTarget(id)
		if st.owner == b.id {
			if st.inherited {
				g.promoted.removeAll(after.formerFirsts.slotsOf(st.index))
			}
			st.covered.Store(st.covered.Load().union(&g.promoted))
		}
		inProgress := st.gated.Load() != nil && st.advertisedSlots.Load() < slotCount
		if b.cfg.Replication != ReplicateExceptions || inProgress {
			continue
		}
		st.gated.Store(&g.contested)
		st.advertisedSlots.Store(0)
		st.openSlots.Store(0)
		st.slots = slotProgress{}
		st.preparedSlots.Store(0)
	}
}
