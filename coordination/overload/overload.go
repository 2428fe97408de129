// Package overload decides which new flows (openings) a host admits when a service
// has too little capacity. The load pattern: bursts, the return of hosts or the loss
// of a zone bring more openings than the targets can serve in time. It does no I/O,
// starts no goroutine and reads no clock: callers pass the time since the host's
// start. A Service is not safe for concurrent use.
package overload

import "time"

const (
	// initialQueue is the largest number of requests at a target, in multiples of its
	// slots, at which an opening is still placed there. Longer queues add waiting
	// time and no throughput, and targets reject what exceeds a queue whose length
	// hosts do not know.
	initialQueue = 3.0
	// minQueue and maxQueue bound the adapted value. The step down for an answer that
	// shows a full queue and the step up for any other one balance when a twentieth of
	// the requests that find no free slot are rejected.
	minQueue, maxQueue = 2.0, 4.0
	queueStepDown      = 0.06
	queueStepUp        = queueStepDown / 19
	// freeSlotLimit is the limit of openings that are placed only at free slots.
	freeSlotLimit = 1.0
	// repeatedLimit is the limit of retransmitted openings while the service time
	// is unknown.
	repeatedLimit = 1.0
	// maxReserve is the largest part of the queue that lower priorities leave to
	// higher ones, in multiples of the slots.
	maxReserve = 2.0
	// reserveGain is the part of maxReserve that is reserved for each unit of the
	// share of openings with a higher priority. From a share of a quarter on the whole
	// is reserved, as a small reservation protects the higher class already (Key, "Optimal
	// Control and Trunk Reservation in Loss Networks", 1990).
	reserveGain = 4.0
	// samePriorityGain is the part of the reserve that applies for each unit of the
	// share that openings of the same priority have: a class with few openings does not
	// harm the higher ones.
	samePriorityGain = 1.5
	// fairReserve is the part of the queue that callers over their fair share leave
	// to the others.
	fairReserve = 1.0
	// callerAttempts is the number of attempts that a caller makes to have a request
	// served, each with an opening of its own and its retransmissions.
	callerAttempts = 3
	// retryShare is the largest share of repeated openings among those admitted
	// while first openings are turned away.
	retryShare = 0.2
	// minRepeated is the number of repeated openings a second that the retry budget
	// always allows, as a share of a few openings is none.
	minRepeated = 1
	// crowdedLoad is the number of requests per slot from which requests may queue
	// unnoticed.
	crowdedLoad = 0.9
	// shortLoad is the smoothed number of requests per slot from which capacity is
	// short, and burstLoad the momentary one. They are above 1, as placement by old
	// reports leads to queues also where capacity suffices.
	shortLoad = 1.8
	burstLoad = 3
	// ownBurst is the smoothed number of this host's requests, in multiples of its share
	// of the slots, from which capacity is short. It shows a burst before other hosts
	// report it.
	ownBurst = 2.3
	// loadSmoothing and ownSmoothing are the time constants of the smoothed loads.
	loadSmoothing = 500 * time.Millisecond
	ownSmoothing  = 100 * time.Millisecond
)

// Callers retransmit an unanswered opening at these times after the first one.
const (
	firstRetransmission = 200 * time.Millisecond
	lastRetransmission  = 600 * time.Millisecond
	// LastCopy is the number of the last retransmission.
	LastCopy = 2
)

// Elapsed returns the time from a caller's first opening to the copy with this
// retransmission number.
func Elapsed(copies uint32) time.Duration {
	switch {
	case copies == 0:
		return 0
	case copies < LastCopy:
		return firstRetransmission
	}
	return lastRetransmission
}

// Opening is the first packet of a flow.
type Opening struct {
	// Objective and Timeout are those of the route; 0 means none.
	Objective, Timeout time.Duration
	// Priority is that of the route; 0 is the highest.
	Priority int
	// Caller is the caller's address.
	Caller Caller
	// Copy is the retransmission number: 0 for the first opening.
	Copy uint32
}

// Times are what is known about a route. 0 means unknown.
type Times struct {
	// Service is the service time of a request that finds a free slot.
	Service time.Duration
	// RoundTrip is the network delay from this host to the caller and back.
	RoundTrip time.Duration
	// Margin multiplies the expected time in a queue and in service; 0 means 1.
	Margin float64
}

// Reason says why the limit of an opening is lower than that of others.
type Reason uint8

