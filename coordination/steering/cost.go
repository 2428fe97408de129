package steering

import "time"

const (
	// openFlowLoad is the load of an open flow without a request, in slots: the
	// mean load of a flow that sends one request of 40 ms a second.
	openFlowLoad = 0.04
	// otherZonePenalty is added for targets of other availability zones: a target
	// of the own zone may have this much more load, in multiples of its slots,
	// before another zone is used.
	otherZonePenalty = 1.0
	// coldLoadFactor multiplies the load of a cold target.
	coldLoadFactor = 2.0
	// silentPenalty ranks silent targets behind all others.
	silentPenalty = 1e6
	// peerSilentPenalty ranks targets that other hosts report as silent behind
	// those that no host does.
	peerSilentPenalty = 1000
	// missingPenalty ranks targets without a usable entry in the store behind
	// those with one.
	missingPenalty = 100
	// tieBreakWeight orders targets of equal load by the flow's hash.
	tieBreakWeight = 1e-3
)

// formerTargetPenalty ranks the target that did not answer the flow's previous
// opening behind all others that are not silent. If its zone is not this host's
// own, the zone's other targets rank behind those of other zones: the zone may
// be unreachable.
func formerTargetPenalty(t, former *target, zone string) float64 {
	switch {
	case former == nil:
		return 0
	case t == former:
		return silentPenalty / 2
	case t.entry.Zone == former.entry.Zone && t.entry.Zone != zone:
		return silentPenalty / 4
	}
	return 0
}

// cost ranks a target for a flow; the lowest cost is selected.
func (s *Steering) cost(now time.Duration, t *target, hash uint64) float64 {
	cost := s.load(now, t) + s.slowPenalty(now, t) + t.fastAnswerPenalty(now)
	if t.entry.Zone != s.cfg.Zone {
		cost += t.otherZoneCost(now, hash)
	}
	if t.path.unreachable || !t.health.usable(now) {
		cost += silentPenalty
	}
	if t.peersUnanswered >= minSilentFlows {
		cost += peerSilentPenalty
	}
	if t.entry.Missing {
		cost += missingPenalty
	}
	return cost + tieBreakWeight*fraction(hash, t.entry.Number)
}

// load returns the target's load as known to the hosts of this zone, in
// multiples of its slots.
func (s *Steering) load(now time.Duration, t *target) float64 {
	var load float64
	if s.cfg.Balancing.ExpectedWork {
		load = s.expectedLoad(now, t)
	} else {
		load = t.queuedPerSlot() + openFlowLoad*float64(t.open+t.peersOpen)/float64(max(t.entry.Slots, 1))
	}
	if t.cold(now) {
		load *= coldLoadFactor
	}
	return load
}
