package balancer

import (
	"flag"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/rendezvous"
	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/state/flow"
)

var (
	compareFull  = flag.Bool("compare", false, "run the comparison of replication modes at full size")
	compareOnly  = flag.String("compare-only", "", "scenario to run at full size, empty for all")
	compareFlows = flag.Int("compare-flows", 20_000, "number of long flows in the comparison at full size")
)

// fabricConvergence is how long the fabric keeps sending packets to a host that
// is down.
const fabricConvergence = 3 * time.Second

// workloadFlow is a flow of the comparison.
type workloadFlow struct {
	flow      packet.Flow
	target    uint64
	zone      string
	seq       uint32
	retries   int
	firstSent time.Duration
	nextTry   time.Duration
	closing   bool
	done      bool
	broken    bool
}

// workload sends the traffic of simulated callers to a fleet. The seed determines
// the callers, so that all variants get the same traffic.
type workload struct {
	fleet
	rng         *rand.Rand
	zones       map[uint64]string
	flows       []*workloadFlow
	long        []*workloadFlow
	longIndex   int
	short       [shortSteps][]*workloadFlow
	pending     []*workloadFlow
	steps       int
	next        uint32
	downSince   [9]time.Duration
	down        [9]bool
	partitioned bool
	// opens is the number of new flows per step, longSends the number of packets
	// of long flows.
	opens, longSends int
}

// newWorkload opens the long flows over 20 steps and runs traffic for 8 s.
func newWorkload(f fleet, seed uint64, long int) *workload {
	c := &workload{
		fleet: f, rng: rand.New(rand.NewPCG(seed, 2)), zones: make(map[uint64]string),
		opens: max(1, long/100), longSends: max(1, long/100),
	}
	c.recordZones()
	for range 20 {
		for range long / 20 {
			c.long = append(c.long, c.open())
		}
		c.runTraffic(step)
	}
	c.runTraffic(8 * time.Second)
	return c
}

// recordZones records the zone of each target.
func (c *workload) recordZones() {
	for _, s := range c.documents() {
		for _, t := range s.Targets {
			c.zones[TargetID(s.Name, t.Name)] = t.Zone
		}
	}
}

// runTraffic advances the time by d and sends traffic in every step.
func (c *workload) runTraffic(d time.Duration) {
	for end := c.now() + d; c.now() < end; {
		c.step()
		c.sendTraffic()
	}
}

// sendTraffic sends the packets of one step.
func (c *workload) sendTraffic() {
	c.steps++
	waiting := c.pending
	c.pending = nil
	for _, f := range waiting {
		c.send(f)
	}
	for age := shortEvery; age < shortSteps; age += shortEvery {
		for _, f := range c.short[(c.steps+shortSteps-age)%shortSteps] {
			c.sendIdle(f)
		}
	}
	oldest := &c.short[c.steps%shortSteps]
	for _, f := range *oldest {
		f.closing = true
		c.sendIdle(f)
	}
	*oldest = nil
	for range c.opens {
		*oldest = append(*oldest, c.open())
	}
	for range min(c.longSends, len(c.long)) {
		c.longIndex = (c.longIndex + 1) % len(c.long)
		c.sendIdle(c.long[c.longIndex])
	}
}

// open opens a flow of a random service.
func (c *workload) open() *workloadFlow {
	services := c.documents()
	s := &services[c.rng.IntN(len(services))]
	c.next++
	ip := netip.AddrFrom4([4]byte{172, byte(c.next >> 16), byte(c.next >> 8), byte(c.next)})
	f := &workloadFlow{flow: packet.Flow{Caller: ip.As16(), CallerPort: 4000, Service: endpointOf(s)}}
	c.flows = append(c.flows, f)
	c.sendIdle(f)
	return f
}

// sendIdle sends a flow's next packet unless a retransmission is pending.
func (c *workload) sendIdle(f *workloadFlow) {
	if f.retries == 0 {
		f.firstSent = c.now()
		c.send(f)
	}
}

// send sends or retransmits a flow's current packet.
func (c *workload) send(f *workloadFlow) {
	if f.broken || f.done {
		return
	}
	if c.now() < f.nextTry {
		c.pending = append(c.pending, f)
		return
	}
	p := packet.Packet{Flow: f.flow, Class: packet.Data, Seq: f.seq, Ack: 1, AckValid: true, PayloadLen: 10}
	switch {
	case f.target == 0:
		p = packet.Packet{Flow: f.flow, Class: packet.Opening}
	case f.closing:
		p.Class = packet.Closing
	}
	host, up := c.pickHost(f)
	if !up {
		c.retry(f)
		return
	}
	kind, target := c.deliver(host, &p)
	c.recordOutcome(f, kind, target)
}

// pickHost returns a random host to which the fabric sends the packet, and
// whether it is up.
func (c *workload) pickHost(f *workloadFlow) (int, bool) {
	for {
		host := c.rng.IntN(len(c.down))
		if c.down[host] && c.now()-c.downSince[host] > fabricConvergence {
			continue
		}
		// During a partition, retransmissions arrive in the zone of the flow's
		// target.
		if c.partitioned && f.retries > 0 && f.zone != "" && hostZone(host) != f.zone {
			continue
		}
		return host, !c.down[host]
	}
}

