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

// Choice is a kind of fault that a plan may contain.
type Choice struct {
	Kind Kind
	// Weight is the kind's relative frequency.
	Weight int
	// Shortest and Longest bound the duration of a fault.
	Shortest, Longest time.Duration
	// Subjects is the number of components that the fault may affect, at least 1.
	Subjects int
}

// Fault is one fault of a plan.
type Fault struct {
	Kind Kind
	// At is the start of the fault, counted from the start of the plan.
	At time.Duration
	// For is the duration of the fault.
	For time.Duration
	// Subject is the index of the affected component, below the choice's Subjects.
	Subject int
	// Amount is the fault's intensity, in [0, 1).
	Amount float64
}

// String describes the fault for a log.
func (f *Fault) String() string {
	return fmt.Sprintf("%s subject=%d at=%s for=%s amount=%.2f", f.Kind, f.Subject,
		f.At.Round(time.Millisecond), f.For.Round(time.Millisecond), f.Amount)
}

const (
	// minMeanGap and maxMeanGap bound the mean time between the starts of two
	// series. Each plan draws its own mean, so that faults mostly overlap in some
	// plans and occur one at a time in others.
	minMeanGap = 600 * time.Millisecond
	maxMeanGap = 5 * time.Second
	// repeatProbability is the probability that a fault is repeated, at most
	// maxRepeats times and with gaps of at most maxRepeatGap.
	repeatProbability = 0.3
	maxRepeats        = 3
	maxRepeatGap      = 800 * time.Millisecond
)

// Plan returns the faults of a seed, sorted by start; all of them end within
// length. The same seed, length and choices give the same plan.
func Plan(seed uint64, length time.Duration, choices []Choice) []Fault {
	const stream = 1
	rng := rand.New(rand.NewPCG(seed, stream))
	gap := minMeanGap + time.Duration(rng.Float64()*float64(maxMeanGap-minMeanGap))
	var faults []Fault
	for at := gap / 2; at < length; at += time.Duration(rng.ExpFloat64() * float64(gap)) {
		c := pickWeighted(rng, choices)
		times := 1
		if rng.Float64() < repeatProbability {
			times += 1 + rng.IntN(maxRepeats)
		}
		subject := rng.IntN(c.Subjects)
		for start := at; times > 0 && start < length; times-- {
			f := Fault{Kind: c.Kind, At: start, Subject: subject, Amount: rng.Float64()}
			f.For = min(c.Shortest+time.Duration(rng.Float64()*float64(c.Longest-c.Shortest)), length-start)
			faults = append(faults, f)
			start += f.For + time.Duration(rng.Float64()*float64(maxRepeatGap))
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

// pickWeighted picks a choice with a probability proportional to its weight.
func pickWeighted(rng *rand.Rand, choices []Choice) Choice {
	total := 0
	for _, c := range choices {
		total += c.Weight
	}
	n := rng.IntN(total)
	for _, c := range choices {
		if n < c.Weight {
			return c
		}
		n -= c.Weight
	}
	return choices[len(choices)-1]
}
