package peers

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

func hostOfZone(zone string, n int) gossip.Host {
	return gossip.Host{
		Name: fmt.Sprintf("%s%d", zone, n), Zone: zone, Started: 1, Protocol: gossip.Protocol,
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, zone[0], 0, byte(n)}), 7720),
	}
}

// Guards against summaries that reach no host because the receiver is dead or of an old
// build: one goes to two hosts of each other zone, the one heard of last and the others
// in turn. Old builds, and zones of which nobody knows a host, get none.
func TestSummaryReceivers(t *testing.T) {
	is := is.New(t)
	p := New(hostOfZone("a", 0))
	old := hostOfZone("b", 9)
	old.Protocol = 0
	now := time.Second
	for n := range 4 {
		p.Receive(now+time.Duration(n)*time.Millisecond, &gossip.Message{Kind: gossip.KindHello, From: hostOfZone("b", n)})
	}
	p.Receive(now+time.Second, &gossip.Message{Kind: gossip.KindHello, From: old})
	p.Receive(now, &gossip.Message{Kind: gossip.KindHelloReply, From: hostOfZone("a", 1), KnownHosts: []gossip.Host{hostOfZone("c", 1), hostOfZone("c", 2)}})
	got := map[string]int{}
	for range 12 {
		p.NextRound(now, 100, nil, nil)
		zones := p.SummaryReceivers(now)
		is.Equal(len(zones), 2)
		for _, z := range zones {
			is.True(len(z.Hosts) <= maxSummaryHosts)
			for _, h := range z.Hosts {
				is.Equal(h.Zone, z.Zone)
				got[h.Name]++
			}
		}
	}
	is.Equal(got, map[string]int{"b3": 12, "b0": 4, "b1": 4, "b2": 4, "c1": 6, "c2": 6})

	// Nothing arrives from zone b any more, and nobody names its hosts.
	now += peerRetention + 2*time.Second
	p.NextRound(now, 100, nil, nil)
	is.Equal(len(p.SummaryReceivers(now)), 0)
}

// Guards against summaries that do not reach the reader of a large zone, or that are
// forwarded by the reader or in a small zone.
func TestSummaryReader(t *testing.T) {
	is := is.New(t)
	z := newZoneSim(t, 12, 1)
	reader := z.settle()
	for _, h := range z.hosts {
		to, ok := h.SummaryReader(z.clock(h))
		is.Equal(ok, h != reader)
		is.True(!ok || to.Name == reader.host.Name)
		is.Equal(h.LeadsLargeZone(), h == reader)
		is.Equal(h.IsReader(z.clock(h), reader.host.Name), h != reader)
	}
	small := New(hostOfZone("a", 0))
	small.Receive(0, &gossip.Message{Kind: gossip.KindHeartbeat, From: hostOfZone("a", 1), StoreAnswers: true})
	_, ok := small.SummaryReader(0)
	is.True(!ok)
}