// recordOutcome updates a flow by the outcome of its packet.
func (c *workload) recordOutcome(f *workloadFlow, kind ActionKind, target uint64) {
	switch {
	case kind == Drop:
		c.retry(f)
		return
	case kind == Refuse:
		f.broken = f.target != 0
		f.done = f.target == 0
	case f.target == 0:
		f.target, f.zone, f.seq = target, c.zones[target], 1
	case target != f.target:
		f.broken = true
	case f.closing:
		f.done = true
	default:
		f.seq += 10
	}
	f.retries, f.nextTry = 0, 0
}

// retry queues a retransmission with exponential backoff. The flow fails after
// retryLimit.
func (c *workload) retry(f *workloadFlow) {
	const firstTimeout = 200 * time.Millisecond
	if c.now()-f.firstSent > retryLimit {
		f.broken = f.target != 0
		f.done = f.target == 0
		return
	}
	f.nextTry = c.now() + firstTimeout<<min(f.retries, 4)
	f.retries++
	c.pending = append(c.pending, f)
}

// failHost stops a host without a planned stop.
func (c *workload) failHost(host int) {
	c.setDown(host, true)
	c.down[host], c.downSince[host] = true, c.now()
}

// startHost replaces a host that is down by a new one.
func (c *workload) startHost(host int) {
	c.start(host)
	c.down[host] = false
}

// changeDocuments applies f to a copy of the documents and distributes it.
func (c *workload) changeDocuments(skew time.Duration, f func(s []document.Service)) {
	services := copyServices(c.documents())
	f(services)
	c.setDocuments(services, skew)
	c.recordZones()
}

// finish sends a packet on every long flow and returns the numbers of broken and
// of open flows.
func (c *workload) finish() (broken, open int) {
	for _, f := range c.long {
		c.sendIdle(f)
	}
	c.runTraffic(retryLimit + time.Second)
	for _, f := range c.flows {
		if f.broken {
			broken++
		}
		if !f.broken && !f.done && f.target != 0 {
			open++
		}
	}
	return broken, open
}

// chosenVariant is the variant that the load balancer uses.
const chosenVariant = "share exceptions"

// TestCompareReplicationModes compares the replication modes, and hashing with
// local tables, under the same traffic. The table in docs/design/flows.md is the
// output of -compare -v. Without -compare, a small run checks that
// ReplicateExceptions breaks no flow in planned changes.
func TestCompareReplicationModes(t *testing.T) {
	long := 400
	if *compareFull {
		long = *compareFlows
	}
	bytes := measureBytesPerFlow()
	for _, scenario := range scenarios {
		for _, variant := range variants {
			if !*compareFull && (scenario.seed != scenarios[0].seed || variant.name != chosenVariant) {
				continue
			}
			if *compareOnly != "" && *compareOnly != scenario.name {
				continue
			}
			c := newWorkload(variant.start(t, scenario.seed), scenario.seed, long)
			row := c.measure(scenario.run, bytes)
			t.Logf("| %s | %d | %s | %d of %d, %d open | %.0f | %.2f | %.0f |", scenario.name, scenario.seed,
				variant.name, row.broken, len(c.flows), row.open, row.control, row.relayed, row.memory)
			if variant.name == chosenVariant && scenario.seed == scenarios[0].seed && row.broken > 0 {
				t.Errorf("%d flows broken in planned changes", row.broken)
			}
		}
	}
}

// comparisonRow is a row of the comparison table.
type comparisonRow struct {
	broken int
	// open is the number of flows open at the end.
	open int
	// control is control bytes per second and host, relayed is relays per packet,
	// and memory is bytes per open flow, summed over all hosts.
	control, relayed, memory float64
}

// measure runs a scenario and returns its row.
func (c *workload) measure(run func(*workload), bytes bytesPerFlow) comparisonRow {
	before, from := c.totals(), c.now()
	run(c)
	after, took := c.totals(), c.now()-from
	entry := bytes.entry
	if _, isHashing := c.fleet.(*hashingFleet); isHashing {
		entry = bytes.hashing
	}
	broken, open := c.finish()
	return comparisonRow{
		broken: broken, open: open,
		control: (after.controlBytes - before.controlBytes) / took.Seconds() / float64(len(c.down)),
		relayed: float64(after.relays-before.relays) / float64(after.packets-before.packets),
		memory:  (float64(after.entries)*entry + float64(after.replicas)*bytes.replica) / float64(open),
	}
}

// bytesPerFlow is the memory of one flow in the flow table, in the replicas, and
// in the table of a hashingHost, in bytes.
type bytesPerFlow struct{ entry, replica, hashing float64 }

// measureBytesPerFlow measures the heap of tables with 50,000 flows.
func measureBytesPerFlow() bytesPerFlow {
	const count = 50_000
	before := liveHeap()
	table := flow.NewTable()
	for i := range uint64(count) {
		s := table.Shard(rendezvous.Mix(i, i))
		s.Lock()
		s.Insert(&flow.Key{Caller: [16]byte{byte(i), byte(i >> 8)}}, &flow.Entry{})
		s.Unlock()
	}
	withTable := liveHeap()
	replicas := newReplicas()
	for i := range uint64(count) {
		replicas.apply(1, appendFingerprint(nil, rendezvous.Mix(i, i)), nil)
	}
	withReplicas := liveHeap()
	flows := make(map[packet.Flow]hashingTarget)
	for i := range count {
		flows[packet.Flow{CallerPort: uint16(i)}] = hashingTarget{zone: "z1"}
	}
	end := liveHeap()
	perFlow := bytesPerFlow{
		entry:   float64(withTable-before) / float64(table.Len()),
		replica: float64(withReplicas-withTable) / float64(replicas.len()),
		hashing: float64(end-withReplicas) / float64(len(flows)),
	}
	return perFlow
}
