// Package peers keeps the hosts that steer by token and decides which of an
// availability zone's hosts reads the store for the others. It does no I/O and
// reads no clock: callers pass the time.
package peers

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

const (
	// BeatInterval is the time between two rounds of beats.
	BeatInterval = 200 * time.Millisecond
	// maxBeatsARound bounds the beats of a round, so that the bytes a second do
	// not grow with the hosts of a zone.
	maxBeatsARound = 8
	// roundBytes bounds the bytes of a round: 20 KB a second.
	roundBytes = 4 << 10
	// liveRounds is how many beats of a host may be missed before it counts as
	// gone.
	liveRounds = 4
	// forgetAfter is how long a silent host is told of and greeted.
	forgetAfter = 20 * time.Second
	// helloSoon and helloLater are the times between two greetings of the
	// seeds before and after some host of the zone has answered.
	helloSoon  = 500 * time.Millisecond
	helloLater = 5 * time.Second
	// maxKnown bounds the hosts in the answer to a greeting.
	maxKnown = 60
	// settleTime is how long after its start a host does not trust its count
	// of the zone's hosts.
	settleTime = 2 * time.Second
)

// peer is another host of the same availability zone, or one of another zone
// that asked for hosts.
type peer struct {
	host gossip.Host
	// heard is when a beat of the host came last; told when the host was last
	// named by anyone.
	heard, told  time.Duration
	everHeard    bool
	storeAnswers bool
	leaving      bool
	loads        []gossip.TargetLoad
}

// Peers is what one host knows of the others. It is not safe for concurrent
// use.
type Peers struct {
	self  gossip.Host
	peers map[string]*peer
	turn  int
	// aRound is the number of beats in the last round; the other hosts of the
	// zone send about as many.
	aRound  int
	helloed time.Duration
	greeted bool
}

// New returns the view of a host that knows no other.
func New(self gossip.Host) *Peers {
	return &Peers{self: self, peers: map[string]*peer{}, aRound: maxBeatsARound}
}

// Hear takes a message of another host in.
func (p *Peers) Hear(now time.Duration, m *gossip.Message) {
	if m.From.Name == p.self.Name {
		return
	}
	from := p.learn(now, m.From)
	if from == nil {
		return
	}
	for _, h := range m.KnownHosts {
		if h.Name != p.self.Name {
			p.learn(now, h)
		}
	}
	if m.Kind != gossip.KindHeartbeat && m.Kind != gossip.KindFeed {
		return
	}
	from.heard = now
	from.everHeard = true
	from.storeAnswers = m.StoreAnswers
	from.leaving = m.Leaving
	if m.Kind == gossip.KindHeartbeat {
		from.loads = m.Loads
	}
}

// learn keeps a host; nil if a later incarnation of it is known.
func (p *Peers) learn(now time.Duration, h gossip.Host) *peer {
	known := p.peers[h.Name]
	switch {
	case known == nil || h.Started > known.host.Started:
		known = &peer{host: h}
		p.peers[h.Name] = known
	case h.Started < known.host.Started:
		return nil
	}
	known.told = now
	return known
}

// Known lists the hosts to tell a greeting host of: those of its zone first.
func (p *Peers) Known(now time.Duration, zone string) []gossip.Host {
	list := []gossip.Host{p.self}
	for _, other := range p.sorted() {
		if now < other.told+forgetAfter {
			list = append(list, other.host)
		}
	}
	slices.SortStableFunc(list, func(a, b gossip.Host) int {
		return cmp.Compare(boolRank(a.Zone != zone), boolRank(b.Zone != zone))
	})
	return list[:min(len(list), maxKnown)]
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// sorted lists the peers by name.
func (p *Peers) sorted() []*peer {
	list := make([]*peer, 0, len(p.peers))
	for _, other := range p.peers {
		list = append(list, other)
	}
	slices.SortFunc(list, func(a, b *peer) int { return cmp.Compare(a.host.Name, b.host.Name) })
	return list
}

// Greet reports whether the seeds are to be greeted now.
func (p *Peers) Greet(now time.Duration) bool {
	wait := helloSoon
	if p.Hosts(now) > 1 {
		wait = helloLater
	}
	if p.greeted && now < p.helloed+wait {
		return false
	}
	p.greeted = true
	p.helloed = now
	return true
}

// Round lists the hosts of the zone that get a beat of some bytes in this
// round, and forgets hosts that nobody has named for long.
func (p *Peers) Round(now time.Duration, beatBytes int) []gossip.Host {
	p.aRound = min(max(roundBytes/max(beatBytes, 1), 1), maxBeatsARound)
	zone := p.zonePeers()
	for name, other := range p.peers {
		if now >= other.told+forgetAfter {
			delete(p.peers, name)
		}
	}
	n := min(len(zone), p.aRound)
	round := make([]gossip.Host, 0, n)
	for range n {
		p.turn = (p.turn + 1) % len(zone)
		round = append(round, zone[p.turn].host)
	}
	return round
}

// ZoneHosts lists the other hosts of the zone, heard or only told of.
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

// live reports whether a host has been heard lately.
func (p *Peers) live(now time.Duration, other *peer, zoneHosts int) bool {
	rounds := (zoneHosts + p.aRound - 1) / p.aRound
	return other.everHeard && now < other.heard+liveRounds*time.Duration(max(rounds, 1))*BeatInterval
}

// Hosts counts the live hosts of the zone, this one included.
func (p *Peers) Hosts(now time.Duration) int {
	zone := p.zonePeers()
	n := 1
	for _, other := range zone {
		if p.live(now, other, len(zone)) {
			n++
		}
	}
	return n
}

// Settled reports whether the host has had time to hear the others.
func (p *Peers) Settled(now time.Duration) bool { return now >= settleTime }

// Reads reports whether this host is the one of its zone that reads the store
// for the others: the first of those that the store answers, in an order that
// is the same on all hosts.
func (p *Peers) Reads(now time.Duration, storeAnswers, leaving bool) bool {
	zone := p.zonePeers()
	own := readRank(p.self.Name)
	for _, other := range zone {
		if !p.live(now, other, len(zone)) || !other.storeAnswers || other.leaving {
			continue
		}
		if !storeAnswers || leaving || readRank(other.host.Name) < own {
			return false
		}
	}
	return true
}

func readRank(name string) uint64 { return xxh3.HashString("reader/" + name) }

// Loads sums what the live hosts of the zone told of their load on targets.
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
