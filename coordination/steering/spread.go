package steering

import (
	"math"
	"time"
)

const (
	// loadAge is the mean age of other hosts' loads in a large zone, defaultTurnover the
	// number of requests per slot served in that time if the service time is unknown.
	loadAge         = 300 * time.Millisecond
	defaultTurnover = 4.0
	// minSpreadWeight is the smallest weight of a target in a spread, as a fraction of
	// the weight of one with the mean load.
	minSpreadWeight = 0.05
	// minPenalty is the smallest penalty that excludes a target from a spread: it is of
	// another zone, or there is evidence against it.
	minPenalty = otherZonePenalty / 2
)

// spread chooses a target for an opening among several hosts, at random by the flow's hash,
// with weights that lead to equal loads (Dahlin, "Interpreting Stale Load Information",
// 1999). In the time that a load is old, all hosts together place several requests at a
// target: a choice of the least loaded would fill some targets and leave others idle.
type spread struct {
	active bool
	// mean is the mean load of the targets.
	mean float64
	// turnover is the number of requests per slot that a target serves in the time that
	// a load is old.
	turnover float64
	// best is the target selected so far.
	best     *target
	bestRank float64
}

func newSpread(mean float64, service time.Duration) spread {
	turnover := defaultTurnover
	if service > 0 {
		turnover = float64(loadAge) / float64(service)
	}
	return spread{active: true, mean: mean, turnover: turnover}
}

// add adds a target with its cost and its load, which is part of the cost. The target
// with the largest random^(1/weight) is selected, as in weighted rendezvous hashing.
func (s *spread) add(t *target, cost, load float64, hash uint64) {
	if cost-load >= minPenalty {
		return
	}
	weight := max(s.turnover+s.mean-load, minSpreadWeight*s.turnover) * float64(t.entry.Slots)
	random := (float64(hash>>11) + 0.5) / (1 << 53)
	if rank := math.Log(random) / weight; s.best == nil || rank > s.bestRank {
		s.best, s.bestRank = t, rank
	}
}
