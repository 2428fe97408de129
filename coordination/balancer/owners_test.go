package balancer

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/jujubehaven/jujubehaven/coordination/rendezvous"
)

// sortedOwners is a reference implementation of setOwners that sorts all hosts by
// zone and rendezvous score.
func sortedOwners(t *targetView, hosts []candidateHost) targetView {
	ranks := slices.Clone(hosts)
	slices.SortFunc(ranks, func(a, b candidateHost) int {
		if aAway, bAway := a.zone != t.zone, b.zone != t.zone; aAway != bAway {
			if aAway {
				return 1
			}
			return -1
		}
		return cmp.Compare(rendezvous.Mix(t.id, uint64(b.id)), rendezvous.Mix(t.id, uint64(a.id)))
	})
	var want targetView
	n := 0
	for _, h := range ranks {
		switch {
		case h.leaving && n == 0 && want.leavingOwner == 0:
			want.leavingOwner = h.id
		case !h.leaving && n < maxOwners:
			want.owners[n] = h.id
			want.crossZone = want.crossZone || (n == 0 && h.zone != t.zone)
			n++
		}
	}
	return want
}

// TestOwnersMatchSortedHosts checks setOwners, which does not sort the hosts,
// against sortedOwners.
func TestOwnersMatchSortedHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 12).Draw(t, "hosts")
		var hosts []candidateHost
		for i := range count {
			hosts = append(hosts, candidateHost{
				id:      HostID(fmt.Sprint("h", i)),
				zone:    rapid.SampledFrom(threeZones).Draw(t, "zone"),
				leaving: rapid.Bool().Draw(t, "leaving"),
			})
		}
		tv := targetView{id: rapid.Uint64().Draw(t, "target"), zone: "z1"}
		want := sortedOwners(&tv, hosts)
		setOwners(&tv, hosts, 0)
		if tv.owners != want.owners || tv.leavingOwner != want.leavingOwner || tv.crossZone != want.crossZone {
			t.Fatalf("owners %x, leaving owner %x, cross-zone %v; want %x, %x, %v",
				tv.owners, tv.leavingOwner, tv.crossZone, want.owners, want.leavingOwner, want.crossZone)
		}
	})
}
