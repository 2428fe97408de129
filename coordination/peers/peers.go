// Package peers tracks the other hosts that steer by token. It elects the reader
// of an availability zone, which is the host that reads the store for the
// others, and decides who sends which message to whom. It does no I/O and reads
// no clock: callers pass the time since the host's start.
//
// In a small zone every host sends its heartbeat with its loads to every other
// one. In a large zone that would take more bytes the more hosts there are, so
// hosts report to the reader and its standby only. The reader sums the loads up
// and sends all hosts one digest, through hosts that relay it.
package peers

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

const (
	// HeartbeatInterval is the time between two rounds of heartbeats.
	HeartbeatInterval = 200 * time.Millisecond
	// maxHeartbeatsPerRound bounds the heartbeats of a round, so that the bytes
	// per second do not grow with the number of hosts in a zone. A zone with more
	// other hosts is a large zone.
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
	// settleTime is how long after its start, or after a stall in which it has forgotten
	// them, a host does not rely on its count of the zone's hosts.
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
	answers                                   []uint32
	restarts                                  []gossip.Restart
	// lastDigest is when the host last sent a digest or a store feed, which shows
	// that it is a reader.
	lastDigest time.Duration
	hasDigest  bool
	// lastRead is when the store last answered the host, as its digests and feeds say.
	// It is not known, and readKnown unset, of builds that don't report it.
	lastRead  time.Duration
	readKnown bool
	// holdings is what the host reported to hold, tableSeq the sequence number of its
	// last table.
	holdings *gossip.Holdings
	tableSeq uint64
}

// Peers is one host's list of the other hosts. It is not safe for concurrent
// use.
type Peers struct {
	self  gossip.Host
	peers map[string]*peer
	// zone is the result of zonePeers while zoneValid is set.
	zone      []*peer
	zoneValid bool
	nextPeer  int
	// heartbeatsPerRound is the limit of the last round; the other hosts of the
	// zone send about as many.
	heartbeatsPerRound int
	lastHello          time.Duration
	helloSent          bool
	// settledAt is when the host has had time to receive the heartbeats of the others
	// since its start or a long stall. contactAt is when the first message of another one
	// arrived since, valid if hasContact is set.
	settledAt  time.Duration
	contactAt  time.Duration
	hasContact bool
	// round counts the rounds, lastRound is when the last one was.
	round     int
	lastRound time.Duration
	// ownLoads and ownAnswers are this host's last report.
	ownLoads   []gossip.TargetLoad
	ownAnswers []uint32
	// ownRestarts are the targets that may have started again, as this host has seen.
	ownRestarts []gossip.Restart
	// digest is the last digest of the reader, received at digestAt.
	digest   gossip.Digest
	digestAt time.Duration
	// readerSeen is when a host last acted as the reader of this host's zone.
	readerSeen time.Duration
	// leads is set since leadsSince while this host is the reader of a large zone.
	leads      bool
	leadsSince time.Duration
	// unableSince is when the reader was first seen without the store, staleSince when
	// its last read was first seen to be too old. They are 0 while it is neither.
	unableSince, staleSince time.Duration
	allotments              allotments
	// zoneAnswers holds when a host of each zone last replied to a hello.
	zoneAnswers map[string]time.Duration
}

// New returns an empty list for a host.
func New(self gossip.Host) *Peers {
	return &Peers{
		self: self, peers: map[string]*peer{}, heartbeatsPerRound: maxHeartbeatsPerRound, zoneAnswers: map[string]time.Duration{},
		settledAt: settleTime,
	}
}

// Receive processes a message from another host. It reports whether the message
// shows that a host of this zone has lost the store since its last message.
func (p *Peers) Receive(now time.Duration, m *gossip.Message) (lostStore bool) {
	if m.From.Name == p.self.Name {
		return false
	}
	from := p.recordHost(now, m.From)
	if from == nil {
		return false
	}
	from.lastMessage, from.hasMessage = now, true
	if !p.hasContact {
		p.contactAt, p.hasContact = now, true
	}
	if m.Kind == gossip.KindHelloReply {
		p.zoneAnswers[m.From.Zone] = now
	}
	for _, h := range m.KnownHosts {
		if h.Name != p.self.Name {
			p.recordHost(now, h)
		}
	}
	if m.Kind != gossip.KindHeartbeat && m.Kind != gossip.KindFeed && m.Kind != gossip.KindDigest {
		return false
	}
	lostStore = m.From.Zone == p.self.Zone && from.hasHeartbeat && from.storeAnswers && !m.StoreAnswers
	from.lastHeartbeat = now
	from.hasHeartbeat = true
	from.storeAnswers = m.StoreAnswers
	from.leaving = m.Leaving
	if m.Kind == gossip.KindHeartbeat {
		from.loads, from.answers, from.holdings = m.Loads, m.Answers, m.Holdings
		from.restarts = m.Restarts
	}
	if m.From.Zone == p.self.Zone {
		p.receiveFromReader(now, m, from)
	}
	return lostStore
}

// recordHost adds a host or updates its last mention. It returns nil if a later
// incarnation of the host is listed.
func (p *Peers) recordHost(now time.Duration, h gossip.Host) *peer {
	known := p.peers[h.Name]
	switch {
	case known == nil || h.Started > known.host.Started:
		known = &peer{host: h}
		p.peers[h.Name] = known
		p.zoneValid = false
	case h.Started < known.host.Started:
		return nil
	case h.Protocol > known.host.Protocol:
		known.host = h // a build of version 0 named it without what it does not know
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

// zonePeers returns the other hosts of the zone, ordered by name. The result
// must not be changed.
func (p *Peers) zonePeers() []*peer {
	if !p.zoneValid {
		p.zone = slices.DeleteFunc(p.sorted(), func(other *peer) bool { return other.host.Zone != p.self.Zone })
		p.zoneValid = true
	}
	return p.zone
}
