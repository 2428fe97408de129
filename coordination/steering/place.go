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
	awayLoad = 1.0
	// coldFactor is how much more load a request is to a cold target.
	coldFactor = 2.0
	// silentLoad puts silent targets behind all others.
	silentLoad = 1e6
	// peerSilentLoad puts targets that other hosts find silent behind those
	// that nobody does.
	peerSilentLoad = 1000
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
	best, without := s.cheapest(now, pl, p, former)
	if best == nil {
		return nil, without
	}
	s.spendCold(now, best, pl.limits)
	if best.entry.Zone != s.cfg.Zone {
		return best, CausePlacedAway
	}
	return best, CausePlaced
}

// cheapest returns the target with the lowest cost, or why there is none.
func (s *Steering) cheapest(now time.Duration, pl *pool, p *Segment, former *target) (*target, Cause) {
	hash := p.Flow.Hash()
	bound := s.bound(p.Copy)
	var best *target
	var bestCost float64
	without := CauseNoTarget
	for _, t := range pl.targets {
		if !t.takes() || (pl.limits.Connections > 0 && t.open+t.peersOpen >= pl.limits.Connections) {
			continue
		}
		if !s.bearsCold(now, t, pl.limits) {
			without = max(without, CauseColdLimit)
			continue
		}
		if t.queued() >= bound {
			without = queueFull(p.Copy)
			continue
		}
		cost := s.cost(now, t, hash) + formerCost(t, former, s.cfg.Zone)
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best, without
}

// formerCost puts the target that did not answer the flow's earlier opening
// behind all others, and the rest of its zone behind those of other zones: the
// zone may be cut off.
func formerCost(t, former *target, zone string) float64 {
	switch {
	case former == nil:
		return 0
	case t == former:
		return silentLoad / 2
	case t.entry.Zone == former.entry.Zone && t.entry.Zone != zone:
		return silentLoad / 4
	}
	return 0
}

// cost ranks a target for a flow; the lowest is taken.
func (s *Steering) cost(now time.Duration, t *target, hash uint64) float64 {
	cost := s.load(now, t) + t.qualityLoad(now)
	if t.entry.Zone != s.cfg.Zone {
		cost += awayLoad
	}
	if !t.health.usable(now) {
		cost += silentLoad
	}
	if t.peersSilent > 0 {
		cost += peerSilentLoad
	}
	if t.entry.Missing {
		cost += missingLoad
	}
	spread := float64(rendezvous.Mix(hash, t.entry.Number)>>11) / (1 << 53)
	return cost + tieSpread*spread
}

// load is what the target has to do, as far as the hosts of this zone know, in
// multiples of its slots.
func (s *Steering) load(now time.Duration, t *target) float64 {
	load := t.queued() + openWeight*float64(t.open+t.peersOpen)/float64(max(t.entry.Slots, 1))
	if t.cold(now) {
		load *= coldFactor
	}
	return load
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
