package main

import (
	"math/rand/v2"
	"net"
	"time"
)

// Figures of the case reborn.
const (
	outages = 8
	// outageFor is how long the store is down, calmFor the time between two outages.
	outageFor = 4500 * time.Millisecond
	calmFor   = 6 * time.Second
	// restarts is the number of backends that start again in an outage, restartGap the
	// time between two of them, restartTime how long each is down.
	restarts    = 3
	restartGap  = 1100 * time.Millisecond
	restartTime = 30 * time.Millisecond
)

// playReborn lets backends start again under their IDs, one after the other, while the
// store is down. Without the disruption they go on.
func playReborn(w *world, trouble bool) error {
	for range outages {
		w.setStoreDown(trouble)
		w.record("the store is down: %t", trouble)
		end := time.Now().Add(outageFor)
		for range restarts {
			time.Sleep(restartGap)
			list := w.backendsOf("bron", w.zones[rand.IntN(len(w.zones))])
			if b := list[rand.IntN(len(list))]; trouble {
				if err := w.restart(b); err != nil {
					return err
				}
			}
		}
		time.Sleep(time.Until(end))
		w.setStoreDown(false)
		w.record("the store is up")
		time.Sleep(calmFor)
	}
	return nil
}

func (w *world) setStoreDown(down bool) {
	w.storeDown.Store(down)
	for _, h := range w.hosts {
		h.proxy.setDown(down)
	}
}

// restart ends a backend and starts it again under its ID and at its address.
func (w *world) restart(b *backend) error {
	addr := b.conn.LocalAddr().(*net.UDPAddr)
	b.crash()
	time.Sleep(restartTime)
	next, err := newBackend(w, b.id, b.service, b.zone, addr.IP.String(), addr.Port, coldTime)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.backends = append(w.backends, next)
	w.mu.Unlock()
	w.record("backend %s starts again under its ID and is cold", b.id)
	time.AfterFunc(coldTime, func() {
		next.mu.Lock()
		defer next.mu.Unlock()
		w.record("backend %s was cold; it has got %d openings in its worst second", next.id, next.most)
	})
	return nil
}