// Reasons.
const (
	// ReasonQueue is the limit of the queue alone.
	ReasonQueue Reason = iota
	// ReasonLate is an opening that can't be served within its objective.
	ReasonLate
	// ReasonPastTimeout is an opening whose answer would come after its timeout.
	ReasonPastTimeout
	// ReasonPriority is an opening that leaves capacity to higher priorities.
	ReasonPriority
	// ReasonFairShare is an opening of a caller that had more than its fair share.
	ReasonFairShare
	// ReasonRetryBudget is a repeated opening beyond the service's retry budget.
	ReasonRetryBudget
)

// Decision is the limit of an opening.
type Decision struct {
	// Limit is the number of requests, in multiples of the slots, from which the
	// opening is not placed. It is 0 for an opening that is not placed at all.
	Limit float64
	// InTime is the limit up to which the opening is served within its objective; Limit
	// is lower if the opening leaves capacity to others.
	InTime float64
	// Reason is why Limit is lower than that of others.
	Reason Reason
	// AtOnce is set if the opening is refused at once when it is not placed, so that the
	// caller's next attempts come while the request can be in time.
	AtOnce bool
}

// Service is what a host knows about the demand for one service.
type Service struct {
	// seen and admitted count openings by priority, repeated the admitted openings
	// that are retransmissions.
	seen     [NumPriorities]window
	admitted [NumPriorities]window
	repeated window
	// turnedAway counts the first openings that were turned away, queueFull those of
	// them that found all queues full, without a lower limit in favour of others.
	turnedAway, queueFull window
	callers               [NumPriorities]callerCounts
	// queueAdjustment is what the adapted largest queue exceeds initialQueue by.
	queueAdjustment float64
	// currentLoad is the number of requests of all hosts per slot at loadAt. load is
	// the same smoothed, own this host's smoothed requests in multiples of its share of
	// the slots.
	currentLoad, load, own float64
	loadAt                 time.Duration
}

// SetLoad records the requests of all hosts per slot of the service's targets, and those
// of this host in multiples of its share of the slots.
func (s *Service) SetLoad(now time.Duration, perSlot, own float64) {
	elapsed := now - s.loadAt
	s.load += smoothingWeight(elapsed, loadSmoothing) * (perSlot - s.load)
	s.own += smoothingWeight(elapsed, ownSmoothing) * (own - s.own)
	s.loadAt, s.currentLoad = now, perSlot
}

// smoothingWeight returns the weight of a new value, by the time since the former one.
func smoothingWeight(elapsed, constant time.Duration) float64 {
	return float64(min(elapsed, constant)) / float64(constant)
}

// Short reports whether the service has too little capacity: first openings were
// turned away in the last second, or nearly all slots are in use.
func (s *Service) Short(now time.Duration) bool {
	return s.queueFull.sum(now) > 0 || s.load >= shortLoad || s.currentLoad >= burstLoad || s.own >= ownBurst
}

// Decide returns the limit of an opening and counts it as seen.
func (s *Service) Decide(now time.Duration, o *Opening, t Times) Decision {
	s.seen[Class(o.Priority)].add(now)
	d := s.InTime(o, t)
	d.AtOnce = d.Reason != ReasonLate && exceedsAttempt(o)
	if d.Limit == 0 || !s.Short(now) {
		return d
	}
	if o.Copy > 0 && s.overRetryBudget(now) {
		d.Limit, d.Reason = 0, ReasonRetryBudget
		return d
	}
	if d.Limit <= freeSlotLimit {
		return d
	}
	if reserve := s.reserve(now, o.Priority); reserve > 0 {
		d.Limit, d.Reason = max(freeSlotLimit, min(d.Limit, s.maxQueue()-reserve)), ReasonPriority
	}
	if s.overFairShare(now, o) {
		d.Limit, d.Reason = max(freeSlotLimit, d.Limit-fairReserve), ReasonFairShare
	}
	return d
}

// exceedsAttempt reports whether the wait for the opening's next copy takes more than one
// attempt's part of the objective. A caller that is refused begins its next attempt within
// milliseconds. One that waits for its last copy begins it after 600 ms: no host can tell
// that attempt from a first one, and a late request takes the capacity of one in time.
func exceedsAttempt(o *Opening) bool {
	return o.Objective > 0 && Elapsed(o.Copy+1) > o.Objective/callerAttempts
}

