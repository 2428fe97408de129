package replay

import (
	"fmt"
	"slices"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/balancer"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/peer"
)

const (
	// tickInterval is the time between two calls of the core's Tick.
	tickInterval = 100 * time.Millisecond
	// fabricDetectionDelay is how long the fabric sends packets to a host that
	// no longer accepts them.
	fabricDetectionDelay = 2 * time.Second
)

// host is a core with the state that its daemon would hold.
type host struct {
	core *balancer.Balancer
	name string
	zone string
	id   uint32
	// dead hosts have stopped; a paused host does nothing until pausedUntil.
	dead        bool
	pausedUntil time.Duration
	// withdrawnAt is when the fabric stops sending packets to the host, or 0.
	withdrawnAt time.Duration
	leaving     bool
	docs        documents
}

func (h *host) alive(now time.Duration) bool { return !h.dead && now >= h.pausedUntil }

// inFabric reports whether the fabric sends packets to the host.
func (h *host) inFabric(now time.Duration) bool { return h.withdrawnAt == 0 || now < h.withdrawnAt }

// startHost starts a process of the host with all other hosts as peers, stopped
// ones included. At the start of the run, the other hosts get it as a peer, too.
func (sim *simulation) startHost(name, zoneName string) {
	incarnation := uint64(1)
	var known []peer.Host
	sim.hosts = slices.DeleteFunc(sim.hosts, func(h *host) bool {
		if h.name == name {
			incarnation = uint64(sim.now) + 2
		}
		return h.name == name
	})
	for _, h := range sim.hosts {
		known = append(known, hostInfo(h.name, h.zone, 0))
	}
	self := hostInfo(name, zoneName, incarnation)
	h := &host{
		core: balancer.New(balancer.Config{Host: self, Seed: sim.seed}),
		name: name, zone: zoneName, id: balancer.HostID(name),
	}
	h.core.AddHosts(sim.now, known)
	for _, other := range sim.hosts {
		if sim.now == 0 {
			other.core.AddHosts(sim.now, []peer.Host{self})
		}
	}
	sim.hosts = append(sim.hosts, h)
	offset := time.Duration(sim.rng.Int64N(int64(tickInterval)))
	sim.after(offset, func() { sim.tick(h) })
	sim.after(offset, func() { sim.poll(h) })
}

func hostInfo(name, zoneName string, incarnation uint64) peer.Host {
	id := balancer.HostID(name)
	return peer.Host{
		Name: name, Zone: zoneName, Incarnation: incarnation,
		Relay:   fmt.Sprintf("10.255.%d.%d:6081", byte(id>>8), byte(id)),
		Control: name,
	}
}

func (sim *simulation) findHost(name string) *host {
	for _, h := range sim.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// tick ticks a host's core at each interval until the host stops.
func (sim *simulation) tick(h *host) {
	if h.dead {
		return
	}
	sim.after(tickInterval, func() { sim.tick(h) })
	if !h.alive(sim.now) {
		return
	}
	out := h.core.Tick(sim.now)
	sim.sendAll(h, &out)
	if h.leaving && h.core.Left(sim.now) {
		h.dead, h.withdrawnAt = true, sim.now
	}
}

// sendAll sends the messages that a tick returned.
func (sim *simulation) sendAll(h *host, out *balancer.Outputs) {
	for _, m := range out.Heartbeats {
		sim.send(h, m.To.Name, func(to *host) { to.core.HandleHeartbeat(sim.now, m.Heartbeat) })
	}
	for _, m := range out.Flows {
		sim.send(h, m.To.Name, func(to *host) { to.core.HandleFlows(sim.now, m.Flows) })
	}
	for _, m := range out.Hellos {
		sim.send(h, m.Control, func(to *host) {
			reply := to.core.HandleHello(sim.now, m.Hello)
			sim.send(to, h.name, func(back *host) { back.core.HandleHelloReply(sim.now, reply) })
		})
	}
	for _, from := range out.FetchFrom {
		sim.send(h, from.Name, func(to *host) {
			docs := to.docs.clone()
			sim.send(to, h.name, func(back *host) { sim.applyDocuments(back, &docs) })
		})
	}
	for _, g := range out.Resets {
		sim.applyResets(h, g.Resets[:g.ResetLen], g.Verdict)
	}
}

// send delivers a message after HostDistance unless the receiver is down or its
// zone is cut off from the sender's.
func (sim *simulation) send(from *host, to string, deliver func(*host)) {
	sim.after(sim.trace.HostDistance, func() {
		h := sim.findHost(to)
		if h != nil && h.alive(sim.now) && sim.reaches(from.zone, h.zone) {
			deliver(h)
		}
	})
}

// packetOutcome is what the hosts did with a packet.
type packetOutcome struct {
	kind   balancer.ActionKind
	action balancer.Action
	target *target
	host   *host
}

// sendToFabric sends a packet to a random host in the fabric and returns its
// outcome.
func (sim *simulation) sendToFabric(p *packet.Packet) packetOutcome {
	start := sim.rng.IntN(len(sim.hosts))
	for i := range sim.hosts {
		h := sim.hosts[(start+i)%len(sim.hosts)]
		if h.inFabric(sim.now) {
			return sim.relayPacket(h, p)
		}
	}
	return packetOutcome{kind: balancer.Drop}
}

// relayPacket relays a packet from host to host until a host does not relay it.
func (sim *simulation) relayPacket(h *host, p *packet.Packet) packetOutcome {
	const maxHops = 40
	var relay packet.Relay
	var a balancer.Action
	for range maxHops {
		if !h.alive(sim.now) {
			return packetOutcome{kind: balancer.Drop}
		}
		h.core.HandlePacket(sim.now, p, &relay, &a)
		sim.applyResets(h, a.Resets[:a.ResetLen], a.Verdict)
		if a.Kind != balancer.RelayTo {
			return sim.concludePacket(h, a)
		}
		relay = a.Relay
		next := sim.hostByID(a.Host)
		if next == nil || !sim.reaches(h.zone, next.zone) {
			return packetOutcome{kind: balancer.Drop, action: a}
		}
		h = next
	}
	sim.metrics.addViolation(sim.now, OutcomeKind("hop-limit"), &p.Flow, "packet passed too many hosts")
	return packetOutcome{kind: balancer.Drop}
}

// concludePacket returns the outcome of a packet that the host did not relay.
func (sim *simulation) concludePacket(h *host, a balancer.Action) packetOutcome {
	o := packetOutcome{kind: a.Kind, action: a, host: h}
	if a.Kind != balancer.Forward {
		return o
	}
	o.target = sim.targets[a.Target]
	if o.target == nil || !sim.reaches(h.zone, o.target.zone) {
		return packetOutcome{kind: balancer.Drop, action: a}
	}
	return o
}

func (sim *simulation) hostByID(id uint32) *host {
	for _, h := range sim.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}
