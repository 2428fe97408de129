package balancer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// TestOpeningsWaitForFailover checks that openings above the capacity of the
// remaining targets are dropped, not refused, after a host failure until the failed
// host's targets have a new owner: callers retransmit dropped openings. If the
// capacity stays too small, openings are refused again.
func TestOpeningsWaitForFailover(t *testing.T) {
	is := is.New(t)
	n := newTestNetwork(t, seedOr(31))
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
	const perStep = 20 // 200 per second, of which the targets admit 80
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
	is.True(refused > 0) // excess openings are refused while all hosts are up
	is.Equal(dropped, 0) // no opening is dropped while all hosts are up

	n.host("h1").down = true
	n.run(heartbeatTimeout+200*time.Millisecond, nil)
	refused = 0
	n.run(failoverWindow-time.Second, overload)
	is.Equal(refused, 0) // no opening is refused during the failover
	is.True(dropped > 0) // excess openings are dropped during the failover

	n.run(failoverWindow+time.Second, nil)
	dropped = 0
	n.run(2*time.Second, overload)
	is.True(refused > 0) // excess openings are refused after the failover
	is.Equal(dropped, 0) // no opening is dropped after the failover
}
