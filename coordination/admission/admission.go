// Package admission limits the load on one target: how many connections,
// openings in flight and openings per second its owner host may place on it
// now. It does no I/O, starts no goroutine and reads no clock; randomness is
// seeded. A Target is safe for concurrent use. Its mutex is the last in the
// lock order, after the lock of a flow shard: while it is held, nothing outside
// the package is called.
package admission

import (
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/document"
)

// Config is the part of the service document that concerns one target.
type Config struct {
	ID uint64
	// Limits are the limits of the warm target. Zero openings in flight means
	// DefaultSlots; a zero in the other fields means no limit.
	Limits document.Limits
	// Ramp is how long a cold target takes to reach Limits.
	Ramp time.Duration
	// Draining targets accept no new flow.
	Draining bool
}

// DefaultSlots is the limit of openings in flight if the document sets none.
const DefaultSlots = 3

// Reason is why an opening was not admitted.
type Reason uint8

const (
	// ReasonNone is the reason of an admitted opening.
	ReasonNone Reason = iota
	// ReasonDraining means that the target accepts no new flow.
	ReasonDraining
	// ReasonConnections means that the limit of connections is reached.
	ReasonConnections
	// ReasonInFlight means that the limit of unanswered openings is reached.
	ReasonInFlight
	// ReasonRate means that the limit of openings per second is reached.
	ReasonRate
	// ReasonOverShare means that the target holds clearly more flows than the
	// mean. AdmitOverShare skips this check, for openings that no other target
	// has capacity for.
	ReasonOverShare
	// ReasonCount is the number of reasons.
	ReasonCount
)

// String returns the name used in logs, metrics and reports.
func (r Reason) String() string {
	names := [ReasonCount]string{
		"none", "draining", "connections", "in-flight", "rate", "over-share",
	}
	if r < ReasonCount {
		return names[r]
	}
	return "unknown"
}

// Decision is the result for one opening.
type Decision struct {
	OK     bool
	Reason Reason
	// RetryAfter is the expected time until the target has capacity again.
	RetryAfter time.Duration
}

// Report is the state that a target reports of itself. It may be late or
// wrong, so it only lowers the target's limits and breaks ties.
type Report struct {
	// At is when the report was received.
	At time.Duration
	// Unhealthy is set when the health check failed.
	Unhealthy bool
	// Shedding is set when the target reports that it rejects work.
	Shedding bool
	// Load is the used share of the target's slots, 0 to 1, or below 0 if the
	// report has none.
	Load float64
}

const (
	// reportMaxAge is the age from which a report is ignored.
	reportMaxAge = 10 * time.Second
	// recentAnswerAge is how long an answered opening limits the effect of a
	// failed health check.
	recentAnswerAge = 2 * time.Second
	// busyLoad is the reported load from which a target's limits are lowered.
	busyLoad = 0.95

	// minRate is the lowest rate of a target with lowered limits, in openings
	// per second.
	minRate = 1

	// minRetryAfter and maxRetryAfter bound Decision.RetryAfter.
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 30 * time.Second

	// overShareRatio and overShareFlows are how far the flows of a target may
	// exceed the mean, relative and absolute, before Admit refuses openings.
	overShareRatio = 1.35
	overShareFlows = 8
)
