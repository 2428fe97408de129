// Package verdict defines the final outcome of a request: whether it may have
// run at a target, and why it was refused or given up.
package verdict

import "time"

// Run is whether a request may have run at a target.
type Run uint8

const (
	// NotRun means that no payload of the request was sent to a target.
	NotRun Run = iota
	// MayHaveRun means that some payload may have reached a target.
	MayHaveRun
	// Completed means that the flow was closed as its protocol specifies.
	Completed
)

// String returns the name used in logs, metrics and reports.
func (r Run) String() string {
	switch r {
	case NotRun:
		return "not-run"
	case MayHaveRun:
		return "may-have-run"
	case Completed:
		return "completed"
	}
	return "unknown"
}

// Cause is the reason why a flow was refused or given up.
type Cause uint8

const (
	// CauseNone means that the flow was neither refused nor given up.
	CauseNone Cause = iota
	// CauseNoCapacity means that every reachable target is at a limit.
	CauseNoCapacity
	// CauseNoTarget means that the service has no target that accepts new flows.
	CauseNoTarget
	// CauseZoneOut means that the target's availability zone was taken out of
	// service.
	CauseZoneOut
	// CauseTargetGone means that the target was removed from the service's
	// document.
	CauseTargetGone
	// CauseLostState means that no reachable host has state of the flow.
	CauseLostState
	// CauseSilent means that the flow made no progress while other flows did.
	CauseSilent
	// CauseDuplicate means that the flow was also open at another target.
	CauseDuplicate
	// CauseAbandoned means that the caller did not complete the handshake.
	CauseAbandoned
	// CauseUnsure means that a copy of the request may have been forwarded.
	CauseUnsure
	// CauseCount is the number of causes.
	CauseCount
)

// String returns the name used in logs, metrics and reports.
func (c Cause) String() string {
	names := [CauseCount]string{
		"none", "no-capacity", "no-target", "zone-out", "target-gone",
		"lost-state", "silent", "duplicate", "abandoned", "unsure",
	}
	if c < CauseCount {
		return names[c]
	}
	return "unknown"
}

// Verdict is the final outcome of one request.
type Verdict struct {
	Run   Run
	Cause Cause
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
}
