package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

// waitToRead blocks while another host reads the store for the zone and its
// feeds arrive in time. It returns the reason for the next call: own if this
// host reads the store.
func (f *Follower) waitToRead(ctx context.Context, own Reason) Reason {
	if f.cfg.Peers == nil {
		return own
	}
	timeout := feedTimeout + rand.N(feedTimeoutJitter)
	for ctx.Err() == nil && !f.cfg.Peers.ReadsStore() {
		f.mu.Lock()
		wait := f.lastUpdate + timeout - f.cfg.Clock()
		missedFeed := f.missedFeed
		f.mu.Unlock()
		if missedFeed != "" {
			f.sleep(ctx, rand.N(missedFeedJitter))
			return missedFeed
		}
		if wait <= 0 {
			return ReasonNoFeed
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-f.wakeup:
		}
		timer.Stop()
	}
	return own
}

// ApplyFeed applies the changes that another host of the zone read from the
// store. A feed that is partial or leaves a gap makes this host read the store
// itself.
func (f *Follower) ApplyFeed(feed *gossip.Feed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.listed || feed.To < f.index {
		return
	}
	defer f.wake()
	if feed.Partial {
		f.missedFeed = ReasonPartialFeed
		return
	}
	if feed.From > f.index {
		f.missedFeed = ReasonMissedFeed
		return
	}
	f.stats.Feeds++
	for _, c := range feed.Changes {
		if store.Index(c.Revision) > f.index {
			f.apply(store.Change{Entry: store.Entry{Key: c.Key, Value: c.Value, Revision: c.Revision}, Deleted: c.Deleted})
		}
	}
	f.advance(feed.To, f.cfg.Clock()-maxFeedDelay)
	f.publish()
}

// Refresh makes this host read the store soon, at most once per
// minRefreshInterval. It is called when a packet carries a token that matches no
// target of the host's view.
func (f *Follower) Refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Clock()
	if !f.listed || now < f.lastRefresh+minRefreshInterval {
		return
	}
	f.lastRefresh = now
	f.missedFeed = ReasonUnknownToken
	f.wake()
}

// advance records that all changes up to an index are known. They include all
// writes made until the time completeTo.
func (f *Follower) advance(index store.Index, completeTo time.Duration) {
	f.index = max(f.index, index)
	f.completeTo = max(f.completeTo, completeTo)
	f.lastUpdate = f.cfg.Clock()
	f.missedFeed = ""
}

func (f *Follower) wake() {
	select {
	case f.wakeup <- struct{}{}:
	default: // a wakeup is already pending
	}
}

// applyChanges applies the changes read by a call that began at start. It
// returns the feed for the other hosts, which leaves out heartbeats, or nil if
// the call failed.
func (f *Follower) applyChanges(after store.Index, start time.Duration, got store.Changes, err error) *gossip.Feed {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		return nil
	}
	f.recordSuccess()
	feed := &gossip.Feed{From: after, To: got.Index}
	for _, c := range got.List {
		if store.Index(c.Revision) <= f.index {
			continue // already applied from a feed
		}
		if f.apply(c) {
			feed.Changes = append(feed.Changes, gossip.Change{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted})
		}
	}
	f.advance(got.Index, start)
	f.publish()
	return feed
}
