package main

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/balancer"
	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/peer"
)

// seed is the seed of all random choices.
const seed = 1

// The full size of a deployment: hosts, targets, services and zones.
const (
	fullHosts    = 450
	fullTargets  = 4400
	fullServices = 360
	fullZones    = 6
)

// tick is the time between two calls of a core's Tick.
const tick = 100 * time.Millisecond

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i%fullZones) }

// hostAt describes the i-th host of a fleet.
func hostAt(i int, zone string) peer.Host {
	addr := fmt.Sprintf("10.%d.%d.%d", 64+i/62500, i/250%250, i%250+1)
	return peer.Host{
		Name: fmt.Sprintf("entry-%04d", i), Zone: zone, Incarnation: 1,
		Relay: addr + ":6080", Control: addr + ":7946",
	}
}

// servicesOf returns documents with the given number of services and targets.
// The targets are spread over the zones.
func servicesOf(services, targets, zones int) []document.Service {
	limits := document.Limits{Connections: 1_000_000, OpeningsInFlight: 100_000, OpeningsPerSecond: 1_000_000}
	list := make([]document.Service, services)
	next := 0
	for i := range list {
		s := document.Service{
			Name: fmt.Sprintf("service-%03d", i), Team: fmt.Sprintf("team-%02d", i%40),
			Generation: 1, Change: fmt.Sprintf("change-%d", i),
			Addresses:  []document.Address{{AddrPort: serviceAddr(i), Protocol: packet.ProtoTCP}},
			Objectives: document.Objectives{Window: 720 * time.Hour, FlowsNotBroken: 0.9999, NewFlowsServed: 0.999},
		}
		for range targets*(i+1)/services - targets*i/services {
			s.Targets = append(s.Targets, targetAt(next, zoneName(next%zones), limits))
			next++
		}
		list[i] = s
	}
	return list
}

// serviceAddr returns the address and port of the i-th service.
func serviceAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i / 250), byte(i%250 + 1)}), 443)
}

func targetAt(i int, zone string, limits document.Limits) document.Target {
	tunnel := netip.AddrFrom4([4]byte{10, 128, byte(i / 250), byte(i%250 + 1)})
	return document.Target{
		Name: fmt.Sprintf("target-%04d", i), Zone: zone,
		Tunnel: netip.AddrPortFrom(tunnel, 6080), Weight: 1, State: document.TargetActive,
		Limits: limits, Ramp: time.Minute,
		HealthURL: fmt.Sprintf("http://%s:8080/healthz", tunnel),
		LoadURL:   fmt.Sprintf("http://%s:8080/metrics", tunnel),
	}
}

// zonesDocument returns the zones document with the named zone out, if any.
func zonesDocument(generation uint64, out string) document.Zones {
	z := document.Zones{Generation: generation, Change: "zones"}
	for i := range fullZones {
		zone := document.Zone{Name: zoneName(i), State: document.ZoneIn}
		if zone.Name == out {
			zone.State = document.ZoneOut
		}
		z.Zones = append(z.Zones, zone)
	}
	return z
}

// fleet is one real core with simulated peers that only send heartbeats.
type fleet struct {
	core  *balancer.Balancer
	now   time.Duration
	peers []peer.Host
	seq   uint64
}

// newFleet starts a core with hosts-1 peers. The hosts are spread over the zones,
// or all in one zone if sameZone is set.
func newFleet(hosts int, sameZone bool) *fleet {
	f := &fleet{now: time.Hour}
	for i := 1; i < hosts; i++ {
		zone := zoneName(i)
		if sameZone {
			zone = zoneName(0)
		}
		f.peers = append(f.peers, hostAt(i, zone))
	}
	f.core = balancer.New(balancer.Config{Host: hostAt(0, zoneName(0)), Seed: seed})
	f.core.AddHosts(f.now, f.peers)
	return f
}

// start delivers a heartbeat of every peer, puts the documents into force and
// runs ticks for 5 s, after which the core serves.
func (f *fleet) start(services []document.Service) {
	f.deliverHeartbeats()
	f.core.SetDocuments(f.now, services, zonesDocument(1, ""), 1)
	f.run(50)
}

// deliverHeartbeats delivers a heartbeat of every peer to the core.
func (f *fleet) deliverHeartbeats() {
	for i := range f.peers {
		f.core.HandleHeartbeat(f.now, f.heartbeat(i))
	}
}

// heartbeat returns the next heartbeat of a peer.
func (f *fleet) heartbeat(i int) peer.Heartbeat {
	f.seq++
	return peer.Heartbeat{
		From: balancer.HostID(f.peers[i].Name), Incarnation: f.peers[i].Incarnation, Phase: peer.PhaseActive,
		Seq: f.seq, View: 1, Documents: 1,
	}
}

// run advances the core by ticks, with heartbeats of all peers once a second.
func (f *fleet) run(ticks int) {
	for range ticks {
		f.now += tick
		if f.now%time.Second == 0 {
			f.deliverHeartbeats()
		}
		f.core.Tick(f.now)
	}
}
