package balancer

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/protocol/document"
)

// longRun multiplies the number of flows by ten.
var longRun = flag.Bool("long", false, "run the tests of planned changes and faults with ten times as many flows")

// scaled returns the number of flows to use instead of n: ten times as many with
// -long, a twentieth with -short.
func scaled(n int) int {
	switch {
	case *longRun:
		return 10 * n
	case testing.Short():
		return n / 20
	}
	return n
}

// joinTarget adds a target to the first service.
func joinTarget(services []document.Service, name, zone string) {
	add := services[0].Targets[0]
	add.Name, add.Zone, add.State, add.Weight = name, zone, document.TargetActive, 1
	add.Tunnel = targetTunnel(TargetID(services[0].Name, name))
	services[0].Targets = append(services[0].Targets, add)
}

// restart performs a planned stop of a host and starts it again.
func (c *callers) restart(name string, each func()) {
	n := c.n
	h := n.host(name)
	h.Leave(n.now)
	for !h.Left(n.now) {
		n.run(step, each)
	}
	h.down = true
	n.run(time.Second, each)
	n.addHost(h.name, h.zone)
	n.run(4*time.Second, each)
}

// TestPlannedChangesKeepFlows checks that no flow breaks in planned changes: every
// host is restarted while targets join, drain and change weight, two changes at a
// time, and documents reach the hosts up to 3 s apart.
func TestPlannedChangesKeepFlows(t *testing.T) {
	is := is.New(t)
	n, c := nineHosts(t, seedOr(11), ReplicateExceptions)
	c.openLongFlows(scaled(20_000))
	const totalOpens, steps = 180_000, 1000
	opens := scaled(totalOpens) / steps
	each := func() { c.runStep(opens, scaled(20_000)/300) }
	change := func(f func(s []document.Service)) {
		services := copyServices(n.services)
		f(services)
		n.setDocuments(services, n.zones, 3*time.Second)
	}
	changes := []func(s []document.Service){
		func(s []document.Service) { joinTarget(s, "new1", "z1") },
		func(s []document.Service) {
			joinTarget(s, "new2", "z2")
			s[0].Targets[1].State = document.TargetDraining
		},
		func(s []document.Service) { s[0].Targets[3].Weight = 2 },
		func(s []document.Service) { s[0].Targets[4].State = document.TargetDraining },
		func(s []document.Service) {
			s[0].Targets[1].State = document.TargetActive
			s[0].Targets[3].Weight = 1
		},
		func(s []document.Service) { joinTarget(s, "new3", "z3") },
		func(s []document.Service) { s[0].Targets[6].State = document.TargetDraining },
		func(s []document.Service) { s[0].Targets[4].State = document.TargetActive },
		func(s []document.Service) { s[0].Targets[7].State = document.TargetDraining },
	}
	for i, f := range changes {
		change(f)
		n.run(time.Second, each)
		c.restart(fmt.Sprintf("h%d", i), each)
	}
	n.run(time.Duration(max(0, steps-c.step))*step, each)
	for _, f := range c.long {
		c.send(f)
	}
	c.settle()
	t.Logf("%d flows, %d of them long, %v of virtual time", len(c.flows), len(c.long), n.now-time.Hour)
	c.expectMaxBroken(is, 0)
}

// atFirstTarget reports whether the flow is at the first target of its slot, where
// a host without an entry for the flow looks first.
func (c *callers) atFirstTarget(f *testFlow) bool {
	for _, h := range c.n.hosts {
		if h.down {
			continue
		}
		v := h.view.Load()
		s := v.endpoints[f.flow.Service].service
		pos := s.orders[slotOf(f.flow.Hash())][0]
		return f.target != nil && s.targets[pos].id == f.target.id
	}
	return false
}

