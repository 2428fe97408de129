package main

import (
	"net/netip"
	"sync"
	"time"
)

// Figures of the case. The bounds are those of the platform's pages.
const (
	drainTime    = 3 * time.Second // drain_ms
	configApply  = 3 * time.Second // config_apply_ms
	evacuateTime = 5 * time.Second // evacuate_ms
	// bigConfig and bigConfigs are how often and by how many routes the configuration
	// grows, stormGap and stormTime the rate and the length of the storm.
	bigConfig  = 390
	bigConfigs = 3
	idleRoutes = 110
	stormGap   = 60 * time.Millisecond
	stormTime  = 1500 * time.Millisecond
	// leaveTime is how much longer than drainTime the leaving back end serves.
	leaveTime = time.Second
	mainPort  = 443
	addedPort = 9100
	oldPort   = 9101
	stormPort = 10000
	orders    = "huvo11a"
)

// stormDeployment is a deployment whose configuration has grown.
type stormDeployment struct {
	w                   *world
	op                  *operator
	zones               []string
	mainRoute, oldRoute netip.AddrPort
	stop                chan struct{}
	wg                  sync.WaitGroup
	sent, served        tally
}

// newStormDeployment starts two zones of two hosts and three back ends each, with
// traffic, and lets the configuration grow.
func newStormDeployment(w *world) (*stormDeployment, error) {
	d := &stormDeployment{w: w, op: &operator{w: w, rec: w.rec}, zones: []string{"z-a", "z-b"}, stop: make(chan struct{})}
	d.mainRoute = d.op.addRoute(mainPort, orders)
	d.oldRoute = d.op.addRoute(oldPort, orders)
	d.op.addIdle(idleRoutes, orders)
	d.op.write(orders)
	for _, z := range d.zones {
		if err := w.addBackends(orders, z, 3); err != nil {
			return nil, err
		}
		if err := w.addClients(z); err != nil {
			return nil, err
		}
	}
	for _, z := range d.zones {
		if err := w.addHosts(z, 2); err != nil {
			return nil, err
		}
	}
	if err := w.waitReady(); err != nil {
		return nil, err
	}
	for _, z := range d.zones {
		c := w.clients[z]
		d.load(30*time.Millisecond, func() {
			d.sent.add()
			if oneRequest(w, c, d.mainRoute) == answered {
				d.served.add()
			}
		})
	}
	time.Sleep(4 * time.Second)
	for range bigConfigs {
		d.op.addIdle(bigConfig, orders)
		d.op.write(orders)
		time.Sleep(2 * time.Second)
	}
	time.Sleep(2 * time.Second)
	return d, nil
}

// load calls send at an interval until the end, without waiting for it to return.
func (d *stormDeployment) load(every time.Duration, send func()) {
	d.wg.Go(func() {
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for {
			select {
			case <-d.stop:
				return
			case <-ticker.C:
				d.wg.Go(send)
			}
		}
	})
}

// storm changes the configuration in quick succession.
func (d *stormDeployment) storm() {
	d.w.rec.logf("the storm begins")
	begin := time.Now()
	for i := 0; time.Since(begin) < stormTime; i++ {
		d.op.addRoute(stormPort+i, orders)
		d.op.write(orders)
		time.Sleep(time.Until(begin.Add(time.Duration(i+1) * stormGap)))
	}
	d.w.rec.logf("the storm ends")
}

// changeRoutes removes the old route and adds another one, and sends requests to both
// later than configApply after the acknowledgement.
func (d *stormDeployment) changeRoutes() (refused, ranOld *tally) {
	d.op.removeRoute(d.oldRoute)
	added := d.op.addRoute(addedPort, orders)
	ack := d.op.write(orders)
	refused, ranOld = &tally{}, &tally{}
	for _, z := range d.zones {
		c := d.w.clients[z]
		d.load(100*time.Millisecond, func() {
			if time.Since(ack) > configApply && oneAttempt(d.w, c, added) == systemReset {
				refused.add()
			}
		})
		d.load(100*time.Millisecond, func() {
			if time.Since(ack) > configApply && oneAttempt(d.w, c, d.oldRoute) == answered {
				ranOld.add()
			}
		})
	}
	return refused, ranOld
}

