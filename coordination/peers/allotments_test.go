package peers

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/coordination/allotment"
	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

// zoneTargets is the number of targets of a zone by its hosts.
var zoneTargets = map[int]int{12: 24, 55: 150, 110: 733}

// newAllottingZone returns a zone whose hosts share out targets of two slots and use
// about two thirds of them. The requests of a host change at random.
func newAllottingZone(t *testing.T, hosts int, seed uint64) *zoneSim {
	z := newZoneSim(t, hosts, seed)
	rng := rand.New(rand.NewPCG(seed, 7))
	for i := range zoneTargets[hosts] {
		z.targets = append(z.targets, allotment.Target{Token: uint32(i+1) * 2654435761, Service: "s", Slots: 2})
	}
	z.loads = func(*simHost) []gossip.TargetLoad {
		var loads []gossip.TargetLoad
		for range 2 * len(z.targets) * 4 / (3 * hosts) {
			if rng.IntN(2) == 0 {
				loads = append(loads, gossip.TargetLoad{Token: z.targets[rng.IntN(len(z.targets))].Token, Busy: 1, Open: 1})
			}
		}
		return loads
	}
	return z
}

// countAllotments counts the bytes of a part of a table.
func (z *zoneSim) countAllotments(a *gossip.Allotments) {
	if a == nil {
		return
	}
	b, err := cbor.Marshal(a)
	is.New(z.t).NoErr(err)
	z.allotments++
	z.allotmentBytes += len(b)
}

// excess returns how many slots more than there are the hosts hold.
func (z *zoneSim) excess() int {
	held := map[uint32]int{}
	for _, h := range z.hosts {
		if h.down || h.frozen || !h.Share().Valid(z.clock(h)) {
			continue
		}
		for _, target := range z.targets {
			held[target.Token] += h.Share().Held(target.Token)
		}
	}
	sum := 0
	for _, target := range z.targets {
		sum += max(held[target.Token]-target.Slots, 0)
	}
	return sum
}

// holding returns how many live hosts have a valid share, and the slots that these
// hold.
func (z *zoneSim) holding() (hosts, slots int) {
	for _, h := range z.hosts {
		if !h.down && !h.frozen && h.Share().Valid(z.clock(h)) {
			hosts++
			slots += h.Share().Slots()
		}
	}
	return hosts, slots
}

// every returns a check that calls do every tenth time.
func every(do func()) func() {
	n := 0
	return func() {
		if n++; n%10 == 0 {
			do()
		}
	}
}

// Guards against hosts of a large zone without a share, slots with two holders when
// digests and reports are lost, and tables that take too many bytes.
func TestHostsShareOutSlots(t *testing.T) {
	for _, n := range zoneSizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			z := newAllottingZone(t, n, 1)
			z.settle()
			rng := rand.New(rand.NewPCG(1, 1))
			z.lost = func(*simHost, *simHost) bool { return rng.IntN(50) == 0 }
			worst := 0
			from := z.allotmentBytes
			const seconds = 3
			z.run(z.now+seconds*time.Second, every(func() { worst = max(worst, z.excess()) }))
			is.Equal(worst, 0)
			hosts, slots := z.holding()
			is.Equal(hosts, n)
			is.True(slots >= 2*len(z.targets)*9/10)
			sent := float64(z.allotmentBytes-from) / seconds
			groups := len(z.hosts[0].Receivers(z.clock(z.hosts[0])))
			perHost := sent / float64(groups)
			reported := 0
			for _, h := range z.hosts {
				b, err := cbor.Marshal(h.Holdings(z.clock(h)))
				is.NoErr(err)
				reported = max(reported, len(b))
			}
			t.Logf("%d hosts, %d targets: %.0f bytes/s received by a host in %d groups, %.0f sent by the reader, reports with %d bytes more",
				n, len(z.targets), perHost, groups, sent, reported)
			is.True(perHost <= 6000)
		})
	}
}

