package steering

import (
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/rendezvous"
)

// place selects a target for a new flow. former is the target that the previous
// opening with the same addresses and ports was sent to, nil if there was none.
func (s *Steering) place(now time.Duration, p *Segment, r *route, former *target) choice {
	pl := r.choosePool(p.Flow.Hash())
	if pl == nil {
		return choice{cause: CauseNoTarget}
	}
	ad := s.admit(now, p, r, pl)
	c := s.choose(now, pl, p, r, former, &ad)
	s.recordAdmission(now, pl, &ad, c.target, c.cause)
	if c.target == nil {
		c.atOnce = ad.AtOnce
		return c
	}
	s.countColdOpening(now, c.target, pl.limits)
	s.countBorrowed(now, c.target)
	if c.overflow != nil {
		c.overflow.placed++
	}
	return c
}

// choice is the target for an opening, or the cause why there is none.
type choice struct {
	target *target
	cause  Cause
	// overflow is the other zone that takes the flow beyond the share that is sent
	// away, nil if none does.
	overflow *remoteZone
	// atOnce is set if the opening is to be refused although its caller would
	// retransmit it, as there is no target.
	atOnce bool
}

// choose selects a target of a pool for an opening. It changes no state.
func (s *Steering) choose(now time.Duration, pl *pool, p *Segment, r *route, former *target, ad *admission) choice {
	if t := s.placeAway(now, pl, p, former); t != nil {
		return choice{target: t, cause: CausePlacedAway}
	}
	best, cause := s.lowestCost(now, pl, p, r, former, ad)
	if best == nil {
		return choice{cause: cause}
	}
	best, overflow := s.spreadOverflow(now, pl, p, best, former)
	cause = CausePlaced
	if best.entry.Zone != s.cfg.Zone {
		cause = CausePlacedAway
	}
	return choice{target: best, cause: cause, overflow: overflow}
}

// lowestCost returns the target with the lowest cost, or nil and the reason why
// there is none. In a large zone it compares a few targets, chosen by the flow's
// hash, as long as one of them has a free slot. A host that holds slots of targets
// prefers these.
func (s *Steering) lowestCost(now time.Duration, pl *pool, p *Segment, r *route, former *target, ad *admission) (*target, Cause) {
	hash := p.Flow.Hash()
	var best *target
	var bestCost float64
	var sampled sample
	sampling := s.inLargeZone()
	own := s.newAllottedChoice(now, pl, r)
	cause := CauseNoTarget
	var spared *target // the cheapest of those that are used if no other is left
	var sparedCost float64
	for _, t := range pl.targets {
		if !t.eligible() || t.atConnectionLimit(pl.limits) || !own.allowsFlow(t, pl.limits) {
			continue
		}
		if !s.allowsColdOpening(now, t, pl.limits) {
			cause = max(cause, CauseColdLimit)
			continue
		}
		correction := own.loadCorrection(t)
		if ad.full(t.queuedPerSlot()+t.remoteQueue(now)+correction, t.entry.Zone == s.cfg.Zone) {
			cause = ad.fullCause(p.Copy)
			continue
		}
		cost := s.cost(now, t, hash) + formerTargetPenalty(t, former, s.cfg.Zone) + correction
		if s.isSpared(now, t, pl.limits) {
			if spared == nil || cost < sparedCost {
				spared, sparedCost = t, cost
			}
			continue
		}
		own.add(t, cost)
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
		if ad.spread.active {
			ad.spread.add(t, cost, s.load(now, t), rendezvous.Mix(hash, t.entry.Number))
			continue
		}
		if sampling && (cost < freeSlotCost || own.mayBorrow(t, cost)) {
			sampled.add(t, cost, rendezvous.Mix(hash, t.entry.Number))
		}
	}
	if spared != nil && (best == nil || (bestCost >= unusableCost && sparedCost < unusableCost)) {
		return spared, cause
	}
	if ad.spread.best != nil {
		return ad.spread.best, cause
	}
	if t, c := sampled.cheapest(); t != nil && !own.prefersOtherZone(best, bestCost, c) {
		best, bestCost = t, c
	}
	return own.choose(best, bestCost), cause
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
