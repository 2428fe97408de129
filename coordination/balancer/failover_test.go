package balancer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// Load: openings at the limit of the targets that are left while a host has just
// died. They are held back until the dead host's targets have a new owner, and
// refused again when the capacity stays short.
func TestOpeningsWaitForFailover(t *testing.T) {
	is := is.New(t)
	n := newLink(t, seedOr(31))
	n.addHost("h0", "z1")
	n.addHost("h1", "z1")
	services := testServices([]string{"z1"}, 4, 1)
	for i := range services[0].Targets {
		services[0].Targets[i].Limits.OpeningsPerSecond = 20
	}
	n.setDocuments(services, zonesIn([]string{"z1"}), 0)
	n.run(5*time.Second, nil)
	c := &callers{n: n}
	var refused, dropped int
	const perStep = 20 // 200 a second, 80 find room
	overload := func() {
		for range perStep {
			f := c.newFlow(endpointOf(&services[0]))
			p := packet.Packet{Flow: f.flow, Class: packet.Opening}
			r := n.deliverAt(n.host("h0"), &p)
			switch {
			case r.kind == Refuse:
				refused++
			case r.kind == Drop && r.action.Drop == DropTakingOver:
				dropped++
			}
		}
	}
	n.run(2*time.Second, overload)
	is.True(refused > 0) // with all hosts up, what finds no room is refused
	is.Equal(dropped, 0) // nothing is held back without a loss

	n.host("h1").dead = true
	n.run(heartbeatTimeout+200*time.Millisecond, nil)
	refused = 0
	n.run(failoverWindow-time.Second, overload)
	is.Equal(refused, 0) // nothing is refused while the targets change hands
	is.True(dropped > 0) // what finds no room is held back

	n.run(failoverWindow+time.Second, nil)
	dropped = 0
	n.run(2*time.Second, overload)
	is.True(refused > 0) // then what finds no room is refused again
	is.Equal(dropped, 0) // nothing is held back any more
}
