package steering

import "time"

const (
	// silenceTimeout is how long a target may leave flows unanswered without
	// progress on any other flow before it counts as silent. Callers retransmit
	// after 200 ms.
	silenceTimeout = 250 * time.Millisecond
	// minSilentFlows is the number of unanswered flows, at this host and at
	// others of its zone, from which a target counts as silent. One unanswered
	// opening is enough, as a target answers openings at once.
	minSilentFlows = 2
	// minDeadFlows is the number of unanswered flows, at this host and at others
	// of its zone, required to give up a flow. From minConfirmingFlows at other
	// hosts on, these confirm that the silence is not this host's own.
	minDeadFlows       = 3
	minConfirmingFlows = 2
	// minDeadSilence is how long the target has to be silent before its flows are
	// given up: longer than congestion of this host's link lasts. It counts from
	// the verdict, or from the oldest unanswered data if other hosts confirm it.
	minDeadSilence = 700 * time.Millisecond
	// unansweredWindow and answerWindow are how old the last unanswered flow and
	// the last answer may be to count as recent.
	unansweredWindow = time.Second
	answerWindow     = 500 * time.Millisecond
	// silentReportLifetime is how long after the last unanswered flow the silence of a
	// target is reported to other hosts: as long as a dead one may have an entry in the
	// store. Later each host may try whether it answers again.
	silentReportLifetime = entryExpiry
	// initialBackoff and maxBackoff bound how long a silent target gets no new
	// flow before a retry; each failed retry doubles the time.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 4 * time.Second
)

// health is the evidence about a target that callers' packets give.
type health struct {
	// lastProgress is when a caller's packet last showed that the target answers:
	// the packet completed a handshake, acknowledged new data or carried data
	// beyond maxInFlight.
	lastProgress time.Duration
	// unansweredSince is when the oldest unanswered data was sent, 0 if there is
	// none; unansweredFlows counts the flows that retransmitted data since.
	unansweredSince time.Duration
	unansweredFlows int
	// lastUnanswered is when a flow last retransmitted without an answer.
	lastUnanswered time.Duration
	// silent is set while the target does not answer, since silentSince. retryAt
	// is when the next opening may be sent to it, backoff the wait between retries.
	silent      bool
	silentSince time.Duration
	retryAt     time.Duration
	backoff     time.Duration
}

// recordAnswer records progress and reports whether the target was silent.
func (h *health) recordAnswer(now time.Duration) bool {
	wasSilent := h.silent
	h.lastProgress = now
	h.unansweredSince = 0
	h.unansweredFlows = 0
	h.silent = false
	h.backoff = 0
	return wasSilent
}

// recordOpeningRetransmission records that an opening forwarded at the time
// sent was not answered. It reports whether the target becomes silent.
func (h *health) recordOpeningRetransmission(now, sent time.Duration) bool {
	if h.lastProgress > sent {
		return false // it answers other flows: the packet was lost or refused
	}
	h.lastUnanswered = now
	return h.markSilent(now)
}

// recordDataRetransmission records that a flow retransmitted data first sent at
// the time sent; first is set for the first retransmission. others is the number
// of flows that the target left unanswered at other hosts. It reports whether the
// target becomes silent.
func (h *health) recordDataRetransmission(now, sent time.Duration, first bool, others int) bool {
	if h.lastProgress > sent {
		return false // it answers other flows: this one waits for a slot
	}
	if h.unansweredSince == 0 || sent < h.unansweredSince {
		h.unansweredSince = sent
	}
	if first {
		h.unansweredFlows++
	}
	h.lastUnanswered = now
	return h.unansweredLong(now, others) && h.markSilent(now)
}

// unansweredLong reports whether enough flows have waited long enough for the
// target to count as silent.
func (h *health) unansweredLong(now time.Duration, others int) bool {
	return h.unansweredFlows > 0 && h.unansweredFlows+others >= minSilentFlows && now-h.unansweredSince >= silenceTimeout
}

// confirmSilence marks the target as silent if the unanswered flows of this host
// and of others together suffice. It reports whether the target becomes silent.
func (h *health) confirmSilence(now time.Duration, others int) bool {
	return !h.silent && others > 0 && h.unansweredLong(now, others) &&
		now-h.lastUnanswered < unansweredWindow && h.markSilent(now)
}

// reportedUnanswered returns the number of unanswered flows for other hosts; a
// silent target counts as enough of them for a while.
func (h *health) reportedUnanswered(now time.Duration) int {
	n := 0
	if now-h.lastUnanswered < unansweredWindow {
		n = h.unansweredFlows
	}
	if h.silent && now < h.lastUnanswered+silentReportLifetime {
		n = max(n, minSilentFlows)
	}
	return min(n, maxReportedUnanswered)
}

// markSilent marks the target as silent, or doubles the backoff if it is silent
// already and its retry failed. It reports whether the target becomes silent.
func (h *health) markSilent(now time.Duration) bool {
	if h.silent && now < h.retryAt {
		return false
	}
	first := !h.silent
	if first {
		h.silent, h.silentSince, h.backoff = true, now, initialBackoff
	} else {
		h.backoff = min(2*h.backoff, maxBackoff)
	}
	h.retryAt = now + h.backoff
	return first
}

// dead reports whether the target's flows are to be given up: it has been silent
// for long, several flows confirm it, and one of this host went unanswered
// recently. others is the number of unanswered flows at other hosts.
func (h *health) dead(now time.Duration, others int) bool {
	since := h.silentSince
	if others >= minConfirmingFlows {
		since = h.unansweredSince
	}
	return h.silent && h.unansweredFlows > 0 && h.unansweredFlows+others >= minDeadFlows &&
		now-since >= minDeadSilence && now-h.lastUnanswered < unansweredWindow
}

// silentInLostZone reports whether the flows of a target whose zone is lost are to
// be given up: it is silent, or one flow has waited for long, and one of this host
// went unanswered recently.
func (h *health) silentInLostZone(now time.Duration) bool {
	waited := h.unansweredFlows > 0 && now-h.unansweredSince >= minDeadSilence
	return (h.silent || waited) && now-h.lastUnanswered < unansweredWindow
}

// answering reports whether the target answered recently.
func (h *health) answering(now time.Duration) bool { return now-h.lastProgress < answerWindow }

// unresponsive reports whether the target is silent and a flow went unanswered
// recently.
func (h *health) unresponsive(now time.Duration) bool {
	return h.silent && now-h.lastUnanswered < unansweredWindow
}

// usable reports whether new flows may be assigned to the target: it answers,
// or a retry is due.
func (h *health) usable(now time.Duration) bool { return !h.silent || now >= h.retryAt }

// recordAttempt records that an opening is sent to the target; a silent one
// gets no other before the backoff has passed.
func (h *health) recordAttempt(now time.Duration) {
	if h.silent {
		h.backoff = min(2*max(h.backoff, initialBackoff), maxBackoff)
		h.retryAt = now + h.backoff
	}
}
