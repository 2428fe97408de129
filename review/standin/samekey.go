package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// restarts is the number of planned stops of a host with a restart of a back end.
	restarts = 22
	// startAgain is the time from a back end's end to its start under the same ID,
	// stopHostAt that to the SIGTERM of its zone's host.
	startAgain = 500 * time.Millisecond
	stopHostAt = 250 * time.Millisecond
	// openEvery is the time between two openings of the zone's clients.
	openEvery = 25 * time.Millisecond
)

// sameKey stops and starts the hosts of single-host zones in turn while a back end of
// the zone is replaced by one with the same ID. FLOW is broken if a flow that is open at
// the new one gets a reset of the system.
func sameKey(w *world, trouble bool) (int, error) {
	zones := []string{"z-a", "z-b", "z-c"}
	op := &operator{w: w, rec: w.rec}
	mainRoute := op.addRoute(mainPort, orders)
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
	drained := time.Now()
	if trouble {
		drained = w.backends[0].drain()
	}
	for i := range restarts {
		ack, err := u.replace(i, trouble, mainRoute, drained)
		if err != nil {
			return exitNotRun, err
		}
		drained = ack
	}
	for _, b := range u.broken {
		w.rec.sayf("%s", b)
	}
	w.rec.sayf("open flows %d, requests answered on them %d", u.flows.value(), u.requests.value())
	w.rec.sayf("FLOW: %d open flows reset by the system", len(u.broken))
	if u.flows.value() == 0 {
		return exitNotRun, errNoService
	}
	if len(u.broken) > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// replace replaces the first back end of a zone, which has been draining since a time,
// and stops and starts the zone's host. It returns since when the first back end of the
// next zone is draining.
func (u *routeUse) replace(i int, trouble bool, addr routeAddr, drained time.Time) (next time.Time, err error) {
	w := u.w
	h := w.hosts[i%len(w.hosts)]
	c := w.clients[h.zone]
	index, nextIndex := 2*(i%len(w.hosts)), 2*((i+1)%len(w.hosts))
	var wg sync.WaitGroup
	ended := make(chan struct{})
	if trouble {
		old := w.backends[index]
		time.Sleep(time.Until(drained.Add(drainTime + 200*time.Millisecond)))
		old.end()
		w.rec.logf("%s has left", old.id)
		time.Sleep(stopHostAt)
		go func() {
			h.terminate()
			close(ended)
		}()
		time.Sleep(startAgain - stopHostAt)
		b, err := startBackend(w, old.addr, old.number, old.service, old.zone)
		if err != nil {
			return next, err
		}
		w.backends[index] = b
		w.rec.logf("%s has started again under its ID", b.id)
		next = w.backends[nextIndex].drain()
	}
	start := time.Now()
	for time.Since(start) < useTime {
		wg.Go(func() { u.use(c, addr, start) })
		time.Sleep(openEvery)
	}
	wg.Wait()
	if trouble {
		<-ended
		if err := h.startAgain(); err != nil {
			return next, err
		}
	}
	time.Sleep(300*time.Millisecond + rand.N(maxPause))
	return next, nil
}

// startAgain starts a host and waits until it is in rotation.
func (h *host) startAgain() error {
	if err := h.start(); err != nil {
		return err
	}
	for end := time.Now().Add(startTime); !h.inRotation(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%s did not become ready again", h.name)
		}
	}
	return nil
}
