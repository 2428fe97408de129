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
	compareFull  = flag.Bool("compare", false, "run the comparison of ways to share at full size")
	compareOnly  = flag.String("compare-only", "", "script to run at full size, empty for all")
	compareFlows = flag.Int("compare-flows", 20_000, "long flows in the comparison at full size")
)

// fabricNotices is how long the fabric sends packets to a host that is down.
const fabricNotices = 3 * time.Second

// traceFlow is a flow of the comparison.
type traceFlow struct {
	flow    packet.Flow
	target  uint64
	zone    string
	seq     uint32
	tries   int
	since   time.Duration
	nextTry time.Duration
	closing bool
	done    bool
	broken  bool
}

// trace drives a fleet with the same callers, chosen by the same seed.
type trace struct {
	fleet
	rng     *rand.Rand
	zones   map[uint64]string
	all     []*traceFlow
	long    []*traceFlow
	longAt  int
	short   [shortSteps][]*traceFlow
	waiting []*traceFlow
	steps   int
	next    uint32
	downAt  [9]time.Duration
	down    [9]bool
	cutting bool
	// opens and longSends are packets in each step.
	opens, longSends int
}

func newTrace(f fleet, seed uint64, long int) *trace {
	c := &trace{
		fleet: f, rng: rand.New(rand.NewPCG(seed, 2)), zones: make(map[uint64]string),
		opens: max(1, long/100), longSends: max(1, long/100),
	}
	c.noteZones()
	for range 20 {
		for range long / 20 {
			c.long = append(c.long, c.open())
		}
		c.pass(step)
	}
	c.pass(8 * time.Second)
	return c
}

// noteZones records the zone of each target.
func (c *trace) noteZones() {
	for _, s := range c.documents() {
		for _, t := range s.Targets {
			c.zones[TargetID(s.Name, t.Name)] = t.Zone
		}
	}
}

// pass lets time pass with traffic.
func (c *trace) pass(d time.Duration) {
	for end := c.now() + d; c.now() < end; {
		c.step()
		c.traffic()
	}
}

// traffic sends the packets of one step.
func (c *trace) traffic() {
	c.steps++
	waiting := c.waiting
	c.waiting = nil
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
		c.longAt = (c.longAt + 1) % len(c.long)
		c.sendIdle(c.long[c.longAt])
	}
}

// open opens a flow of one of the services.
func (c *trace) open() *traceFlow {
	services := c.documents()
	s := &services[c.rng.IntN(len(services))]
	c.next++
	ip := netip.AddrFrom4([4]byte{172, byte(c.next >> 16), byte(c.next >> 8), byte(c.next)})
	f := &traceFlow{flow: packet.Flow{Caller: ip.As16(), CallerPort: 4000, Service: endpointOf(s)}}
	c.all = append(c.all, f)
	c.sendIdle(f)
	return f
}

// sendIdle sends a flow's next packet unless an earlier one is retransmitted.
func (c *trace) sendIdle(f *traceFlow) {
	if f.tries == 0 {
		f.since = c.now()
		c.send(f)
	}
}

// send sends or retransmits a flow's packet.
func (c *trace) send(f *traceFlow) {
	if f.broken || f.done {
		return
	}
	if c.now() < f.nextTry {
		c.waiting = append(c.waiting, f)
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
		c.lost(f)
		return
	}
	kind, target := c.deliver(host, &p)
	c.conclude(f, kind, target)
}

// pickHost returns the host that the fabric chooses and whether it is up.
func (c *trace) pickHost(f *traceFlow) (int, bool) {
	for {
		host := c.rng.IntN(len(c.down))
		if c.down[host] && c.now()-c.downAt[host] > fabricNotices {
			continue
		}
		// While zones are cut off a flow's packets keep reaching its home zone.
		if c.cutting && f.tries > 0 && f.zone != "" && hostZone(host) != f.zone {
			continue
		}
		return host, !c.down[host]
	}
}

