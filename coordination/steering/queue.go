package steering

// Queueing. The load pattern: all hosts were gone for a second or two, and
// everything that callers held back comes within a second, at twice what the
// targets can do. Each target serves in the order of arrival, so requests that
// are late already would make all fresh ones late too, and what exceeds a
// target's queue it rejects. Openings are therefore held to what a target
// finishes in time, fresh ones before repeated ones. One that is held costs
// nothing: the caller repeats its opening by itself 200 ms and 600 ms after
// the first.

const (
	// freshQueue bounds the requests at a target, in multiples of its slots,
	// beyond which a fresh opening is held: it waits twice as long as it takes
	// to serve, which leaves it in time.
	freshQueue = 3.0
	// repeatedQueue is the same bound for an opening that was held or lost
	// before: it is late already and takes only a slot that is free.
	repeatedQueue = 1.0
	// lastQueue is the bound for the last copy of an opening, which the caller
	// does not repeat.
	lastQueue = 3.0
	// lastCopy is the number of the caller's last copy of an opening.
	lastCopy = 2
)

// queueBound returns how many requests a target may have, in multiples of its
// slots, for one more opening to be sent to it.
func queueBound(copies uint32) float64 {
	switch {
	case copies == 0:
		return freshQueue
	case copies < lastCopy:
		return repeatedQueue
	}
	return lastQueue
}

// queueFull returns why an opening gets no target when all have their bound: it
// waits for its caller's next copy, or is refused when none will come.
func queueFull(copies uint32) Cause {
	if copies < lastCopy {
		return CauseBusy
	}
	return CauseNoCapacity
}

// queued returns the requests at a target, in work, waiting or about to come,
// in multiples of its slots, as far as the hosts of this zone know.
func (t *target) queued() float64 {
	return float64(t.busy+t.opening+t.peersBusy) / float64(max(t.entry.Slots, 1))
}
