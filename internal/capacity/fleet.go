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

// seed of all choices that need chance.
const seed = 1

// The target's numbers.
const (
	targetHosts    = 450
	targetTargets  = 4400
	targetServices = 360
	targetZones    = 6
)

// tick is the time between two calls of Tick.
const tick = 100 * time.Millisecond

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i%targetZones) }

// hostAt describes the i-th host of a fleet.
func hostAt(i int, zone string) peer.Host {
	addr := fmt.Sprintf("10.%d.%d.%d", 64+i/62500, i/250%250, i%250+1)
	return peer.Host{
		Name: fmt.Sprintf("entry-%04d", i), Zone: zone, Incarnation: 1,
		Relay: addr + ":6080", Control: addr + ":7946",
	}
}

// servicesOf returns documents of the given number of services and targets,
// with the targets spread over the zones.
func servicesOf(services, targets, zones int) []document.Service {
	limits := document.Limits{Connections: 1_000_000, OpeningsInFlight: 100_000, OpeningsPerSecond: 1_000_000}
	list := make([]document.Service, services)
	next := 0
	for i := range list {
		s := document.Service{
			Name: fmt.Sprintf("service-%03d", i), Team: fmt.Sprintf("team-%02d", i%40),
			Generation: 1, Change: fmt.Sprintf("change-%d", i),
			Addresses:  []document.Address{{AddrPort: addressOf(i), Protocol: packet.ProtoTCP}},
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

// addressOf returns the address and port of the i-th service.
func addressOf(i int) netip.AddrPort {
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

// zonesDoc returns the zones document with the named zone out.
func zonesDoc(generation uint64, out string) document.Zones {
	z := document.Zones{Generation: generation, Change: "zones"}
	for i := range targetZones {
		zone := document.Zone{Name: zoneName(i), State: document.ZoneIn}
		if zone.Name == out {
			zone.State = document.ZoneOut
		}
		z.Zones = append(z.Zones, zone)
	}
	return z
}

// fleet is one real core with peers that only send heartbeats.
type fleet struct {
	core  *balancer.Balancer
	now   time.Duration
	peers []peer.Host
	seq   uint64
}

// newFleet starts a core among the given hosts. Hosts are spread over zones, or
// all in one zone if sameZone is set.
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

// start lets the core hear its peers, puts documents in force and waits until
// the core serves.
func (f *fleet) start(services []document.Service) {
	f.hearAll()
	f.core.SetDocuments(f.now, services, zonesDoc(1, ""), 1)
	f.run(50)
}

// hearAll delivers a heartbeat of every peer.
func (f *fleet) hearAll() {
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

// run makes ticks, with heartbeats of all peers once a second.
func (f *fleet) run(ticks int) {
	for range ticks {
		f.now += tick
		if f.now%time.Second == 0 {
			f.hearAll()
		}
		f.core.Tick(f.now)
	}
}
