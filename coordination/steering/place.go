package steering

import (
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/rendezvous"
)

const (
	// openWeight is the load of an open flow without a request, in slots: a
	// flow that sends a request a second of 40 ms.
	openWeight = 0.04
	// awayLoad is how much more load, as a share of a target's slots, a target
	// of the own availability zone may have before another zone is used.
	awayLoad = 0.5
	// coldFactor is how much more load a request is to a cold target.
	coldFactor = 2.0
	// silentLoad puts silent targets behind all others.
	silentLoad = 1e6
	// missingLoad puts targets whose entry lapsed behind those whose entry
	// stands.
	missingLoad = 100
	// tieSpread orders targets of equal load by the flow's hash.
	tieSpread = 1e-3
)

// place chooses a target for a new flow; former is the target that did not
// answer the flow's earlier opening, nil if there was none.
func (s *Steering) place(now time.Duration, p *Segment, r *route, former *target) (*target, Cause) {
	hash := p.Flow.Hash()
	pl := r.choose(hash)
	if pl == nil {
		return nil, CauseNoTarget
	}
	var best *target
	var bestCost float64
	for _, t := range pl.targets {
		if !t.takes() || (pl.limits.Connections > 0 && t.open >= pl.limits.Connections) {
			continue
		}
		cost := s.cost(now, t, hash)
		if t == former {
			cost += silentLoad / 2
		}
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	switch {
	case best == nil:
		return nil, CauseNoTarget
	case best.entry.Zone != s.cfg.Zone:
		return best, CausePlacedAway
	}
	return best, CausePlaced
}

// cost ranks a target for a flow; the lowest is taken.
func (s *Steering) cost(now time.Duration, t *target, hash uint64) float64 {
	cost := s.load(now, t)
	if t.entry.Zone != s.cfg.Zone {
		cost += awayLoad
	}
	if !t.health.usable(now) {
		cost += silentLoad
	}
	if t.entry.Missing {
		cost += missingLoad
	}
	spread := float64(rendezvous.Mix(hash, t.entry.Number)>>11) / (1 << 53)
	return cost + tieSpread*spread
}

// load is what the target has to do for this host's callers, as a share of its
// slots.
func (s *Steering) load(now time.Duration, t *target) float64 {
	work := float64(t.busy) + openWeight*float64(t.open)
	if t.cold(now) {
		work *= coldFactor
	}
	return work / float64(max(t.entry.Slots, 1))
}

// choose picks a service of the route by its weight; the same flow gets the
// same service on every host.
func (r *route) choose(hash uint64) *pool {
	if r.total == 0 {
		return nil
	}
	at := int(rendezvous.Mix(hash, uint64(r.total)) % uint64(r.total))
	for _, sh := range r.shares {
		if at < sh.weight {
			return sh.pool
		}
		at -= sh.weight
	}
	return nil
}