// finish stops the traffic and reports what was served.
func (d *stormDeployment) finish(refused, ranOld *tally) error {
	close(d.stop)
	d.wg.Wait()
	d.w.rec.sayf("requests sent %d, answered %d", d.sent.value(), d.served.value())
	d.w.rec.sayf("CONFIG, beside: %d requests to the added route refused, %d run on the removed route, sent later than %v after the acknowledgement",
		refused.value(), ranOld.value(), configApply)
	if d.sent.value() == 0 || d.served.value() < d.sent.value()/2 {
		return errNoService
	}
	return nil
}

// lateOpenings returns the flows that opened at a back end although their first SYN
// arrived later than bound after the acknowledgement, and the delay of the last one.
func (w *world) lateOpenings(b *backend, ack time.Time, bound time.Duration) (late int, last time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, at := range b.openings {
		if after := at.Sub(ack); after > bound && w.openedAt(key) == b {
			late++
			last = max(last, after)
			w.rec.logf("flow %s opened at %s %.3f s after the acknowledgement", key.client, b.id, after.Seconds())
		}
	}
	return late, last.Round(time.Millisecond)
}

// configStorm changes the configuration in quick succession while a back end leaves.
// DRAIN is broken if the back end gets openings later than drainTime after the store
// has acknowledged that it is draining.
func configStorm(w *world, trouble bool) (int, error) {
	d, err := newStormDeployment(w)
	if err != nil {
		return exitNotRun, err
	}
	if trouble {
		d.storm()
	}
	refused, ranOld := d.changeRoutes()
	leaving := w.backends[0]
	ack := leaving.drain()
	w.rec.logf("%s is draining, acknowledged at %.3f", leaving.id, w.rec.at(ack))
	time.Sleep(time.Until(ack.Add(drainTime + leaveTime)))
	lost := leaving.end()
	w.rec.logf("%s ends; requests without an answer: %v", leaving.id, lost)
	time.Sleep(6 * time.Second)
	if err := d.finish(refused, ranOld); err != nil {
		return exitNotRun, err
	}
	late, last := w.lateOpenings(leaving, ack, drainTime)
	w.rec.sayf("DRAIN: %d flows opened at the leaving back end later than %v after the acknowledgement, the last one after %v; accepted and lost at its end: %d",
		late, drainTime, last, len(lost))
	if late > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// longWatch is configStorm with a store that puts all changes into one answer to a
// watch, and a zone that is evacuated after the storm. EVAC is broken if back ends of
// the zone get openings later than evacuateTime after the acknowledgement.
func longWatch(w *world, trouble bool) (int, error) {
	w.store.wholeWatch = true
	d, err := newStormDeployment(w)
	if err != nil {
		return exitNotRun, err
	}
	if trouble {
		d.storm()
	}
	refused, ranOld := d.changeRoutes()
	zone := d.zones[1]
	ack := w.store.put("op/evacuate/"+zone, map[string]any{})
	w.rec.logf("the evacuation of %s is acknowledged at %.3f", zone, w.rec.at(ack))
	time.Sleep(time.Until(ack.Add(30 * time.Second)))
	if err := d.finish(refused, ranOld); err != nil {
		return exitNotRun, err
	}
	sum, last := 0, time.Duration(0)
	for _, b := range w.backends {
		if b.zone == zone {
			n, at := w.lateOpenings(b, ack, evacuateTime)
			sum, last = sum+n, max(last, at)
		}
	}
	w.rec.sayf("EVAC: %d flows opened in the evacuated zone later than %v after the acknowledgement, the last one after %v", sum, evacuateTime, last)
	if sum > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
