// Package servicetime estimates how long targets take to serve requests, without
// the wait in their queues, from samples that the caller provides: by route the
// distribution, by target a speed relative to the route. All estimates decay. It
// does no I/O and reads no clock: times are passed as the time since the host's
// start.
package servicetime

// Costs of requests. The load pattern: requests of one route, or of the routes of one
// service, differ in cost by a factor of five to fifteen, so that the number of
// requests at a target says little about the wait there. The remaining time of a
// request that has run for long grows where a route has a few long requests.

import (
	"math"
	"time"
)

const (
	// HalfLife is how soon the weight of a sample halves.
	HalfLife = 10 * time.Second
	// MinSamples is the weight of samples from which a distribution or a mean is
	// used.
	MinSamples = 10.0
	// minTailSamples is the weight of samples above a time that is required to
	// estimate the remaining time there.
	minTailSamples = 1.0
	// rescaleAfter is how long weights grow before they are scaled down. A float64
	// represents weights over this time without loss.
	rescaleAfter = 30 * HalfLife
)

// The buckets of a distribution divide each power of two into four equal parts, so that
// the bucket of a time follows from the bits of its floating-point form without a
// logarithm: one placement asks for the remaining times of hundreds of requests. Their
// bounds grow by 14% to 25%, less than the spread of one cost.
const (
	bucketBits = 2
	// minExponent is the exponent of minTime in seconds. Shorter times are in the first
	// bucket.
	minExponent = -11
	buckets     = 64 // up to 32 s
	minTime     = time.Second / 2048
	// mantissaBits and exponentBias describe a float64.
	mantissaBits = 52
	exponentBias = 1023
)

// bucketOf returns the bucket of a time in seconds.
func bucketOf(seconds float64) int {
	i := int(math.Float64bits(seconds)>>(mantissaBits-bucketBits)) - (exponentBias+minExponent)<<bucketBits
	return min(max(i, 0), buckets-1)
}

// lowerBounds holds the lower bounds of the buckets in seconds.
var lowerBounds = func() (bounds [buckets + 1]float64) {
	for i := range bounds {
		bits := uint64(i+(exponentBias+minExponent)<<bucketBits) << (mantissaBits - bucketBits)
		bounds[i] = math.Float64frombits(bits)
	}
	bounds[0] = 0
	return bounds
}()

// Distribution estimates the service times of one kind of requests. The zero value
// has no samples.
type Distribution struct {
	decay
	// weights and sums hold the weights of the samples in each bucket, and those
	// multiplied by the times in seconds.
	weights, sums [buckets]float64
	// logs and squares sum the logarithms of the times and their squares.
	logs, squares float64
	// weightsAbove and sumsAbove are the totals from a bucket upwards, valid unless
	// stale is set.
	weightsAbove, sumsAbove [buckets + 1]float64
	stale                   bool
}

// Add adds the service time of a request that ended at now.
func (d *Distribution) Add(now, took time.Duration) {
	if factor := d.rescale(now); factor != 1 {
		for i := range d.weights {
			d.weights[i] *= factor
			d.sums[i] *= factor
		}
		d.logs *= factor
		d.squares *= factor
	}
	seconds := max(took, minTime).Seconds()
	w, i, log := d.weight(now), bucketOf(seconds), math.Log(seconds)
	d.weights[i] += w
	d.sums[i] += w * seconds
	d.logs += w * log
	d.squares += w * log * log
	d.stale = true
}

// accumulate updates the totals from each bucket upwards.
func (d *Distribution) accumulate() {
	if !d.stale {
		return
	}
	for i := buckets - 1; i >= 0; i-- {
		d.weightsAbove[i] = d.weightsAbove[i+1] + d.weights[i]
		d.sumsAbove[i] = d.sumsAbove[i+1] + d.sums[i]
	}
	d.stale = false
}

// known reports whether enough samples are in force.
func (d *Distribution) known(now time.Duration) bool {
	d.accumulate()
	return d.weightsAbove[0] >= MinSamples*d.weight(now)
}

// Samples returns the weight of the samples in force.
func (d *Distribution) Samples(now time.Duration) float64 {
	d.accumulate()
	return d.weightsAbove[0] / d.weight(now)
}

// Mean returns the mean service time, without the wait in a queue. It reports false
// if too few samples are in force.
func (d *Distribution) Mean(now time.Duration) (time.Duration, bool) {
	if !d.known(now) {
		return 0, false
	}
	return fromSeconds(d.sumsAbove[0] / d.weightsAbove[0]), true
}

// Remaining returns the expected remaining service time of a request that has run
// for elapsed. The end of a request becomes known only unseen later, so requests
// that have ended since count as 0. It reports false if too few samples are in force.
func (d *Distribution) Remaining(now, elapsed, unseen time.Duration) (time.Duration, bool) {
	if !d.known(now) {
		return 0, false
	}
	at := max(elapsed, 0).Seconds()
	running, _ := d.above(max(elapsed-unseen, 0).Seconds())
	if running < minTailSamples*d.weight(now) {
		// It has outlasted nearly all samples. Half of its time is the remaining time
		// of a distribution whose tail falls with the cube of the time.
		return fromSeconds(at / 2), true
	}
	weight, sum := d.above(at)
	return fromSeconds(max(sum-at*weight, 0) / running), true
}

// above returns the weight of the samples above a time, and the sum of their times
// multiplied by their weights. Within a bucket the samples count as evenly spread.
func (d *Distribution) above(seconds float64) (weight, sum float64) {
	i := bucketOf(seconds)
	low, high := lowerBounds[i], lowerBounds[i+1]
	share := min(max((high-seconds)/(high-low), 0), 1)
	part := share * d.weights[i]
	weight, sum = d.weightsAbove[i+1]+part, d.sumsAbove[i+1]
	switch {
	case share == 1:
		sum += d.sums[i]
	default:
		sum += part * (seconds + high) / 2
	}
	return weight, sum
}

// logMoments returns the mean and the variance of the logarithm of the times.
func (d *Distribution) logMoments() (mean, variance float64) {
	d.accumulate()
	total := d.weightsAbove[0]
	mean = d.logs / total
	return mean, max(d.squares/total-mean*mean, 0)
}

func fromSeconds(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
