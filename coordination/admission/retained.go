package admission

import "time"

const (
	// retainedLimitAge is how long flows of a former owner count against the
	// limit of connections while the current owner has seen no packet of them: a
	// feed that is still open sends a packet within this time.
	retainedLimitAge = time.Minute
	// retainedComparisonAge is the same for the comparison with other targets,
	// which flows that ended unseen would distort: most flows send a packet
	// within this time.
	retainedComparisonAge = 10 * time.Second
)

// retained is the number of flows that a target is assumed to hold from a former
// owner.
type retained struct {
	flows int
	since time.Duration
}

// within returns the number if it was set less than maxAge ago, else 0.
func (r *retained) within(now, maxAge time.Duration) int {
	if now-r.since >= maxAge {
		return 0
	}
	return r.flows
}
