package steering

import (
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/rendezvous"
)

// place selects a target for a new flow. former is the target that the previous
// opening with the same addresses and ports was sent to, nil if there was none. The
// last result is set if the opening is to be refused at once if there is no target.
func (s *Steering) place(now time.Duration, p *Segment, r *route, former *target) (*target, Cause, bool) {
	hash := p.Flow.Hash()
	pl := r.choosePool(hash)
	if pl == nil {
		return nil, CauseNoTarget, false
	}
	ad := s.admit(now, p, r, pl)
	best, cause := s.lowestCost(now, pl, p, former, &ad)
	s.recordAdmission(now, pl, &ad, best, cause)
	if best == nil {
		return nil, cause, ad.AtOnce
	}
	s.countColdOpening(now, best, pl.limits)
	if best.entry.Zone != s.cfg.Zone {
		return best, CausePlacedAway, false
	}
	return best, CausePlaced, false
}

// lowestCost returns the target with the lowest cost, or nil and the reason why
// there is none. In a large zone it compares a few targets, chosen by the flow's
// hash, as long as one of them has a free slot.
func (s *Steering) lowestCost(now time.Duration, pl *pool, p *Segment, former *target, ad *admission) (*target, Cause) {
	hash := p.Flow.Hash()
	var best *target
	var bestCost float64
	var sampled sample
	sampling := s.peerLoads != nil && s.peerLoads.Hosts > maxComparingHosts
	cause := CauseNoTarget
	for _, t := range pl.targets {
		if !t.eligible() || (pl.limits.Connections > 0 && t.open+t.peersOpen >= pl.limits.Connections) {
			continue
		}
		if !s.allowsColdOpening(now, t, pl.limits) {
			cause = max(cause, CauseColdLimit)
			continue
		}
		if ad.full(t, t.entry.Zone == s.cfg.Zone) {
			cause = ad.fullCause(p.Copy)
			continue
		}
		cost := s.cost(now, t, hash) + formerTargetPenalty(t, former, s.cfg.Zone)
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
		if ad.spread.active {
			ad.spread.add(t, cost, s.load(now, t), rendezvous.Mix(hash, t.entry.Number))
			continue
		}
		if sampling && cost < freeSlotCost {
			sampled.add(t, cost, rendezvous.Mix(hash, t.entry.Number))
		}
	}
	if ad.spread.best != nil {
		return ad.spread.best, cause
	}
	if t := sampled.cheapest(); t != nil {
		return t, cause
	}
	return best, cause
}

// choosePool selects a pool of the route in proportion to the weights, by the
// flow's hash: every host selects the same pool for a flow.
func (r *route) choosePool(hash uint64) *pool {
	if r.totalWeight == 0 {
		return nil
	}
	at := int(rendezvous.Mix(hash, uint64(r.totalWeight)) % uint64(r.totalWeight))
	for _, sh := range r.shares {
		if at < sh.weight {
			return sh.pool
		}
		at -= sh.weight
	}
	return nil
}
