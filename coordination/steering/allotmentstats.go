package steering

import (
	"maps"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/allotment"
)

// AllotmentStats is this host's part in the allotment of slots.
type AllotmentStats struct {
	// InForce is set while the host has a valid share, which arrived Age ago.
	InForce bool
	Age     time.Duration
	// Held counts the slots that the host holds and Borrowed the openings that used
	// slots of other hosts, by service.
	Held     map[string]int
	Borrowed map[string]uint64
	// Targets are the targets of the host's zone, for the allotter.
	Targets []allotment.Target
}

// AllotmentStats returns the state of the allotment, the zero value if the host does
// not use allotments.
func (s *Steering) AllotmentStats(now time.Duration) AllotmentStats {
	if !s.cfg.Balancing.Allotments {
		return AllotmentStats{}
	}
	a := AllotmentStats{InForce: s.allotted(now), Held: map[string]int{}, Borrowed: maps.Clone(s.borrowed)}
	if a.InForce {
		a.Age = s.peerLoads.Share.Age(now)
	}
	for _, t := range s.targets {
		if t.entry.Zone != s.cfg.Zone || t.entry.Gone {
			continue
		}
		if a.InForce && t.held > 0 {
			a.Held[t.entry.Service] += t.held
		}
		a.Targets = append(a.Targets, allotment.Target{
			Token: uint32(t.token), Service: t.entry.Service, Slots: max(t.entry.Slots, 1), State: t.allotmentState(now),
		})
	}
	return a
}

// allotmentState returns the target's state as this host and the reports of others
// show it.
func (t *target) allotmentState(now time.Duration) allotment.State {
	switch {
	case !t.eligible(), t.entry.Missing, t.health.silent, t.peersUnanswered >= minSilentFlows:
		return allotment.Closed
	case t.cold(now):
		return allotment.Cold
	case t.fastShare(now) > fastShareThreshold:
		return allotment.Rejecting
	}
	return allotment.Accepting
}
