package balancer

import (
	"testing"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/protocol/document"
)

// TestContestedAheadOfFormerFirst checks that a slot is contested for every target
// that moved ahead of its former first target, not only for the new first one.
// Neither the flows of such a target nor those of the former first one are
// replicated, so a host without the flow can't derive which of the two has it.
func TestContestedAheadOfFormerFirst(t *testing.T) {
	is := is.New(t)
	service := testServices([]string{"z1"}, 4, 1)[0]
	before := serviceDoc{doc: service, orders: buildOrders(&service, nil)}
	joined := copyServices([]document.Service{service})
	joinTarget(joined, "new1", "z1")
	joinTarget(joined, "new2", "z1")
	after := serviceDoc{doc: joined[0], orders: buildOrders(&joined[0], nil)}
	gained := compareOrders(&before, &after)
	oldIDs, newIDs := before.targetIDs(), after.targetIDs()
	second := 0
	for slot := range uint32(slotCount) {
		formerFirst := before.orders[slot].ids(oldIDs)[0]
		for i, id := range after.orders[slot].ids(newIDs) {
			if id == formerFirst {
				break
			}
			is.True(gained[id].contested.has(slot)) // a target ahead of the former first
			if i == 1 {
				second++
			}
		}
	}
	is.True(second > 0) // some slots have two new targets ahead
}

// TestClosedSlotsExcludeFormerFirsts checks that a target does not count as closed
// for a slot of which it is a former first target: it may still have flows from
// that time, so a new owner must not rule it out.
func TestClosedSlotsExcludeFormerFirsts(t *testing.T) {
	is := is.New(t)
	var former formerFirsts
	const slot, other = 7, 8
	st := &targetState{index: 3, id: 99}
	former[slot][1] = st.index + 1
	var gated slotSet
	gated.add(slot)
	gated.add(other)
	st.gated.Store(&gated)
	closed := st.closedSlots(&former)
	is.True(!closed.has(slot)) // a former first target of the slot
	is.True(closed.has(other)) // never the first target of the slot
}
