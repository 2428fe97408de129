package servicetime

import (
	"math"
	"time"
)

// Slow targets. The load pattern: a target serves each request several times slower
// than the others, because its machine is shared or faulty, while it answers all of
// them. Counts notice only once its slots are full.

const (
	// minSpeedSamples is the weight of samples from which a target's speed is used.
	minSpeedSamples = 3.0
	// maxSpeedSamples bounds the weight of earlier samples, so that a target that
	// turns slow is found after about as many requests also where it had served
	// hundreds.
	maxSpeedSamples = 12.0
	// speedMargin is the number of standard errors by which a target has to differ
	// from its route; only what exceeds them counts. With a smaller margin chance
	// ranks equal targets.
	speedMargin = 3.0
	// minVariance is the least variance of the logarithm of a sample: that of
	// requests of equal cost on a shared machine.
	minVariance = 0.04
	// maxFactorAge is how long a computed speed is used: in this time the weight of
	// its samples falls by 2%.
	maxFactorAge = 250 * time.Millisecond
	// MinSpeed and MaxSpeed bound a target's speed. A target that fails requests
	// early looks fast, so MaxSpeed bounds how much more of them it gets.
	MinSpeed = 0.1
	MaxSpeed = 1.5
)

// Speed estimates how fast a target serves requests relative to others. The zero
// value has no samples.
type Speed struct {
	// samples, deviations and variances are sums over the samples at the time at:
	// their weights, by how much the logarithm of the service time exceeds its mean on
	// the route, and the variance there.
	samples, deviations, variances float64
	at                             time.Duration
	// factor is the result of Factor at factorAt, 0 if it is out of date.
	factor   float64
	factorAt time.Duration
}

// Add adds a request of the given distribution that ended at now.
func (s *Speed) Add(now, took time.Duration, d *Distribution) {
	if !d.known(now) {
		return
	}
	mean, variance := d.logMoments()
	fade := s.fade(now)
	if samples := s.samples * fade; samples > maxSpeedSamples {
		fade *= maxSpeedSamples / samples
	}
	s.samples = s.samples*fade + 1
	s.deviations = s.deviations*fade + math.Log(max(took, minTime).Seconds()) - mean
	s.variances = s.variances*fade + max(variance, minVariance)
	s.at, s.factor = now, 0
}

// fade returns the share of the weight that the samples still have.
func (s *Speed) fade(now time.Duration) float64 {
	return math.Exp2(-float64(max(now-s.at, 0)) / float64(HalfLife))
}

// Factor returns the target's speed: 1 if it is as fast as others or unknown, 0.2 if
// it takes five times as long.
func (s *Speed) Factor(now time.Duration) float64 {
	if s.samples < minSpeedSamples {
		return 1
	}
	if s.factor == 0 || now-s.factorAt > maxFactorAge {
		s.factor, s.factorAt = s.factorOf(now), now
	}
	return s.factor
}

// factorOf computes the speed at a time.
func (s *Speed) factorOf(now time.Duration) float64 {
	samples := s.samples * s.fade(now)
	if samples < minSpeedSamples/2 {
		return 1
	}
	deviation := s.deviations / s.samples
	margin := speedMargin * math.Sqrt(s.variances/s.samples/samples)
	exceeds := max(math.Abs(deviation)-margin, 0)
	return min(max(math.Exp(-math.Copysign(exceeds, deviation)), MinSpeed), MaxSpeed)
}

// Samples returns the weight of the samples in force.
func (s *Speed) Samples(now time.Duration) float64 { return s.samples * s.fade(now) }
