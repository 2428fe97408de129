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
	// deadBlames or deadHosts, deadAfter and deadWait are the flows without an
	// answer or the other hosts that get none, the silence of the target and the wait of a flow itself that it takes to give
	// the flow up: longer than a full link of this host lasts, and the second
	// repetition of the caller.
	deadBlames = 3
	deadHosts  = 2
	deadAfter  = 700 * time.Millisecond
	deadWait   = 500 * time.Millisecond
	// blameFresh is how old the last flow without an answer may be, and
	// answerFresh the last answer, to count as now.
	blameFresh  = time.Second
	answerFresh = 500 * time.Millisecond
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
	// blamed is when a flow went without an answer last.
	blamed time.Duration
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
	h.blamed = now
	return h.suspect(now)
}

// dataRepeated records that a flow repeated data that it sent first at a time,
// for the first time or again. It reports whether the target counts as silent
// from now on.
func (h *health) dataRepeated(now, sent time.Duration, first bool) bool {
	if h.progress > sent {
		return false // it answers others: this flow waits for a slot
	}
	if h.unanswered == 0 || sent < h.unanswered {
		h.unanswered = sent
	}
	if first {
		h.blames++
	}
	h.blamed = now
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
// target has answered nobody for long, though several flows, or several hosts,
// asked and one of them did so just now.
func (h *health) dead(now, waited time.Duration, hosts int) bool {
	asked := h.blames >= deadBlames || (h.blames > 0 && hosts >= deadHosts)
	return h.silent && asked && now-h.since >= deadAfter &&
		now-h.blamed < blameFresh && waited >= deadWait
}

// answering reports whether the target has answered a moment ago.
func (h *health) answering(now time.Duration) bool { return now-h.progress < answerFresh }

// accused reports whether the target is silent and was asked in vain a moment
// ago.
func (h *health) accused(now time.Duration) bool { return h.silent && now-h.blamed < blameFresh }

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
