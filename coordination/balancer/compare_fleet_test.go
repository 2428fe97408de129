package balancer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// heartbeatWireBytes is the size on the wire of a heartbeat without target
// ramps: JSON, TLS record, and TCP/IP headers in both directions.
const heartbeatWireBytes = 277

// fleet is an implementation of load balancing on nine hosts in three zones.
type fleet interface {
	// deliver sends a packet from the fabric to a host that is up.
	deliver(host int, p *packet.Packet) (ActionKind, uint64)
	// step advances the virtual time by one step.
	step()
	now() time.Duration
	// setDocuments puts documents in force at each host after a random delay of
	// up to skew.
	setDocuments(services []document.Service, skew time.Duration)
	documents() []document.Service
	// leave begins a planned stop; left reports whether the host may exit.
	leave(host int)
	left(host int) bool
	setDown(host int, down bool)
	start(host int)
	pause(host int, paused bool)
	cut(a, b string, isCut bool)
	totals() fleetTotals
}

// fleetTotals holds the totals of a run, and the numbers of flow table entries
// and replicas at its end.
type fleetTotals struct {
	controlBytes      float64
	packets, relays   int
	entries, replicas int
}

// balancerFleet runs the Balancer with one replication mode.
type balancerFleet struct {
	n *testNetwork
	// sentOffset is the bytes sent by replaced hosts, less those sent before
	// the comparison began.
	sentOffset float64
}

func newBalancerFleet(t testing.TB, seed uint64, mode ReplicationMode) fleet {
	n, _ := nineHosts(t, seed, mode)
	return &balancerFleet{n: n, sentOffset: -totalSentBytes(n)}
}

// totalSentBytes returns the control bytes that the current hosts have sent.
func totalSentBytes(n *testNetwork) float64 {
	sum := 0.0
	for _, h := range n.hosts {
		sum += sentBytes(h, n.now)
	}
	return sum
}

// sentBytes returns the control bytes that a host has sent.
func sentBytes(h *testHost, now time.Duration) float64 {
	s := h.Stats(now)
	return float64(s.Heartbeats)*heartbeatWireBytes + float64(s.FlowBytes)
}

func (f *balancerFleet) deliver(host int, p *packet.Packet) (ActionKind, uint64) {
	r := f.n.deliverAt(f.n.hosts[host], p)
	if r.target == nil {
		return r.kind, 0
	}
	return r.kind, r.target.id
}

func (f *balancerFleet) step()                         { f.n.run(step, nil) }
func (f *balancerFleet) now() time.Duration            { return f.n.now }
func (f *balancerFleet) documents() []document.Service { return f.n.services }
func (f *balancerFleet) leave(host int)                { f.n.hosts[host].Leave(f.n.now) }
func (f *balancerFleet) left(host int) bool            { return f.n.hosts[host].Left(f.n.now) }
func (f *balancerFleet) setDown(host int, down bool)   { f.n.hosts[host].down = down }
func (f *balancerFleet) pause(host int, paused bool)   { f.n.hosts[host].paused = paused }

func (f *balancerFleet) setDocuments(services []document.Service, skew time.Duration) {
	f.n.setDocuments(services, f.n.zones, skew)
}

func (f *balancerFleet) start(host int) {
	old := f.n.hosts[host]
	f.sentOffset += sentBytes(old, f.n.now)
	f.n.addHost(old.name, old.zone)
}

func (f *balancerFleet) cut(a, b string, isCut bool) {
	f.n.zoneCut[[2]string{a, b}] = isCut
}

func (f *balancerFleet) totals() fleetTotals {
	s := fleetTotals{controlBytes: f.sentOffset + totalSentBytes(f.n), packets: f.n.sent, relays: f.n.relayed}
	for _, h := range f.n.hosts {
		if h.down {
			continue
		}
		stats := h.Stats(f.n.now)
		s.entries += stats.Flows
		s.replicas += stats.Replicas
	}
	return s
}

// hashingFleet chooses the target of a flow by rendezvous hashing over the
// targets that accept new flows. Each host keeps the result in a local table;
// hosts exchange no messages.
type hashingFleet struct {
	rng      *rand.Rand
	clock    time.Duration
	hosts    [9]*hashingHost
	services []document.Service
	cutZones map[[2]string]bool
	pending  []pendingDocuments
	packets  int
}