// Guards against shares that stay in force after the reader has failed, and against a
// next reader that gives slots a second holder or most of them another one.
func TestAllotmentsOutliveTheReader(t *testing.T) {
	for _, n := range zoneSizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			z := newAllottingZone(t, n, 2)
			reader := z.settle()
			before := map[*simHost]allotment.Share{}
			for _, h := range z.hosts {
				before[h] = h.Share()
			}
			reader.down = true
			worst, gap, least := 0, time.Duration(0), n
			z.run(z.now+3*time.Second, every(func() {
				worst = max(worst, z.excess())
				hosts, _ := z.holding()
				least = min(least, hosts)
				if hosts < n-1 {
					gap += 10 * time.Millisecond
				}
			}))
			hosts, _ := z.holding()
			same, all := 0, 0
			for _, h := range z.hosts {
				if h == reader {
					continue
				}
				for _, target := range z.targets {
					all += before[h].Held(target.Token)
					same += min(before[h].Held(target.Token), h.Share().Held(target.Token))
				}
			}
			t.Logf("%d hosts: not all had a share for %v, at least %d had; %d of %d slots kept their holder", n, gap, least, same, all)
			is.Equal(worst, 0)
			is.Equal(hosts, n-1)
			is.True(same >= all*3/4)
		})
	}
}

// Guards against a table from old reports: a reader that was paused for five seconds
// sends none before it has received a round of reports, and its shares of before have
// expired.
func TestPausedReaderWaitsForReports(t *testing.T) {
	is := is.New(t)
	z := newAllottingZone(t, 12, 3)
	reader := z.settle()
	reader.frozen = true
	z.run(z.now+5*time.Second, nil)
	hosts, _ := z.holding()
	is.Equal(hosts, 11)
	z.lost = func(from, to *simHost) bool { return to == reader } // no report arrives any more
	reader.frozen = false
	resumed := z.clock(reader)
	worst := 0
	z.run(z.now+4*HeartbeatInterval, func() {
		if reader.lastRound >= resumed {
			is.True(reader.allotments.table == nil)
		}
		worst = max(worst, z.excess())
	})
	z.lost = nil
	started := z.now
	z.run(z.now+reportRound, func() {
		is.True(!reader.leads || reader.allotments.table == nil || z.now > started+HeartbeatInterval)
	})
	z.run(z.now+3*time.Second, func() { worst = max(worst, z.excess()) })
	hosts, _ = z.holding()
	is.Equal(hosts, 12)
	is.Equal(worst, 0)
}

// Guards against two readers that allot the same slots: in a zone that is split only
// the larger part has a table, and when it is joined again one reader's table counts.
func TestTwoReadersOfASplitZone(t *testing.T) {
	is := is.New(t)
	z := newAllottingZone(t, 55, 4)
	z.settle()
	half := map[*simHost]bool{}
	for i, h := range z.hosts {
		half[h] = i%2 == 0
	}
	z.lost = func(from, to *simHost) bool { return half[from] != half[to] }
	z.run(z.now+4*time.Second, nil)
	is.Equal(len(z.readers()), 2)
	hosts, slots := z.holding()
	is.Equal(hosts, 28)
	is.True(slots >= 2*len(z.targets)*9/10)
	z.lost = nil
	worst := 0
	z.run(z.now+2*time.Second, every(func() { worst = max(worst, z.excess()) }))
	t.Logf("at most %d slots too many are held while the readers change", worst)
	is.True(worst <= len(z.targets)/10) // those that moved in the first table
	worst = 0
	z.run(z.now+2*time.Second, every(func() { worst = max(worst, z.excess()) }))
	hosts, _ = z.holding()
	is.Equal(hosts, 55)
	is.Equal(worst, 0)
}

// Guards against slots that are held by two hosts, or by one that does not use them,
// when a path works in one direction only.
func TestOneWayPartition(t *testing.T) {
	for _, name := range []string{"host is not heard", "host does not hear"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			z := newAllottingZone(t, 12, 5)
			reader := z.settle()
			var cut *simHost
			for _, h := range z.hosts {
				if h != reader && reader.standby(z.clock(reader)) != h.host.Addr {
					cut = h
				}
			}
			z.lost = func(from, to *simHost) bool {
				if name == "host is not heard" {
					return from == cut
				}
				return to == cut
			}
			z.run(z.now+4*time.Second, nil)
			_, slots := z.holding()
			is.True(!cut.Share().Valid(z.clock(cut)) || cut.Share().Slots() == 0)
			is.True(slots >= 2*len(z.targets)*9/10)
			worst := 0
			z.run(z.now+time.Second, func() { worst = max(worst, z.excess()) })
			is.Equal(worst, 0)
			z.lost = nil
			z.run(z.now+3*time.Second, nil)
			is.True(cut.Share().Valid(z.clock(cut)) && cut.Share().Slots() > 0)
		})
	}
}

