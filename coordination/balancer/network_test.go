package balancer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/peer"
)

// step is the unit by which virtual time advances.
const step = 100 * time.Millisecond

// testHost is a host of a testNetwork.
type testHost struct {
	*Balancer
	name   string
	zone   string
	down   bool
	paused bool
	// givenUp collects the flows that the host gave up in Tick.
	givenUp []GivenUp
}

// scheduledEvent is a delivery that is due at a virtual time; seq orders events
// that are due at the same time.
type scheduledEvent struct {
	at  time.Duration
	seq int
	run func()
}

// eventQueue is a heap of events by due time.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// testNetwork simulates several hosts in memory under virtual time, with the
// network between them, the fabric and the targets.
type testNetwork struct {
	t       testing.TB
	rng     *rand.Rand
	now     time.Duration
	hosts   []*testHost
	targets map[uint64]*testTarget
	queue   eventQueue
	seq     int
	// zoneCut is set for a pair of zones if all packets and messages from the
	// first to the second are lost.
	zoneCut map[[2]string]bool
	// hostCut is the same for pairs of hosts, by name.
	hostCut     map[[2]string]bool
	services    []document.Service
	zones       document.Zones
	digest      uint64
	replication ReplicationMode
	// sent counts packets from the fabric, relayed the relays between hosts.
	relayed, sent int
	incarnation   uint64
	misdelivered  int
}

// testTarget is a simulated target with the flows that are open at it and those
// that were reset.
type testTarget struct {
	id      uint64
	service string
	zone    string
	open    map[packet.Flow]bool
	resets  map[packet.Flow]bool
	packets int
}

func newTestNetwork(t testing.TB, seed uint64) *testNetwork {
	t.Logf("seed %d", seed)
	return &testNetwork{
		t:       t,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		now:     time.Hour,
		targets: make(map[uint64]*testTarget),
		zoneCut: make(map[[2]string]bool),
		hostCut: make(map[[2]string]bool),
	}
}

// addHost starts a host with the addresses of all other hosts. It replaces a
// host of the same name.
func (n *testNetwork) addHost(name, zone string) *testHost {
	n.incarnation++
	i := len(n.hosts)
	h := &testHost{name: name, zone: zone, Balancer: New(Config{
		Host: peer.Host{
			Name: name, Zone: zone, Incarnation: n.incarnation,
			Relay:   fmt.Sprintf("10.9.%d.%d:6080", i/250, i%250+1),
			Control: name,
		},
		Seed: uint64(i), Replication: n.replication,
	})}
	for at, old := range n.hosts {
		if old.name == name {
			n.hosts[at] = h
			n.configure(h)
			return h
		}
	}
	n.hosts = append(n.hosts, h)
	n.configure(h)
	return h
}

// configure sets the peers and the current documents of a new host.
func (n *testNetwork) configure(h *testHost) {
	var known []peer.Host
	for _, o := range n.hosts {
		known = append(known, o.cfg.Host)
	}
	h.AddHosts(n.now, known)
	if len(n.services) > 0 {
		h.SetDocuments(n.now, n.services, n.zones, n.digest)
	}
}

// host returns the host of that name.
func (n *testNetwork) host(name string) *testHost {
	for _, h := range n.hosts {
		if h.name == name {
			return h
		}
	}
	n.t.Fatalf("no host %s", name)
	return nil
}

// setDocuments puts documents in force at each host after a random delay of less
// than skew.
func (n *testNetwork) setDocuments(services []document.Service, zones document.Zones, skew time.Duration) {
	n.digest++
	n.services, n.zones = services, zones
	for i := range services {
		services[i].Generation = n.digest
		for _, target := range services[i].Targets {
			id := TargetID(services[i].Name, target.Name)
			if n.targets[id] == nil {
				n.targets[id] = &testTarget{
					id: id, service: services[i].Name, zone: target.Zone,
					open: make(map[packet.Flow]bool), resets: make(map[packet.Flow]bool),
				}
			}
		}
	}
	digest := n.digest
	for _, h := range n.hosts {
		delay := time.Duration(0)
		if skew > 0 {
			delay = time.Duration(n.rng.Int64N(int64(skew)))
		}
		n.after(delay, func() {
			if !h.down && h.docsDigest < digest {
				h.SetDocuments(n.now, services, zones, digest)
			}
		})
	}
}

// after schedules f to run after d.
func (n *testNetwork) after(d time.Duration, f func()) {
	n.seq++
	heap.Push(&n.queue, scheduledEvent{at: n.now + d, seq: n.seq, run: f})
}

// reaches reports whether packets and messages from a arrive at b.
func (n *testNetwork) reaches(a, b *testHost) bool {
	return !b.down && !b.paused && !n.zoneCut[[2]string{a.zone, b.zone}] && !n.hostCut[[2]string{a.name, b.name}]
}

// run advances the virtual time by d and calls each after every step.
func (n *testNetwork) run(d time.Duration, each func()) {
	for end := n.now + d; n.now < end; {
		n.now += step
		for n.queue.Len() > 0 && n.queue[0].at <= n.now {
			heap.Pop(&n.queue).(scheduledEvent).run()
		}
		for _, h := range n.hosts {
			if !h.down && !h.paused {
				n.tick(h)
			}
		}
		if each != nil {
			each()
		}
	}
}

