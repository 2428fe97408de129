package balancer

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// testFlow is a caller's flow. Lost packets are retransmitted with exponential
// backoff, as in TCP, until retryLimit.
type testFlow struct {
	flow   packet.Flow
	target *testTarget
	seq    uint32
	opened bool
	// broken is why the flow is broken, empty if it is not.
	broken  string
	refused bool
	// retries counts the retransmissions of the current packet, which was first
	// sent at firstSent and is sent again at nextTry.
	retries   int
	nextTry   time.Duration
	firstSent time.Duration
}

// retryLimit is how long a caller retransmits one packet.
const retryLimit = 20 * time.Second

// callers opens flows and sends their packets over a testNetwork.
type callers struct {
	n     *testNetwork
	next  uint32
	flows []*testFlow
	// pending are the flows whose current packet was lost.
	pending []*testFlow
	// long flows stay open and send in turn; short flows are closed after
	// shortSteps.
	long      []*testFlow
	longIndex int
	short     [shortSteps][]*testFlow
	step      int
}

// shortSteps is the lifetime of a short flow and shortEvery its send interval, in
// steps.
const (
	shortSteps = 40
	shortEvery = 10
)

// runStep sends the traffic of one step: it opens short flows, sends packets of
// the older ones, closes the oldest, and sends packets of longSends long flows.
func (c *callers) runStep(opens, longSends int) {
	c.retransmit()
	for age := shortEvery; age < shortSteps; age += shortEvery {
		for _, f := range c.short[(c.step+shortSteps-age)%shortSteps] {
			c.send(f)
		}
	}
	oldest := &c.short[c.step%shortSteps]
	for _, f := range *oldest {
		c.close(f)
	}
	*oldest = nil
	for range opens {
		s := &c.n.services[c.n.rng.IntN(len(c.n.services))]
		*oldest = append(*oldest, c.open(endpointOf(s)))
	}
	for range min(longSends, len(c.long)) {
		c.longIndex = (c.longIndex + 1) % len(c.long)
		c.send(c.long[c.longIndex])
	}
	c.step++
}

// runPartitionedStep sends the traffic of one step while zones are partitioned:
// retransmissions arrive in the zone of the flow's target. It closes no flows.
func (c *callers) runPartitionedStep(opens, longSends int) {
	c.retransmit()
	for range opens {
		s := &c.n.services[c.n.rng.IntN(len(c.n.services))]
		c.open(endpointOf(s))
	}
	for range min(longSends, len(c.long)) {
		c.longIndex = (c.longIndex + 1) % len(c.long)
		c.send(c.long[c.longIndex])
	}
}

// openLongFlows opens count long flows over two seconds.
func (c *callers) openLongFlows(count int) {
	from := len(c.flows)
	c.openMany(count, 2*time.Second)
	c.long = append(c.long, c.flows[from:]...)
}

// close closes an open flow whose packets all arrived.
func (c *callers) close(f *testFlow) {
	if f.broken != "" || f.refused || !f.opened || f.retries > 0 {
		return
	}
	p := packet.Packet{Flow: f.flow, Class: packet.Closing, Seq: f.seq, Ack: 1, AckValid: true}
	if r := c.n.deliver(&p); r.kind == Forward {
		delete(f.target.open, f.flow)
	}
}

// endpointOf returns the first endpoint of a service.
func endpointOf(s *document.Service) packet.Endpoint {
	return packet.NewEndpoint(s.Addresses[0].AddrPort, s.Addresses[0].Protocol)
}

// newFlow returns a flow of a new caller and port, without opening it.
func (c *callers) newFlow(ep packet.Endpoint) *testFlow {
	c.next++
	ip := netip.AddrFrom4([4]byte{172, 16 + byte(c.next>>24), byte(c.next >> 16), byte(c.next >> 8)})
	f := &testFlow{flow: packet.Flow{Caller: ip.As16(), CallerPort: 1024 + uint16(c.next&0xff), Service: ep}}
	f.flow.CallerPort += uint16(c.next>>24) << 8
	return f
}

// open opens a flow to the endpoint. A lost opening is retransmitted later.
func (c *callers) open(ep packet.Endpoint) *testFlow {
	f := c.newFlow(ep)
	c.flows = append(c.flows, f)
	f.firstSent = c.n.now
	c.send(f)
	return f
}

// send sends the flow's opening or its current data packet, unless it waits for a
// retransmission.
func (c *callers) send(f *testFlow) {
	if f.broken != "" || f.refused || (f.retries > 0 && c.n.now < f.nextTry) {
		return
	}
	p := c.dataPacket(f)
	if !f.opened {
		p = packet.Packet{Flow: f.flow, Class: packet.Opening}
	}
	if f.retries == 0 {
		f.firstSent = c.n.now
	}
	if len(c.n.zoneCut) > 0 && f.retries > 0 && f.opened {
		// During a partition, retransmissions arrive in the target's zone.
		c.recordOutcome(f, c.n.deliverIn(f.target.zone, &p))
		return
	}
	c.recordOutcome(f, c.n.deliver(&p))
}

