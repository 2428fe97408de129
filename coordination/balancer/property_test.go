package balancer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/verdict"
)

// propertyChecks is the number of random fault sequences unless -rapid.checks is
// set; rapid runs a fifth of it with -short.
const propertyChecks = "16"

// request is a caller's flow and the outcome of its packets.
type request struct {
	flow packet.Flow
	// fastOpen is set if the opening carries payload (TCP Fast Open).
	fastOpen bool
	seq      uint32
	openedAt time.Duration
	opened   bool
	ended    bool
	// payloadForwarded is set once a host has forwarded payload of the flow to
	// a target.
	payloadForwarded bool
	// openingTargets holds the targets that received a copy of the first packet
	// with payload.
	openingTargets map[uint64]bool
}

// faultRun runs a testNetwork through a random sequence of faults and checks
// every action of every host.
type faultRun struct {
	*testNetwork
	rt       *rapid.T
	requests []*request
	byFlow   map[packet.Flow]*request
	// documentsByDigest holds all documents that were distributed.
	documentsByDigest map[uint64]documents
	// tunnels holds all former and current tunnel addresses of each target.
	tunnels    map[uint64]map[netip.AddrPort]bool
	next       uint32
	properties properties
}

// properties selects the properties that are checked.
type properties struct {
	// isolation: no packet is forwarded to a target of another service or of a
	// zone that is out.
	isolation bool
	// verdicts: a verdict is NotRun only if no payload was forwarded.
	verdicts bool
	// atMostOnce: a request of a service that is not idempotent reaches at most
	// one target.
	atMostOnce bool
}

// copyWindow is how long after its first packet a caller may send copies of it.
const copyWindow = 3 * time.Second

// documents holds the service documents of one digest and the zones that are
// out.
type documents struct {
	services []document.Service
	out      map[string]bool
}

// newFaultRun starts six hosts in three zones with four services on shared
// tunnel addresses: two over TCP and two over UDP, one of each idempotent.
func newFaultRun(t testing.TB, rt *rapid.T, seed uint64) *faultRun {
	f := &faultRun{
		rt: rt,
		testNetwork: &testNetwork{
			t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Hour,
			targets: make(map[uint64]*testTarget),
			zoneCut: make(map[[2]string]bool), hostCut: make(map[[2]string]bool),
		},
		byFlow: make(map[packet.Flow]*request), documentsByDigest: make(map[uint64]documents),
		tunnels: make(map[uint64]map[netip.AddrPort]bool),
	}
	for i := range 6 {
		f.addHost(fmt.Sprintf("h%d", i), threeZones[i%3])
	}
	f.distributeDocuments(sharedServices(), zonesIn(threeZones), 0)
	f.runTraffic(5*time.Second, 0)
	return f
}

// sharedServices returns four services. Their i-th targets have the same tunnel
// address.
func sharedServices() []document.Service {
	newService := func(name, addr string, proto uint8, idempotent bool) document.Service {
		s := document.Service{
			Name: name, Team: name, Idempotent: idempotent,
			Addresses: []document.Address{{AddrPort: netip.MustParseAddrPort(addr), Protocol: proto}},
		}
		for i := range 5 {
			s.Targets = append(s.Targets, sharedTarget(i))
		}
		return s
	}
	return []document.Service{
		newService("book", "192.0.2.1:443", packet.ProtoTCP, false),
		newService("maps", "192.0.2.1:444", packet.ProtoTCP, true),
		newService("feed", "192.0.2.1:443", packet.ProtoUDP, false),
		newService("ping", "192.0.2.2:443", packet.ProtoUDP, true),
	}
}

// sharedTarget returns the i-th target. Its tunnel address depends only on i.
func sharedTarget(i int) document.Target {
	return document.Target{
		Name: fmt.Sprintf("t%d", i), Zone: threeZones[i%3], Weight: 1, State: document.TargetActive,
		Limits: document.Limits{Connections: 1 << 20, OpeningsInFlight: 1 << 16, OpeningsPerSecond: 1 << 16},
		Ramp:   2 * time.Second, Tunnel: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 1, byte(i)}), 6080),
	}
}

