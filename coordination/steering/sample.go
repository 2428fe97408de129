package steering

// Placement in a large zone without admission. The load pattern: many callers open flows within the
// time between two reports of the hosts' loads, for example after a zone has
// failed. All hosts of the zone know the same loads, so if each of them selected
// the least loaded target, all would select the same one. Each flow therefore has
// a few targets to choose from, by its hash: the power of two random choices.

const (
	// maxComparingHosts is the largest number of hosts in a zone that is not a large
	// one. Without admission its hosts compare all targets: each places enough flows
	// itself for its view to be up to date.
	maxComparingHosts = 8
	// freeSlotCost is the cost below which a target of the own zone answers and
	// has a free slot.
	freeSlotCost = 1.0
	// sampleSize is the number of targets that a flow chooses from.
	sampleSize = 2
)

// sample holds the targets with the highest ranks. The zero value is empty.
type sample struct {
	targets [sampleSize]*target
	costs   [sampleSize]float64
	ranks   [sampleSize]uint64
}

// add adds a target unless enough others rank higher.
func (s *sample) add(t *target, cost float64, rank uint64) {
	for i := range s.targets {
		if s.targets[i] != nil && s.ranks[i] >= rank {
			continue
		}
		t, s.targets[i] = s.targets[i], t
		cost, s.costs[i] = s.costs[i], cost
		rank, s.ranks[i] = s.ranks[i], rank
		if t == nil {
			return
		}
	}
}

// inLargeZone reports whether this host's zone has too many hosts to compare all targets
// by the loads that others report.
func (s *Steering) inLargeZone() bool {
	return s.peerLoads != nil && s.peerLoads.Hosts > maxComparingHosts
}

// cheapest returns the target with the lowest cost and that cost, nil if there is
// none.
func (s *sample) cheapest() (*target, float64) {
	var best *target
	var bestCost float64
	for i, t := range s.targets {
		if t != nil && (best == nil || s.costs[i] < bestCost) {
			best, bestCost = t, s.costs[i]
		}
	}
	return best, bestCost
}