type hashingHost struct {
	down   bool
	orders map[packet.Endpoint][]order
	docs   map[packet.Endpoint]*document.Service
	flows  map[packet.Flow]hashingTarget
}

type hashingTarget struct {
	id   uint64
	zone string
}

// pendingDocuments are documents that a host receives at the time due.
type pendingDocuments struct {
	due      time.Duration
	host     int
	services []document.Service
}

func newHashingFleet(_ testing.TB, seed uint64) fleet {
	f := &hashingFleet{rng: rand.New(rand.NewPCG(seed, 1)), clock: time.Hour, cutZones: make(map[[2]string]bool)}
	f.services = testServices(threeZones, 14, 4)
	for i := range f.hosts {
		f.start(i)
	}
	return f
}

// setDocuments puts documents in force at one host.
func (h *hashingHost) setDocuments(services []document.Service) {
	for _, s := range services {
		accepting := s
		accepting.Targets = nil
		for _, t := range s.Targets {
			if t.State != document.TargetDraining {
				accepting.Targets = append(accepting.Targets, t)
			}
		}
		ep := endpointOf(&s)
		h.docs[ep] = &accepting
		h.orders[ep] = buildOrders(&accepting, nil)
	}
}

func (f *hashingFleet) deliver(host int, p *packet.Packet) (ActionKind, uint64) {
	f.packets++
	h := f.hosts[host]
	at, known := h.flows[p.Flow]
	if !known {
		s := h.docs[p.Flow.Service]
		t := &s.Targets[h.orders[p.Flow.Service][slotOf(p.Flow.Hash())][0]]
		at = hashingTarget{TargetID(s.Name, t.Name), t.Zone}
		h.flows[p.Flow] = at
	}
	if p.Class == packet.Closing {
		delete(h.flows, p.Flow)
	}
	if f.cutZones[[2]string{threeZones[host%3], at.zone}] {
		return Drop, 0
	}
	return Forward, at.id
}

func (f *hashingFleet) step() {
	f.clock += step
	var later []pendingDocuments
	for _, d := range f.pending {
		if d.due > f.clock {
			later = append(later, d)
			continue
		}
		f.hosts[d.host].setDocuments(d.services)
	}
	f.pending = later
}

func (f *hashingFleet) setDocuments(services []document.Service, skew time.Duration) {
	f.services = services
	for i := range f.hosts {
		delay := time.Duration(f.rng.Int64N(int64(skew) + 1))
		f.pending = append(f.pending, pendingDocuments{f.clock + delay, i, services})
	}
}

func (f *hashingFleet) start(host int) {
	f.hosts[host] = &hashingHost{
		orders: make(map[packet.Endpoint][]order), docs: make(map[packet.Endpoint]*document.Service),
		flows: make(map[packet.Flow]hashingTarget),
	}
	f.hosts[host].setDocuments(f.services)
}

func (f *hashingFleet) now() time.Duration            { return f.clock }
func (f *hashingFleet) documents() []document.Service { return f.services }
func (f *hashingFleet) leave(int)                     {}
func (f *hashingFleet) left(int) bool                 { return true }
func (f *hashingFleet) setDown(host int, down bool)   { f.hosts[host].down = down }
func (f *hashingFleet) pause(int, bool)               {}
func (f *hashingFleet) cut(a, b string, isCut bool)   { f.cutZones[[2]string{a, b}] = isCut }

func (f *hashingFleet) totals() fleetTotals {
	s := fleetTotals{packets: f.packets}
	for _, h := range f.hosts {
		if !h.down {
			s.entries += len(h.flows)
		}
	}
	return s
}

// variants are the implementations that are compared.
var variants = []struct {
	name  string
	start func(t testing.TB, seed uint64) fleet
}{
	{"plain hashing, local tables", newHashingFleet},
	{"share none", func(t testing.TB, seed uint64) fleet { return newBalancerFleet(t, seed, ReplicateNone) }},
	{"share all", func(t testing.TB, seed uint64) fleet { return newBalancerFleet(t, seed, ReplicateAll) }},
	{"share exceptions", func(t testing.TB, seed uint64) fleet { return newBalancerFleet(t, seed, ReplicateExceptions) }},
}

// hostZone returns the zone of the host with the given index.
func hostZone(host int) string { return threeZones[host%3] }
