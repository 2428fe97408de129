package main

import (
	"fmt"
	"os"
	"time"
)

// Figures of the case idle.
const (
	// idleFor is how long a connection has passed nothing when it goes silent.
	idleFor = 5 * time.Second
	// settle is the time after it in which everything is calm.
	settle = 10 * time.Second
	// beforeKill is the time from a read of the store to the kill of the machine that
	// made it, downFor the time until it starts again.
	beforeKill = 700 * time.Millisecond
	downFor    = 3500 * time.Millisecond
	// leavesAfter is when a draining backend ends: drain_ms and a little longer.
	leavesAfter = drainBound + 250*time.Millisecond
)

// playIdle lets open connections to the store that carry nothing go silent. Later, long
// after contact_ms, in one zone after the other two backends are emptied and taken away as
// planned, and the machine of the zone that reads the store is killed.
func playIdle(w *world, trouble bool) error {
	// With SILENT=0 only the kills remain.
	if trouble && os.Getenv("SILENT") != "0" {
		for _, h := range w.hosts {
			w.record("host %s: %d open connections to the store go silent", h.name, h.proxy.silenceIdle(idleFor))
			h.disturbed()
		}
	}
	time.Sleep(settle)
	for _, zone := range w.zones {
		if err := w.shrinkAndKill(zone, trouble); err != nil {
			return err
		}
	}
	return nil
}

// shrinkAndKill empties two backends of a zone and kills its reader.
func (w *world) shrinkAndKill(zone string, trouble bool) error {
	var reader *host
	for _, h := range w.hosts {
		if h.zone == zone && h.readsStore() {
			reader = h
		}
	}
	if reader == nil {
		return fmt.Errorf("no host of zone %s reads the store", zone)
	}
	leaving := w.backendsOf("bron", zone)[:2]
	at, ok := reader.proxy.waitForAnswer(5 * time.Second)
	if !ok {
		return fmt.Errorf("host %s does not read the store", reader.name)
	}
	w.record("zone %s: the store has answered %s", zone, reader.name)
	for _, b := range leaving {
		b.drain(leavesAfter)
	}
	time.Sleep(time.Until(at.Add(beforeKill)))
	if trouble {
		w.record("host %s is killed", reader.name)
		reader.kill()
	}
	time.Sleep(downFor)
	if trouble {
		w.record("host %s starts again", reader.name)
		if err := reader.start(); err != nil {
			return err
		}
	}
	time.Sleep(2*contactTime + 2*time.Second)
	return nil
}
