package steering

import "time"

const (
	// silenceBound is how long a target may leave callers unanswered without
	// any progress on another flow before it counts as silent. Callers
	// retransmit after 200 ms.
	silenceBound = 250 * time.Millisecond
	// blamesNeeded is how many flows have to go without an answer when
	// none of them is an opening, which a target answers at once.
	blamesNeeded = 2
	// deadAfter is how long a target has to be silent before flows that their
	// callers may repeat are given up.
	deadAfter = 300 * time.Millisecond
	// surelyDeadAfter is how long it has to be silent before such a flow is
	// given up with its next request, without waiting for an answer.
	surelyDeadAfter = time.Second
	// firstHold and maxHold bound how long a silent target gets no new flow
	// before one is tried; each failed try doubles it.
	firstHold = 500 * time.Millisecond
	maxHold   = 4 * time.Second
)

// health is the evidence about a target that callers' packets give.
type health struct {
	// progress is when a caller last acknowledged something new of the target.
	progress time.Duration
	// unanswered is when the oldest packet that was not answered was sent, 0
	// if all were; blames counts the flows that repeated theirs since.
	unanswered time.Duration
	blames     int
	// silent is set while the target is believed not to answer. since is when
	// that began and until when the next opening may be tried.
	silent bool
	since  time.Duration
	until  time.Duration
	hold   time.Duration
}

// answered records progress; it reports whether the target was silent.
func (h *health) answered(now time.Duration) bool {
	was := h.silent
	h.progress = now
	h.unanswered = 0
	h.blames = 0
	h.silent = false
	h.hold = 0
	return was
}

// openingRepeated records that an opening sent at a time was not answered. It
// reports whether the target counts as silent from now on.
func (h *health) openingRepeated(now, sent time.Duration) bool {
	if h.progress > sent {
		return false // it answers others: the packet was lost or refused
	}
	return h.suspect(now)
}

// dataRepeated records that a flow repeated data that it sent first at a time.
func (h *health) dataRepeated(now, sent time.Duration) bool {
	if h.progress > sent {
		return false // it answers others: this flow waits for a slot
	}
	if h.unanswered == 0 || sent < h.unanswered {
		h.unanswered = sent
	}
	h.blames++
	if h.blames < blamesNeeded || now-h.unanswered < silenceBound {
		return false
	}
	return h.suspect(now)
}

func (h *health) suspect(now time.Duration) bool {
	if h.silent && now < h.until {
		return false
	}
	first := !h.silent
	if first {
		h.silent, h.since, h.hold = true, now, firstHold
	} else {
		h.hold = min(2*h.hold, maxHold)
	}
	h.until = now + h.hold
	return first
}

// dead reports whether a flow that has waited for a time is to be given up: the
// target has answered nobody for long, though several asked.
func (h *health) dead(now, waited time.Duration) bool {
	if !h.silent || h.blames < blamesNeeded || now-h.since < deadAfter {
		return false
	}
	return waited >= silenceBound || now-h.since >= surelyDeadAfter
}

// usable reports whether new flows may be placed at the target: it answers, or
// it is time to try.
func (h *health) usable(now time.Duration) bool { return !h.silent || now >= h.until }

// tried records that an opening was sent to a silent target.
func (h *health) tried(now time.Duration) {
	if h.silent {
		h.hold = min(2*max(h.hold, firstHold), maxHold)
		h.until = now + h.hold
	}
}