// tick calls Tick of one host and delivers the messages and resets it returns.
func (n *testNetwork) tick(h *testHost) {
	out := h.Tick(n.now)
	for _, m := range out.Heartbeats {
		n.send(h, m.To.Name, func(to *testHost) { to.HandleHeartbeat(n.now, m.Heartbeat) })
	}
	for _, m := range out.Flows {
		n.send(h, m.To.Name, func(to *testHost) { to.HandleFlows(n.now, m.Flows) })
	}
	for _, m := range out.Hellos {
		n.send(h, m.Hello.Host.Name, nil)
		n.send(h, m.Control, func(to *testHost) {
			reply := to.HandleHello(n.now, m.Hello)
			n.send(to, h.name, func(back *testHost) { back.HandleHelloReply(n.now, reply) })
		})
	}
	h.givenUp = append(h.givenUp, out.Resets...)
	for _, g := range out.Resets {
		for _, r := range g.Resets[:g.ResetLen] {
			n.reset(h, r)
		}
	}
}

// send delivers a control message after 1 ms if the receiver is reachable then.
func (n *testNetwork) send(from *testHost, to string, f func(*testHost)) {
	if f == nil {
		return
	}
	n.after(time.Millisecond, func() {
		for _, h := range n.hosts {
			if h.name == to && n.reaches(from, h) {
				f(h)
			}
		}
	})
}

// reset applies a reset at a target.
func (n *testNetwork) reset(from *testHost, r Reset) {
	if !r.ToTarget {
		return
	}
	for _, target := range n.targets {
		if targetTunnel(target.id) == r.Dest && !n.zoneCut[[2]string{from.zone, target.zone}] {
			delete(target.open, r.Flow)
			target.resets[r.Flow] = true
		}
	}
}

// targetTunnel derives a tunnel address from a target's ID.
func targetTunnel(id uint64) netip.AddrPort {
	b := [4]byte{10, byte(id >> 8), byte(id >> 16), byte(id >> 24)}
	return netip.AddrPortFrom(netip.AddrFrom4(b), 6080)
}

// delivery is the outcome of a packet.
type delivery struct {
	kind   ActionKind
	target *testTarget
	action Action
	hops   int
	// reached is set if the packet arrived at a host.
	reached bool
}

// deliverIn sends a packet from the fabric to a random live host of a zone.
func (n *testNetwork) deliverIn(zone string, p *packet.Packet) delivery {
	for {
		if h := n.liveHost(); h.zone == zone {
			return n.deliverAt(h, p)
		}
	}
}

// deliver sends a packet from the fabric to a random host. It is lost if the host
// is down or paused.
func (n *testNetwork) deliver(p *packet.Packet) delivery {
	h := n.hosts[n.rng.IntN(len(n.hosts))]
	if h.down || h.paused {
		return delivery{kind: Drop}
	}
	return n.deliverAt(h, p)
}

// liveHost returns a random host that is neither down nor paused.
func (n *testNetwork) liveHost() *testHost {
	for {
		h := n.hosts[n.rng.IntN(len(n.hosts))]
		if !h.down && !h.paused {
			return h
		}
	}
}

// deliverAt sends a packet from the fabric to a host and through all relays.
func (n *testNetwork) deliverAt(h *testHost, p *packet.Packet) delivery {
	const hopLimit = 40
	var relay packet.Relay
	var a Action
	n.sent++
	for hop := range hopLimit {
		h.HandlePacket(n.now, p, &relay, &a)
		for _, r := range a.Resets[:a.ResetLen] {
			n.reset(h, r)
		}
		switch a.Kind {
		case Forward:
			return n.deliverToTarget(h, p, a, hop)
		case RelayTo:
			n.relayed++
			relay = a.Relay
			next := n.hostByID(a.Host)
			if next == nil || !n.reaches(h, next) {
				return delivery{kind: Drop, hops: hop, reached: true, action: a}
			}
			h = next
		case Refuse, Drop:
			return delivery{kind: a.Kind, action: a, hops: hop, reached: true}
		}
	}
	n.t.Fatalf("packet still being relayed after %d hops: %+v", hopLimit, relay)
	return delivery{}
}

// hostByID returns the host with the ID, nil if there is none.
func (n *testNetwork) hostByID(id uint32) *testHost {
	for _, h := range n.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// deliverToTarget delivers a packet to the target that a host chose.
func (n *testNetwork) deliverToTarget(from *testHost, p *packet.Packet, a Action, hop int) delivery {
	target := n.targets[a.Target]
	if n.zoneCut[[2]string{from.zone, target.zone}] {
		return delivery{kind: Drop, hops: hop, reached: true, action: a}
	}
	target.packets++
	if serviceOf(n.services, p.Flow.Service) != target.service {
		n.misdelivered++
	}
	return delivery{kind: Forward, target: target, action: a, hops: hop, reached: true}
}

// serviceOf returns the name of the service that has the endpoint, empty if there
// is none.
func serviceOf(services []document.Service, ep packet.Endpoint) string {
	for _, s := range services {
		for _, a := range s.Addresses {
			if packet.NewEndpoint(a.AddrPort, a.Protocol) == ep {
				return s.Name
			}
		}
	}
	return ""
}
