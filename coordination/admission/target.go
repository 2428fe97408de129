package admission

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/document"
)

// Target is the admission state of one target at its owner.
type Target struct {
	mu           sync.Mutex
	cfg          Config
	flows        int
	openings     openings
	retained     retained
	meanFlows    float64
	reportedLoad float64
	ramp         ramp
	factor       factor
	limiter      limiter
	signals      signals
	endInterval  endInterval
	rng          rand.PCG
}

// NewTarget returns a target without flows. A cold target ramps up; one that
// was taken over from another owner is warm.
func NewTarget(now time.Duration, cfg Config, cold bool, seed uint64) *Target {
	t := &Target{cfg: cfg, reportedLoad: -1}
	t.rng = *rand.NewPCG(seed, cfg.ID)
	t.factor = newFactor(now, t.uniform())
	t.ramp = warmRamp()
	if cold {
		t.ramp = coldRamp(now, 0)
	}
	t.limiter.lastRefill = now
	if !cold {
		// The former owner may have just admitted a whole burst.
		t.limiter.tokens = -bucketDepth(t.rate(now))
	}
	t.signals.window.start = now
	return t
}

// Update replaces the configuration. Counts and ramp stay.
func (t *Target) Update(now time.Duration, cfg Config) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limiter.refill(now, t.rate(now))
	t.cfg = cfg
}

// Admit decides about one opening and, if it is admitted, counts its
// connection and its opening in flight.
func (t *Target) Admit(now time.Duration) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.overShare(now) {
		return Decision{Reason: ReasonOverShare, RetryAfter: minRetryAfter}
	}
	return t.admit(now)
}

// AdmitOverShare is Admit for an opening that no other target has capacity for:
// it ignores the mean set by SetMeanFlows.
func (t *Target) AdmitOverShare(now time.Duration) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.admit(now)
}

func (t *Target) admit(now time.Duration) Decision {
	rate := t.rate(now)
	t.limiter.refill(now, rate)
	switch {
	case t.cfg.Draining:
		return Decision{Reason: ReasonDraining, RetryAfter: maxRetryAfter}
	case t.full(now):
		return t.refuse(ReasonConnections, t.endInterval.untilNext(now))
	case t.openings.full(now, t.slots(now)):
		return t.refuse(ReasonInFlight, t.signals.expectedAnswerTime())
	case !t.limiter.take(rate):
		return t.refuse(ReasonRate, t.limiter.untilNext(rate))
	}
	t.flows++
	t.openings.add(now)
	return Decision{OK: true}
}

// refuse adds jitter to the expected time, so that refused callers don't retry
// at the same time.
func (t *Target) refuse(reason Reason, expected time.Duration) Decision {
	spread := time.Duration(float64(expected) * (1 + t.uniform()))
	return Decision{Reason: reason, RetryAfter: min(max(spread, minRetryAfter), maxRetryAfter)}
}

// Adopt counts the connection of a flow that was taken over, and no longer counts
// it as retained.
func (t *Target) Adopt(_ time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.flows++
	t.retained.flows = max(t.retained.flows-1, 0)
}

// Established records that the caller acknowledged the target's answer, latency
// after its opening was forwarded.
func (t *Target) Established(now, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.openings.answered(now, latency, t.signals.expectedAnswerTime())
	t.applySignal(now, t.signals.answered(now, latency))
}

// Retransmitted records that an unanswered opening was received again.
func (t *Target) Retransmitted(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applySignal(now, t.signals.unanswered(now))
}

// Abandoned frees the connection and the opening in flight of a flow that
// never became established. It does not affect the limits: the caller may have
// disappeared, rather than the target.
func (t *Target) Abandoned(now time.Duration) {
	t.Ended(now, false)
}

// Ended frees the connection of a flow and, if it was not established, its
// opening in flight.
func (t *Target) Ended(now time.Duration, established bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.flows = max(t.flows-1, 0)
	t.endInterval.add(now)
	if !established {
		t.openings.remove()
	}
}

// SetRetained sets how many flows of a former owner the target is assumed to
// hold. Until they are adopted they count against the limit of connections, for
// at most retainedLimitAge, and in the comparison with the mean, for at most
// retainedComparisonAge.
func (t *Target) SetRetained(now time.Duration, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retained = retained{flows: max(n, 0), since: now}
}

// SetMeanFlows sets the mean of the open flows over comparable targets, scaled
// to this target's weight. Zero disables the comparison.
func (t *Target) SetMeanFlows(mean float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.meanFlows = mean
}

