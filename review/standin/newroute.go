package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

const (
	// rolls is the number of planned stops.
	rolls = 24
	// beforeChange is the time from SIGTERM to the change of the configuration.
	beforeChange = 250 * time.Millisecond
	// flowsPerRoll is the number of flows that clients open on the added route.
	flowsPerRoll = 8
	pause        = 80 * time.Millisecond
	// retryPause is the time between two attempts to open a flow.
	retryPause = 50 * time.Millisecond
	// useTime is how long a flow is in use, and how long clients try to open one.
	useTime       = 1200 * time.Millisecond
	firstNewRoute = 9000
	// maxPause is the largest random part of the time between two stops.
	maxPause = 900 * time.Millisecond
)

// brokenFlow is a flow that the system reset while its back end lived.
type brokenFlow struct{ text string }

// newRoute stops and starts the hosts of single-host zones in turn and adds a route
// with each stop. FLOW is broken if an open flow on an added route gets a reset of the
// system.
func newRoute(w *world, trouble bool) (int, error) {
	zones := []string{"z-a", "z-b", "z-c"}
	op := &operator{w: w, rec: w.rec}
	op.addRoute(mainPort, orders)
	op.addIdle(idleRoutes, orders)
	op.write(orders)
	for _, z := range zones {
		if err := w.addBackends(orders, z, 2); err != nil {
			return exitNotRun, err
		}
		if err := w.addClients(z); err != nil {
			return exitNotRun, err
		}
		if err := w.addHosts(z, 1); err != nil {
			return exitNotRun, err
		}
	}
	if err := w.waitReady(); err != nil {
		return exitNotRun, err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var broken []brokenFlow
	var flows, requests tally
	for i := range rolls {
		h := w.hosts[i%len(w.hosts)]
		c := w.clients[h.zone]
		ended := make(chan struct{})
		if trouble {
			go func() {
				h.terminate()
				close(ended)
			}()
		}
		time.Sleep(beforeChange)
		addr := op.addRoute(firstNewRoute+i, orders)
		ack := op.write(orders)
		var wg sync.WaitGroup
		for range flowsPerRoll {
			wg.Go(func() { useRoute(w, c, addr, ack, &mu, &broken, &flows, &requests) })
		}
		wg.Wait()
		if trouble {
			<-ended
			if err := h.start(); err != nil {
				return exitNotRun, err
			}
			for end := time.Now().Add(startTime); !h.inRotation(); time.Sleep(50 * time.Millisecond) {
				if time.Now().After(end) {
					return exitNotRun, fmt.Errorf("%s did not become ready again", h.name)
				}
			}
		}
		time.Sleep(300*time.Millisecond + rand.N(maxPause))
	}
	for _, b := range broken {
		w.rec.sayf("%s", b.text)
	}
	w.rec.sayf("open flows on added routes %d, requests answered on them %d", flows.value(), requests.value())
	w.rec.sayf("FLOW: %d open flows reset by the system", len(broken))
	if flows.value() == 0 {
		return exitNotRun, errNoService
	}
	if len(broken) > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// useRoute opens a flow on an added route, as soon as a host takes it, and sends
// requests on it for useTime.
func useRoute(w *world, c *clients, addr netip.AddrPort, ack time.Time, mu *sync.Mutex, broken *[]brokenFlow, flows, requests *tally) {
	var f *clientFlow
	opened := false
	for time.Since(ack) < useTime && !opened {
		f = c.newFlow(addr)
		o := f.openFlow()
		w.rec.logf("flow %s to %s via %s: %v", f.key.client, addr, f.via, o)
		if opened = o == answered; !opened {
			f.finish()
			time.Sleep(retryPause)
		}
	}
	if !opened {
		return
	}
	defer f.finish()
	flows.add()
	first := f.via
	for end := time.Now().Add(useTime); time.Now().Before(end); time.Sleep(pause) {
		id := w.nextID.Add(1)
		o := f.request(id)
		w.rec.logf("request %d on flow %s to %s via %s: %v", id, f.key.client, addr, f.via, o)
		b := w.openedAt(f.key)
		switch {
		case o == answered:
			requests.add()
			continue
		case o == systemReset && b != nil:
			mu.Lock()
			*broken = append(*broken, brokenFlow{fmt.Sprintf(
				"flow %s to %s, open at %s through %s, got a reset of the system %.3f s after the configuration was acknowledged; its packets went to %s (in zone %s)",
				f.key.client, addr, b.id, first, time.Since(ack).Seconds(), f.via, zoneOf(w, f.via))})
			mu.Unlock()
		}
		return
	}
}

// zoneOf returns the zone of a host.
func zoneOf(w *world, name string) string {
	for _, h := range w.hosts {
		if h.name == name {
			return h.zone
		}
	}
	return ""
}
