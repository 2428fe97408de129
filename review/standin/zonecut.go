package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// contactTime is contact_ms.
	contactTime = 4 * time.Second
	// cutTime is the length of the cut, stormAt when the storm begins in it.
	cutTime = 6 * time.Second
	stormAt = 4200 * time.Millisecond
	// longFlows is the number of flows that clients of the zone keep open; minPause and
	// maxLongPause bound the pauses between their requests.
	longFlows    = 60
	minPause     = 1500 * time.Millisecond
	maxLongPause = 6 * time.Second
	// watchTime is how long the flows are watched after the cut.
	watchTime = 14 * time.Second
)

// zoneCut cuts a zone off while the configuration changes in quick succession. FLOW is
// broken if, later than contactTime after the cut, an open flow at a living back end of
// the zone gets a reset of the system.
func zoneCut(w *world, trouble bool) (int, error) {
	w.apart = true
	d, err := newStormDeployment(w)
	if err != nil {
		return exitNotRun, err
	}
	zone := d.zones[1]
	f := &longFlowSet{w: w, c: w.clients[zone], d: d}
	for range longFlows {
		d.wg.Go(f.run)
	}
	time.Sleep(maxLongPause)
	if trouble {
		w.rec.logf("%s is cut off", zone)
		w.setCut(zone, true)
		time.Sleep(stormAt)
		d.storm()
		time.Sleep(cutTime - stormAt - stormTime)
		w.setCut(zone, false)
		w.rec.logf("the cut ends")
	}
	end := time.Now()
	time.Sleep(watchTime)
	refused, ranOld := &tally{}, &tally{}
	if err := d.finish(refused, ranOld); err != nil {
		return exitNotRun, err
	}
	early, late := f.report(end)
	w.rec.sayf("FLOW: %d open flows at living back ends of the zone reset by the system later than %v after the cut; %d others before, which don't count",
		late, contactTime, early)
	if late > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// longFlowSet holds the flows that clients of a zone keep open for many requests.
type longFlowSet struct {
	w *world
	c *clients
	d *stormDeployment

	mu     sync.Mutex
	resets []flowReset
}

// flowReset is a reset of the system on an open flow.
type flowReset struct {
	at   time.Time
	zone string
	text string
}

// run keeps one flow open until the end; it is opened again when it ends.
func (s *longFlowSet) run() {
	for {
		f := s.c.newFlow(s.d.mainRoute)
		if f.openFlow() == answered {
			s.use(f)
		}
		f.finish()
		if s.sleep(minPause) {
			return
		}
	}
}

// use sends requests with pauses until the flow or the case ends.
func (s *longFlowSet) use(f *clientFlow) {
	for {
		id := s.w.nextID.Add(1)
		o := f.request(id)
		s.w.rec.logf("request %d on long flow %s via %s: %v", id, f.key.client, f.via, o)
		b := s.w.openedAt(f.key)
		if o == systemReset && b != nil {
			s.mu.Lock()
			s.resets = append(s.resets, flowReset{time.Now(), b.zone, fmt.Sprintf("flow %s, open at %s in %s, got a reset of the system from %s", f.key.client, b.id, b.zone, f.via)})
			s.mu.Unlock()
		}
		if (o != answered && o != rejected) || f.closing || s.sleep(minPause+rand.N(maxLongPause-minPause)) {
			return
		}
	}
}

// sleep waits and reports whether the case has ended.
func (s *longFlowSet) sleep(d time.Duration) bool {
	select {
	case <-s.d.stop:
		return true
	case <-time.After(d):
		return false
	}
}

// report counts the resets before and after the zone's host is in touch again.
func (s *longFlowSet) report(end time.Time) (early, late int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.resets {
		after := r.at.Sub(end)
		s.w.rec.logf("%s %.3f s after the cut", r.text, after.Seconds())
		if after > contactTime && r.zone == s.c.zone {
			late++
			continue
		}
		early++
	}
	return early, late
}
