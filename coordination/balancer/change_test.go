package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/protocol/document"
)

var threeZones = []string{"z1", "z2", "z3"}

// nineHosts starts nine hosts in three zones with two services and waits until
// they are active.
func nineHosts(t testing.TB, seed uint64, mode ReplicationMode) (*testNetwork, *callers) {
	n := newTestNetwork(t, seed)
	n.replication = mode
	for i := range 9 {
		n.addHost(fmt.Sprintf("h%d", i), threeZones[i%3])
	}
	n.setDocuments(testServices(threeZones, 14, 4), zonesIn(threeZones), 0)
	n.run(5*time.Second, nil)
	return n, &callers{n: n}
}

// openMany opens count flows of random services, spread over the duration d.
func (c *callers) openMany(count int, d time.Duration) {
	steps := int(d / step)
	perStep := (count + steps - 1) / steps
	c.n.run(d, func() {
		c.retransmit()
		for range perStep {
			s := &c.n.services[c.n.rng.IntN(len(c.n.services))]
			c.open(endpointOf(s))
		}
	})
}

// expectMaxBroken fails the test if more flows than allowed are broken or a
// packet reached a target of another service.
func (c *callers) expectMaxBroken(is *is.I, allowed int) {
	c.n.t.Helper()
	broken, reasons := c.brokenFlows()
	if broken > allowed {
		c.n.t.Errorf("%d of %d flows broken, at most %d allowed: %q", broken, len(c.flows), allowed, reasons)
	}
	is.Equal(c.n.misdelivered, 0) // a packet reached a target of another service
}

// TestSteadyStateKeepsFlows checks that no flow breaks and no opening is
// refused while nothing changes.
func TestSteadyStateKeepsFlows(t *testing.T) {
	is := is.New(t)
	n, c := nineHosts(t, 1, ReplicateExceptions)
	c.openMany(2000, 5*time.Second)
	for _, f := range c.flows {
		c.send(f)
	}
	c.settle()
	c.expectMaxBroken(is, 0)
	refused := 0
	for _, f := range c.flows {
		if f.refused {
			refused++
		}
	}
	is.Equal(refused, 0)
	t.Logf("relays per packet: %.2f", float64(n.relayed)/float64(n.sent))
}

// TestTargetsJoinDrainAndChangeWeight checks that no flow breaks when a target
// joins, drains, changes its weight or is removed, while documents reach the
// hosts up to 3 s apart.
func TestTargetsJoinDrainAndChangeWeight(t *testing.T) {
	is := is.New(t)
	n, c := nineHosts(t, 2, ReplicateExceptions)
	c.openMany(5000, 5*time.Second)
	changes := []func(s []document.Service){
		func(s []document.Service) {
			add := s[0].Targets[0]
			add.Name, add.Zone = "new", "z2"
			add.Tunnel = targetTunnel(TargetID(s[0].Name, "new"))
			s[0].Targets = append(s[0].Targets, add)
		},
		func(s []document.Service) { s[0].Targets[3].State = document.TargetDraining },
		func(s []document.Service) { s[0].Targets[5].Weight = 3 },
		func(s []document.Service) { s[0].Targets = s[0].Targets[:len(s[0].Targets)-1] },
	}
	for _, change := range changes {
		services := copyServices(n.services)
		change(services)
		n.setDocuments(services, n.zones, 3*time.Second)
		c.openMany(3000, 5*time.Second)
		for range 2000 {
			c.send(c.flows[n.rng.IntN(len(c.flows))])
		}
		n.run(2*time.Second, c.retransmit)
	}
	for _, f := range c.flows {
		c.send(f)
	}
	c.settle()
	c.expectMaxBroken(is, 0)
}

// TestRollingRestart checks that no flow breaks when every host is restarted in
// turn by a planned stop.
func TestRollingRestart(t *testing.T) {
	is := is.New(t)
	n, c := nineHosts(t, 3, ReplicateExceptions)
	c.openMany(5000, 5*time.Second)
	for i := range 9 {
		h := n.host(fmt.Sprintf("h%d", i))
		h.Leave(n.now)
		for !h.Left(n.now) {
			c.openMany(100, step)
		}
		h.down = true
		c.openMany(300, 3*time.Second)
		n.addHost(h.name, h.zone)
		c.openMany(500, 5*time.Second)
	}
	for _, f := range c.flows {
		c.send(f)
	}
	c.settle()
	c.expectMaxBroken(is, 0)
}

// TestKilledHost checks that at most one in 1000 flows breaks when a host fails
// without notice 3 s after a target joined.
func TestKilledHost(t *testing.T) {
	is := is.New(t)
	n, c := nineHosts(t, 4, ReplicateExceptions)
	c.openMany(5000, 5*time.Second)
	services := copyServices(n.services)
	add := services[0].Targets[0]
	add.Name, add.Zone = "new", "z2"
	add.Tunnel = targetTunnel(TargetID(services[0].Name, "new"))
	services[0].Targets = append(services[0].Targets, add)
	n.setDocuments(services, n.zones, time.Second)
	c.openMany(3000, 3*time.Second)
	n.host("h1").down = true
	c.openMany(3000, 5*time.Second)
	for _, f := range c.flows {
		c.send(f)
	}
	c.settle()
	c.expectMaxBroken(is, len(c.flows)/1000)
}
