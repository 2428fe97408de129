package steering

import (
	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/coordination/overload"
)

// Queue limits. The load pattern: all hosts were down for a second or two, and
// the openings that callers retransmit meanwhile arrive within a second, at
// twice the capacity of the targets. Each target serves in the order of
// arrival, so requests that are already late would delay all fresh ones, and
// the target rejects what exceeds its queue. Openings are therefore limited to
// what a target finishes in time, fresh ones before retransmitted ones. A
// dropped opening is not lost: the caller retransmits it 200 ms and 600 ms after
// the first. It is late, though, if the request's objective is shorter.

const (
	// freshQueueLimit is the number of requests at a target, in multiples of its
	// slots, from which a fresh opening is dropped. At the limit it waits twice
	// as long as it takes to serve, which is still in time.
	freshQueueLimit = 3.0
	// repeatedQueueLimit is the limit for an opening that was dropped or lost
	// before: it is late already and takes only a free slot.
	repeatedQueueLimit = 1.0
	// lastQueueLimit is the limit for the last retransmission of an opening.
	lastQueueLimit = 3.0
	// lastCopy is the number of a caller's last retransmission of an opening.
	lastCopy = overload.LastCopy
)

// queueLimit returns the number of requests at a target, in multiples of its
// slots, from which an opening with this retransmission number is not sent to
// it.
func queueLimit(copies uint32) float64 {
	switch {
	case copies == 0:
		return freshQueueLimit
	case copies < lastCopy:
		return repeatedQueueLimit
	}
	return lastQueueLimit
}

// queueFullCause returns the cause for an opening when all targets are at their
// limit: it is dropped until the caller retransmits it, or refused if the
// caller will not.
func queueFullCause(copies uint32) Cause {
	if copies < lastCopy {
		return CauseBusy
	}
	return CauseNoCapacity
}

// atConnectionLimit reports whether the target's open flows, as known to the hosts of
// this zone, have reached the connection limit.
func (t *target) atConnectionLimit(limits fleet.ServiceLimits) bool {
	return limits.Connections > 0 && t.open+t.peersOpen >= limits.Connections
}

// queuedPerSlot returns the requests in progress, queued or about to arrive at
// a target, in multiples of its slots, as known to the hosts of this zone.
func (t *target) queuedPerSlot() float64 {
	return float64(t.busy+t.opening+t.peersBusy) / float64(max(t.entry.Slots, 1))
}
