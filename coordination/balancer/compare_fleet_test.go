package balancer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// heartbeatWire is the bytes on the wire of a heartbeat between hosts without
// fresh targets: JSON, TLS record, and TCP/IP headers both ways.
const heartbeatWire = 277

// fleet is one way to spread flows over targets, on nine hosts in three zones.
type fleet interface {
	// deliver sends a packet from the fabric to a host that is up.
	deliver(host int, p *packet.Packet) (ActionKind, uint64)
	// step lets one step of virtual time pass.
	step()
	now() time.Duration
	put(services []document.Service, skew time.Duration)
	documents() []document.Service
	// leave begins a planned stop; left reports whether it may end.
	leave(host int)
	left(host int) bool
	setDown(host int, down bool)
	start(host int)
	pause(host int, paused bool)
	cut(a, b string, isCut bool)
	sums() fleetSums
}

// fleetSums are totals of a run, and gauges at its end.
type fleetSums struct {
	controlBytes    float64
	packets, relays int
	entries, told   int
}

// coreFleet is the balancer itself, with one way of sharing.
type coreFleet struct {
	n *link
	// past is what replaced hosts sent.
	past float64
}

func newCoreFleet(t testing.TB, seed uint64, sharing ReplicationMode) fleet {
	n, _ := nineHosts(t, seed, sharing)
	return &coreFleet{n: n, past: -sentOf(n)}
}

// sentOf returns the bytes that the hosts sent.
func sentOf(n *link) float64 {
	sum := 0.0
	for _, h := range n.hosts {
		sum += sentBytes(h, n.now)
	}
	return sum
}

func sentBytes(h *testHost, now time.Duration) float64 {
	s := h.Stats(now)
	return float64(s.Heartbeats)*heartbeatWire + float64(s.FlowBytes)
}

func (f *coreFleet) deliver(host int, p *packet.Packet) (ActionKind, uint64) {
	r := f.n.deliverAt(f.n.hosts[host], p)
	if r.target == nil {
		return r.kind, 0
	}
	return r.kind, r.target.id
}

func (f *coreFleet) step()                         { f.n.run(step, nil) }
func (f *coreFleet) now() time.Duration            { return f.n.now }
func (f *coreFleet) documents() []document.Service { return f.n.services }
func (f *coreFleet) leave(host int)                { f.n.hosts[host].Leave(f.n.now) }
func (f *coreFleet) left(host int) bool            { return f.n.hosts[host].Left(f.n.now) }
func (f *coreFleet) setDown(host int, down bool)   { f.n.hosts[host].dead = down }
func (f *coreFleet) pause(host int, paused bool)   { f.n.hosts[host].frozen = paused }

func (f *coreFleet) put(services []document.Service, skew time.Duration) {
	f.n.setDocuments(services, f.n.zones, skew)
}

func (f *coreFleet) start(host int) {
	old := f.n.hosts[host]
	f.past += sentBytes(old, f.n.now)
	f.n.addHost(old.name, old.zone)
}

func (f *coreFleet) cut(a, b string, isCut bool) {
	f.n.cut[[2]string{a, b}] = isCut
}

func (f *coreFleet) sums() fleetSums {
	s := fleetSums{controlBytes: f.past + sentOf(f.n), packets: f.n.sent, relays: f.n.relayed}
	for _, h := range f.n.hosts {
		if h.dead {
			continue
		}
		stats := h.Stats(f.n.now)
		s.entries += stats.Flows
		s.told += stats.Replicas
	}
	return s
}

// plainFleet hashes each flow over the targets that accept new flows and keeps
// the result in a table of each host's own. Hosts say nothing to each other.
type plainFleet struct {
	rng      *rand.Rand
	at       time.Duration
	hosts    [9]*plainHost
	services []document.Service
	cutZones map[[2]string]bool
	pending  []plainDocuments
	packets  int
}

type plainHost struct {
	down   bool
	orders map[packet.Endpoint][]order
	docs   map[packet.Endpoint]*document.Service
	flows  map[packet.Flow]plainTarget
}

type plainTarget struct {
	id   uint64
	zone string
}

// plainDocuments are documents on their way to a host.
type plainDocuments struct {
	at       time.Duration
	host     int
	services []document.Service
}

func newPlainFleet(_ testing.TB, seed uint64) fleet {
	f := &plainFleet{rng: rand.New(rand.NewPCG(seed, 1)), at: time.Hour, cutZones: make(map[[2]string]bool)}
	f.services = testServices(threeZones, 14, 4)
	for i := range f.hosts {
		f.start(i)
	}
	return f
}

// setDocuments puts documents in force at one host.
func (h *plainHost) setDocuments(services []document.Service) {
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

func (f *plainFleet) deliver(host int, p *packet.Packet) (ActionKind, uint64) {
	f.packets++
	h := f.hosts[host]
	at, known := h.flows[p.Flow]
	if !known {
		s := h.docs[p.Flow.Service]
		t := &s.Targets[h.orders[p.Flow.Service][slotOf(p.Flow.Hash())][0]]
		at = plainTarget{TargetID(s.Name, t.Name), t.Zone}
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

func (f *plainFleet) step() {
	f.at += step
	var later []plainDocuments
	for _, d := range f.pending {
		if d.at > f.at {
			later = append(later, d)
			continue
		}
		f.hosts[d.host].setDocuments(d.services)
	}
	f.pending = later
}

func (f *plainFleet) put(services []document.Service, skew time.Duration) {
	f.services = services
	for i := range f.hosts {
		delay := time.Duration(f.rng.Int64N(int64(skew) + 1))
		f.pending = append(f.pending, plainDocuments{f.at + delay, i, services})
	}
}

func (f *plainFleet) start(host int) {
	f.hosts[host] = &plainHost{
		orders: make(map[packet.Endpoint][]order), docs: make(map[packet.Endpoint]*document.Service),
		flows: make(map[packet.Flow]plainTarget),
	}
	f.hosts[host].setDocuments(f.services)
}

func (f *plainFleet) now() time.Duration            { return f.at }
func (f *plainFleet) documents() []document.Service { return f.services }
func (f *plainFleet) leave(int)                     {}
func (f *plainFleet) left(int) bool                 { return true }
func (f *plainFleet) setDown(host int, down bool)   { f.hosts[host].down = down }
func (f *plainFleet) pause(int, bool)               {}
func (f *plainFleet) cut(a, b string, isCut bool)   { f.cutZones[[2]string{a, b}] = isCut }

func (f *plainFleet) sums() fleetSums {
	s := fleetSums{packets: f.packets}
	for _, h := range f.hosts {
		if !h.down {
			s.entries += len(h.flows)
		}
	}
	return s
}

// ways are what is compared.
var ways = []struct {
	name  string
	start func(t testing.TB, seed uint64) fleet
}{
	{"plain hashing, local tables", newPlainFleet},
	{"share none", func(t testing.TB, seed uint64) fleet { return newCoreFleet(t, seed, ReplicateNone) }},
	{"share all", func(t testing.TB, seed uint64) fleet { return newCoreFleet(t, seed, ReplicateAll) }},
	{"share exceptions", func(t testing.TB, seed uint64) fleet { return newCoreFleet(t, seed, ReplicateExceptions) }},
}

// hostZone returns the zone of a host by its number.
func hostZone(host int) string { return threeZones[host%3] }
