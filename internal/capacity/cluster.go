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

// sentTraffic counts the control traffic that one host sent, in bytes on the
// connection.
type sentTraffic struct {
	heartbeats, flows, hellos float64
	// messages includes heartbeatMessages and flowMessages; fingerprints is
	// the number of flows listed in flow messages.
	messages, heartbeatMessages, flowMessages, fingerprints int
}

// total returns the sum of all bytes.
func (s sentTraffic) total() float64 { return s.heartbeats + s.flows + s.hellos }

// plus returns the sum s + sign*o of each count.
func (s sentTraffic) plus(o sentTraffic, sign int) sentTraffic {
	f := float64(sign)
	return sentTraffic{
		heartbeats: s.heartbeats + f*o.heartbeats, flows: s.flows + f*o.flows, hellos: s.hellos + f*o.hellos,
		messages: s.messages + sign*o.messages, heartbeatMessages: s.heartbeatMessages + sign*o.heartbeatMessages,
		flowMessages: s.flowMessages + sign*o.flowMessages, fingerprints: s.fingerprints + sign*o.fingerprints,
	}
}

// minus returns the traffic since an earlier count.
func (s sentTraffic) minus(o sentTraffic) sentTraffic { return s.plus(o, -1) }

// clusterHost is a real core that exchanges messages with others in memory.
type clusterHost struct {
	*balancer.Balancer
	host peer.Host
	id   uint32
	sent sentTraffic
	dead bool
}

// cluster is a set of real cores in virtual time. Messages arrive at once; each
// counts for its sender with its length in JSON and the measured overhead of
// JSON-RPC and mutual TLS.
type cluster struct {
	now      time.Duration
	cores    []*clusterHost
	byID     map[uint32]*clusterHost
	byName   map[string]*clusterHost
	services []document.Service
	digest   uint64
	rng      *rand.Rand
	overhead messageOverhead
	// undelivered is the number of packets that were dropped or refused.
	packets, relayed, undelivered int
}

// messageOverhead is the number of bytes that a message takes on the connection
// in addition to its parameters in JSON.
type messageOverhead struct{ heartbeat, flows float64 }

// Values with as many digits as in production: JSON encodes numbers in decimal,
// so their size affects the message length.
const (
	firstIncarnation = 1_700_000_000_000
	firstDigest      = 1 << 63
)

// newCluster starts hosts, spread over the zones, that have each other as peers.
func newCluster(hosts, zones int, services []document.Service, overhead messageOverhead) *cluster {
	cl := &cluster{
		now: time.Hour, byID: make(map[uint32]*clusterHost), byName: make(map[string]*clusterHost),
		services: services, digest: firstDigest, rng: rand.New(rand.NewPCG(seed, 0)), overhead: overhead,
	}
	var known []peer.Host
	for i := range hosts {
		h := hostAt(i, zoneName(i%zones))
		h.Incarnation = firstIncarnation
		known = append(known, h)
	}
	for _, h := range known {
		cl.start(h, known)
	}
	return cl
}

// start starts a host and replaces an earlier one of the same name.
func (cl *cluster) start(h peer.Host, known []peer.Host) {
	c := &clusterHost{host: h, id: balancer.HostID(h.Name)}
	c.Balancer = balancer.New(balancer.Config{Host: h, Seed: seed})
	c.AddHosts(cl.now, known)
	c.SetDocuments(cl.now, cl.services, zonesDocument(1, ""), cl.digest)
	if old := cl.byName[h.Name]; old != nil {
		c.sent = old.sent
		*old = *c
		return
	}
	cl.cores = append(cl.cores, c)
	cl.byID[c.id] = c
	cl.byName[h.Name] = c
}

// restart replaces a host by a new process with a higher incarnation.
func (cl *cluster) restart(c *clusterHost) {
	h := c.host
	h.Incarnation++
	var known []peer.Host
	for _, o := range cl.cores {
		if o != c {
			known = append(known, o.host)
		}
	}
	cl.start(h, append(known, h))
}

