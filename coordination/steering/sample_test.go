package steering

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
)

// placeBurst lets callers open flows through the hosts of a zone between two
// reports of loads, and returns the flows at the busiest target and at the mean
// one. All hosts know the same loads, which differ little.
func placeBurst(t *testing.T, hosts, targets, flows int, seed uint64) (busiest, mean float64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	loads := map[Token]TargetLoad{}
	for n := range targets {
		loads[TokenOf(fleet.TargetKey(fmt.Sprintf("t%d", n)))] = TargetLoad{Open: 2 + rng.IntN(8)}
	}
	list := make([]*fixture, hosts)
	for i := range list {
		w := newFixture(t)
		w.view.Targets = nil
		for n := range targets {
			w.add(fmt.Sprintf("t%d", n), "book", "a")
		}
		w.apply()
		w.SetPeerLoads(&PeerLoads{Hosts: hosts, Settled: true, Targets: loads})
		list[i] = w
	}
	placed := map[fleet.TargetKey]int{}
	for n := range flows {
		w := list[rng.IntN(hosts)]
		placed[w.caller(n, feeds).open(0).Key]++
	}
	most := 0
	for _, n := range placed {
		most = max(most, n)
	}
	return float64(most), float64(flows) / float64(targets)
}

// Guards against hosts that all place their next flows at the same target, which
// their common report shows as the least loaded, so that it rejects requests.
func TestHostsDoNotCrowdOneTarget(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		for _, hosts := range []int{29, 55, 110} {
			busiest, mean := placeBurst(t, hosts, 60, 300, seed)
			t.Logf("%d hosts, seed %d: busiest %.0f, mean %.0f", hosts, seed, busiest, mean)
			expected := sampleSize * mean // the least loaded of a random pair
			is.True(busiest <= expected+3*math.Sqrt(expected))
		}
	}
}

// In a small zone the least loaded targets get the flows.
func TestFewHostsLevelTheLoad(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		busiest, mean := placeBurst(t, 2, 10, 100, seed)
		is.True(busiest <= 2*mean)
	}
}

// The sample has the targets with the highest ranks, in any order of adding.
func TestSample(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		list := make([]*target, 1+rng.IntN(6))
		for i := range list {
			list[i] = &target{}
		}
		var s sample
		for _, i := range rng.Perm(len(list)) {
			s.add(list[i], float64(i), uint64(i+1)) // the last has the highest rank and cost
		}
		cheapest, cost := s.cheapest()
		is.Equal(cheapest, list[max(len(list)-sampleSize, 0)])
		is.Equal(cost, float64(max(len(list)-sampleSize, 0)))
	}
	var empty sample
	none, _ := empty.cheapest()
	is.True(none == nil)
}
