package steering

import (
	"cmp"
	"slices"
	"time"
)

// Failing targets. The load pattern: a target answers each request at once with
// an error, while its health check passes. It never has requests in progress,
// so the least-loaded rule sends it more and more flows. A host can't read
// responses, but it sees when callers acknowledge them: a target that answers
// much faster than is usual on the route does not do the work.
//
// The evidence must not grow with the load. The usual answer time therefore
// counts only requests that found a free slot, as the wait in the targets' queues
// would make answers of idle targets look too fast. Targets with full queues
// reject requests at once, so only requests that found a free slot are evidence
// against a target, and none while the pool is saturated. Only some of a pool's
// targets are avoided at once.

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
	// fastShareThreshold is the largest share that a healthy target may have: a
	// single too fast answer happens by chance, two in a row don't.
	fastShareThreshold = 0.5
	// fastAnswerLoad is the load, in multiples of its slots, that is added to a
	// target whose answers all come too fast.
	fastAnswerLoad = 20.0
	// maxAvoidedShare is the largest share of a pool's targets that are avoided at
	// once for too fast answers. The others could not take the load of more.
	maxAvoidedShare = 0.2
	// saturation is the share of a pool's slots in use from which it is saturated:
	// some targets have full queues then, and loads of before do not show which.
	saturation = 0.9
)

// medianEstimate estimates the median answer time of a route: each answer moves
// it up or down by one step.
type medianEstimate struct {
	median  time.Duration
	samples int
}

// addSample adds the answer time of a request that found a free slot.
func (m *medianEstimate) addSample(took time.Duration) {
	m.addSampleWithStep(took, medianStep)
}

// addSampleWithStep adds an answer time that moves the estimate by a fraction of it.
func (m *medianEstimate) addSampleWithStep(took time.Duration, fraction float64) {
	m.samples++
	if m.samples == 1 {
		m.median = took
		return
	}
	step := time.Duration(fraction * float64(m.median))
	switch {
	case took > m.median:
		m.median += step
	case took < m.median:
		m.median -= step
	}
}

// tooFast reports whether an answer time is far below the median.
func (m *medianEstimate) tooFast(took time.Duration) bool {
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

// recordAnswerTime updates what is known of a route and of a flow's target from
// the time of an answer.
func (s *Steering) recordAnswerTime(now time.Duration, r *route, f *flow, took time.Duration) {
	p := s.pools[f.target.entry.Service]
	if !f.foundFreeSlot || p == nil || p.saturated || s.short(now, p) {
		return
	}
	tooFast := r.answerTime.tooFast(took)
	f.target.fastAnswers.addAnswer(now, tooFast)
	r.answerTime.addSample(took)
	if tooFast || f.target.avoided {
		p.selectAvoided(now)
	}
}

// hasFreeSlot reports whether the target has a free slot, as known to the hosts of
// this zone.
func (t *target) hasFreeSlot() bool { return t.busy+t.opening+t.peersBusy < t.entry.Slots }

// fastShare returns the share of too fast answers, as this host or others of its
// zone see it.
func (t *target) fastShare(now time.Duration) float64 {
	return max(t.fastAnswers.shareAt(now), t.peersFast)
}

// selectAvoided selects the targets of the pool that are avoided for their too fast
// answers: those with the largest shares.
func (p *pool) selectAvoided(now time.Duration) {
	var failing []*target
	for _, t := range p.targets {
		t.avoided = false
		if t.fastShare(now) > fastShareThreshold {
			failing = append(failing, t)
		}
	}
	slices.SortStableFunc(failing, func(a, b *target) int { return cmp.Compare(b.fastShare(now), a.fastShare(now)) })
	limit := max(int(maxAvoidedShare*float64(len(p.targets))), 1)
	for _, t := range failing[:min(len(failing), limit)] {
		t.avoided = true
	}
}

// judgeSaturation decides whether the pool is saturated.
func (p *pool) judgeSaturation() {
	slots, requests := 0, 0
	for _, t := range p.targets {
		if t.eligible() {
			slots += t.entry.Slots
			requests += t.busy + t.opening + t.peersBusy
		}
	}
	p.saturated = float64(requests) >= saturation*float64(slots)
}

// judgePools updates the verdicts about all pools and their targets.
func (s *Steering) judgePools(now time.Duration) {
	for _, p := range s.pools {
		p.judgeSaturation()
		p.selectAvoided(now)
	}
}

// fastAnswerPenalty returns the load that is added to a target that is avoided for
// its too fast answers.
func (t *target) fastAnswerPenalty(now time.Duration) float64 {
	if !t.avoided {
		return 0
	}
	return fastAnswerLoad * t.fastShare(now)
}
