package admission

import "time"

const (
	// burstShare is the share of a second's openings that is admitted at once.
	burstShare = 0.3
	// windowStep is the resolution of the sliding window that limits openings,
	// and windowSteps its length in steps. It is one step longer than a second,
	// so that at most the rate is admitted in any second.
	windowStep  = 50 * time.Millisecond
	windowSteps = int(time.Second/windowStep) + 1
)

// limiter limits the openings per second: a token bucket paces them, and a
// sliding window bounds their number in any second.
type limiter struct {
	tokens     float64
	lastRefill time.Duration
	// steps counts the openings of each windowStep, and sum is their total.
	steps      [windowSteps]int
	sum        int
	newestStep int64
}

// bucketDepth returns the largest number of openings admitted at once.
func bucketDepth(rate float64) float64 { return max(1, rate*burstShare) }

// refill adds the tokens earned up to now and drops expired window steps.
func (l *limiter) refill(now time.Duration, rate float64) {
	elapsed := max(now-l.lastRefill, 0)
	l.lastRefill = max(now, l.lastRefill)
	l.tokens = min(bucketDepth(rate), l.tokens+elapsed.Seconds()*rate)
	for step := int64(l.lastRefill / windowStep); l.newestStep < step && l.sum > 0; {
		l.newestStep++
		l.sum -= *l.stepCount()
		*l.stepCount() = 0
	}
	l.newestStep = int64(l.lastRefill / windowStep)
}

func (l *limiter) stepCount() *int { return &l.steps[l.newestStep%int64(windowSteps)] }

// take admits one opening. A rate of 0 means no limit.
func (l *limiter) take(rate float64) bool {
	if rate <= 0 {
		return true
	}
	if l.tokens < 1 || float64(l.sum)+1 > max(rate, 1) {
		return false
	}
	l.tokens--
	l.sum++
	*l.stepCount()++
	return true
}

// untilNext returns the expected time until an opening is admitted.
func (l *limiter) untilNext(rate float64) time.Duration {
	missing := 1 - l.tokens
	if missing <= 0 {
		return windowStep
	}
	return time.Duration(missing / rate * float64(time.Second))
}

// endInterval estimates the time between two ends of connections.
type endInterval struct {
	last time.Duration
	// mean is the smoothed interval, 0 before the second end.
	mean    time.Duration
	hasLast bool
}

// endSmoothing is the divisor of the moving average: the newest interval has
// the weight 1/endSmoothing.
const endSmoothing = 16

func (e *endInterval) add(now time.Duration) {
	if e.hasLast {
		e.mean += (now - e.last - e.mean) / endSmoothing
	}
	e.last = now
	e.hasLast = true
}

// untilNext returns the expected time until a connection ends.
func (e *endInterval) untilNext(now time.Duration) time.Duration {
	if !e.hasLast || e.mean == 0 {
		return maxRetryAfter
	}
	return max(e.mean, now-e.last)
}
