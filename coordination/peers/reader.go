package peers

import (
	"cmp"
	"math/bits"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

// The reader of a zone. The failure it answers: the reader dies, freezes or
// loses the store. If all hosts of a large zone noticed at the same time and
// read the store themselves, one failure would cost a call for each host, again
// and again until they agree on another reader. The others therefore take over
// one after the other, in an order that all compute alike, and the first digest
// of the new reader stops the rest.

const (
	// digestTimeout is how long a large zone's reader may send no digest before
	// another host takes over.
	digestTimeout = 3*HeartbeatInterval + HeartbeatInterval/2
	// takeoverStep is the time between the takeovers of two successive hosts: a
	// digest of the first one reaches the second within it.
	takeoverStep = HeartbeatInterval / 2
	// maxTakeoverSteps bounds the wait of the last hosts in the order.
	maxTakeoverSteps = 60
	// maxReadAge is how old the last read of a reader may be: a read each second, the
	// wait for a change, and a digest that is lost.
	maxReadAge = 1600 * time.Millisecond
	// lateReadStep is the time between two successive groups of hosts that read the store
	// themselves because nothing is heard of it. A feed of one group reaches the next
	// within it.
	lateReadStep = 100 * time.Millisecond
	// lateRetry is how long a host that is not the reader waits after a failed call.
	lateRetry = 4 * time.Second
	// unableDelay is how much longer a host waits whose store does not answer.
	unableDelay = time.Second
	// maxFetchHosts bounds the hosts of other zones that get one fetch.
	maxFetchHosts = 3
	// stallTimeout is the time between two rounds from which this host itself was
	// stalled, so that digests may wait unread in its socket.
	stallTimeout = 2 * HeartbeatInterval
)

// receiveFromReader records a digest or a store feed of a host of this zone.
func (p *Peers) receiveFromReader(now time.Duration, m *gossip.Message, from *peer) {
	if m.Kind != gossip.KindDigest && m.Kind != gossip.KindFeed {
		return
	}
	from.lastDigest, from.hasDigest = now, true
	from.recordRead(now, m)
	p.readerSeen = now
	if m.Digest != nil && p.reader(now) == from {
		p.digest, p.digestAt = *m.Digest, now
		p.receiveAllotments(now, from, m.Digest.Allotments)
	}
}

// recordRead records when the store last answered the sender of a digest or a feed.
func (o *peer) recordRead(now time.Duration, m *gossip.Message) {
	switch {
	case m.Kind == gossip.KindFeed && m.Feed != nil && m.StoreAnswers:
		o.lastRead = max(o.lastRead, now)
	case m.Digest != nil && m.Digest.Read != nil:
		o.lastRead, o.readKnown = max(o.lastRead, now-m.Digest.Read.Age()), true
	}
}

// large reports whether the zone is a large one.
func (p *Peers) large() bool { return len(p.zonePeers()) > maxHeartbeatsPerRound }

// reader returns the host of the zone that acts as its reader, or nil if no
// other host does. If several do, it is one that has read the store lately, then one
// that the store answers, then the first one in the order of readers.
func (p *Peers) reader(now time.Duration) *peer {
	var best *peer
	for _, other := range p.zonePeers() {
		if !other.hasDigest || now >= other.lastDigest+digestTimeout {
			continue
		}
		if best == nil || other.leadsBefore(now, best) {
			best = other
		}
	}
	return best
}

// leadsBefore reports whether a host goes before another one if both act as the reader.
func (o *peer) leadsBefore(now time.Duration, best *peer) bool {
	if fresh := o.fresh(now); fresh != best.fresh(now) {
		return fresh
	}
	if able := o.able(); able != best.able() {
		return able
	}
	return ranksBefore(o.host, best.host)
}

// able reports whether a host may be able to read the store for its zone, by its own
// word.
func (o *peer) able() bool { return o.storeAnswers && !o.leaving }

// fresh reports whether a host has read the store lately. Of builds that don't report it
// their word counts.
func (o *peer) fresh(now time.Duration) bool {
	return o.able() && (!o.readKnown || now < o.lastRead+maxReadAge)
}

// ranksBefore reports whether a host comes before another one in the order of
// readers, which all hosts compute alike: those with the fastest links first,
// then by hash.
func ranksBefore(a, b gossip.Host) bool {
	if a.LinkMbps != b.LinkMbps {
		return a.LinkMbps > b.LinkMbps
	}
	return cmp.Less(readerHash(a.Name), readerHash(b.Name))
}

func readerHash(name string) uint64 { return xxh3.HashString("reader/" + name) }

// takeoverWait returns how long this host waits for those that take over before
// it: the standby, then the hosts in the order of readers.
func (p *Peers) takeoverWait() time.Duration {
	return time.Duration(min(p.place(), maxTakeoverSteps)) * takeoverStep
}

// place returns this host's place in the order in which hosts replace the reader: 0 for
// its standby, then those that come first in the order of readers.
func (p *Peers) place() int {
	if p.digest.Standby == p.self.Addr {
		return 0
	}
	n := 1
	for _, other := range p.zonePeers() {
		if !other.leaving && ranksBefore(other.host, p.self) {
			n++
		}
	}
	return n
}

// lateReadWait returns how long this host waits for those that read the store before it
// because nothing is heard of it. Each group has twice as many hosts as the one before,
// so that a single failure costs a call or two, and a zone whose first hosts get no
// response is still in time.
func (p *Peers) lateReadWait() time.Duration {
	return time.Duration(bits.Len(uint(p.place()))) * lateReadStep
}

// FeedWait returns how much longer than the first host of the zone this one waits for a
// missing feed before it reads the store itself, and how long after a call of its own
// that failed.
func (p *Peers) FeedWait() (wait, retry time.Duration) {
	if !p.large() {
		return 0, 0
	}
	return p.lateReadWait(), lateRetry
}

// otherReader returns the reader of the zone if it is another host, else nil.
func (p *Peers) otherReader(now time.Duration) *peer {
	if p.large() {
		if p.leads {
			return nil
		}
		return p.reader(now)
	}
	var first *peer
	window := p.reportWindow()
	for _, other := range p.zonePeers() {
		if p.reports(now, other, window) && other.able() && (first == nil || ranksBefore(other.host, first.host)) {
			first = other
		}
	}
	return first
}

// TableFrom returns the hosts that may have a table for this one, in the order in
// which they are asked: the zone's reader, then other hosts of the zone and of other
// zones, those first that were heard of last.
func (p *Peers) TableFrom(now time.Duration) []gossip.Host {
	var list []gossip.Host
	reader := p.otherReader(now)
	if reader != nil && reader.host.Protocol >= gossip.TableProtocol {
		list = append(list, reader.host)
	}
	for _, ownZone := range []bool{true, false} {
		for _, other := range p.recent() {
			if other != reader && (other.host.Zone == p.self.Zone) == ownZone && other.host.Protocol >= gossip.TableProtocol {
				list = append(list, other.host)
			}
		}
	}
	return list
}

// FetchFrom returns the hosts from which this one requests changes of the store
// that it lacks: the zone's reader, or a few hosts of other zones if this host
// knows no other one that has read the store lately.
func (p *Peers) FetchFrom(now time.Duration) []gossip.Host {
	if reader := p.otherReader(now); reader != nil && reader.fresh(now) {
		return []gossip.Host{reader.host}
	}
	var list []gossip.Host
	for _, other := range p.recent() {
		if other.host.Zone != p.self.Zone && other.host.Protocol > 0 && len(list) < maxFetchHosts {
			list = append(list, other.host)
		}
	}
	return list
}
