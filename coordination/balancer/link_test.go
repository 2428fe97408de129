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

// step is the length of one step of virtual time.
const step = 100 * time.Millisecond

// testHost is one host on the link.
type testHost struct {
	*Balancer
	name   string
	zone   string
	dead   bool
	frozen bool
	// given collects the flows that its ticks gave up.
	given []GivenUp
}

// message is a control message on its way.
type message struct {
	at      time.Duration
	seq     int
	deliver func()
}

type messageQueue []message

func (q messageQueue) Len() int { return len(q) }
func (q messageQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q messageQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *messageQueue) Push(x any)   { *q = append(*q, x.(message)) }
func (q *messageQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// link joins several cores in memory under virtual time: a fake of the
// sockets between them, of the fabric and of the targets.
type link struct {
	t       testing.TB
	rng     *rand.Rand
	now     time.Duration
	hosts   []*testHost
	targets map[uint64]*testTarget
	queue   messageQueue
	seq     int
	// cut reports whether nothing sent from one zone arrives in the other.
	cut map[[2]string]bool
	// hostCut does the same for two hosts, by name.
	hostCut     map[[2]string]bool
	services    []document.Service
	zones       document.Zones
	digest      uint64
	replication ReplicationMode
	// relayed and sent count packets; controlBytes counts messages' cost.
	relayed, sent int
	inc           uint64
	misdelivered  int
}

// testTarget is what a fake target knows: the flows open at it.
type testTarget struct {
	id      uint64
	service string
	zone    string
	open    map[packet.Flow]bool
	resets  map[packet.Flow]bool
	packets int
}

func newLink(t testing.TB, seed uint64) *link {
	t.Logf("seed %d", seed)
	return &link{
		t:       t,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		now:     time.Hour,
		targets: make(map[uint64]*testTarget),
		cut:     make(map[[2]string]bool),
		hostCut: make(map[[2]string]bool),
	}
}

// addHost starts a host that knows the others and, if alone, nobody.
func (n *link) addHost(name, zone string) *testHost {
	n.inc++
	i := len(n.hosts)
	h := &testHost{name: name, zone: zone, Balancer: New(Config{
		Host: peer.Host{
			Name: name, Zone: zone, Incarnation: n.inc,
			Relay:   fmt.Sprintf("10.9.%d.%d:6080", i/250, i%250+1),
			Control: name,
		},
		Seed: uint64(i), Replication: n.replication,
	})}
	for at, old := range n.hosts {
		if old.name == name {
			n.hosts[at] = h
			n.introduce(h)
			return h
		}
	}
	n.hosts = append(n.hosts, h)
	n.introduce(h)
	return h
}

// introduce gives a new host the hosts that its settings name, and documents.
func (n *link) introduce(h *testHost) {
	var known []peer.Host
	for _, o := range n.hosts {
		known = append(known, o.cfg.Host)
	}
	h.AddHosts(n.now, known)
	if len(n.services) > 0 {
		h.SetDocuments(n.now, n.services, n.zones, n.digest)
	}
}

// host returns the live host of that name.
func (n *link) host(name string) *testHost {
	for _, h := range n.hosts {
		if h.name == name {
			return h
		}
	}
	n.t.Fatalf("no host %s", name)
	return nil
}

// setDocuments gives each host the documents after a delay of its own, up to
// skew.
func (n *link) setDocuments(services []document.Service, zones document.Zones, skew time.Duration) {
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
			if !h.dead && h.docsDigest < digest {
				h.SetDocuments(n.now, services, zones, digest)
			}
		})
	}
}

// after runs f later.
func (n *link) after(d time.Duration, f func()) {
	n.seq++
	heap.Push(&n.queue, message{at: n.now + d, seq: n.seq, deliver: f})
}

// reaches reports whether what a sends arrives at b.
func (n *link) reaches(a, b *testHost) bool {
	return !b.dead && !b.frozen && !n.cut[[2]string{a.zone, b.zone}] && !n.hostCut[[2]string{a.name, b.name}]
}

