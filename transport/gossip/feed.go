package gossip

import (
	"net/netip"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

// SendFeed sends changes read from the store to the other hosts of the zone. If
// the feed is too long it removes the changes from f and marks it as partial, so
// that the receivers read the store themselves.
func (e *Exchange) SendFeed(f *gossip.Feed) {
	e.mu.Lock()
	receivers := e.peers.Receivers(e.cfg.Clock())
	e.mu.Unlock()
	if len(receivers) == 0 {
		return
	}
	m := &gossip.Message{
		Kind: gossip.KindFeed, From: e.cfg.Self, StoreAnswers: e.cfg.Local.StoreAnswers(), Leaving: e.cfg.Local.Leaving(), Feed: f,
	}
	if b, err := gossip.Encode(m); err != nil || len(b)*len(receivers) > e.maxFeedBytes() {
		f.Changes, f.Partial = nil, true
	}
	e.sendToZone(m, receivers)
}

// maxFeedBytes returns the bytes that the host's link carries in maxFeedTime.
func (e *Exchange) maxFeedBytes() int {
	mbps := e.cfg.Self.LinkMbps
	if mbps <= 0 {
		mbps = assumedLinkMbps
	}
	return int(float64(mbps) * 1e6 / 8 * maxFeedTime.Seconds())
}

// Fetch requests the changes after a position from the zone's reader, or from
// hosts of other zones if this host is the reader. It reports whether there is a
// host to request them from; the reply arrives as a feed.
func (e *Exchange) Fetch(after store.Position) bool {
	e.mu.Lock()
	to := e.peers.FetchFrom(e.cfg.Clock())
	e.mu.Unlock()
	e.send(&gossip.Message{Kind: gossip.KindFetch, From: e.cfg.Self, After: after.Index, AfterEpoch: after.Epoch}, addrs(to)...)
	return len(to) > 0
}

// FeedWait returns how much longer than the first host of the zone this one
// waits for a missing feed before it reads the store itself, and how long after a call of
// its own that failed.
func (e *Exchange) FeedWait() (wait, retry time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.FeedWait()
}

// replyToFetch sends the changes after a position, if this host knows them.
func (e *Exchange) replyToFetch(after store.Position, to netip.AddrPort) {
	feed := e.cfg.Local.ChangesSince(after)
	if feed == nil {
		return
	}
	e.send(&gossip.Message{
		Kind: gossip.KindFetchReply, From: e.cfg.Self, StoreAnswers: e.cfg.Local.StoreAnswers(), Leaving: e.cfg.Local.Leaving(), Feed: feed,
	}, to)
}
