package main

import (
	"fmt"
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/peer"
)

// fleetSizes are fractions of the full size, and the full size itself.
var fleetSizes = []struct{ hosts, services, targets int }{
	{23, 18, 220},
	{113, 90, 1100},
	{225, 180, 2200},
	{fullHosts, fullServices, fullTargets},
}

// measureViews measures the cost of documents and members in a core.
func measureViews() []series {
	memory := newSeries("memory of a core without flows", "MB", "services")
	first := newSeries("start with peers known, until serving", "ms", "services")
	change := newSeries("one changed document in force", "ms", "services")
	zoneOut := newSeries("a zone taken out, in force", "ms", "services")
	member := newSeries("one host gone or back", "ms", "hosts")
	idle := newSeries("ticks of one second without traffic", "ms", "hosts")
	for _, size := range fleetSizes {
		before := heapBytes()
		f := newFleet(size.hosts, false)
		services := servicesOf(size.services, size.targets, fullZones)
		start := time.Now()
		f.start(services)
		first.add(size.services, milliseconds(time.Since(start)))
		memory.add(size.services, (heapBytes()-before)/1e6)
		change.add(size.services, milliseconds(shortest(func() { f.changeOne(services) })))
		member.add(size.hosts, milliseconds(shortest(f.changeMember)))
		idle.add(size.hosts, milliseconds(shortest(func() { f.tickWithoutHeartbeats(10) })))
		out := false
		zoneOut.add(size.services, milliseconds(shortest(func() {
			out = !out
			f.setZoneOut(services, out)
		})))
	}
	return []series{*memory, *first, *change, *zoneOut, *member, *idle}
}

// measureJoining measures a core with documents that receives the first
// heartbeats of all peers one after the other; a tick follows.
func measureJoining() []series {
	join := newSeries("hearing all peers for the first time, documents known", "ms", "hosts")
	for _, size := range fleetSizes {
		f := newFleet(size.hosts, false)
		f.core.SetDocuments(f.now, servicesOf(size.services, size.targets, fullZones), zonesDocument(1, ""), 1)
		join.add(size.hosts, milliseconds(elapsed(func() {
			f.deliverHeartbeats()
			f.core.Tick(f.now)
		})))
	}
	return []series{*join}
}

// changeOne puts a new generation of one document into force.
func (f *fleet) changeOne(services []document.Service) {
	services[0].Generation++
	services[0].Change = fmt.Sprintf("change-%d", services[0].Generation)
	f.core.SetDocuments(f.now, services, zonesDocument(1, ""), services[0].Generation)
}

// setZoneOut takes a zone out or returns it.
func (f *fleet) setZoneOut(services []document.Service, out bool) {
	zone := ""
	if out {
		zone = zoneName(1)
	}
	f.core.SetDocuments(f.now, services, zonesDocument(2, zone), 2)
}

// changeMember delivers a heartbeat in which one host advertises alternately
// that it leaves or that it is active; a tick follows.
func (f *fleet) changeMember() {
	hb := f.heartbeat(0)
	hb.Phase = peer.PhaseLeaving
	if f.seq%2 == 0 {
		hb.Phase = peer.PhaseActive
	}
	f.core.HandleHeartbeat(f.now, hb)
	f.core.Tick(f.now)
}

// tickWithoutHeartbeats advances the core by ticks without heartbeats, and then
// delivers a heartbeat of every peer.
func (f *fleet) tickWithoutHeartbeats(count int) {
	for range count {
		f.now += tick
		f.core.Tick(f.now)
	}
	f.deliverHeartbeats()
}

// measureMembers measures the rate of heartbeats and the time to handle one.
func measureMembers() []series {
	sent := newSeries("heartbeats sent, all hosts in one zone", "a second", "hosts")
	handle := newSeries("handling a received heartbeat", "ns", "hosts")
	for _, hosts := range []int{3, 9, 25, 75} {
		f := newFleet(hosts, true)
		f.start(servicesOf(20, 240, 1))
		sent.add(hosts, f.heartbeatsPerSecond())
		handle.add(hosts, f.timeHeartbeat())
	}
	fleetSent := newSeries("heartbeats sent, hosts over six zones", "a second", "hosts")
	for _, size := range fleetSizes {
		f := newFleet(size.hosts, false)
		f.start(servicesOf(20, 240, 1))
		fleetSent.add(size.hosts, f.heartbeatsPerSecond())
	}
	return []series{*sent, *handle, *fleetSent}
}

// heartbeatsPerSecond returns the mean rate of sent heartbeats over ten seconds
// without changes.
func (f *fleet) heartbeatsPerSecond() float64 {
	const seconds = 10
	before := f.core.Stats(f.now).Heartbeats
	f.run(seconds * 10)
	return float64(f.core.Stats(f.now).Heartbeats-before) / seconds
}

// timeHeartbeat returns the time to handle a heartbeat without a change, in
// nanoseconds.
func (f *fleet) timeHeartbeat() float64 {
	const count = 10_000
	heartbeats := make([]peer.Heartbeat, len(f.peers))
	for i := range heartbeats {
		heartbeats[i] = f.heartbeat(i)
	}
	took := shortest(func() {
		for i := range count {
			f.core.HandleHeartbeat(f.now, heartbeats[i%len(heartbeats)])
		}
	})
	return float64(took) / count
}