// run lets virtual time pass, calling each at every step.
func (n *link) run(d time.Duration, each func()) {
	for end := n.now + d; n.now < end; {
		n.now += step
		for n.queue.Len() > 0 && n.queue[0].at <= n.now {
			heap.Pop(&n.queue).(message).deliver()
		}
		for _, h := range n.hosts {
			if !h.dead && !h.frozen {
				n.tick(h)
			}
		}
		if each != nil {
			each()
		}
	}
}

// tick ticks one host and sends what it asks for.
func (n *link) tick(h *testHost) {
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
	h.given = append(h.given, out.Resets...)
	for _, g := range out.Resets {
		for _, r := range g.Resets[:g.ResetLen] {
			n.reset(h, r)
		}
	}
}

// send delivers a control message a moment later if the way is open then.
func (n *link) send(from *testHost, to string, f func(*testHost)) {
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
func (n *link) reset(from *testHost, r Reset) {
	if !r.ToTarget {
		return
	}
	for _, target := range n.targets {
		if targetTunnel(target.id) == r.Dest && !n.cut[[2]string{from.zone, target.zone}] {
			delete(target.open, r.Flow)
			target.resets[r.Flow] = true
		}
	}
}

// targetTunnel gives each target an address of its own.
func targetTunnel(id uint64) netip.AddrPort {
	b := [4]byte{10, byte(id >> 8), byte(id >> 16), byte(id >> 24)}
	return netip.AddrPortFrom(netip.AddrFrom4(b), 6080)
}

// result is where a packet ended.
type result struct {
	kind   ActionKind
	target *testTarget
	action Action
	hops   int
	// reached is set when the packet came to some host at all.
	reached bool
}

// deliverIn sends a packet from the fabric to a random live host of a zone.
func (n *link) deliverIn(zone string, p *packet.Packet) result {
	for {
		if h := n.liveHost(); h.zone == zone {
			return n.deliverAt(h, p)
		}
	}
}

// deliver sends a packet from the fabric to a random live host.
func (n *link) deliver(p *packet.Packet) result {
	h := n.hosts[n.rng.IntN(len(n.hosts))]
	if h.dead || h.frozen {
		return result{kind: Drop}
	}
	return n.deliverAt(h, p)
}

// liveHost returns a random host that is up.
func (n *link) liveHost() *testHost {
	for {
		h := n.hosts[n.rng.IntN(len(n.hosts))]
		if !h.dead && !h.frozen {
			return h
		}
	}
}

// deliverAt sends a packet from the fabric to a host and follows it.
func (n *link) deliverAt(h *testHost, p *packet.Packet) result {
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
			return n.arrive(h, p, a, hop)
		case RelayTo:
			n.relayed++
			relay = a.Relay
			next := n.byID(a.Host)
			if next == nil || !n.reaches(h, next) {
				return result{kind: Drop, hops: hop, reached: true, action: a}
			}
			h = next
		case Refuse, Drop:
			return result{kind: a.Kind, action: a, hops: hop, reached: true}
		}
	}
	n.t.Fatalf("packet still on its way after %d hops: %+v", hopLimit, relay)
	return result{}
}

func (n *link) byID(id uint32) *testHost {
	for _, h := range n.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// arrive hands a packet to its target.
func (n *link) arrive(from *testHost, p *packet.Packet, a Action, hop int) result {
	target := n.targets[a.Target]
	if n.cut[[2]string{from.zone, target.zone}] {
		return result{kind: Drop, hops: hop, reached: true, action: a}
	}
	target.packets++
	if serviceOf(n.services, p.Flow.Service) != target.service {
		n.misdelivered++
	}
	return result{kind: Forward, target: target, action: a, hops: hop, reached: true}
}

// serviceOf returns the name of the service that has the endpoint.
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
