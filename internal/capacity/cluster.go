package main

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/balancer"
	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/peer"
)

// sentBy counts what one host sent for control, in bytes on the connection.
type sentBy struct {
	heartbeats, flows, hellos float64
	// beats and flowMessages are parts of messages; fingerprints is the number
	// of flows that the messages about flows named.
	messages, beats, flowMessages, fingerprints int
}

// total returns all bytes.
func (s sentBy) total() float64 { return s.heartbeats + s.flows + s.hellos }

// plus returns the sum of two counts, the second one times sign.
func (s sentBy) plus(o sentBy, sign int) sentBy {
	f := float64(sign)
	return sentBy{
		heartbeats: s.heartbeats + f*o.heartbeats, flows: s.flows + f*o.flows, hellos: s.hellos + f*o.hellos,
		messages: s.messages + sign*o.messages, beats: s.beats + sign*o.beats,
		flowMessages: s.flowMessages + sign*o.flowMessages, fingerprints: s.fingerprints + sign*o.fingerprints,
	}
}

// minus returns what was sent since an earlier count.
func (s sentBy) minus(o sentBy) sentBy { return s.plus(o, -1) }

// joinedCore is a real core that is joined to others in memory.
type joinedCore struct {
	*balancer.Balancer
	host peer.Host
	id   uint32
	sent sentBy
	dead bool
}

// joined is a fleet of real cores under virtual time. Messages arrive at once;
// each is charged to its sender with its length in JSON and what carrying it
// over mutual TLS was measured to add.
type joined struct {
	now      time.Duration
	cores    []*joinedCore
	byID     map[uint32]*joinedCore
	byName   map[string]*joinedCore
	services []document.Service
	digest   uint64
	rng      *rand.Rand
	overhead messageOverhead
	// lost counts packets that were dropped or refused.
	packets, relayed, lost int
}

// messageOverhead is the bytes that a message has on the connection beyond its
// parameters in JSON.
type messageOverhead struct{ heartbeat, flows float64 }

// Numbers as long as in a running fleet, since JSON writes them in decimal.
const (
	firstIncarnation = 1_700_000_000_000
	firstDigest      = 1 << 63
)

// newJoined starts hosts spread over zones.
func newJoined(hosts, zones int, services []document.Service, overhead messageOverhead) *joined {
	j := &joined{
		now: time.Hour, byID: make(map[uint32]*joinedCore), byName: make(map[string]*joinedCore),
		services: services, digest: firstDigest, rng: rand.New(rand.NewPCG(seed, 0)), overhead: overhead,
	}
	var known []peer.Host
	for i := range hosts {
		h := hostAt(i, zoneName(i%zones))
		h.Incarnation = firstIncarnation
		known = append(known, h)
	}
	for _, h := range known {
		j.start(h, known)
	}
	return j
}

// start starts a host, in the place of an earlier one of its name.
func (j *joined) start(h peer.Host, known []peer.Host) {
	c := &joinedCore{host: h, id: balancer.HostID(h.Name)}
	c.Balancer = balancer.New(balancer.Config{Host: h, Seed: seed})
	c.AddHosts(j.now, known)
	c.SetDocuments(j.now, j.services, zonesDoc(1, ""), j.digest)
	if old := j.byName[h.Name]; old != nil {
		c.sent = old.sent
		*old = *c
		return
	}
	j.cores = append(j.cores, c)
	j.byID[c.id] = c
	j.byName[h.Name] = c
}

// restart replaces a host by a later process of its name.
func (j *joined) restart(c *joinedCore) {
	h := c.host
	h.Incarnation++
	var known []peer.Host
	for _, o := range j.cores {
		if o != c {
			known = append(known, o.host)
		}
	}
	j.start(h, append(known, h))
}

// addTarget adds a target to the first service, everywhere at once.
func (j *joined) addTarget(name, zone string) {
	services := append([]document.Service(nil), j.services...)
	add := services[0].Targets[0]
	add.Name, add.Zone = name, zone
	services[0].Targets = append(append([]document.Target(nil), services[0].Targets...), add)
	services[0].Generation++
	j.services = services
	j.digest++
	for _, c := range j.cores {
		c.SetDocuments(j.now, j.services, zonesDoc(1, ""), j.digest)
	}
}

// tick lets one step of virtual time pass.
func (j *joined) tick() {
	j.now += tick
	for _, c := range j.cores {
		if c.dead {
			continue
		}
		out := c.Tick(j.now)
		for _, m := range out.Heartbeats {
			c.sent.beats++
			j.charge(c, &c.sent.heartbeats, m.Heartbeat, j.overhead.heartbeat)
			j.to(m.To.Name, func(to *joinedCore) { to.HandleHeartbeat(j.now, m.Heartbeat) })
		}
		for _, m := range out.Flows {
			c.sent.noteFlows(&m.Flows)
			j.charge(c, &c.sent.flows, m.Flows, j.overhead.flows)
			j.to(m.To.Name, func(to *joinedCore) { to.HandleFlows(j.now, m.Flows) })
		}
		for _, m := range out.Hellos {
			j.hello(c, m)
		}
	}
}

// hello delivers a hello and its reply; a dead host's costs are the caller's
// message all the same.
func (j *joined) hello(c *joinedCore, m balancer.HelloTo) {
	j.charge(c, &c.sent.hellos, m.Hello, j.overhead.heartbeat)
	for _, o := range j.cores {
		if o.host.Control != m.Control || o.dead {
			continue
		}
		reply := o.HandleHello(j.now, m.Hello)
		j.charge(o, &o.sent.hellos, reply, j.overhead.heartbeat)
		c.HandleHelloReply(j.now, reply)
	}
}

// charge counts a message.
func (j *joined) charge(c *joinedCore, sum *float64, message any, overhead float64) {
	text, err := json.Marshal(message)
	if err != nil {
		fail("message: %v", err)
	}
	*sum += float64(len(text)) + overhead
	c.sent.messages++
}

// to calls f with a live host.
func (j *joined) to(name string, f func(*joinedCore)) {
	if c := j.byName[name]; c != nil && !c.dead {
		f(c)
	}
}

// deliver sends a packet to a random live host and follows it; it reports
// whether it reached a target.
func (j *joined) deliver(p *packet.Packet, out *balancer.Action) bool {
	const hopLimit = 40
	var relay packet.Relay
	j.packets++
	c := j.cores[j.rng.IntN(len(j.cores))]
	for c.dead {
		c = j.cores[j.rng.IntN(len(j.cores))]
	}
	for range hopLimit {
		c.HandlePacket(j.now, p, &relay, out)
		if out.Kind != balancer.RelayTo {
			break
		}
		j.relayed++
		relay = out.Relay
		if c = j.byID[out.Host]; c == nil || c.dead {
			break
		}
	}
	if out.Kind != balancer.Forward {
		j.lost++
		return false
	}
	return true
}

// sent returns what each host has sent so far.
func (j *joined) sent() []sentBy {
	list := make([]sentBy, len(j.cores))
	for i, c := range j.cores {
		list[i] = c.sent
	}
	return list
}

// zoneServices returns two services of 14 and 4 targets over three zones.
func zoneServices(zones int) []document.Service {
	return servicesOf(2, 18, zones)
}

// noteFlows counts a message about flows.
func (s *sentBy) noteFlows(m *peer.Flows) {
	s.flowMessages++
	for _, t := range m.Targets {
		s.fingerprints += (len(t.Add) + len(t.End)) / fingerprintBytes
	}
}
