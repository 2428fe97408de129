package peers

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

const (
	// maxDigestLoads bounds the targets in a digest. Unanswered targets come first,
	// then those that answer too fast, then the most loaded.
	maxDigestLoads = 512
	// countWindow is how long a host without a report still counts as one of the
	// zone's hosts in a digest. What is shared equally among the hosts must not
	// grow because of a few lost reports.
	countWindow = 5 * time.Second
)

// Group is a host that gets a message and the hosts that it relays it to.
type Group struct {
	Head  gossip.Host
	Relay []netip.AddrPort
}

// NextRound returns the hosts of the zone that get this host's heartbeat of
// heartbeatBytes bytes in this round, and removes hosts that no message has
// named for peerRetention. loads and answers are what the heartbeat reports.
func (p *Peers) NextRound(now time.Duration, heartbeatBytes int, loads []gossip.TargetLoad, answers []uint32) []gossip.Host {
	if now > p.lastRound+stallTimeout {
		p.recordStall(now)
	}
	p.round++
	p.lastRound = now
	p.ownLoads, p.ownAnswers = loads, answers
	for name, other := range p.peers {
		if now >= other.lastMentioned+peerRetention {
			delete(p.peers, name)
			p.zoneValid = false
		}
	}
	p.heartbeatsPerRound = min(max(maxRoundBytes/max(heartbeatBytes, 1), 1), maxHeartbeatsPerRound)
	if p.large() {
		return p.reportReceivers(now)
	}
	return p.rotate(p.zonePeers())
}

// recordStall is called in the first round after a stall of this host, during which it
// received nothing. After one in which it forgets the other hosts it is like one that
// starts.
func (p *Peers) recordStall(now time.Duration) {
	p.readerSeen = now
	p.allotments.reset()
	if now >= p.lastRound+peerRetention {
		p.settledAt, p.hasContact = now+settleTime, false
	}
}

// rotate returns the next heartbeatsPerRound of the hosts, in turn.
func (p *Peers) rotate(list []*peer) []gossip.Host {
	n := min(len(list), p.heartbeatsPerRound)
	round := make([]gossip.Host, 0, n)
	for range n {
		p.nextPeer = (p.nextPeer + 1) % len(list)
		round = append(round, list[p.nextPeer].host)
	}
	return round
}

// reportReceivers returns the hosts of a large zone that get this host's report:
// the reader and its standby, and in turn those whose build expects everyone's
// heartbeat. Without a known reader all hosts get it in turn.
func (p *Peers) reportReceivers(now time.Duration) []gossip.Host {
	zone := p.zonePeers()
	reader := p.reader(now)
	if reader == nil && !p.leads {
		return p.rotate(zone)
	}
	var receivers []gossip.Host
	if reader != nil {
		receivers = append(receivers, reader.host)
	}
	standby := p.digest.Standby
	if p.leads {
		standby = p.standby(now)
	}
	var old []*peer
	for _, other := range zone {
		switch {
		case other == reader:
		case other.host.Addr == standby:
			receivers = append(receivers, other.host)
		case other.host.Protocol == 0:
			old = append(old, other)
		}
	}
	return append(receivers, p.rotate(old)...)
}

// standby returns the address of the host that takes over from this one: the
// first live host in the order of readers that can read the store.
func (p *Peers) standby(now time.Duration) netip.AddrPort {
	var best *peer
	window := p.reportWindow()
	for _, other := range p.zonePeers() {
		if !p.reports(now, other, window) || !other.able() || other.host.Protocol == 0 {
			continue
		}
		if best == nil || ranksBefore(other.host, best.host) {
			best = other
		}
	}
	if best == nil {
		return netip.AddrPort{}
	}
	return best.host.Addr
}

// Digest returns the digest of this round, nil unless this host is the reader of
// a large zone.
func (p *Peers) Digest(now time.Duration) *gossip.Digest {
	if !p.leads || !p.large() {
		return nil
	}
	return &gossip.Digest{Hosts: p.LiveHosts(now), Standby: p.standby(now), Loads: heaviest(p.sumReports(now, p.ownLoads)), Restarts: p.reportedRestarts(now)}
}

// heaviest returns the loads that fit into a digest.
func heaviest(sum map[uint32]gossip.TargetLoad) []gossip.TargetLoad {
	loads := make([]gossip.TargetLoad, 0, len(sum))
	for _, l := range sum {
		loads = append(loads, l)
	}
	SortLoads(loads)
	return loads[:min(len(loads), maxDigestLoads)]
}

// SortLoads sorts loads by how much other hosts need to know of them: silent
// targets first, then those that answer too fast, then the most loaded.
func SortLoads(loads []gossip.TargetLoad) {
	slices.SortFunc(loads, func(a, b gossip.TargetLoad) int {
		return cmp.Or(cmp.Compare(b.Unanswered, a.Unanswered), cmp.Compare(b.FastPercent, a.FastPercent),
			cmp.Compare(b.Busy, a.Busy), cmp.Compare(b.Open, a.Open), cmp.Compare(a.Token, b.Token))
	})
}

// Receivers returns the hosts that get a message for the whole zone, in groups.
// In a large zone each head relays the message to the rest of its group, so that
// no host sends more than about twice the square root of the zone's hosts. Heads
// change from round to round, and hosts that send reports come first, as a dead
// head costs its group the message.
func (p *Peers) Receivers(now time.Duration) []Group {
	zone := p.zonePeers()
	if !p.large() {
		return alone(zone)
	}
	var live, rest, old []*peer
	window := p.reportWindow()
	for _, other := range zone {
		switch {
		case other.host.Protocol == 0:
			old = append(old, other)
		case p.reports(now, other, window) && !other.leaving:
			live = append(live, other)
		default:
			rest = append(rest, other)
		}
	}
	if len(live) > 0 {
		turn := p.round % len(live)
		live = append(live[turn:len(live):len(live)], live[:turn]...)
	}
	members := append(live, rest...)
	heads := int(math.Ceil(math.Sqrt(float64(len(members)))))
	groups := alone(members[:heads])
	for i, member := range members[heads:] {
		g := &groups[i%heads]
		g.Relay = append(g.Relay, member.host.Addr)
	}
	return append(groups, alone(old)...)
}

// alone returns a group without relays for each host.
func alone(list []*peer) []Group {
	groups := make([]Group, len(list))
	for i, other := range list {
		groups[i].Head = other.host
	}
	return groups
}
