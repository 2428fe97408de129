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
// The evidence must not grow with the load. Answers are therefore compared with
// the fastest answers of the route, which waits for no slot even while
// most requests wait; only requests that found a free slot count, as targets with
// full queues reject at once, and none while the pool is saturated. Only some of a
// pool's targets are avoided at once.

const (
	// usualQuantile is the quantile of a route's service times that answers are
	// compared with, and fastAnswerRatio the fraction of it below which an answer
	// counts as too fast.
	usualQuantile   = 0.05
	fastAnswerRatio = 0.3
	// outlierWeight is the weight of a too fast answer in the estimate: failing
	// targets must not become the usual case at once.
	outlierWeight = 0.3
	// fastAnswerWeight is the weight of one answer in a target's share of too
	// fast answers. fastShareHalfLife is how soon the share halves without
	// answers, so that a target that is avoided is tried again. It is long
	// because all hosts retry at once and the target looks idle to them.
	fastAnswerWeight  = 0.3
	fastShareHalfLife = 10 * time.Second
	// fastShareThreshold is the largest share that a healthy target may have: a
	// single too fast answer happens by chance, two in a row don't.
	fastShareThreshold = 0.5
	// maxFastAnswerLoad bounds the load, in multiples of its slots, that is added to
	// a target whose answers come too fast.
	maxFastAnswerLoad = 20.0
	// maxAvoidedShare is the largest share of a pool's targets in one zone that are
	// avoided at once for too fast answers. The others could not take the load of
	// more.
	maxAvoidedShare = 0.2
	// saturation is the share of a pool's slots in use from which it is saturated:
	// some targets have full queues then, and loads of before do not show which.
	saturation = 0.9
)

// answerTimes is what a host has learned of a route's answers.
type answerTimes struct {
	// roundTrip is the median time of a handshake, service the usualQuantile of the
	// times from a request to its answer without the round trip, and median their
	// median.
	roundTrip, service, median quantileEstimate
}

// addHandshake adds the time of a handshake.
func (a *answerTimes) addHandshake(took time.Duration) { a.roundTrip.addSample(took, 0.5, 1) }

// tooFast reports whether an answer came far faster than is usual.
func (a *answerTimes) tooFast(took time.Duration) bool {
	served := max(took-a.roundTrip.value, 0)
	return a.roundTrip.known && a.service.known && float64(served) < fastAnswerRatio*float64(a.service.value)
}

// addAnswer adds the answer time of a request that found a free slot. It reports
// whether the answer came too fast.
func (a *answerTimes) addAnswer(took time.Duration) (tooFast bool) {
	if !a.roundTrip.known {
		return false
	}
	served := max(took-a.roundTrip.value, 0)
	tooFast = a.tooFast(took)
	weight := 1.0
	if tooFast {
		weight = outlierWeight
	}
	a.service.addSample(served, usualQuantile, weight)
	a.median.addSample(served, 0.5, 1)
	return tooFast
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
	tooFast := r.answerTimes.addAnswer(took)
	f.target.fastAnswers.addAnswer(now, tooFast)
	if !tooFast {
		s.learnServiceTime(now, f, p, took)
	}
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
// answers: in each zone those with the largest shares.
func (p *pool) selectAvoided(now time.Duration) {
	var failing []*target
	inZone := map[*zonePath]int{}
	for _, t := range p.targets {
		t.avoided = false
		inZone[t.path]++
		if t.fastShare(now) > fastShareThreshold {
			failing = append(failing, t)
		}
	}
	slices.SortStableFunc(failing, func(a, b *target) int { return cmp.Compare(b.fastShare(now), a.fastShare(now)) })
	avoided := map[*zonePath]int{}
	for _, t := range failing {
		if avoided[t.path] < max(int(maxAvoidedShare*float64(inZone[t.path])), 1) {
			avoided[t.path]++
			t.avoided = true
		}
	}
}

// updateSaturation decides whether the pool is saturated.
func (p *pool) updateSaturation() {
	slots, requests := 0, 0
	for _, t := range p.targets {
		if t.eligible() {
			slots += t.entry.Slots
			requests += t.busy + t.opening + t.peersBusy
		}
	}
	p.saturated = float64(requests) >= saturation*float64(slots)
}

// updatePools updates what is derived from the loads and answers of all pools' targets.
func (s *Steering) updatePools(now time.Duration) {
	for _, p := range s.pools {
		p.updateSaturation()
		p.updateOwnKnowledge()
		p.selectAvoided(now)
	}
}

// fastAnswerPenalty returns the load that is added to a target that is avoided for
// its too fast answers: the expected number of failed attempts for each success. A
// target that fails only some requests is used before requests queue for long at
// the others.
func (t *target) fastAnswerPenalty(now time.Duration) float64 {
	if !t.avoided {
		return 0
	}
	share := t.fastShare(now)
	return min(share/max(1-share, 1/maxFastAnswerLoad), maxFastAnswerLoad)
}
