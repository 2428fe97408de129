package peers

import (
	"cmp"
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
	// maxFeedWait is how long hosts wait for a feed while a reader sends digests:
	// it tries to reach the store, and others take over from it in turn.
	maxFeedWait = 10 * time.Second
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
	p.readerSeen = now
	if m.Digest != nil && p.reader(now) == from {
		p.digest, p.digestAt = *m.Digest, now
		p.receiveAllotments(now, from, m.Digest.Allotments)
	}
}

// large reports whether the zone is a large one.
func (p *Peers) large() bool { return len(p.zonePeers()) > maxHeartbeatsPerRound }

// reader returns the host of the zone that acts as its reader, or nil if no
// other host does. If several do, it is the first one in the order of readers.
func (p *Peers) reader(now time.Duration) *peer {
	var best *peer
	for _, other := range p.zonePeers() {
		if !other.hasDigest || now >= other.lastDigest+digestTimeout {
			continue
		}
		if best == nil || (other.able() && !best.able()) || (other.able() == best.able() && ranksBefore(other.host, best.host)) {
			best = other
		}
	}
	return best
}

// able reports whether a host can read the store for its zone.
func (o *peer) able() bool { return o.storeAnswers && !o.leaving }

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

// ReadsStore reports whether this host reads the store for its zone. Callers
// pass whether the store answers this host and whether the host is leaving, and
// call it once a round.
func (p *Peers) ReadsStore(now time.Duration, storeAnswers, leaving bool) bool {
	if !p.large() {
		p.leads = false
		return p.readsForSmallZone(now, storeAnswers, leaving)
	}
	leads := p.readsForLargeZone(now, storeAnswers, leaving)
	if leads != p.leads {
		p.leads, p.leadsSince = leads, now
	}
	return leads
}

// readsForSmallZone decides by the heartbeats of all hosts: the reader is the
// first, in the order of readers, of the live hosts that can read the store. A
// host that sees no other such host reads the store itself.
func (p *Peers) readsForSmallZone(now time.Duration, storeAnswers, leaving bool) bool {
	window := p.reportWindow()
	for _, other := range p.zonePeers() {
		if !p.reports(now, other, window) || !other.able() {
			continue
		}
		if !storeAnswers || leaving || ranksBefore(other.host, p.self) {
			return false
		}
	}
	return true
}

// readsForLargeZone decides by the digests of the zone's reader.
func (p *Peers) readsForLargeZone(now time.Duration, storeAnswers, leaving bool) bool {
	reader := p.reader(now)
	if reader == nil {
		p.unableSince = 0
		return p.takesOver(now, storeAnswers, leaving)
	}
	able := storeAnswers && !leaving
	if reader.able() {
		p.unableSince = 0
		if !able {
			return false
		}
		return ranksBefore(p.self, reader.host) && (p.leads || p.Settled(now))
	}
	if p.unableSince == 0 {
		p.unableSince = now
	}
	if able {
		return p.leads || now >= p.unableSince+p.takeoverWait()
	}
	return p.leads && !leaving && ranksBefore(p.self, reader.host)
}

// takesOver reports whether this host is to act as the reader while no other one
// does.
func (p *Peers) takesOver(now time.Duration, storeAnswers, leaving bool) bool {
	if p.leads && !leaving {
		return true
	}
	wait := digestTimeout + p.takeoverWait()
	if !storeAnswers || leaving {
		wait += unableDelay
	}
	return now >= p.readerSeen+wait
}

// takeoverWait returns how long this host waits for those that take over before
// it: the standby, then the hosts in the order of readers.
func (p *Peers) takeoverWait() time.Duration {
	if p.digest.Standby == p.self.Addr {
		return 0
	}
	steps := 1
	for _, other := range p.zonePeers() {
		if !other.leaving && ranksBefore(other.host, p.self) {
			steps++
		}
	}
	return time.Duration(min(steps, maxTakeoverSteps)) * takeoverStep
}

// FeedWait returns how much longer than the first host of the zone this one
// waits for a missing feed before it reads the store itself.
func (p *Peers) FeedWait(now time.Duration) time.Duration {
	switch {
	case !p.large():
		return 0
	case p.reader(now) != nil:
		return maxFeedWait
	}
	return digestTimeout + p.takeoverWait()
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
// knows no other reader.
func (p *Peers) FetchFrom(now time.Duration) []gossip.Host {
	if reader := p.otherReader(now); reader != nil {
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
