package main

import "time"

// Figures of the case late.
const (
	lateRounds = 8
	// lateBy is how much later than it is made the store executes a call.
	lateBy = 6 * time.Second
	// drainAfter is the time from the call to the report that the backend drains. It is
	// above contact_ms.
	drainAfter = contactTime + 100*time.Millisecond
	// exitAfter is when the backend ends after that report: drain_ms and a little longer.
	exitAfter = drainBound + 250*time.Millisecond
	// roundTime is the time between two rounds.
	roundTime = 10500 * time.Millisecond
)

// playLate replaces two backends in each round, as planned. One heartbeat of each, made
// before it drains, is not answered and is executed later. Without the disruption the
// heartbeat is answered at once.
func playLate(w *world, trouble bool) error {
	for round := range lateRounds {
		start := time.Now()
		var leaving []*backend
		for i := range 2 {
			zone := w.zones[(round+i)%len(w.zones)]
			if _, err := w.addBackend("bron", zone); err != nil {
				return err
			}
			leaving = append(leaving, w.backendsOf("bron", zone)[0])
		}
		for _, b := range leaving {
			if trouble {
				b.writeLate(lateBy)
			} else {
				b.write()
			}
		}
		time.Sleep(time.Until(start.Add(drainAfter)))
		for _, b := range leaving {
			b.drain(exitAfter)
		}
		time.Sleep(time.Until(start.Add(roundTime)))
	}
	return nil
}