// ApplyReport lowers the limits in force if the report says so, and sets the load
// that Load returns. Lowered limits recover over time.
func (t *Target) ApplyReport(now time.Duration, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now-r.At > reportMaxAge {
		return
	}
	t.reportedLoad = r.Load
	switch {
	case r.Unhealthy && now-t.signals.lastAnswer > recentAnswerAge:
		t.factor.limitTo(now, unansweredFloor, t.cfg.Ramp)
	case r.Unhealthy, r.Shedding, r.Load >= busyLoad:
		t.factor.limitTo(now, slowFloor, t.cfg.Ramp)
	}
}

// Load returns the last reported load for breaking ties, below 0 if unknown.
func (t *Target) Load() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reportedLoad
}

// WarmShare returns the share of its limits that the target's ramp has reached,
// up to 1.
func (t *Target) WarmShare(now time.Duration) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ramp.share(now, t.cfg.Ramp)
}

// MarkCold restarts the target's ramp. The flows that it holds stay.
func (t *Target) MarkCold(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ramp = coldRamp(now, t.flows)
}

// SetWarmShare continues the ramp of another owner at the given share.
func (t *Target) SetWarmShare(now time.Duration, share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if share >= 1 {
		t.ramp = warmRamp()
		return
	}
	done := max(share-coldShare, 0) / (1 - coldShare)
	t.ramp = coldRamp(now-time.Duration(done*float64(t.cfg.Ramp)), t.flows)
}

// Flows returns the number of open flows, without retained ones.
func (t *Target) Flows() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.flows
}

// ComparableFlows returns the number of flows to compare with other targets: the
// open ones and those recently retained.
func (t *Target) ComparableFlows(now time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.comparableFlows(now)
}

// InFlight returns the number of unanswered openings that occupy a slot.
func (t *Target) InFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.openings.occupied
}

// Limits returns the limits in force.
func (t *Target) Limits(now time.Duration) document.Limits {
	t.mu.Lock()
	defer t.mu.Unlock()
	return document.Limits{
		Connections:       t.connections(now),
		OpeningsInFlight:  t.slots(now),
		OpeningsPerSecond: int(t.rate(now)),
	}
}

// applySignal lowers the limits or restarts the ramp.
func (t *Target) applySignal(now time.Duration, s signal) {
	switch s {
	case signalSlow:
		t.factor.decrease(now, slowFloor, t.cfg.Ramp, t.uniform())
	case signalUnanswered:
		t.factor.decrease(now, unansweredFloor, t.cfg.Ramp, t.uniform())
	case signalCold:
		t.ramp = coldRamp(now, t.flows)
	}
}

func (t *Target) overShare(now time.Duration) bool {
	if t.meanFlows <= 0 {
		return false
	}
	bound := max(t.meanFlows*overShareRatio, t.meanFlows+overShareFlows)
	return float64(t.comparableFlows(now)+1) > bound
}

func (t *Target) comparableFlows(now time.Duration) int {
	return t.flows + t.retained.within(now, retainedComparisonAge)
}

func (t *Target) full(now time.Duration) bool {
	limit := t.connections(now)
	return limit > 0 && t.flows+t.retained.within(now, retainedLimitAge) >= limit
}

// connections returns the limit in force, 0 for none. It grows from the number
// of flows that the target held when it turned cold.
func (t *Target) connections(now time.Duration) int {
	limit := t.cfg.Limits.Connections
	scaled := int(float64(limit) * t.ramp.share(now, t.cfg.Ramp))
	return min(limit, t.ramp.initialFlows+scaled)
}

// slots returns the limit of openings in flight. It is at least 1, so that the
// recovery of a target with lowered limits is noticed.
func (t *Target) slots(now time.Duration) int {
	limit := t.cfg.Limits.OpeningsInFlight
	if limit <= 0 {
		limit = DefaultSlots
	}
	return max(int(float64(limit)*t.share(now)), 1)
}

// rate returns the limit of openings per second: 0 for none, else at least
// minRate.
func (t *Target) rate(now time.Duration) float64 {
	limit := float64(t.cfg.Limits.OpeningsPerSecond)
	if limit <= 0 {
		return 0
	}
	return max(limit*t.share(now), minRate)
}

func (t *Target) share(now time.Duration) float64 {
	return t.ramp.share(now, t.cfg.Ramp) * t.factor.at(now, t.cfg.Ramp)
}

// uniform returns a number in [0, 1).
func (t *Target) uniform() float64 {
	const bits = 53
	return float64(t.rng.Uint64()>>(64-bits)) / (1 << bits)
}
