// Package peers tracks the other hosts that steer by token and elects the host
// of an availability zone that reads the store for the others. It does no I/O
// and reads no clock: callers pass the time since the host's start.
package peers

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

const (
	// HeartbeatInterval is the time between two rounds of heartbeats.
	HeartbeatInterval = 200 * time.Millisecond
	// maxHeartbeatsPerRound bounds the heartbeats of a round, so that the bytes
	// per second do not grow with the number of hosts in a zone.
	maxHeartbeatsPerRound = 8
	// maxRoundBytes bounds the bytes of a round: 20 KB per second.
	maxRoundBytes = 4 << 10
	// maxMissedRounds is the number of heartbeats of a host that may be missed
	// before it no longer counts as live.
	maxMissedRounds = 4
	// peerRetention is how long a host that no message names any more is kept in
	// the list.
	peerRetention = 20 * time.Second
	// initialHelloInterval and steadyHelloInterval are the times between two
	// hello messages to the seeds, before and after another host of the zone is
	// live.
	initialHelloInterval = 500 * time.Millisecond
	steadyHelloInterval  = 5 * time.Second
	// maxKnownHosts bounds the hosts in the reply to a hello message, of which
	// maxKnownOtherHosts are of each zone that is not the receiver's.
	maxKnownHosts      = 256
	maxKnownOtherHosts = 4
	// maxZoneContacts bounds the hosts of a zone that are queried to find out
	// whether the zone can be reached.
	maxZoneContacts = 3
	// settleTime is how long after its start a host does not rely on its count of
	// the zone's hosts.
	settleTime = 2 * time.Second
)

// peer is another host of the same availability zone, or one of another zone
// that sent a hello message or was named by one.
type peer struct {
	host gossip.Host
	// lastHeartbeat is when the host's last heartbeat or store feed arrived,
	// lastMessage when its last message of any kind did, lastMentioned when any
	// message last named the host.
	lastHeartbeat, lastMessage, lastMentioned time.Duration
	hasHeartbeat, hasMessage                  bool
	storeAnswers                              bool
	leaving                                   bool
	loads                                     []gossip.TargetLoad
}

// Peers is one host's list of the other hosts. It is not safe for concurrent
// use.
type Peers struct {
	self     gossip.Host
	peers    map[string]*peer
	nextPeer int
	// heartbeatsPerRound is the limit of the last round; the other hosts of the
	// zone send about as many.
	heartbeatsPerRound int
	lastHello          time.Duration
	helloSent          bool
	// zoneAnswers holds when a host of each zone last replied to a hello.
	zoneAnswers map[string]time.Duration
}

// New returns an empty list for a host.
func New(self gossip.Host) *Peers {
	return &Peers{self: self, peers: map[string]*peer{}, heartbeatsPerRound: maxHeartbeatsPerRound, zoneAnswers: map[string]time.Duration{}}
}

// Receive processes a message from another host.
func (p *Peers) Receive(now time.Duration, m *gossip.Message) {
	if m.From.Name == p.self.Name {
		return
	}
	from := p.recordHost(now, m.From)
	if from == nil {
		return
	}
	from.lastMessage, from.hasMessage = now, true
	if m.Kind == gossip.KindHelloReply {
		p.zoneAnswers[m.From.Zone] = now
	}
	for _, h := range m.KnownHosts {
		if h.Name != p.self.Name {
			p.recordHost(now, h)
		}
	}
	if m.Kind != gossip.KindHeartbeat && m.Kind != gossip.KindFeed {
		return
	}
	from.lastHeartbeat = now
	from.hasHeartbeat = true
	from.storeAnswers = m.StoreAnswers
	from.leaving = m.Leaving
	if m.Kind == gossip.KindHeartbeat {
		from.loads = m.Loads
	}
}

// recordHost adds a host or updates its last mention. It returns nil if a later
// incarnation of the host is listed.
func (p *Peers) recordHost(now time.Duration, h gossip.Host) *peer {
	known := p.peers[h.Name]
	switch {
	case known == nil || h.Started > known.host.Started:
		known = &peer{host: h}
		p.peers[h.Name] = known
	case h.Started < known.host.Started:
		return nil
	}
	known.lastMentioned = now
	return known
}

