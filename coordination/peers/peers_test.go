package peers

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

func host(n int, zone string) gossip.Host {
	return gossip.Host{
		Name: fmt.Sprintf("h%d", n), Zone: zone, Started: 1,
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7720),
	}
}

func beat(h gossip.Host, answers bool, loads ...gossip.TargetLoad) *gossip.Message {
	return &gossip.Message{Kind: gossip.KindHeartbeat, From: h, StoreAnswers: answers, Loads: loads}
}

// fleet returns hosts of one zone that have all heard each other.
func fleet(n int) []*Peers {
	list := make([]*Peers, n)
	for i := range n {
		list[i] = New(host(i, "a"))
	}
	for i := range list {
		for j := range list {
			list[i].Hear(0, beat(host(j, "a"), true))
		}
	}
	return list
}

func readers(list []*Peers, now time.Duration) []int {
	var r []int
	for i, p := range list {
		if p.Reads(now, true, false) {
			r = append(r, i)
		}
	}
	return r
}

func TestOneHostReads(t *testing.T) {
	for _, n := range []int{1, 2, 3, 8, 20} {
		is.New(t).Equal(len(readers(fleet(n), 100*time.Millisecond)), 1)
	}
}

func TestAnotherReadsWhenTheReaderFails(t *testing.T) {
	cases := map[string]func(list []*Peers, reader int){
		"the store refuses it": func(list []*Peers, reader int) {
			for _, p := range list {
				p.Hear(time.Second, beat(host(reader, "a"), false))
			}
		},
		"it leaves": func(list []*Peers, reader int) {
			for _, p := range list {
				m := beat(host(reader, "a"), true)
				m.Leaving = true
				p.Hear(time.Second, m)
			}
		},
		"it is silent": func([]*Peers, int) {},
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			list := fleet(4)
			first := readers(list, 0)[0]
			for i, p := range list {
				for j := range list {
					if j != first && j != i {
						p.Hear(time.Second, beat(host(j, "a"), true))
					}
				}
			}
			fail(list, first)
			var others []*Peers
			for i, p := range list {
				if i != first {
					others = append(others, p)
				}
			}
			is.Equal(len(readers(others, time.Second)), 1)
		})
	}
}

// A host that the store refuses leaves reading to one that it answers, and
// reads itself if it answers none.
func TestRefusedHost(t *testing.T) {
	is := is.New(t)
	p := New(host(0, "a"))
	is.True(p.Reads(0, false, false))
	p.Hear(0, beat(host(1, "a"), true))
	is.True(!p.Reads(0, false, false))
	p.Hear(0, beat(host(1, "a"), false))
	is.True(p.Reads(0, false, false))
}

func TestHostsOfOtherZonesAreToldOfOnly(t *testing.T) {
	is := is.New(t)
	p := New(host(0, "a"))
	p.Hear(0, &gossip.Message{Kind: gossip.KindHello, From: host(1, "b")})
	p.Hear(0, &gossip.Message{Kind: gossip.KindHello, From: host(2, "b")})
	is.Equal(p.Hosts(0), 1)
	is.Equal(len(p.Round(0, 100)), 0)
	known := p.Known(0, "b")
	is.Equal(len(known), 3)
	is.Equal(known[0].Zone, "b") // the asker's zone first
	is.Equal(known[2].Name, "h0")
}

// A host that was told of hosts of its zone greets them with beats, so that
// they learn of it.
func TestSeedsIntroduceHosts(t *testing.T) {
	is := is.New(t)
	p := New(host(0, "a"))
	p.Hear(0, &gossip.Message{Kind: gossip.KindHelloReply, From: host(9, "b"), KnownHosts: []gossip.Host{host(0, "a"), host(1, "a"), host(2, "c")}})
	round := p.Round(0, 100)
	is.Equal(len(round), 1)
	is.Equal(round[0].Name, "h1")
	is.Equal(p.Hosts(0), 1) // not heard yet
}

func TestGreetings(t *testing.T) {
	is := is.New(t)
	p := New(host(0, "a"))
	is.True(p.Greet(0))
	is.True(!p.Greet(helloSoon - 1))
	is.True(p.Greet(helloSoon))
	p.Hear(helloSoon, beat(host(1, "a"), true))
	is.True(!p.Greet(2 * helloSoon))
}

func TestLaterIncarnationReplacesAHost(t *testing.T) {
	is := is.New(t)
	p := New(host(0, "a"))
	again := host(1, "a")
	again.Started = 5
	p.Hear(0, beat(again, true, gossip.TargetLoad{Token: 7, Busy: 1}))
	p.Hear(0, beat(host(1, "a"), true, gossip.TargetLoad{Token: 7, Busy: 9})) // late
	is.Equal(p.Loads(0)[7].Busy, 1)
}

func TestLoadsAreSummedOverLiveHosts(t *testing.T) {
	is := is.New(t)
	p := New(host(0, "a"))
	p.Hear(0, beat(host(1, "a"), true, gossip.TargetLoad{Token: 7, Open: 2, Busy: 1}))
	p.Hear(0, beat(host(2, "a"), true, gossip.TargetLoad{Token: 7, Open: 3, Busy: 2, Silent: 1}))
	is.Equal(p.Loads(0)[7], gossip.TargetLoad{Open: 5, Busy: 3, Silent: 1})
	is.Equal(len(p.Loads(time.Minute)), 0)
}

// The beats of a round do not grow with the hosts, and all get one in turn.
func TestRoundsAreBounded(t *testing.T) {
	is := is.New(t)
	p := fleet(75)[0]
	got := map[string]int{}
	for range 10 {
		round := p.Round(0, 100)
		is.Equal(len(round), maxBeatsARound)
		for _, h := range round {
			got[h.Name]++
		}
	}
	is.Equal(len(got), 74)
}

// Long beats go to fewer hosts a round, and hosts count as live for longer.
func TestRoundsKeepTheirBytes(t *testing.T) {
	is := is.New(t)
	p := fleet(9)[0]
	is.Equal(len(p.Round(0, roundBytes/2)), 2)
	is.Equal(p.Hosts(4*liveRounds*BeatInterval-1), 9)
	is.Equal(p.Hosts(4*liveRounds*BeatInterval), 1)
	is.Equal(len(p.Round(0, 10*roundBytes)), 1)
}

func TestSilentHostsAreForgotten(t *testing.T) {
	is := is.New(t)
	p := New(host(0, "a"))
	p.Hear(0, beat(host(1, "a"), true))
	p.Round(forgetAfter, 100)
	is.Equal(len(p.ZoneHosts()), 0)
}
