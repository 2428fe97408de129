package slo

import (
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/report"
)

// bucketsPerWindow is the resolution of a window: its length is accurate to
// 1/bucketsPerWindow.
const bucketsPerWindow = 30

// totals holds the counts of a service since the start of the process.
type totals struct{ flows, openings report.Count }

// since returns the difference to the earlier totals.
func (t totals) since(earlier totals) totals {
	return totals{
		flows:    t.flows.Sub(earlier.flows),
		openings: t.openings.Sub(earlier.openings),
	}
}

// samplesPerWindow is the number of samples that always span a window: both the oldest
// and the newest may lie anywhere in their bucket, so one more bucket than the window has
// is needed between them.
const samplesPerWindow = bucketsPerWindow + 2

// sample holds the totals at one time.
type sample struct {
	at     time.Duration
	totals totals
}

// ring holds the totals at the bucket boundaries of one window: the counts in the
// window are the difference of two totals.
type ring struct {
	window time.Duration
	// since is when the ring began to count.
	since        time.Duration
	nextBoundary time.Duration
	// base holds the totals before the first sample.
	base    totals
	samples [samplesPerWindow]sample
	// n is the number of samples written so far; the newest is
	// samples[(n-1) % len(samples)].
	n int
}

// newRings returns a ring for each alert window and, last, one for the error
// budget's window.
func newRings(budget, since time.Duration) []ring {
	rings := make([]ring, 0, len(report.AlertWindows)+1)
	for _, window := range report.AlertWindows {
		rings = append(rings, ring{window: window, since: since})
	}
	return append(rings, ring{window: budget, since: since})
}

// advance records the totals if a bucket boundary has passed.
func (r *ring) advance(now time.Duration, t totals) {
	if now < r.nextBoundary {
		return
	}
	bucket := max(r.window/bucketsPerWindow, 1)
	r.nextBoundary = now - now%bucket + bucket
	r.samples[r.n%len(r.samples)] = sample{at: now, totals: t}
	r.n++
}

// totalsAt returns the newest totals recorded at or before the given time, or else
// the oldest ones kept.
func (r *ring) totalsAt(t time.Duration) totals {
	count := min(r.n, len(r.samples))
	for i := 1; i <= count; i++ {
		candidate := &r.samples[(r.n-i)%len(r.samples)]
		if candidate.at <= t {
			return candidate.totals
		}
	}
	if r.n > len(r.samples) {
		return r.samples[r.n%len(r.samples)].totals
	}
	return r.base
}
