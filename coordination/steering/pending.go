package steering

import (
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/servicetime"
)

// pendingWork is what a host records about a flow's request in progress. A flow is
// in its target's list while it is opening or busy.
type pendingWork struct {
	// times estimates the service times of the flow's requests; nil if unknown.
	times *servicetime.Distribution
	// roundTrip is the time that the flow's handshake took, 0 if this host did not see
	// it.
	roundTrip time.Duration
	// serviceAt is when the target is expected to begin to serve the request.
	serviceAt time.Duration
	// answered is set once the target has answered a request of the flow. watchedAt
	// is when the flow's time was last counted since.
	answered  bool
	watchedAt time.Duration
	// listed is set while the flow is in its target's list, between previous and next.
	listed         bool
	previous, next *flow
}

// updatePending adds a flow to the target's list or removes it, after its state has
// changed.
func (t *target) updatePending(f *flow) {
	pending := f.busy || f.opening
	if pending == f.listed {
		return
	}
	f.listed = pending
	if pending {
		f.previous, f.next = t.lastPending, nil
		if t.lastPending != nil {
			t.lastPending.next = f
		} else {
			t.firstPending = f
		}
		t.lastPending = f
		return
	}
	if f.previous != nil {
		f.previous.next = f.next
	} else {
		t.firstPending = f.next
	}
	if f.next != nil {
		f.next.previous = f.previous
	} else {
		t.lastPending = f.previous
	}
	f.previous, f.next = nil, nil
}
