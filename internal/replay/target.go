package replay

import (
	"fmt"
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

const (
	// serviceTime is how long an opening occupies a slot of a warm target.
	serviceTime = 2 * time.Millisecond
	// maxQueueTime is the longest that an opening waits for a slot.
	maxQueueTime = 500 * time.Millisecond
	// overloadTime is how long a cold target answers no opening after one that
	// exceeded its limits.
	overloadTime = 2 * time.Second
	// coldShare is the share of its limits that a target supports at its start.
	coldShare = 0.1
	// rateWindow is the time over which openings count against the rate limit.
	rateWindow = time.Second
)

// target is a fake target with slots, connections and cold starts.
type target struct {
	id      uint64
	name    string
	service string
	zone    string
	limits  document.Limits
	ramp    time.Duration
	// cold is set once the target has had a cold start; coldAt is the last one.
	cold   bool
	coldAt time.Duration
	// unannounced is set if no document announced the cold start.
	unannounced     bool
	overloadedUntil time.Duration
	// sheddingUntil is the time before which the target answers no new opening.
	sheddingUntil  time.Duration
	state          document.TargetState
	drainingSince  time.Duration
	removed        bool
	weight         int
	slotFreeAt     []time.Duration
	recentOpenings []time.Duration
	flows          map[packet.Flow]*caller
}

// openingResult is a target's answer to an opening.
type openingResult struct {
	answered bool
	after    time.Duration
	// exceeded describes the limit that the opening exceeded; it is empty if
	// none.
	exceeded string
}

// warmShare returns the share of its limits that the target supports, 0 to 1.
func (t *target) warmShare(now time.Duration) float64 {
	age := now - t.coldAt
	if !t.cold || age >= t.ramp {
		return 1
	}
	return coldShare + (1-coldShare)*float64(max(age, 0))/float64(t.ramp)
}

// restart makes the target cold and closes its flows.
func (t *target) restart(now time.Duration) {
	t.cold, t.coldAt, t.unannounced = true, now, false
	t.flows = make(map[packet.Flow]*caller)
}

// handleOpening processes one opening. A cold target whose limits it exceeds
// answers no new opening for overloadTime.
func (t *target) handleOpening(now time.Duration, c *caller) openingResult {
	if _, known := t.flows[c.flow]; known {
		return openingResult{answered: true, after: serviceTime}
	}
	if now < t.sheddingUntil || now < t.overloadedUntil {
		return openingResult{}
	}
	over := t.recordOpening(now)
	if over != "" && t.warmShare(now) < 1 {
		t.overloadedUntil = now + overloadTime
		return openingResult{exceeded: over}
	}
	after, ok := t.assignSlot(now)
	if !ok || len(t.flows) >= t.limits.Connections {
		return openingResult{exceeded: over}
	}
	t.flows[c.flow] = c
	return openingResult{answered: true, after: after, exceeded: over}
}

// recordOpening records an opening and describes the limit that it exceeds, or
// returns an empty text.
func (t *target) recordOpening(now time.Duration) string {
	share := t.warmShare(now)
	t.recentOpenings = append(t.recentOpenings, now)
	for len(t.recentOpenings) > 0 && t.recentOpenings[0] <= now-rateWindow {
		t.recentOpenings = t.recentOpenings[1:]
	}
	rate := max(float64(t.limits.OpeningsPerSecond)*share, 1)
	connections := float64(t.limits.Connections)
	if !t.unannounced {
		connections *= share
	}
	switch {
	case float64(len(t.recentOpenings)) > rate:
		return fmt.Sprintf("%d openings in a second at %.0f", len(t.recentOpenings), rate)
	case t.busySlots(now) >= t.usableSlots(share):
		return fmt.Sprintf("%d slots taken", t.busySlots(now))
	case float64(len(t.flows)) >= connections:
		return fmt.Sprintf("%d connections", len(t.flows))
	}
	return ""
}

// usableSlots returns the number of slots, at least 1, that the target can use at
// a share of its limits.
func (t *target) usableSlots(share float64) int {
	return max(int(float64(t.limits.OpeningsInFlight)*share), 1)
}

// busySlots counts the slots in use.
func (t *target) busySlots(now time.Duration) int {
	n := 0
	for _, free := range t.slotFreeAt {
		if free > now {
			n++
		}
	}
	return n
}

// assignSlot assigns an opening to the slot that is free first. It returns the
// time to the answer, or false if the wait exceeds maxQueueTime.
func (t *target) assignSlot(now time.Duration) (time.Duration, bool) {
	share := t.warmShare(now)
	for len(t.slotFreeAt) < t.limits.OpeningsInFlight {
		t.slotFreeAt = append(t.slotFreeAt, 0)
	}
	first := 0
	for i, free := range t.slotFreeAt[:t.usableSlots(share)] {
		if free < t.slotFreeAt[first] {
			first = i
		}
	}
	start := max(now, t.slotFreeAt[first])
	if start-now > maxQueueTime {
		return 0, false
	}
	t.slotFreeAt[first] = start + time.Duration(float64(serviceTime)/share)
	return t.slotFreeAt[first] - now, true
}