// distributeDocuments puts documents in force at each host after a random delay
// of up to skew.
func (f *faultRun) distributeDocuments(services []document.Service, zones document.Zones, skew time.Duration) {
	f.digest++
	f.services, f.zones = services, zones
	d := documents{services: copyServices(services), out: make(map[string]bool)}
	for _, z := range zones.Zones {
		d.out[z.Name] = z.State == document.ZoneOut
	}
	f.documentsByDigest[f.digest] = d
	for _, s := range services {
		for _, t := range s.Targets {
			f.recordTarget(s.Name, t)
		}
	}
	digest := f.digest
	for _, h := range f.hosts {
		f.after(time.Duration(f.rng.Int64N(int64(skew)+1)), func() {
			if !h.down && h.docsDigest < digest {
				h.SetDocuments(f.now, services, zones, digest)
			}
		})
	}
}

// recordTarget records a target and its tunnel address.
func (f *faultRun) recordTarget(service string, t document.Target) {
	id := TargetID(service, t.Name)
	if f.targets[id] == nil {
		f.targets[id] = &testTarget{id: id, service: service, zone: t.Zone}
		f.tunnels[id] = make(map[netip.AddrPort]bool)
	}
	f.tunnels[id][t.Tunnel] = true
}

// runTraffic advances the time by d and sends the number of packets in each step.
func (f *faultRun) runTraffic(d time.Duration, packets int) {
	f.run(d, func() {
		for range packets {
			f.sendRandomPacket()
		}
		f.checkGivenUp()
	})
}

// sendRandomPacket opens a flow or sends a packet of one of the last 200 flows.
func (f *faultRun) sendRandomPacket() {
	if len(f.requests) == 0 || f.rng.IntN(4) == 0 {
		f.openFlow()
		return
	}
	recent := min(len(f.requests), 200)
	r := f.requests[len(f.requests)-1-f.rng.IntN(recent)]
	if r.ended {
		return
	}
	f.sendNext(r)
}

// openFlow creates a flow and sends its first packet once or twice.
func (f *faultRun) openFlow() {
	s := &f.services[f.rng.IntN(len(f.services))]
	if len(s.Addresses) == 0 {
		return
	}
	f.next++
	// Up to four flows, to different services, have the same caller address and
	// port.
	shared := f.next / 4
	caller := netip.AddrFrom4([4]byte{172, 16, byte(shared >> 8), byte(shared)}).As16()
	r := &request{
		flow:     packet.Flow{Caller: caller, CallerPort: 4000, Service: endpointOf(s)},
		fastOpen: f.rng.IntN(3) == 0, openedAt: f.now, openingTargets: make(map[uint64]bool),
	}
	if f.byFlow[r.flow] != nil {
		return
	}
	f.requests = append(f.requests, r)
	f.byFlow[r.flow] = r
	f.sendOpening(r)
	if f.rng.IntN(2) == 0 {
		f.sendOpening(r)
	}
}

// sendOpening sends a copy of the flow's first packet.
func (f *faultRun) sendOpening(r *request) {
	p := packet.Packet{Flow: r.flow, Class: packet.Opening}
	if r.flow.Service.Proto == packet.ProtoUDP {
		p.Class = packet.Datagram
	}
	if p.Class == packet.Datagram || r.fastOpen {
		p.PayloadLen = 10
	}
	f.sendChecked(r, &p)
}

