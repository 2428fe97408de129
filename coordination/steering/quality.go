package steering

import "time"

// Failing targets. The load pattern: a target answers each request at once,
// with an error, while its health check is good. It never has work, so the rule
// that takes the least loaded target gives it ever more. A host can't read
// answers, but it sees when callers acknowledge them: a target whose answers
// come much faster than is usual on their route does not do the work.

const (
	// fastShare is how much faster than usual an answer has to come to count as
	// too fast, as a share of the route's usual time.
	fastShare = 0.35
	// typicalStep is by how much one answer moves a route's usual time, as a
	// share of it; typicalSamples is how many it takes to trust it.
	typicalStep    = 0.05
	typicalSamples = 30
	// fastWeight is the weight of one answer in a target's share of answers that
	// came too fast, and fastHalfLife how soon the share halves without one: a
	// target that is avoided is tried again. It is long because all hosts try at
	// once and the target looks idle to them.
	fastWeight   = 0.3
	fastHalfLife = 10 * time.Second
	// fastFloor is the share that a target of good health may have: one such
	// answer in a row comes by chance, two don't.
	fastFloor = 0.5
	// fastLoad is the load, in multiples of its slots, that a target counts as
	// having beside its own when all its answers come too fast.
	fastLoad = 20.0
)

// typical is the usual time of a route's answers: an estimate of the median
// that moves up or down a step with each one.
type typical struct {
	time    time.Duration
	samples int
}

// tooFast takes the time of an answer in and reports whether it is far below
// the usual.
func (t *typical) tooFast(took time.Duration) bool {
	t.samples++
	if t.samples == 1 {
		t.time = took
		return false
	}
	step := time.Duration(typicalStep * float64(t.time))
	switch {
	case took > t.time:
		t.time += step
	case took < t.time:
		t.time -= step
	}
	return t.samples > typicalSamples && float64(took) < fastShare*float64(t.time)
}

// quality is the share of a target's answers that came too fast.
type quality struct {
	share float64
	at    time.Duration
}

// answered takes one answer in.
func (q *quality) answered(now time.Duration, tooFast bool) {
	share := q.now(now) * (1 - fastWeight)
	if tooFast {
		share += fastWeight
	}
	q.share, q.at = share, now
}

// now returns the share at a time.
func (q *quality) now(now time.Duration) float64 {
	share := q.share
	for at := q.at; at+fastHalfLife <= now && share > 0.01; at += fastHalfLife {
		share /= 2
	}
	return share
}

// qualityLoad is the load that a target counts as having for its too fast
// answers, as this host or others of its zone see them.
func (t *target) qualityLoad(now time.Duration) float64 {
	share := max(t.quality.now(now), t.peersFast)
	if share <= fastFloor {
		return 0
	}
	return fastLoad * share
}
