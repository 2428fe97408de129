package main

import "time"

// incomplete is an entry of a backend that another writer has written. It lacks version,
// warmup_left_ms, seq and born.
type incomplete struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
}

// Figures of the case foreign.
const (
	foreignEntries  = 9
	foreignInterval = 4 * time.Second
)

// playForeign lets another writer write an incomplete entry that names a backend of the
// take intake as one of the booking service. The backend writes its own entry with its next
// heartbeat.
func playForeign(w *world, trouble bool) error {
	for i := range foreignEntries {
		zone := w.zones[i%len(w.zones)]
		b := w.backendsOf("qabyl", zone)[0]
		if trouble {
			w.store.put(b.key(), incomplete{Service: "bron", Address: b.address(), Zone: zone, Slots: slots, State: "ready"})
			w.record("another writer has written an incomplete entry of %s, which is of qabyl", b.id)
		}
		time.Sleep(foreignInterval)
	}
	return nil
}
