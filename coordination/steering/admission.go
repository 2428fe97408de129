package steering

import (
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/overload"
)

// Admission of openings when capacity is short. The load pattern: more openings than
// a service's targets can serve in time, while loads that other hosts report are up
// to 400 ms old, several times the time of a request. Limits on such loads alone let
// all hosts fill the same targets and then leave them idle. Callers are spread evenly
// over the hosts, so each host also compares its own requests, which it knows at once,
// with its share of the pool's slots. Without allotted slots it also spreads openings
// over the targets (see spread).

const (
	// servedWeight is the weight of one answer in the estimate of the service time.
	// It is low, as answers that have waited unnoticed count too until a burst is known.
	servedWeight = 0.2
	// oldLoadMargin multiplies the expected wait where loads of targets are old and the
	// target is chosen by their mean.
	oldLoadMargin = 1.5
	// maxInNetwork bounds the requests per slot that are on their way to or from a
	// target and occupy no slot.
	maxInNetwork = 0.5
)

// admission is the decision about one opening.
type admission struct {
	overload.Decision
	opening overload.Opening
	// givesWay is set if openings give way to others while capacity is short.
	givesWay bool
	// ownZoneLimit and otherZoneLimit are the numbers of requests at a target of this
	// host's zone and of another one, in multiples of its slots, from which the opening
	// is not placed there.
	ownZoneLimit, otherZoneLimit float64
	// ownZoneFull is set if this host's requests at the pool's targets in its own zone
	// have reached its share.
	ownZoneFull bool
	// spread selects the target where other hosts use the same ones and slots are not
	// allotted.
	spread spread
}

// admit decides up to which load of a target an opening may be placed.
func (s *Steering) admit(now time.Duration, p *Segment, r *route, pl *pool) admission {
	load := s.poolLoad(pl)
	if !s.cfg.Balancing.Admission || load.ownShare == 0 {
		// Of other zones only mean loads are known, by which none of their targets has a
		// free slot while most have not. In a zone without slots, as after its
		// evacuation, late openings would therefore not be placed at all.
		limit := s.queueLimit(p.Copy)
		return admission{ownZoneLimit: limit, otherZoneLimit: limit}
	}
	ad := admission{opening: overload.Opening{
		Objective: r.objective, Timeout: r.timeout, Priority: r.priority, Caller: overload.Caller(p.Flow.Caller), Copy: p.Copy,
	}}
	times := r.times()
	pl.demand.SetLoad(now, load.perSlot, load.ownPerSlot())
	if s.peerLoads == nil {
		// Without a report nobody knows how many hosts share the slots.
		ad.Decision = pl.demand.InTime(&ad.opening, times)
		ad.ownZoneLimit, ad.otherZoneLimit = ad.Limit, ad.Limit
		return ad
	}
	ad.givesWay = true
	allotted := s.allotted(now)
	if !allotted {
		times.Margin = oldLoadMargin
	}
	ad.Decision = pl.demand.Decide(now, &ad.opening, times)
	ad.ownZoneLimit, ad.otherZoneLimit = ad.Limit, ad.Limit
	ad.ownZoneFull = pl.demand.Short(now) && load.full(ad.Limit+inNetwork(times), ad.Reason != overload.ReasonFairShare)
	if s.peerLoads.Hosts > 1 && !allotted {
		ad.spread = newSpread(load.perSlot, times.Service)
		if ad.Limit > 0 && ad.Reason != overload.ReasonLate {
			// The limit holds for the mean of the targets. A limit on old loads of
			// single targets would let all hosts avoid the same ones until they are idle.
			ad.ownZoneLimit = max(ad.InTime, ad.spread.turnover)
		}
	}
	return ad
}

// times returns what is known of the route's times.
func (r *route) times() overload.Times {
	t := overload.Times{}
	if r.answerTimes.roundTrip.known {
		t.RoundTrip = r.answerTimes.roundTrip.value
	}
	if r.served.known {
		t.Service = r.served.value
	}
	return t
}

// inNetwork returns the requests per slot of busy targets that are seen in progress
// and occupy no slot: a round trip passes before the request and one after it.
func inNetwork(t overload.Times) float64 {
	if t.Service <= 0 {
		return 0
	}
	return min(2*float64(t.RoundTrip)/float64(t.Service), maxInNetwork)
}

// full reports whether a target with a number of requests, in multiples of its slots,
// is at the limit of the opening.
func (ad *admission) full(requests float64, ownZone bool) bool {
	if ownZone {
		return ad.ownZoneFull || requests >= ad.ownZoneLimit
	}
	return requests >= ad.otherZoneLimit
}

// fullCause returns the cause for an opening when all targets are at its limit.
func (ad *admission) fullCause(copies uint32) Cause {
	switch ad.Reason {
	case overload.ReasonLate:
		return CauseLate
	case overload.ReasonPastTimeout:
		return CausePastTimeout
	case overload.ReasonPriority:
		return CausePriority
	case overload.ReasonFairShare:
		return CauseFairShare
	case overload.ReasonRetryBudget:
		return CauseRetryBudget
	case overload.ReasonQueue:
	}
	if ad.AtOnce {
		return CauseNoCapacity
	}
	return queueFullCause(copies)
}

// retriable reports whether an opening that is rejected for the cause may be placed when
// the caller retransmits it.
func (c Cause) retriable() bool {
	switch c {
	case CauseBusy, CauseLate, CausePriority, CauseFairShare, CauseRetryBudget:
		return true
	default:
		return false
	}
}

// recordAdmission records what became of an opening.
func (s *Steering) recordAdmission(now time.Duration, pl *pool, ad *admission, t *target, cause Cause) {
	switch {
	case !ad.givesWay:
	case t != nil:
		pl.demand.Admitted(now, &ad.opening)
	case cause.retriable() || cause == CauseNoCapacity:
		pl.demand.TurnedAway(now, &ad.opening, ad.Decision)
	}
}

// short reports whether the pool has too little capacity, as far as admission knows.
func (s *Steering) short(now time.Duration, p *pool) bool {
	return s.cfg.Balancing.Admission && p.demand.Short(now)
}

// observeAdmission learns from an answer the service time, if the request found a
// free slot, and else whether targets reject requests.
func (s *Steering) observeAdmission(r *route, f *flow, a *Action) {
	p := f.target.pool
	if a.AnswerTime == 0 || f.target.avoided || p == nil || !r.answerTimes.roundTrip.known {
		return
	}
	switch tooFast := r.answerTimes.tooFast(a.AnswerTime); {
	case !f.foundFreeSlot:
		p.demand.Answered(tooFast)
	case !tooFast && !p.demand.Crowded():
		r.served.addSample(max(a.AnswerTime-r.answerTimes.roundTrip.value, 0), 0.5, servedWeight)
	}
}