// conclude notes what became of a flow's packet.
func (c *trace) conclude(f *traceFlow, kind ActionKind, target uint64) {
	switch {
	case kind == Drop:
		c.lost(f)
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
	f.tries, f.nextTry = 0, 0
}

// lost queues a retransmission with exponential backoff.
func (c *trace) lost(f *traceFlow) {
	const firstTimeout = 200 * time.Millisecond
	if c.now()-f.since > retryLimit {
		f.broken = f.target != 0
		f.done = f.target == 0
		return
	}
	f.nextTry = c.now() + firstTimeout<<min(f.tries, 4)
	f.tries++
	c.waiting = append(c.waiting, f)
}

// fall takes a host down without notice.
func (c *trace) fall(host int) {
	c.setDown(host, true)
	c.down[host], c.downAt[host] = true, c.now()
}

// rise starts a host that is down.
func (c *trace) rise(host int) {
	c.start(host)
	c.down[host] = false
}

// change puts changed documents in force.
func (c *trace) change(skew time.Duration, f func(s []document.Service)) {
	services := copyServices(c.documents())
	f(services)
	c.put(services, skew)
	c.noteZones()
}

// finish sends on every long flow once more and returns the broken flows.
func (c *trace) finish() (broken, open int) {
	for _, f := range c.long {
		c.sendIdle(f)
	}
	c.pass(retryLimit + time.Second)
	for _, f := range c.all {
		if f.broken {
			broken++
		}
		if !f.broken && !f.done && f.target != 0 {
			open++
		}
	}
	return broken, open
}

// wayTaken is the way that the design takes.
const wayTaken = "share exceptions"

// Compare: the ways to share, with the same callers and seeds. The table in
// docs/design/flows.md is the output of -compare -v. At the small size of an
// ordinary run it is checked that sharing exceptions breaks nothing in planned
// changes.
func TestCompareWaysToShare(t *testing.T) {
	long := 400
	if *compareFull {
		long = *compareFlows
	}
	bytes := entryBytes()
	for _, script := range scripts {
		for _, way := range ways {
			if !*compareFull && (script.seed != scripts[0].seed || way.name != wayTaken) {
				continue
			}
			if *compareOnly != "" && *compareOnly != script.name {
				continue
			}
			c := newTrace(way.start(t, script.seed), script.seed, long)
			row := c.measure(script.run, bytes)
			t.Logf("| %s | %d | %s | %d of %d, %d open | %.0f | %.2f | %.0f |", script.name, script.seed,
				way.name, row.broken, len(c.all), row.open, row.control, row.relayed, row.memory)
			if way.name == wayTaken && script.seed == scripts[0].seed && row.broken > 0 {
				t.Errorf("%d flows broken in planned changes", row.broken)
			}
		}
	}
}

// compared is one row of the table.
type compared struct {
	broken int
	// open counts the flows open at the end.
	open int
	// control is in bytes a second of each host, relayed in relays a packet
	// and memory in bytes of an open flow, over all hosts.
	control, relayed, memory float64
}

// measure runs a script.
func (c *trace) measure(run func(*trace), bytes tableBytes) compared {
	before, from := c.sums(), c.now()
	run(c)
	after, took := c.sums(), c.now()-from
	entry := bytes.entry
	if _, isPlain := c.fleet.(*plainFleet); isPlain {
		entry = bytes.plain
	}
	broken, open := c.finish()
	return compared{
		broken: broken, open: open,
		control: (after.controlBytes - before.controlBytes) / took.Seconds() / float64(len(c.down)),
		relayed: float64(after.relays-before.relays) / float64(after.packets-before.packets),
		memory:  (float64(after.entries)*entry + float64(after.told)*bytes.told) / float64(open),
	}
}

// tableBytes is the bytes of one flow in the flow table, among the flows told
// of, and in a plain host's table.
type tableBytes struct{ entry, told, plain float64 }

// entryBytes measures the tables.
func entryBytes() tableBytes {
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
	withTold := liveHeap()
	flows := make(map[packet.Flow]plainTarget)
	for i := range count {
		flows[packet.Flow{CallerPort: uint16(i)}] = plainTarget{zone: "z1"}
	}
	end := liveHeap()
	held := tableBytes{
		entry: float64(withTable-before) / float64(table.Len()),
		told:  float64(withTold-withTable) / float64(replicas.len()),
		plain: float64(end-withTold) / float64(len(flows)),
	}
	return held
}
