// Package soak injects faults into programs from outside: it plans faults from a
// seed, impairs network traffic with relays, and runs programs as processes that
// it stops, pauses, kills and restarts. It does not check the product's
// guarantees: tests check those from what callers and targets observe.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind names a kind of fault. The test that injects the faults defines its
// meaning.
type Kind string

// FaultSpec is a kind of fault that a plan may contain.
type FaultSpec struct {
	Kind Kind
	// Weight is the kind's relative frequency.
	Weight int
	// MinDuration and MaxDuration bound the duration of a fault.
	MinDuration, MaxDuration time.Duration
	// Subjects is the number of components that the fault may affect, at least 1.
	Subjects int
}

// Fault is one fault of a plan.
type Fault struct {
	Kind Kind
	// Start is the time from the start of the plan to the start of the fault.
	Start    time.Duration
	Duration time.Duration
	// Subject is the index of the affected component, below the spec's Subjects.
	Subject int
	// Intensity is in [0, 1); its effect depends on the kind.
	Intensity float64
}

// String describes the fault for a log.
func (f *Fault) String() string {
	return fmt.Sprintf("%s subject=%d start=%s duration=%s intensity=%.2f", f.Kind, f.Subject,
		f.Start.Round(time.Millisecond), f.Duration.Round(time.Millisecond), f.Intensity)
}

const (
	// minMeanGap and maxMeanGap bound the mean time between the starts of two
	// series; a series is a fault with its repetitions. Each plan draws its own
	// mean, so that faults mostly overlap in some plans and occur one at a time in
	// others.
	minMeanGap = 600 * time.Millisecond
	maxMeanGap = 5 * time.Second
	// repeatProbability is the probability that a fault is repeated, at most
	// maxRepeats times and with gaps of at most maxRepeatGap.
	repeatProbability = 0.3
	maxRepeats        = 3
	maxRepeatGap      = 800 * time.Millisecond
)

// Plan returns the faults of a seed, sorted by start; all of them end within
// length. The same seed, length and specs give the same plan.
func Plan(seed uint64, length time.Duration, specs []FaultSpec) []Fault {
	const stream = 1
	rng := rand.New(rand.NewPCG(seed, stream))
	gap := minMeanGap + time.Duration(rng.Float64()*float64(maxMeanGap-minMeanGap))
	var faults []Fault
	for at := gap / 2; at < length; at += time.Duration(rng.ExpFloat64() * float64(gap)) {
		spec := pickWeighted(rng, specs)
		times := 1
		if rng.Float64() < repeatProbability {
			times += 1 + rng.IntN(maxRepeats)
		}
		subject := rng.IntN(spec.Subjects)
		for start := at; times > 0 && start < length; times-- {
			f := Fault{Kind: spec.Kind, Start: start, Subject: subject, Intensity: rng.Float64()}
			f.Duration = min(spec.MinDuration+time.Duration(rng.Float64()*float64(spec.MaxDuration-spec.MinDuration)), length-start)
			faults = append(faults, f)
			start += f.Duration + time.Duration(rng.Float64()*float64(maxRepeatGap))
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.Start - b.Start) })
	return faults
}

// pickWeighted picks a spec with a probability proportional to its weight.
func pickWeighted(rng *rand.Rand, specs []FaultSpec) FaultSpec {
	total := 0
	for _, spec := range specs {
		total += spec.Weight
	}
	n := rng.IntN(total)
	for _, spec := range specs {
		if n < spec.Weight {
			return spec
		}
		n -= spec.Weight
	}
	return specs[len(specs)-1]
}