// TestHostFailuresDuringTargetJoin checks that at most one in 1000 flows breaks,
// and none at the first target of its slot, when hosts fail while a target joins.
// All packets must be delivered again 3 s after the failure.
func TestHostFailuresDuringTargetJoin(t *testing.T) {
	cases := []struct {
		name string
		kill []string
		seed uint64
	}{
		{"one", []string{"h1"}, 21},
		{"another", []string{"h4"}, 22},
		{"two in one zone", []string{"h1", "h4"}, 23},
		{"two in two zones", []string{"h1", "h2"}, 24},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			n, c := nineHosts(t, tc.seed, ReplicateExceptions)
			c.openLongFlows(scaled(20_000))
			each := func() { c.runStep(scaled(40_000)/200, scaled(20_000)/100) }
			n.run(5*time.Second, each)
			services := copyServices(n.services)
			joinTarget(services, "new", "z2")
			n.setDocuments(services, n.zones, time.Second)
			n.run(4*time.Second, each)
			for _, name := range tc.kill {
				n.host(name).down = true
			}
			open := c.listOpen()
			n.run(3*time.Second, each)
			unanswered := c.probe(open)
			n.run(5*time.Second, each)
			c.settle()
			c.expectMaxBroken(is, len(open)/1000)
			is.Equal(unanswered, 0) // packets dropped 3 s after the hosts failed
			for _, f := range c.flows {
				if f.broken != "" && c.atFirstTarget(f) {
					t.Errorf("flow at the first target of its slot broke: %s", f.broken)
				}
			}
			broken, _ := c.brokenFlows()
			t.Logf("broken: %d of %d open", broken, len(open))
		})
	}
}

// listOpen returns the flows that are open.
func (c *callers) listOpen() []*testFlow {
	var list []*testFlow
	for _, f := range c.flows {
		if f.opened && f.broken == "" && f.target.open[f.flow] {
			list = append(list, f)
		}
	}
	return list
}

// probe sends a packet of each open flow through a live host and returns the
// number of dropped packets.
func (c *callers) probe(flows []*testFlow) int {
	dropped := 0
	for _, f := range flows {
		if f.broken != "" || !f.target.open[f.flow] {
			continue
		}
		f.nextTry = 0
		h := c.n.liveHost()
		p := c.dataPacket(f)
		r := c.n.deliverAt(h, &p)
		if r.kind == Drop {
			dropped++
		}
		c.recordOutcome(f, r)
	}
	return dropped
}

// TestZonePartition checks that flows are served during a partition between zones,
// that none breaks, and that none is open at two targets afterwards. Some of the
// partitions lose packets in one direction only.
func TestZonePartition(t *testing.T) {
	cases := []struct {
		name string
		cuts [][2]string
		seed uint64
	}{
		{"one zone, both ways", [][2]string{{"z1", "z2"}, {"z2", "z1"}, {"z1", "z3"}, {"z3", "z1"}}, 31},
		{"two zones, both ways", [][2]string{{"z1", "z2"}, {"z2", "z1"}}, 32},
		{"two zones, one way", [][2]string{{"z1", "z2"}}, 33},
		{"one zone receives nothing", [][2]string{{"z2", "z1"}, {"z3", "z1"}}, 34},
		{"nothing from one zone arrives", [][2]string{{"z1", "z2"}, {"z1", "z3"}}, 35},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			n, c := nineHosts(t, tc.seed, ReplicateExceptions)
			c.openLongFlows(scaled(20_000))
			n.run(5*time.Second, func() { c.runStep(10, 200) })
			for _, cut := range tc.cuts {
				n.zoneCut[cut] = true
			}
			opened := len(c.flows)
			n.run(60*time.Second, func() { c.runPartitionedStep(scaled(20_000)/600, scaled(20_000)/100) })
			is.True(c.servedSince(opened) > 0)
			n.zoneCut = map[[2]string]bool{}
			n.run(8*time.Second, func() { c.runPartitionedStep(10, 200) })
			for _, f := range c.listOpen() {
				c.send(f)
			}
			c.settle()
			c.expectMaxBroken(is, 0)
			c.expectOneTarget(t)
		})
	}
}

