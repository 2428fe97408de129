package follow

import (
	"context"

	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

// fetch requests the changes that this host lacks from another one. It reports
// false if there is no other host.
func (f *Follower) fetch() bool {
	if f.cfg.Peers == nil {
		return false
	}
	f.mu.Lock()
	listed, after := f.listed, f.pos
	f.mu.Unlock()
	return listed && f.cfg.Peers.Fetch(after)
}

// fetchMissed requests the changes of a missed feed from another host and waits
// for them. It reports whether they have arrived.
func (f *Follower) fetchMissed(ctx context.Context, reason Reason) bool {
	if reason != ReasonMissedFeed || !f.fetch() {
		return false
	}
	deadline := f.cfg.Clock() + fetchTimeout
	for ctx.Err() == nil {
		f.mu.Lock()
		arrived := f.missedFeed == ""
		f.mu.Unlock()
		wait := deadline - f.cfg.Clock()
		if arrived || wait <= 0 {
			return arrived
		}
		f.waitForWakeup(ctx, wait)
	}
	return false
}

// ChangesSince returns the changes after a position, or nil if this host doesn't
// know all of them.
func (f *Follower) ChangesSince(after store.Position) *gossip.Feed {
	f.mu.Lock()
	defer f.mu.Unlock()
	if after.Epoch == 0 {
		after.Epoch = f.pos.Epoch // of a build that knows no epochs
	}
	if !f.listed || f.pos.Before(after) {
		return nil
	}
	changes, ok := f.recent.since(after)
	if !ok {
		return nil
	}
	age := f.cfg.Clock() - f.completeTo
	feed := gossip.NewFeed(after, f.pos, changes)
	feed.AgeMS = age.Milliseconds()
	f.addState(feed)
	return feed
}

// Wake makes a host that waits for feeds check whether it reads the store now.
func (f *Follower) Wake() { f.wake() }

// ApplyFetched applies the reply to a fetch. If this host reads the store for its
// zone and the reply has changes that it lacks, the zone gets them, too.
func (f *Follower) ApplyFetched(feed *gossip.Feed) {
	if f.applyFeed(feed, false) {
		f.passOn(feed, "")
	}
}
