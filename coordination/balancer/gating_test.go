package balancer

import (
	"testing"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/protocol/document"
)

// Every target that moves ahead of a slot's former first one is contested, also
// behind another fresh target: its flows and those of the former first one are
// untold alike.
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
	is.True(second > 0) // some slots have two fresh targets ahead
}

// A target that was a slot's first one earlier may still have flows of that
// time: an owner that took it over since can't rule it out.
func TestFormerFirstIsNotRuledOut(t *testing.T) {
	is := is.New(t)
	var past formerFirsts
	const slot, other = 7, 8
	st := &targetState{index: 3, id: 99}
	past[slot][1] = st.index + 1
	var gated slotSet
	gated.add(slot)
	gated.add(other)
	st.gated.Store(&gated)
	closed := st.closedSlots(&past)
	is.True(!closed.has(slot)) // first in the slot before
	is.True(closed.has(other)) // never first in the slot
}