// servedSince returns how many of the flows in c.flows[from:] were opened.
func (c *callers) servedSince(from int) int {
	served := 0
	for _, f := range c.flows[from:] {
		if f.opened {
			served++
		}
	}
	return served
}

// expectOneTarget fails the test if a flow is open at more than one target.
func (c *callers) expectOneTarget(t *testing.T) {
	t.Helper()
	for _, f := range c.flows {
		holders := 0
		for _, target := range c.n.targets {
			if target.open[f.flow] {
				holders++
			}
		}
		if holders > 1 {
			t.Errorf("flow is open at %d targets", holders)
		}
	}
}

// TestPausedHostRejoinsBeforeForwarding checks that a host which was paused for
// 30 s forwards no packet before its next tick, since its view and its flows are
// stale, and then rejoins without breaking flows.
func TestPausedHostRejoinsBeforeForwarding(t *testing.T) {
	is := is.New(t)
	n, c := nineHosts(t, 41, ReplicateExceptions)
	c.openLongFlows(scaled(20_000))
	each := func() { c.runStep(10, scaled(20_000)/100) }
	n.run(3*time.Second, each)
	h := n.host("h1")
	h.paused = true
	services := copyServices(n.services)
	joinTarget(services, "new", "z2")
	n.setDocuments(services, n.zones, 0)
	n.run(30*time.Second, each)
	h.paused = false
	forwarded := h.Stats(n.now).Forwarded
	for _, f := range c.long {
		p := c.dataPacket(f)
		n.deliverAt(h, &p)
	}
	is.Equal(h.Stats(n.now).Forwarded, forwarded) // forwarded packets before its next tick
	n.run(10*time.Second, each)
	is.Equal(h.Stats(n.now).Rejoined, uint64(1))
	for _, f := range c.long {
		c.send(f)
	}
	c.settle()
	c.expectMaxBroken(is, 0)
}

// TestLostFlowsAreResetAtBothEnds checks that flows whose state is lost are reset
// at both ends and don't hang. Every host is replaced at once, so that no flow
// table is left.
func TestLostFlowsAreResetAtBothEnds(t *testing.T) {
	is := is.New(t)
	n, c := nineHosts(t, 51, ReplicateExceptions)
	c.openLongFlows(scaled(20_000))
	services := copyServices(n.services)
	joinTarget(services, "new", "z2")
	n.setDocuments(services, n.zones, 0)
	n.run(20*time.Second, func() { c.runStep(10, 200) })
	n.setDocuments(services, n.zones, 0)
	for i := range 9 {
		n.host(fmt.Sprintf("h%d", i)).down = true
	}
	for i := range 9 {
		n.addHost(fmt.Sprintf("h%d", i), threeZones[i%3])
	}
	n.run(5*time.Second, nil)
	for _, f := range c.long {
		c.send(f)
	}
	n.run(5*time.Second, c.retransmit)
	unresolved := 0
	for _, f := range c.long {
		if f.retries > 0 && f.broken == "" {
			unresolved++
		}
	}
	is.Equal(unresolved, 0) // flows neither served nor reset within 5 s
	for _, f := range c.long {
		if f.broken == "" {
			continue
		}
		for _, target := range n.targets {
			if target.open[f.flow] {
				t.Fatalf("a broken flow is still open at target %x", target.id)
			}
		}
	}
	broken, reasons := c.brokenFlows()
	t.Logf("%d of %d flows lost: %q", broken, len(c.long), reasons)
}

// seedFlag overrides the seed of the tests that use seedOr.
var seedFlag = flag.Uint64("seed", 0, "seed of the simulated network in tests that allow another one, 0 for their own")

// seedOr returns the seed of the -seed flag, or defaultSeed if it is not set.
func seedOr(defaultSeed uint64) uint64 {
	if *seedFlag != 0 {
		return *seedFlag
	}
	return defaultSeed
}