// sendNext sends data on an open TCP flow. On other flows it sends a copy of the
// first packet within copyWindow.
func (f *faultRun) sendNext(r *request) {
	isTCP := r.flow.Service.Proto == packet.ProtoTCP
	if !isTCP || !r.opened {
		if f.now-r.openedAt <= copyWindow {
			f.sendOpening(r)
		}
		return
	}
	p := packet.Packet{Flow: r.flow, Class: packet.Data, Seq: 1 + r.seq, Ack: 1, AckValid: true, PayloadLen: 10}
	f.sendChecked(r, &p)
}

// sendChecked sends a packet to a random live host and checks the resulting
// action.
func (f *faultRun) sendChecked(r *request, p *packet.Packet) {
	const hopLimit = 40
	h := f.liveHost()
	var relay packet.Relay
	var a Action
	for range hopLimit {
		h.HandlePacket(f.now, p, &relay, &a)
		switch a.Kind {
		case Forward:
			f.checkForward(r, p, h, &a)
			return
		case RelayTo:
			next := f.hostByID(a.Host)
			if next == nil || !f.reaches(h, next) {
				return
			}
			relay = a.Relay
			h = next
		case Refuse:
			f.checkVerdict(r, a.Verdict)
			return
		case Drop:
			return
		}
	}
	f.rt.Fatalf("packet still being relayed after %d hops: %+v", hopLimit, relay)
}

// checkForward checks the target that a host chose against the documents in
// force at that host.
func (f *faultRun) checkForward(r *request, p *packet.Packet, h *testHost, a *Action) {
	d := f.documentsByDigest[h.docsDigest]
	want := serviceOf(d.services, p.Flow.Service)
	if f.properties.isolation {
		f.checkTarget(h, a, want, d.out)
	}
	r.opened = true
	if p.Class == packet.Data {
		r.seq += uint32(p.PayloadLen)
	}
	if p.PayloadLen == 0 {
		return
	}
	r.payloadForwarded = true
	opening := p.Class == packet.Opening || p.Class == packet.Datagram
	if !f.properties.atMostOnce || !opening || f.idempotent(d.services, want) {
		return
	}
	r.openingTargets[a.Target] = true
	if len(r.openingTargets) > 1 {
		f.rt.Fatalf("%s: a request of %q was forwarded to %d targets", h.name, want, len(r.openingTargets))
	}
}

// checkTarget checks the service, tunnel address and zone of a target.
func (f *faultRun) checkTarget(h *testHost, a *Action, want string, out map[string]bool) {
	target := f.targets[a.Target]
	if want == "" || target.service != want {
		f.rt.Fatalf("%s, documents %d: packet of service %q forwarded to target %x of service %q",
			h.name, h.docsDigest, want, a.Target, target.service)
	}
	if !f.tunnels[a.Target][a.Dest] {
		f.rt.Fatalf("%s: %v is not a tunnel address of target %x", h.name, a.Dest, a.Target)
	}
	if out[target.zone] {
		f.rt.Fatalf("%s: packet forwarded to zone %s, which is out", h.name, target.zone)
	}
}

// idempotent reports whether the document of the service sets Idempotent.
func (f *faultRun) idempotent(services []document.Service, name string) bool {
	for _, s := range services {
		if s.Name == name {
			return s.Idempotent
		}
	}
	return false
}

// checkVerdict checks that a flow with verdict NotRun had no payload forwarded.
func (f *faultRun) checkVerdict(r *request, v verdict.Verdict) {
	r.ended = r.opened
	if f.properties.verdicts && v.Run == verdict.NotRun && r.payloadForwarded {
		f.rt.Fatalf("verdict %+v on a flow whose payload was forwarded: %+v", v, *r)
	}
}

// checkGivenUp checks the verdicts of the flows that hosts gave up in Tick.
func (f *faultRun) checkGivenUp() {
	for _, h := range f.hosts {
		for _, g := range h.givenUp {
			if g.ResetLen == 0 {
				continue
			}
			if r := f.byFlow[g.Resets[0].Flow]; r != nil {
				f.checkVerdict(r, g.Verdict)
			}
		}
		h.givenUp = nil
	}
}
