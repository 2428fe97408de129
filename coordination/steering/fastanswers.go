package steering

import "time"

// Failing targets. The load pattern: a target answers each request at once with
// an error, while its health check passes. It never has requests in progress,
// so the least-loaded rule sends it more and more flows. A host can't read
// responses, but it sees when callers acknowledge them: a target that answers
// much faster than is usual on the route does not do the work.

const (
	// fastAnswerRatio is the fraction of the route's median answer time below
	// which an answer counts as too fast.
	fastAnswerRatio = 0.35
	// medianStep is how far one answer moves a route's median estimate, as a
	// fraction of it. minMedianSamples is the number of answers before the
	// estimate is used.
	medianStep       = 0.05
	minMedianSamples = 30
	// fastAnswerWeight is the weight of one answer in a target's share of too
	// fast answers. fastShareHalfLife is how soon the share halves without
	// answers, so that a target that is avoided is tried again. It is long
	// because all hosts retry at once and the target looks idle to them.
	fastAnswerWeight  = 0.3
	fastShareHalfLife = 10 * time.Second
	// fastShareThreshold is the largest share that a healthy target may have: one
	// too fast answer in a row happens by chance, two don't.
	fastShareThreshold = 0.5
	// fastAnswerLoad is the load, in multiples of its slots, that is added to a
	// target whose answers all come too fast.
	fastAnswerLoad = 20.0
)

// medianEstimate estimates the median answer time of a route: each answer moves
// it up or down by one step.
type medianEstimate struct {
	median  time.Duration
	samples int
}

// addSample adds an answer time and reports whether it is far below the median.
func (m *medianEstimate) addSample(took time.Duration) bool {
	m.samples++
	if m.samples == 1 {
		m.median = took
		return false
	}
	step := time.Duration(medianStep * float64(m.median))
	switch {
	case took > m.median:
		m.median += step
	case took < m.median:
		m.median -= step
	}
	return m.samples > minMedianSamples && float64(took) < fastAnswerRatio*float64(m.median)
}

// fastAnswerShare is the share of a target's answers that came too fast, as an
// exponentially weighted average that decays over time.
type fastAnswerShare struct {
	share float64
	at    time.Duration
}

// addAnswer adds one answer to the average.
func (s *fastAnswerShare) addAnswer(now time.Duration, tooFast bool) {
	share := s.shareAt(now) * (1 - fastAnswerWeight)
	if tooFast {
		share += fastAnswerWeight
	}
	s.share, s.at = share, now
}

// shareAt returns the share at a time, from 0 to 1.
func (s *fastAnswerShare) shareAt(now time.Duration) float64 {
	share := s.share
	for at := s.at; at+fastShareHalfLife <= now && share > 0.01; at += fastShareHalfLife {
		share /= 2
	}
	return share
}

// fastAnswerPenalty returns the load that is added to a target for its too fast
// answers, as this host or others of its zone see them.
func (t *target) fastAnswerPenalty(now time.Duration) float64 {
	share := max(t.fastAnswers.shareAt(now), t.peersFast)
	if share <= fastShareThreshold {
		return 0
	}
	return fastAnswerLoad * share
}
