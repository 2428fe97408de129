package main

import (
	"context"
	"sync"
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/peer"
	"github.com/jujubehaven/jujubehaven/transport/peerlink"
)

// measureStalls ticks a core in real time, as a daemon does, while it applies a
// change, and measures the longest time between two ticks. A core that has not
// ticked for more than 2 s discards its flows and rejoins.
func measureStalls() []series {
	zoneOut := newSeries("longest time between ticks while a zone is taken out", "ms", "services")
	zoneOutRejoins := newSeries("times that the host then forgot its flows", "times", "services")
	zoneReturn := newSeries("longest time between ticks while a zone's hosts return", "ms", "hosts")
	zoneReturnRejoins := newSeries("times that the host then forgot its flows", "times", "hosts")
	for _, size := range fleetSizes {
		services := servicesOf(size.services, size.targets, fullZones)
		f := newFleet(size.hosts, false)
		f.start(services)
		gap, rejoins := f.runWhileTicking(func() { f.setZoneOut(services, true) })
		zoneOut.add(size.services, milliseconds(gap))
		zoneOutRejoins.add(size.services, rejoins)

		f = newFleet(size.hosts, false)
		f.start(services)
		zone := f.peersInZone(1)
		f.runWithSilent(zone, silentPeriod)
		gap, rejoins = f.runWhileTicking(func() { f.restartPeersWithoutTick(zone) })
		zoneReturn.add(size.hosts, milliseconds(gap))
		zoneReturnRejoins.add(size.hosts, rejoins)
	}
	return []series{*zoneOut, *zoneOutRejoins, *zoneReturn, *zoneReturnRejoins}
}

// runWhileTicking runs the change concurrently with ticks in real time. It
// returns the longest time between two ticks and how often the core rejoined.
func (f *fleet) runWhileTicking(change func()) (longest time.Duration, rejoins float64) {
	start, base := time.Now(), f.now
	before := f.core.Stats(f.now).Rejoined
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		last := time.Duration(0)
		ticker := time.NewTicker(tick)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			now := time.Since(start)
			longest = max(longest, now-last)
			last = now
			f.core.Tick(base + now)
		}
	})
	time.Sleep(3 * tick)
	f.now = base + time.Since(start)
	change()
	time.Sleep(3 * tick)
	close(stop)
	wg.Wait()
	f.now = base + time.Since(start)
	return longest, float64(f.core.Stats(f.now).Rejoined - before)
}

// restartPeersWithoutTick is restartPeers for a core that is ticked concurrently.
func (f *fleet) restartPeersWithoutTick(set map[int]bool) {
	for i := range f.peers {
		if set[i] {
			f.peers[i].Incarnation++
			f.core.HandleHello(f.now, peer.Hello{Host: f.peers[i]})
			f.deliverHeartbeat(i, peer.PhaseJoining)
			f.deliverHeartbeat(i, peer.PhaseActive)
		}
	}
}

const (
	// defaultBudget is the daemon's default budget in bytes a second. budgetBurst
	// is the burst in bytes; it is not the daemon's default, which is 65536.
	defaultBudget = 4000
	budgetBurst   = 16000
	// timeBeforeCalls is how long heartbeats are sent before the first call.
	timeBeforeCalls = 12 * time.Second
	callsPerRate    = 5
)

// measureBudget measures whether calls are still answered while heartbeats use
// the budget. The "default budget" in the printed label is the daemon's default
// rate only: the burst is budgetBurst, which is below the daemon's default.
func measureBudget() []series {
	answered := newSeries("calls answered out of 5 within the default budget", "calls", "heartbeats a second")
	keys := newKeys()
	for _, rate := range []int{10, 20, 40, 80} {
		answered.add(rate, float64(countAnswered(keys, rate)))
	}
	return []series{*answered}
}

// countAnswered sends heartbeats at a rate, in messages a second, and returns how
// many calls of the same host were answered meanwhile.
func countAnswered(keys *peerlink.Keys, rate int) int {
	from := newEndpoint(keys, peerlink.NewBudget(defaultBudget, budgetBurst))
	to := newEndpoint(keys, peerlink.NewBudget(unlimitedBytes, unlimitedBytes))
	defer from.links.Close()
	defer to.links.Close()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		defer ticker.Stop()
		for i := uint64(0); ctx.Err() == nil; i++ {
			from.links.SendHeartbeat(to.address, newHeartbeat(i, 0))
			<-ticker.C
		}
	})
	time.Sleep(timeBeforeCalls)
	answered := 0
	for range callsPerRate {
		if _, err := from.links.Inventory(ctx, to.address); err == nil {
			answered++
		}
	}
	cancel()
	wg.Wait()
	return answered
}
