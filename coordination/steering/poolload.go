package steering

import "math"

const (
	// maxReportedDeviation bounds how far the load that all hosts reported counts as
	// different from this host's own, in requests per slot: it is old.
	maxReportedDeviation = 1.0
	// minStableShare is the share of a pool's slots, in slots, from which a host's own
	// requests vary little by chance. With a smaller share the limit may be raised by
	// chanceDeviations times the increase of their standard deviation; otherwise hosts
	// turn openings away while others have free slots. Callers over their fair share do
	// not profit from it: they would fill what is left to others.
	minStableShare   = 4.0
	chanceDeviations = 2.5
	// minShareSlots is the share of a pool's slots, in slots, from which a host's own
	// requests tell a burst from chance.
	minShareSlots = 2.0
)

// poolLoad is the load of a pool's targets in this host's zone.
type poolLoad struct {
	// own is the number of this host's requests, ownShare the number of slots that are
	// its share.
	own, ownShare float64
	// perSlot is the number of requests of all hosts per slot.
	perSlot float64
}

// poolLoad returns the load of a pool.
func (s *Steering) poolLoad(pl *pool) poolLoad {
	own, peers, slots := 0, 0, 0
	for _, t := range pl.targets {
		if t.entry.Zone == s.cfg.Zone && t.eligible() {
			own += t.busy + t.opening
			peers += t.peersBusy
			slots += t.entry.Slots
		}
	}
	return poolLoad{
		own: float64(own), ownShare: float64(slots) / float64(s.zoneHosts()),
		perSlot: float64(own+peers) / float64(max(slots, 1)),
	}
}

// ownPerSlot returns this host's requests in multiples of its share of the slots, 0 if
// the share is too small to tell a burst from chance.
func (l poolLoad) ownPerSlot() float64 {
	if l.ownShare < minShareSlots {
		return 0
	}
	return l.own / l.ownShare
}

// full reports whether the pool's load has reached a limit in requests per slot: by what
// this host has now, corrected towards what all hosts reported. A host may always have
// one request. allowChance raises the limit where this host's share is small.
func (l poolLoad) full(limit float64, allowChance bool) bool {
	if l.own == 0 || l.ownShare == 0 {
		return false
	}
	own := l.own / l.ownShare
	if allowChance && l.ownShare < minStableShare {
		limit += chanceDeviations * (math.Sqrt(limit/l.ownShare) - math.Sqrt(limit/minStableShare))
	}
	return own+min(max(l.perSlot-own, -maxReportedDeviation), maxReportedDeviation)/2 >= limit
}

// zoneHosts returns the number of hosts of this host's zone.
func (s *Steering) zoneHosts() int {
	if l := s.peerLoads; l != nil && (l.Settled || l.Hosts > assumedZoneHosts) {
		return max(l.Hosts, 1)
	}
	return assumedZoneHosts
}