// KnownHosts returns the hosts for the reply to a hello message from a host of
// the zone: the hosts of that zone come first, then a few of each other one. Only hosts whose own messages arrive are named, as two hosts would
// otherwise name a host to each other long after its death.
func (p *Peers) KnownHosts(now time.Duration, zone string) []gossip.Host {
	list := []gossip.Host{p.self}
	ofZone := map[string]int{p.self.Zone: 1}
	for _, other := range p.recent() {
		if !other.hasMessage || now >= other.lastMessage+peerRetention {
			continue
		}
		ofZone[other.host.Zone]++
		if other.host.Zone == zone || ofZone[other.host.Zone] <= maxKnownOtherHosts {
			list = append(list, other.host)
		}
	}
	slices.SortStableFunc(list, func(a, b gossip.Host) int {
		return cmp.Compare(boolRank(a.Zone != zone), boolRank(b.Zone != zone))
	})
	return list[:min(len(list), maxKnownHosts)]
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// recent returns the peers ordered by their last message, the latest first.
func (p *Peers) recent() []*peer {
	list := p.sorted()
	slices.SortStableFunc(list, func(a, b *peer) int { return cmp.Compare(b.lastMessage, a.lastMessage) })
	return list
}

// ZoneContacts returns a few hosts of a zone, those first that were heard of
// last.
func (p *Peers) ZoneContacts(zone string) []gossip.Host {
	var list []gossip.Host
	for _, other := range p.recent() {
		if other.host.Zone == zone && len(list) < maxZoneContacts {
			list = append(list, other.host)
		}
	}
	return list
}

// ZoneAnswers returns when a host of each zone last replied to a hello of this
// host.
func (p *Peers) ZoneAnswers() map[string]time.Duration { return maps.Clone(p.zoneAnswers) }

// sorted returns the peers ordered by name.
func (p *Peers) sorted() []*peer {
	list := make([]*peer, 0, len(p.peers))
	for _, other := range p.peers {
		list = append(list, other)
	}
	slices.SortFunc(list, func(a, b *peer) int { return cmp.Compare(a.host.Name, b.host.Name) })
	return list
}

// HelloDue reports whether a hello message to the seeds is due, and counts it as
// sent.
func (p *Peers) HelloDue(now time.Duration) bool {
	wait := initialHelloInterval
	if p.LiveHosts(now) > 1 {
		wait = steadyHelloInterval
	}
	if p.helloSent && now < p.lastHello+wait {
		return false
	}
	p.helloSent = true
	p.lastHello = now
	return true
}

// NextRound returns the hosts of the zone that get a heartbeat of heartbeatBytes
// bytes in this round, and removes hosts that no message has named for
// peerRetention.
func (p *Peers) NextRound(now time.Duration, heartbeatBytes int) []gossip.Host {
	p.heartbeatsPerRound = min(max(maxRoundBytes/max(heartbeatBytes, 1), 1), maxHeartbeatsPerRound)
	zone := p.zonePeers()
	for name, other := range p.peers {
		if now >= other.lastMentioned+peerRetention {
			delete(p.peers, name)
		}
	}
	n := min(len(zone), p.heartbeatsPerRound)
	round := make([]gossip.Host, 0, n)
	for range n {
		p.nextPeer = (p.nextPeer + 1) % len(zone)
		round = append(round, zone[p.nextPeer].host)
	}
	return round
}

// ZoneHosts returns the other hosts of the zone, whether live or only named by
// a message.
func (p *Peers) ZoneHosts() []gossip.Host {
	zone := p.zonePeers()
	list := make([]gossip.Host, len(zone))
	for i, other := range zone {
		list[i] = other.host
	}
	return list
}

func (p *Peers) zonePeers() []*peer {
	list := p.sorted()
	return slices.DeleteFunc(list, func(other *peer) bool { return other.host.Zone != p.self.Zone })
}

// live reports whether a host's last heartbeat is recent. zoneHosts is the
// number of other hosts of the zone.
func (p *Peers) live(now time.Duration, other *peer, zoneHosts int) bool {
	rounds := (zoneHosts + p.heartbeatsPerRound - 1) / p.heartbeatsPerRound
	return other.hasHeartbeat && now < other.lastHeartbeat+maxMissedRounds*time.Duration(max(rounds, 1))*HeartbeatInterval
}

// LiveHosts returns the number of live hosts of the zone, including this one.
func (p *Peers) LiveHosts(now time.Duration) int {
	zone := p.zonePeers()
	n := 1
	for _, other := range zone {
		if p.live(now, other, len(zone)) {
			n++
		}
	}
	return n
}

// Settled reports whether the host has had time to receive the heartbeats of
// the others.
func (p *Peers) Settled(now time.Duration) bool { return now >= settleTime }

// ReadsStore reports whether this host reads the store for its zone: it is the
// first, in an order that is the same on all hosts, of the live hosts that the
// store answers and that are not leaving. A host that sees no other such host
// reads the store itself.
func (p *Peers) ReadsStore(now time.Duration, storeAnswers, leaving bool) bool {
	zone := p.zonePeers()
	own := readerRank(p.self.Name)
	for _, other := range zone {
		if !p.live(now, other, len(zone)) || !other.storeAnswers || other.leaving {
			continue
		}
		if !storeAnswers || leaving || readerRank(other.host.Name) < own {
			return false
		}
	}
	return true
}

func readerRank(name string) uint64 { return xxh3.HashString("reader/" + name) }

// Loads returns the loads on targets, by token, that the live hosts of the zone
// reported, summed over the hosts; FastPercent is the maximum.
func (p *Peers) Loads(now time.Duration) map[uint32]gossip.TargetLoad {
	zone := p.zonePeers()
	sum := make(map[uint32]gossip.TargetLoad)
	for _, other := range zone {
		if !p.live(now, other, len(zone)) {
			continue
		}
		for _, l := range other.loads {
			total := sum[l.Token]
			total.Open += l.Open
			total.Busy += l.Busy
			total.Silent += l.Silent
			total.FastPercent = max(total.FastPercent, l.FastPercent)
			sum[l.Token] = total
		}
	}
	return sum
}
