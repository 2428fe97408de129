package steering

import (
	"math"
	"slices"
	"time"
)

const (
	// quantileStep is how far an answer moves an estimated quantile at most, as a
	// fraction of it. minQuantileSamples is the number of answers before the
	// estimate is used.
	quantileStep       = 0.05
	minQuantileSamples = 10
)

// quantileEstimate estimates a quantile of times. It begins with the quantile of
// the first samples; each further one moves it up or down, so that it rests where
// the samples below it have the quantile's share.
type quantileEstimate struct {
	value time.Duration
	// first holds the samples until there are minQuantileSamples.
	first []time.Duration
	known bool
}

// addSample adds a sample with a weight from 0 to 1.
func (e *quantileEstimate) addSample(took time.Duration, quantile, weight float64) {
	if !e.known {
		e.addFirst(took, quantile)
		return
	}
	step := quantileStep * weight * float64(e.value)
	switch {
	case took > e.value:
		e.value += time.Duration(step * quantile)
	case took < e.value:
		e.value -= time.Duration(step * (1 - quantile))
	}
}

// addFirst adds one of the first samples.
func (e *quantileEstimate) addFirst(took time.Duration, quantile float64) {
	e.first = append(e.first, took)
	if len(e.first) < minQuantileSamples {
		return
	}
	slices.Sort(e.first)
	e.value = e.first[int(math.Ceil(quantile*minQuantileSamples))]
	e.first, e.known = nil, true
}
