package steering

import "time"

const (
	// silenceBound is how long a target may leave callers unanswered without
	// any progress on another flow before it counts as silent. Callers
	// retransmit after 200 ms.
	silenceBound = 250 * time.Millisecond
	// silentFlows is how many flows have to go without an answer when
	// none of them is an opening, which a target answers at once.
	silentFlows = 2
	// deadFlows and deadHosts are how many flows of this host, or how many other
	// hosts, have to get no answer for a flow to be given up.
	deadFlows = 3
	deadHosts = 2
	// deadAfter is how long the target has to be silent for it, longer than a
	// full link of this host lasts, and deadWait how long the flow itself has to
	// wait, which is up to its caller's second repetition.
	deadAfter = 700 * time.Millisecond
	deadWait  = 500 * time.Millisecond
	// unansweredFresh is how old the last flow without an answer may be, and
	// answerFresh the last answer, to count as now.
	unansweredFresh = time.Second
	answerFresh     = 500 * time.Millisecond
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
	// if all were; unansweredFlows counts the flows that repeated theirs since.
	unanswered      time.Duration
	unansweredFlows int
	// lastUnanswered is when a flow went without an answer last.
	lastUnanswered time.Duration
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
	h.unansweredFlows = 0
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
	h.lastUnanswered = now
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
		h.unansweredFlows++
	}
	h.lastUnanswered = now
	if h.unansweredFlows < silentFlows || now-h.unanswered < silenceBound {
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
	asked := h.unansweredFlows >= deadFlows || (h.unansweredFlows > 0 && hosts >= deadHosts)
	return h.silent && asked && now-h.since >= deadAfter &&
		now-h.lastUnanswered < unansweredFresh && waited >= deadWait
}

// answering reports whether the target has answered a moment ago.
func (h *health) answering(now time.Duration) bool { return now-h.progress < answerFresh }

// unresponsive reports whether the target is silent and was asked in vain a moment
// ago.
func (h *health) unresponsive(now time.Duration) bool {
	return h.silent && now-h.lastUnanswered < unansweredFresh
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