// dataPacket returns the flow's current data packet.
func (c *callers) dataPacket(f *testFlow) packet.Packet {
	return packet.Packet{Flow: f.flow, Class: packet.Data, Seq: f.seq, Ack: 1, AckValid: true, PayloadLen: 10}
}

// recordOutcome updates a flow by the outcome of its packet.
func (c *callers) recordOutcome(f *testFlow, r delivery) {
	switch {
	case r.kind == Forward && !f.opened:
		c.recordOpened(f, r.target)
	case r.kind == Forward && r.target.open[f.flow]:
		f.retries = 0
		f.seq += 10
	case r.kind == Forward:
		f.broken = fmt.Sprintf("packet reached %s/%x, flow is at %x", r.target.zone, r.target.id, f.target.id)
	case r.kind == Refuse && !f.opened:
		f.refused = true
	case r.kind == Refuse:
		f.broken = "given up: " + r.action.Verdict.Cause.String()
	default:
		c.retry(f, r)
	}
}

// recordOpened records that the target accepted the flow and sends the caller's
// acknowledgement with data.
func (c *callers) recordOpened(f *testFlow, target *testTarget) {
	f.opened = true
	f.target = target
	f.retries = 0
	f.seq = 1
	target.open[f.flow] = true
	c.send(f)
}

// retry queues a retransmission with exponential backoff. The flow is broken
// after retryLimit.
func (c *callers) retry(f *testFlow, r delivery) {
	const firstTimeout = 200 * time.Millisecond
	if c.n.now-f.firstSent > retryLimit {
		f.broken = "no answer until the retry limit, last drop cause: " + fmt.Sprint(r.action.Drop)
		return
	}
	f.nextTry = c.n.now + firstTimeout<<min(f.retries, 4)
	f.retries++
	if f.retries == 1 {
		c.pending = append(c.pending, f)
	}
}

// retransmit retransmits the lost packets that are due.
func (c *callers) retransmit() {
	waiting := c.pending
	c.pending = nil
	for _, f := range waiting {
		if f.nextTry <= c.n.now {
			c.send(f)
		}
		if f.retries > 0 && f.broken == "" && !f.refused && !endsWith(c.pending, f) {
			c.pending = append(c.pending, f)
		}
	}
}

// endsWith reports whether the flow is the last element of the list.
func endsWith(list []*testFlow, f *testFlow) bool {
	return len(list) > 0 && list[len(list)-1] == f
}

// settle retransmits lost packets until the retry limit has passed.
func (c *callers) settle() {
	c.n.run(retryLimit+step, c.retransmit)
}

// brokenFlows returns the number of broken flows and the first five reasons.
func (c *callers) brokenFlows() (int, []string) {
	n := 0
	var reasons []string
	for _, f := range c.flows {
		if f.broken == "" {
			continue
		}
		n++
		if len(reasons) < 5 {
			reasons = append(reasons, f.broken)
		}
	}
	return n, reasons
}

// testServices returns two services whose targets are spread over the zones.
func testServices(zones []string, orderTargets, archiveTargets int) []document.Service {
	limits := document.Limits{Connections: 1 << 30, OpeningsInFlight: 1 << 20, OpeningsPerSecond: 1 << 20}
	newService := func(name, addr string, count int) document.Service {
		s := document.Service{
			Name: name, Team: name, Generation: 1,
			Addresses: []document.Address{{AddrPort: netip.MustParseAddrPort(addr), Protocol: packet.ProtoTCP}},
		}
		for i := range count {
			target := document.Target{
				Name: fmt.Sprintf("t%02d", i), Zone: zones[i%len(zones)], Weight: 1,
				State: document.TargetActive, Limits: limits, Ramp: 10 * time.Second,
			}
			target.Tunnel = targetTunnel(TargetID(name, target.Name))
			s.Targets = append(s.Targets, target)
		}
		return s
	}
	return []document.Service{
		newService("order-book", "192.0.2.1:443", orderTargets),
		newService("map-archive", "192.0.2.2:443", archiveTargets),
	}
}

// copyServices returns copies of the documents with target lists of their own.
func copyServices(services []document.Service) []document.Service {
	out := make([]document.Service, len(services))
	for i, s := range services {
		out[i] = s
		out[i].Targets = append([]document.Target(nil), s.Targets...)
	}
	return out
}

// zonesIn returns a zones document with the named zones, in service except those
// in out.
func zonesIn(names []string, out ...string) document.Zones {
	z := document.Zones{Generation: 1}
	for _, name := range names {
		state := document.ZoneIn
		for _, o := range out {
			if o == name {
				state = document.ZoneOut
			}
		}
		z.Zones = append(z.Zones, document.Zone{Name: name, State: state})
	}
	return z
}
