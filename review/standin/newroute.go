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

// routeAddr is the address of a route.
type routeAddr = netip.AddrPort

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
	u := &routeUse{w: w}
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
			wg.Go(func() { u.use(c, addr, ack) })
		}
		wg.Wait()
		if trouble {
			<-ended
			if err := h.startAgain(); err != nil {
				return exitNotRun, err
			}
		}
		time.Sleep(300*time.Millisecond + rand.N(maxPause))
	}
	for _, b := range u.broken {
		w.rec.sayf("%s", b)
	}
	w.rec.sayf("open flows on added routes %d, requests answered on them %d", u.flows.value(), u.requests.value())
	w.rec.sayf("FLOW: %d open flows reset by the system", len(u.broken))
	if u.flows.value() == 0 {
		return exitNotRun, errNoService
	}
	if len(u.broken) > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// routeUse is what clients did on a route.
type routeUse struct {
	w               *world
	flows, requests tally

	mu sync.Mutex
	// broken describes the open flows that the system reset.
	broken []string
}

// use opens a flow, as soon as a host takes it, and sends requests on it for useTime.
// since is the time that reports of resets count from.
func (u *routeUse) use(c *clients, addr routeAddr, since time.Time) {
	w := u.w
	var f *clientFlow
	opened := false
	for time.Since(since) < useTime && !opened {
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
	u.flows.add()
	first := f.via
	for end := time.Now().Add(useTime); time.Now().Before(end) && !f.closing; time.Sleep(pause) {
		id := w.nextID.Add(1)
		o := f.request(id)
		w.rec.logf("request %d on flow %s to %s via %s: %v", id, f.key.client, addr, f.via, o)
		b := w.openedAt(f.key)
		switch {
		case o == answered:
			u.requests.add()
			continue
		case o == systemReset && b != nil && b.lives():
			u.mu.Lock()
			u.broken = append(u.broken, fmt.Sprintf(
				"flow %s to %s, open at %s through %s, got a reset of the system %.3f s after the change; its packets went to %s in zone %s",
				f.key.client, addr, b.id, first, time.Since(since).Seconds(), f.via, zoneOf(w, f.via)))
			u.mu.Unlock()
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