// addTarget adds a target to the first service at all hosts at once.
func (cl *cluster) addTarget(name, zone string) {
	services := append([]document.Service(nil), cl.services...)
	add := services[0].Targets[0]
	add.Name, add.Zone = name, zone
	services[0].Targets = append(append([]document.Target(nil), services[0].Targets...), add)
	services[0].Generation++
	cl.services = services
	cl.digest++
	for _, c := range cl.cores {
		c.SetDocuments(cl.now, cl.services, zonesDocument(1, ""), cl.digest)
	}
}

// tick advances the virtual time by one tick and delivers the messages of all
// cores.
func (cl *cluster) tick() {
	cl.now += tick
	for _, c := range cl.cores {
		if c.dead {
			continue
		}
		out := c.Tick(cl.now)
		for _, m := range out.Heartbeats {
			c.sent.heartbeatMessages++
			cl.countMessage(c, &c.sent.heartbeats, m.Heartbeat, cl.overhead.heartbeat)
			cl.withHost(m.To.Name, func(to *clusterHost) { to.HandleHeartbeat(cl.now, m.Heartbeat) })
		}
		for _, m := range out.Flows {
			c.sent.countFlows(&m.Flows)
			cl.countMessage(c, &c.sent.flows, m.Flows, cl.overhead.flows)
			cl.withHost(m.To.Name, func(to *clusterHost) { to.HandleFlows(cl.now, m.Flows) })
		}
		for _, m := range out.Hellos {
			cl.deliverHello(c, m)
		}
	}
}

// deliverHello delivers a hello and its reply. A hello to a dead host counts as
// sent, too.
func (cl *cluster) deliverHello(c *clusterHost, m balancer.HelloTo) {
	cl.countMessage(c, &c.sent.hellos, m.Hello, cl.overhead.heartbeat)
	for _, o := range cl.cores {
		if o.host.Control != m.Control || o.dead {
			continue
		}
		reply := o.HandleHello(cl.now, m.Hello)
		cl.countMessage(o, &o.sent.hellos, reply, cl.overhead.heartbeat)
		c.HandleHelloReply(cl.now, reply)
	}
}

// countMessage counts a message that the core sent.
func (cl *cluster) countMessage(c *clusterHost, sum *float64, message any, overhead float64) {
	text, err := json.Marshal(message)
	if err != nil {
		fail("message: %v", err)
	}
	*sum += float64(len(text)) + overhead
	c.sent.messages++
}

// withHost calls f with the named host if it is running.
func (cl *cluster) withHost(name string, f func(*clusterHost)) {
	if c := cl.byName[name]; c != nil && !c.dead {
		f(c)
	}
}

// deliver sends a packet to a random running host, follows its relays and
// reports whether it reached a target.
func (cl *cluster) deliver(p *packet.Packet, out *balancer.Action) bool {
	const hopLimit = 40
	var relay packet.Relay
	cl.packets++
	c := cl.cores[cl.rng.IntN(len(cl.cores))]
	for c.dead {
		c = cl.cores[cl.rng.IntN(len(cl.cores))]
	}
	for range hopLimit {
		c.HandlePacket(cl.now, p, &relay, out)
		if out.Kind != balancer.RelayTo {
			break
		}
		cl.relayed++
		relay = out.Relay
		if c = cl.byID[out.Host]; c == nil || c.dead {
			break
		}
	}
	if out.Kind != balancer.Forward {
		cl.undelivered++
		return false
	}
	return true
}

// sent returns the control traffic of each host so far.
func (cl *cluster) sent() []sentTraffic {
	list := make([]sentTraffic, len(cl.cores))
	for i, c := range cl.cores {
		list[i] = c.sent
	}
	return list
}

// zoneServices returns two services with 9 targets each, spread over the zones.
func zoneServices(zones int) []document.Service {
	return servicesOf(2, 18, zones)
}

// countFlows counts a flow message and its fingerprints.
func (s *sentTraffic) countFlows(m *peer.Flows) {
	s.flowMessages++
	for _, t := range m.Targets {
		s.fingerprints += (len(t.Add) + len(t.End)) / fingerprintBytes
	}
}
