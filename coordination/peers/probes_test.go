package peers

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

// probed returns the names of the hosts that a round's probes go to.
func probed(p *Peers, now time.Duration) map[string]bool {
	p.NextRound(now, 100, nil, nil)
	p.ReadsStore(now, true, false)
	names := map[string]bool{}
	for _, h := range p.ProbeContacts(now) {
		names[h.Name] = true
	}
	return names
}

func probeHost(n int, zone string) gossip.Host {
	h := host(n, zone)
	h.Protocol = gossip.ProbeProtocol
	return h
}

// A zone without power is known as silent before its callers' packets arrive; a
// zone of which one host answers, or whose hosts can't answer probes, is not.
func TestSilentZones(t *testing.T) {
	is := is.New(t)
	p := New(probeHost(0, "a"))
	for n, zone := range map[int]string{1: "b", 2: "b", 3: "c", 4: "c"} {
		p.Receive(0, &gossip.Message{Kind: gossip.KindHello, From: probeHost(n, zone)})
	}
	p.Receive(0, &gossip.Message{Kind: gossip.KindHello, From: host(5, "d")})
	for now := HeartbeatInterval; now <= time.Second; now += HeartbeatInterval {
		is.Equal(len(probed(p, now)), 4) // not the host of zone d, whose build replies to no probe
		p.Receive(now, &gossip.Message{Kind: gossip.KindProbeReply, From: probeHost(3, "c")})
		if now < HeartbeatInterval+silentZoneTimeout {
			is.Equal(len(p.SilentZones(now)), 0)
		}
	}
	is.Equal(p.SilentZones(time.Second), []string{"b"})
	p.Receive(time.Second, &gossip.Message{Kind: gossip.KindProbeReply, From: probeHost(2, "b")})
	is.Equal(len(p.SilentZones(time.Second)), 0)
	is.Equal(p.SilentZones(time.Second+silentZoneTimeout), []string{"b", "c"})
}

// Guards against a host that was paused and takes the others for silent when it
// wakes, as their replies wait unread.
func TestPausedHostFindsNoZoneSilent(t *testing.T) {
	is := is.New(t)
	p := New(probeHost(0, "a"))
	p.Receive(0, &gossip.Message{Kind: gossip.KindHello, From: probeHost(1, "b")})
	probed(p, HeartbeatInterval)
	p.Receive(HeartbeatInterval, &gossip.Message{Kind: gossip.KindProbeReply, From: probeHost(1, "b")})
	probed(p, 10*time.Second)
	is.Equal(len(p.SilentZones(10*time.Second)), 0)
}

// In a large zone only the reader probes. The others take over what its digests
// say for as long as they arrive.
func TestReaderTellsSilentZones(t *testing.T) {
	is := is.New(t)
	p, hosts := largeZone(20)
	reader := hosts[1]
	p.Receive(0, &gossip.Message{Kind: gossip.KindHello, From: probeHost(99, "b")})
	m := digest(reader, true)
	m.Digest.SilentZones = []string{"b"}
	p.Receive(time.Second, m)
	is.Equal(len(probed(p, time.Second)), 0)
	is.Equal(p.SilentZones(time.Second), []string{"b"})
	is.Equal(len(p.SilentZones(time.Second+digestLifetime)), 0)
}
