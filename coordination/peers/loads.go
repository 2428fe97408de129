package peers

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

// digestLifetime is how long the loads of a digest are used.
const digestLifetime = time.Second

const (
	// assumedZoneHosts is the number of hosts assumed in a zone until the host can know how
	// many there are. Four such hosts beside a zone's others take a quarter more than the
	// whole.
	assumedZoneHosts = 16
	// seedTimeout is after how long a host whose seeds have never answered is taken to be
	// the only one of its zone.
	seedTimeout = 10 * time.Second
	// contactSettleTime is how long after its first contact a host has heard of all hosts
	// of the zone: those that were not named to it send heartbeats once it is named to them.
	contactSettleTime = 3 * HeartbeatInterval
)

// reportWindow is how old the last heartbeat of a live host may be. In a small
// zone it may come in one of several rounds, if heartbeats are long.
func (p *Peers) reportWindow() time.Duration {
	rounds := 1
	if zone := len(p.zonePeers()); zone <= maxHeartbeatsPerRound {
		rounds = max((zone+p.heartbeatsPerRound-1)/p.heartbeatsPerRound, 1)
	}
	return maxMissedRounds * time.Duration(rounds) * HeartbeatInterval
}

// reports reports whether a host's last heartbeat is at most window old.
func (p *Peers) reports(now time.Duration, other *peer, window time.Duration) bool {
	return other.hasHeartbeat && now < other.lastHeartbeat+window
}

// LiveHosts returns the number of live hosts of the zone, including this one. In
// a large zone its reader counts them. A host without a recent digest counts all
// hosts that it knows, as too large a count only makes shares smaller.
func (p *Peers) LiveHosts(now time.Duration) int {
	switch {
	case !p.large():
		return p.countReports(now, p.reportWindow())
	case p.leads && now < p.leadsSince+settleTime:
		// Not all hosts have reported to this one yet.
		return max(p.countReports(now, countWindow), p.digest.Hosts)
	case p.leads:
		return p.countReports(now, countWindow)
	case p.digest.Hosts > 0 && now < p.digestAt+countWindow:
		return p.digest.Hosts
	}
	return 1 + len(p.zonePeers())
}

// Sharers returns the number of hosts of the zone by which what they share equally is
// divided, this one included. Hosts that have fallen silent count until they are
// forgotten, as they may still serve: too large a count only makes shares smaller.
// hasSeeds is set if the host's settings name seeds.
func (p *Peers) Sharers(now time.Duration, hasSeeds bool) int {
	n := max(p.LiveHosts(now), 1+len(p.zonePeers()))
	if !p.knowsZone(now, hasSeeds) {
		n = max(n, assumedZoneHosts)
	}
	return n
}

// knowsZone reports whether the host can know the hosts of its zone: another host has
// answered it, it has no seeds that could, or none has for long.
func (p *Peers) knowsZone(now time.Duration, hasSeeds bool) bool {
	if !p.Settled(now) {
		return false
	}
	if p.hasContact {
		return now >= p.contactAt+contactSettleTime
	}
	return !hasSeeds || now >= p.settledAt+seedTimeout
}

// countReports returns the number of hosts of the zone whose last heartbeat is
// at most window old, including this one.
func (p *Peers) countReports(now, window time.Duration) int {
	n := 1
	for _, other := range p.zonePeers() {
		if p.reports(now, other, window) {
			n++
		}
	}
	return n
}

// Settled reports whether the host has had time to receive the heartbeats of
// the others, if it knows any.
func (p *Peers) Settled(now time.Duration) bool { return now >= p.settledAt }

// Loads returns the loads that the other hosts of the zone place on targets, by
// token, summed over the hosts; FastPercent is the maximum.
func (p *Peers) Loads(now time.Duration) map[uint32]gossip.TargetLoad {
	if p.large() && !p.leads {
		return p.digestLoads(now)
	}
	return p.sumReports(now, nil)
}

// maxRestarts bounds the targets that are reported to have started again.
const maxRestarts = 256

// SetRestarts sets the targets that may have started again, as this host has seen.
func (p *Peers) SetRestarts(list []gossip.Restart) { p.ownRestarts = list }

// Restarts returns the targets that may have started again, as other hosts of the zone
// report.
func (p *Peers) Restarts(now time.Duration) []gossip.Restart {
	if p.large() && !p.leads {
		if now >= p.digestAt+digestLifetime {
			return nil
		}
		return p.digest.Restarts
	}
	return p.reportedRestarts(now)
}

// reportedRestarts returns the targets that hosts of the zone, this one included, report to
// have started again, in order. What two hosts have seen at once is beyond chance.
func (p *Peers) reportedRestarts(now time.Duration) []gossip.Restart {
	list := slices.Clone(p.ownRestarts)
	window := p.reportWindow()
	for _, other := range p.zonePeers() {
		if p.reports(now, other, window) {
			list = append(list, other.restarts...)
		}
	}
	slices.SortFunc(list, func(a, b gossip.Restart) int { return cmp.Compare(a.Token, b.Token) })
	merged := list[:0]
	for _, r := range list {
		if n := len(merged); n > 0 && merged[n-1].Token == r.Token {
			merged[n-1].Certain = true
			continue
		}
		merged = append(merged, r)
	}
	return merged[:min(len(merged), maxRestarts)]
}

// sumReports sums the loads that other hosts of the zone reported to this one
// and this host's own loads, if any are passed.
func (p *Peers) sumReports(now time.Duration, own []gossip.TargetLoad) map[uint32]gossip.TargetLoad {
	sum := make(map[uint32]gossip.TargetLoad)
	addLoads(sum, own)
	window := p.reportWindow()
	for _, other := range p.zonePeers() {
		if p.reports(now, other, window) {
			addLoads(sum, other.loads)
		}
	}
	clearUnanswered(sum, p.ownAnswers)
	for _, other := range p.zonePeers() {
		if p.reports(now, other, window) {
			clearUnanswered(sum, other.answers)
		}
	}
	return sum
}

// clearUnanswered removes the unanswered flows at targets that answer a host: the
// cause lies between them and the hosts that have no answer.
func clearUnanswered(sum map[uint32]gossip.TargetLoad, answers []uint32) {
	for _, token := range answers {
		if total, ok := sum[token]; ok && total.Unanswered > 0 {
			total.Unanswered = 0
			sum[token] = total
		}
	}
}

func addLoads(sum map[uint32]gossip.TargetLoad, loads []gossip.TargetLoad) {
	for _, l := range loads {
		total := sum[l.Token]
		total.Token = l.Token
		total.Open += l.Open
		total.Busy += l.Busy
		total.Unanswered += l.Unanswered
		total.FastPercent = max(total.FastPercent, l.FastPercent)
		sum[l.Token] = total
	}
}

// digestLoads returns the loads of the last digest without this host's own part,
// or none if it is too old.
func (p *Peers) digestLoads(now time.Duration) map[uint32]gossip.TargetLoad {
	sum := make(map[uint32]gossip.TargetLoad)
	if now >= p.digestAt+digestLifetime {
		return sum
	}
	addLoads(sum, p.digest.Loads)
	for _, own := range p.ownLoads {
		total, ok := sum[own.Token]
		if !ok {
			continue
		}
		total.Open = max(total.Open-own.Open, 0)
		total.Busy = max(total.Busy-own.Busy, 0)
		total.Unanswered = max(total.Unanswered-own.Unanswered, 0)
		sum[own.Token] = total
	}
	return sum
}
