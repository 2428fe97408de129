package balancer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/verdict"
)

// serviceTotals sums the counters of one service over all hosts.
func (n *testNetwork) serviceTotals(name string) ServiceStats {
	var sum ServiceStats
	for _, h := range n.hosts {
		for _, s := range h.Stats(n.now).Services {
			if s.Name != name {
				continue
			}
			sum.Placed += s.Placed
			sum.Ended += s.Ended
			for cause := range s.Broken {
				sum.Broken[cause] += s.Broken[cause]
				sum.Refused[cause] += s.Refused[cause]
			}
		}
	}
	return sum
}

// TestCountersPerService checks that placed, broken and refused flows are counted
// for their own service only, and each flow once.
func TestCountersPerService(t *testing.T) {
	is := is.New(t)
	n, c := nineHosts(t, 11, ReplicateExceptions)
	orders, archive := endpointOf(&n.services[0]), endpointOf(&n.services[1])
	for range 300 {
		c.open(orders)
	}
	for range 40 {
		c.open(archive)
	}
	c.settle()
	is.Equal(n.serviceTotals("order-book").Placed, uint64(300))
	is.Equal(n.serviceTotals("map-archive").Placed, uint64(40))

	atZone := 0
	for _, f := range c.flows[:300] {
		if f.target.zone == "z2" {
			atZone++
		}
	}
	n.setDocuments(copyServices(n.services), zonesIn(threeZones, "z2"), 0)
	n.run(5*time.Second, nil)
	sum := n.serviceTotals("order-book")
	is.True(atZone > 0)
	is.Equal(sum.Broken[verdict.CauseZoneOut], uint64(atZone)) // each broken flow is counted once

	n.run(partitionWindow, nil)
	p := packet.Packet{Flow: c.newFlow(orders).flow, Class: packet.Data, PayloadLen: 1}
	relay := packet.Relay{
		Stage: packet.StageLookup, View: n.hosts[0].Stats(n.now).View,
		VisitedLen: packet.MaxVisited, Excluded: 1<<orderLen - 1,
	}
	var out Action
	n.hosts[0].HandlePacket(n.now, &p, &relay, &out)
	is.Equal(out.Verdict.Cause, verdict.CauseLostState)
	is.Equal(n.serviceTotals("order-book").Broken[verdict.CauseLostState], uint64(1))

	drained := copyServices(n.services)
	for i := range drained[0].Targets {
		drained[0].Targets[i].State = document.TargetDraining
	}
	drained[0].Generation++
	n.setDocuments(drained, zonesIn(threeZones), 0)
	n.run(time.Second, nil)
	for range 20 {
		c.open(orders)
	}
	is.Equal(n.serviceTotals("order-book").Refused[verdict.CauseNoTarget], uint64(20))
	is.Equal(n.serviceTotals("map-archive").Refused[verdict.CauseNoTarget], uint64(0))
}
