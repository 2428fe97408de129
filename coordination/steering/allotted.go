package steering

import (
	"math"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
)

// Placement by allotted slots. The load pattern: most slots are in use, and the
// loads that the hosts of a large zone know of each other are several request times
// old. Hosts that place flows where these loads show a free slot meet at the same
// targets, which reject what exceeds their queues, while others are idle. A host
// knows exactly which of its own slots it uses; it places flows there first.
//
// If all its slots are in use, it compares the queues at its own targets with what
// it has to expect elsewhere. Of another host's target it expects the mean load, as
// a reported load says nothing any more once it is older than a request takes: all
// hosts would choose the same target by it.

const (
	// reportAge is the age of the loads that the hosts of a large zone know of each
	// other.
	reportAge = 400 * time.Millisecond
	// borrowMargin is how much more load, in multiples of its slots, a target of
	// this host may have than a borrowed one is expected to have: the host knows its
	// own queue, and its holder may use the borrowed slot at the same time.
	borrowMargin = 0.25
	// unusableCost is the cost from which a target is silent, avoided, missing or
	// unreachable, so that a slot of it is worth nothing. The queue limit keeps the
	// cost of usable ones below it.
	unusableCost = 4.0
	// reservedConnections is the share of a target's connection limit from which
	// only its holders send it flows, each up to its part of the limit. Below, hosts
	// that hold no slot may use it.
	reservedConnections = 0.75
)

// allotted reports whether this host's share of the slots is in force.
func (s *Steering) allotted(now time.Duration) bool {
	return s.cfg.Balancing.Allotments && s.inLargeZone() && s.peerLoads.Share.Valid(now)
}

// holdsFreeSlot reports whether the host holds a slot of the target that it does not
// use.
func (t *target) holdsFreeSlot() bool { return t.busy+t.opening < t.held }

// heldPart returns the part of the target's slots that the host holds, from 0 to 1.
func (t *target) heldPart() float64 {
	return min(float64(t.held)/float64(max(t.entry.Slots, 1)), 1)
}

// peersLoad returns the load that other hosts reported, in multiples of the target's
// slots.
func (t *target) peersLoad() float64 {
	return (float64(t.peersBusy) + openFlowLoad*float64(t.peersOpen)) / float64(max(t.entry.Slots, 1))
}

// setMeanLoads updates the mean of the loads that other hosts reported for each
// pool's targets in this host's zone.
func (s *Steering) setMeanLoads() {
	for _, p := range s.pools {
		load, slots := 0.0, 0
		for _, t := range p.targets {
			if t.entry.Zone == s.cfg.Zone && t.eligible() {
				n := max(t.entry.Slots, 1)
				load += t.peersLoad() * float64(n)
				slots += n
			}
		}
		p.peersMean = load / float64(max(slots, 1))
	}
}

// allottedChoice selects a target for one opening by this host's share of the slots.
// The zero value, for a host without a valid share, changes nothing.
type allottedChoice struct {
	inForce bool
	zone    string
	// peersMean is the mean reported load of the pool's targets. reportWeight is how
	// much a single reported load still says, from 0 to 1.
	peersMean, reportWeight float64
	// unused is the cheapest target of which the host holds an unused slot, held the
	// cheapest of which it holds any.
	unused, held         *target
	unusedCost, heldCost float64
}

func (s *Steering) newAllottedChoice(now time.Duration, pl *pool, r *route) allottedChoice {
	if !s.allotted(now) {
		return allottedChoice{}
	}
	c := allottedChoice{inForce: true, zone: s.cfg.Zone, peersMean: pl.peersMean}
	if took := r.answerTimes.median.value; took > reportAge {
		c.reportWeight = math.Exp(-float64(reportAge) / float64(took))
	}
	return c
}

// loadCorrection returns what is added to a target's load, as it follows from the
// reports, to get the load that is to be expected.
func (c *allottedChoice) loadCorrection(t *target) float64 {
	if !c.inForce || t.entry.Zone != c.zone {
		return 0
	}
	return (1 - c.reportWeight) * (c.peersMean*(1-t.heldPart()) - t.peersLoad())
}

// allowsFlow reports whether the connection limit lets this host send the target one
// more flow.
func (c *allottedChoice) allowsFlow(t *target, limits fleet.ServiceLimits) bool {
	limit := float64(limits.Connections)
	if !c.inForce || limit <= 0 || t.entry.Zone != c.zone || float64(t.open+t.peersOpen) < reservedConnections*limit {
		return true
	}
	return float64(t.open) < limit*t.heldPart()
}

// mayBorrow reports whether a slot of a target may be borrowed. If no target is expected
// to have a free slot, all may be, as the one with the lowest reported load would get
// the openings of all hosts.
func (c *allottedChoice) mayBorrow(t *target, cost float64) bool {
	return c.inForce && t.held == 0 && t.entry.Zone == c.zone && cost < unusableCost
}

// prefersOtherZone reports whether the cheapest of all targets is in another zone and
// cheaper than the cheapest of the sample.
func (c *allottedChoice) prefersOtherZone(cheapest *target, cost, sampleCost float64) bool {
	return c.inForce && cheapest.entry.Zone != c.zone && cost < sampleCost
}

// add adds a target with its cost, corrected by loadCorrection.
func (c *allottedChoice) add(t *target, cost float64) {
	if !c.inForce || t.held == 0 || cost >= unusableCost {
		return
	}
	if c.held == nil || cost < c.heldCost {
		c.held, c.heldCost = t, cost
	}
	if t.holdsFreeSlot() && (c.unused == nil || cost < c.unusedCost) {
		c.unused, c.unusedCost = t, cost
	}
}

// choose returns the target for the opening: one with an unused slot of this host,
// or the own target with the shortest queue unless other is expected to have a
// shorter one.
func (c *allottedChoice) choose(other *target, otherCost float64) *target {
	switch {
	case c.unused != nil:
		return c.unused
	case c.held != nil && (other == nil || c.heldCost <= otherCost+borrowMargin):
		return c.held
	}
	return other
}

// countBorrowed counts an opening that uses a slot of another host.
func (s *Steering) countBorrowed(now time.Duration, t *target) {
	if t.entry.Zone == s.cfg.Zone && s.allotted(now) && !t.holdsFreeSlot() && t.heldPart() < 1 {
		s.borrowed[t.entry.Service]++
	}
}

// coldRate returns the openings per second that this host may send to a cold target
// of its zone: by the slots that it holds, or an equal share without a valid table.
func (s *Steering) coldRate(now time.Duration, t *target, limits fleet.ServiceLimits) float64 {
	if !s.allotted(now) {
		return coldRateShare(limits, s.peerLoads)
	}
	return limits.ColdOpenings * t.heldPart()
}