// Guards against slots that stay unused for more than 1.2 s after their host has failed.
func TestSlotsOfADeadHost(t *testing.T) {
	is := is.New(t)
	z := newAllottingZone(t, 12, 6)
	reader := z.settle()
	dead := z.hosts[0]
	if dead == reader {
		dead = z.hosts[1]
	}
	dead.down = true
	z.run(z.now+1200*time.Millisecond, nil)
	_, slots := z.holding()
	is.True(slots >= 2*len(z.targets)-2) // others may be on the way
}

// Guards against slots that are lost during an upgrade because they are allotted to
// hosts of a build that knows no allotments.
func TestOldBuildHoldsNoSlots(t *testing.T) {
	is := is.New(t)
	z := newAllottingZone(t, 12, 7)
	for _, h := range z.hosts[6:] {
		h.old = true
	}
	reader := z.settle()
	is.True(!reader.old) // one of the hosts with the fastest links
	slots := 0
	for _, h := range z.hosts[:6] {
		is.True(h.Share().Valid(z.clock(h)))
		slots += h.Share().Slots()
	}
	is.True(slots >= 2*len(z.targets)*9/10)
	for _, h := range z.hosts[6:] {
		is.Equal(h.Share().Slots(), 0)
	}
	// An old reader sends no table: shares expire.
	for _, h := range z.hosts[:6] {
		h.down = true
	}
	z.hosts[5].down = false
	z.run(z.now+6*time.Second, nil)
	z.hosts[5].refused = true
	z.run(z.now+6*time.Second, nil)
	is.True(z.hosts[5].leads || !z.hosts[5].Share().Valid(z.clock(z.hosts[5])))
}

// Guards against a late table, or one of an earlier incarnation of the reader, that
// replaces a newer one.
func TestOlderTablesAreIgnored(t *testing.T) {
	is := is.New(t)
	h := New(simIdentity(0))
	for i := 1; i < 12; i++ {
		h.recordHost(0, simIdentity(i))
	}
	receive := func(started int64, seq uint64, slots int) {
		from := simIdentity(1)
		from.Started = started
		h.Receive(time.Second, &gossip.Message{Kind: gossip.KindDigest, From: from, StoreAnswers: true, Digest: &gossip.Digest{
			Hosts: 12, Allotments: &gossip.Allotments{Seq: seq, Hosts: []gossip.HostSlots{
				{Host: gossip.HostID("h0"), Slots: gossip.PackHoldings([]allotment.Holding{{Token: 7, Slots: slots}})},
			}},
		}})
	}
	receive(5, 20, 1)
	is.Equal(h.Share().Held(7), 1)
	receive(5, 19, 2)
	is.Equal(h.Share().Held(7), 1)
	receive(4, 30, 2)
	is.Equal(h.Share().Held(7), 1)
	receive(5, 21, 2)
	is.Equal(h.Share().Held(7), 2)
	receive(6, 1, 1) // the reader has restarted
	is.Equal(h.Share().Held(7), 1)
	is.True(h.Share().Valid(time.Second))
	is.True(!h.Share().Valid(2 * time.Second))
	is.Equal(len(h.Holdings(2*time.Second).Slots), 0)
}

// Guards against a small zone that sends tables and reports which it does not need.
func TestSmallZoneAllotsNothing(t *testing.T) {
	is := is.New(t)
	z := newZoneSim(t, 9, 8)
	z.targets = []allotment.Target{{Token: 1, Service: "s", Slots: 2}}
	z.run(3*time.Second, nil)
	is.Equal(z.allotments, 0)
	for _, h := range z.hosts {
		is.True(!h.Share().Valid(z.clock(h)))
		is.True(h.Holdings(z.clock(h)) == nil)
	}
}
