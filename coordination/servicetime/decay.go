package servicetime

import (
	"math"
	"time"
)

// decay gives later samples more weight, which has the effect of decaying the
// earlier ones without changing them.
type decay struct {
	origin time.Duration
	// lastWeight is the result of weight for lastAt: one placement asks for the same
	// time for each request in progress.
	lastAt     time.Duration
	lastWeight float64
}

// weight returns the weight of a sample at a time. The total of all weights divided
// by weight(now) is the number of samples that are still in force.
func (d *decay) weight(now time.Duration) float64 {
	if now != d.lastAt || d.lastWeight == 0 {
		d.lastAt, d.lastWeight = now, math.Exp2(float64(now-d.origin)/float64(HalfLife))
	}
	return d.lastWeight
}

// rescale reports the factor by which all sums are to be multiplied before a sample
// is added, 1 in most cases.
func (d *decay) rescale(now time.Duration) float64 {
	if now-d.origin < rescaleAfter {
		return 1
	}
	factor := 1 / d.weight(now)
	*d = decay{origin: now}
	return factor
}
