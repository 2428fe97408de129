package admission

import "time"

const (
	// coldShare is the share of its limits at which a cold target starts.
	coldShare = 0.1
	// slowFloor is the lowest factor that slow answers and reports cause, except
	// for a failed health check of a target that answered no opening recently.
	slowFloor = 0.5
	// unansweredFloor is the lowest factor that unanswered openings and such a
	// failed health check cause.
	unansweredFloor = 0.1
	// decreaseRatio is the multiplicative decrease, varied by decreaseJitter.
	decreaseRatio  = 0.5
	decreaseJitter = 0.2
	// decreaseInterval is the minimum time between two decreases, so that the
	// first one can take effect.
	decreaseInterval = time.Second
	// minRecovery is the minimum time of an additive increase from 0 to 1,
	// however short the document's ramp is.
	minRecovery = 10 * time.Second
	// recoveryJitter varies the recovery time between targets.
	recoveryJitter = 0.2
)

// ramp is the slow start of a cold target.
type ramp struct {
	warm  bool
	start time.Duration
	// initialFlows is the number of flows at the start of the ramp.
	initialFlows int
}

func warmRamp() ramp { return ramp{warm: true} }

func coldRamp(now time.Duration, flows int) ramp {
	return ramp{start: now, initialFlows: flows}
}

// share grows linearly from coldShare to 1 over the length of the ramp.
func (r *ramp) share(now, length time.Duration) float64 {
	age := now - r.start
	if r.warm || length <= 0 || age >= length {
		return 1
	}
	if age <= 0 {
		return coldShare
	}
	return coldShare + (1-coldShare)*float64(age)/float64(length)
}

// factor scales the limits by additive increase and multiplicative decrease.
type factor struct {
	value         float64
	updated       time.Duration
	lastDecrease  time.Duration
	recoveryScale float64
}

func newFactor(now time.Duration, uniform float64) factor {
	return factor{
		value:         1,
		updated:       now,
		lastDecrease:  now - decreaseInterval,
		recoveryScale: 1 + recoveryJitter*uniform,
	}
}

func (f *factor) at(now, ramp time.Duration) float64 {
	recovery := float64(max(ramp, minRecovery)) * f.recoveryScale
	return min(1, f.value+float64(now-f.updated)/recovery)
}

// decrease lowers the factor by decreaseRatio, though not below floor.
func (f *factor) decrease(now time.Duration, floor float64, ramp time.Duration, uniform float64) {
	if now-f.lastDecrease < decreaseInterval {
		return
	}
	f.lastDecrease = now
	current := f.at(now, ramp)
	jitter := 1 + decreaseJitter*(2*uniform-1)
	f.set(now, min(current, max(floor, current*decreaseRatio*jitter)))
}

// limitTo lowers the factor to at most the bound.
func (f *factor) limitTo(now time.Duration, bound float64, ramp time.Duration) {
	f.set(now, min(f.at(now, ramp), bound))
}

func (f *factor) set(now time.Duration, value float64) {
	f.value = value
	f.updated = now
}
