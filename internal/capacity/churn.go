package main

import (
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/peer"
)

// silentPeriod is longer than the time after which a core considers a silent host
// down.
const silentPeriod = 4 * time.Second

// measureChurn measures the processing time of a core while other hosts leave,
// fail and return.
func measureChurn() []series {
	restarted := newSeries("a host leaves, stops and returns", "ms", "hosts")
	silentZone := newSeries("a zone's hosts fall silent", "ms", "hosts")
	returned := newSeries("a zone's hosts return", "ms", "hosts")
	unchanged := newSeries("the same time without a change", "ms", "hosts")
	for _, size := range fleetSizes {
		f := newFleet(size.hosts, false)
		f.start(servicesOf(size.services, size.targets, fullZones))
		first := map[int]bool{0: true}
		unchanged.add(size.hosts, milliseconds(elapsed(func() { f.runWithSilent(nil, silentPeriod) })))
		restarted.add(size.hosts, milliseconds(elapsed(func() {
			f.deliverHeartbeat(0, peer.PhaseLeaving)
			f.runWithSilent(first, silentPeriod)
			f.restartPeers(first)
		})))
		zone := f.peersInZone(1)
		silentZone.add(size.hosts, milliseconds(elapsed(func() { f.runWithSilent(zone, silentPeriod) })))
		returned.add(size.hosts, milliseconds(elapsed(func() { f.restartPeers(zone) })))
	}
	return []series{*unchanged, *restarted, *silentZone, *returned}
}

func elapsed(f func()) time.Duration {
	start := time.Now()
	f()
	return time.Since(start)
}

// peersInZone returns the peers of one zone.
func (f *fleet) peersInZone(zone int) map[int]bool {
	set := make(map[int]bool)
	for i, p := range f.peers {
		if p.Zone == zoneName(zone) {
			set[i] = true
		}
	}
	return set
}

// deliverHeartbeat delivers a heartbeat of a peer with the given phase to the
// core.
func (f *fleet) deliverHeartbeat(i int, phase peer.Phase) {
	hb := f.heartbeat(i)
	hb.Phase = phase
	f.core.HandleHeartbeat(f.now, hb)
}

// runWithSilent advances the time by d while the given peers send no heartbeats.
func (f *fleet) runWithSilent(silent map[int]bool, d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += tick
		if f.now%time.Second == 0 {
			for i := range f.peers {
				if !silent[i] {
					f.deliverHeartbeat(i, peer.PhaseActive)
				}
			}
		}
		f.core.Tick(f.now)
	}
}

// restartPeers restarts the given peers: each sends a hello, then a heartbeat as
// joining and one as active. A tick follows.
func (f *fleet) restartPeers(set map[int]bool) {
	for i := range f.peers {
		if set[i] {
			f.peers[i].Incarnation++
			f.core.HandleHello(f.now, peer.Hello{Host: f.peers[i]})
			f.deliverHeartbeat(i, peer.PhaseJoining)
		}
	}
	for i := range f.peers {
		if set[i] {
			f.deliverHeartbeat(i, peer.PhaseActive)
		}
	}
	f.run(1)
}