// InTime returns the limit up to which an opening is served within its objective, without
// regard to others.
func (s *Service) InTime(o *Opening, t Times) Decision {
	d := s.inTime(o, t)
	d.InTime = d.Limit
	return d
}

// inTime returns the limit from (requests per slot + 1) x service time, which has to fit
// into what is left of the objective.
func (s *Service) inTime(o *Opening, t Times) Decision {
	elapsed := Elapsed(o.Copy)
	if o.Timeout > 0 && elapsed+t.RoundTrip+t.Service > o.Timeout {
		return Decision{Reason: ReasonPastTimeout}
	}
	if o.Objective <= 0 || t.Service <= 0 {
		return s.unknownLimit(o, t)
	}
	left := o.Objective - elapsed - t.RoundTrip
	if left < t.Service {
		return Decision{Limit: freeSlotLimit, Reason: ReasonLate}
	}
	expected := max(t.Margin, 1) * float64(t.Service)
	return Decision{Limit: max(freeSlotLimit, min(s.maxQueue(), float64(left)/expected-1))}
}

// unknownLimit returns the limit of an opening whose objective or service time is
// unknown: retransmitted openings give way to first ones, unless they are the last.
func (s *Service) unknownLimit(o *Opening, t Times) Decision {
	switch {
	case o.Copy == 0:
		return Decision{Limit: s.maxQueue()}
	case o.Objective > 0 && Elapsed(o.Copy)+t.RoundTrip >= o.Objective:
		return Decision{Limit: freeSlotLimit, Reason: ReasonLate}
	case o.Copy < LastCopy:
		return Decision{Limit: repeatedLimit}
	}
	return Decision{Limit: s.maxQueue()}
}

// reserve returns the part of the queue that openings of a priority leave to higher
// ones, by the shares of the openings of the last second that these and they had.
func (s *Service) reserve(now time.Duration, priority int) float64 {
	higher, all := 0, 0
	for p := range s.seen {
		n := s.seen[p].sum(now)
		all += n
		if p < Class(priority) {
			higher += n
		}
	}
	if higher == 0 {
		return 0
	}
	same := s.seen[Class(priority)].sum(now)
	return maxReserve * min(1, reserveGain*float64(higher)/float64(all)) * min(1, samePriorityGain*float64(same)/float64(all))
}

// overRetryBudget reports whether one more repeated opening would exceed the retry
// budget while first openings are turned away.
func (s *Service) overRetryBudget(now time.Duration) bool {
	if s.turnedAway.sum(now) == 0 {
		return false
	}
	all := 0
	for p := range s.admitted {
		all += s.admitted[p].sum(now)
	}
	repeated := s.repeated.sum(now) + 1
	return repeated > minRepeated && float64(repeated) > retryShare*float64(all+1)
}

// overFairShare reports whether the caller had more than its fair share of the
// openings of its priority that were admitted in the last second.
func (s *Service) overFairShare(now time.Duration, o *Opening) bool {
	return s.callers[Class(o.Priority)].exceedsFairShare(now, o.Caller)
}

// Admitted records that an opening was placed.
func (s *Service) Admitted(now time.Duration, o *Opening) {
	s.admitted[Class(o.Priority)].add(now)
	s.callers[Class(o.Priority)].add(now, o.Caller)
	if o.Copy > 0 {
		s.repeated.add(now)
	}
}

// TurnedAway records that an opening was not placed for want of capacity.
func (s *Service) TurnedAway(now time.Duration, o *Opening, d Decision) {
	if o.Copy > 0 {
		return
	}
	s.turnedAway.add(now)
	if d.Reason == ReasonQueue {
		s.queueFull.add(now)
	}
}

// Answered records the answer to a request that found no free slot, as far as the host
// knows. rejected is set if the answer came too soon for a request that was served: the
// target has rejected it, as its queue was full.
func (s *Service) Answered(rejected bool) {
	step := queueStepUp
	if rejected {
		step = -queueStepDown
	}
	s.queueAdjustment = min(max(s.queueAdjustment+step, minQueue-initialQueue), maxQueue-initialQueue)
}

// maxQueue returns the largest number of requests at a target, in multiples of its
// slots, at which an opening is still placed there.
func (s *Service) maxQueue() float64 { return initialQueue + s.queueAdjustment }

// Crowded reports whether requests queue at most targets.
func (s *Service) Crowded() bool { return s.currentLoad >= crowdedLoad || s.load >= crowdedLoad }
