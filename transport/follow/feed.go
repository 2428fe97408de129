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
		feedWait, retry := f.cfg.Peers.FeedWait()
		f.mu.Lock()
		readAt := f.lastUpdate + timeout + feedWait
		if f.storeLost && retry > 0 {
			readAt = max(readAt, f.lastFailure+retry)
		}
		wait := readAt - f.cfg.Clock()
		due, listed := f.readDue(), f.listed
		f.mu.Unlock()
		if !listed && due == "" {
			return own // feeds only continue a list
		}
		if due != "" {
			if f.fetchMissed(ctx, due) {
				continue
			}
			f.sleep(ctx, rand.N(missedFeedJitter))
			return due
		}
		if wait <= 0 {
			return ReasonNoFeed
		}
		f.waitForWakeup(ctx, wait)
	}
	return own
}

// SetPeerStore records that another host of the zone has lost the store, or that
// the store answers the zone's reader. What the store says after an outage may lack
// entries that expired meanwhile; a host that made no call during the outage learns
// of it from the others.
func (f *Follower) SetPeerStore(answers bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerStoreAnswers = answers
	switch {
	case answers && !f.unconfirmed && f.dir.StoreRegained(f.cfg.Clock()):
		f.cfg.Log.Info().Str("event", "store_regained").Bool("by_peer", true).Send()
	case !answers && f.dir.StoreLost():
		f.cfg.Log.Warn().Str("event", "store_lost").Bool("by_peer", true).Send()
	}
}

// SeeReader records that the zone's reader has read the store up to a position, at the
// time age ago. It confirms this host's view if that holds everything up to there, and
// shows that a feed was lost if it doesn't.
func (f *Follower) SeeReader(to store.Position, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reach.see(to)
	switch {
	case !f.listed || f.missedFeed != "":
	case f.pos.Before(to):
		if age >= feedTransit {
			f.missedFeed = ReasonMissedFeed
			f.wake()
		}
	case to.Epoch == f.pos.Epoch:
		f.lastUpdate = max(f.lastUpdate, f.cfg.Clock()-age)
	}
}

// ApplyFeed applies the changes that another host read from the store. A feed
// that is partial or leaves a gap makes this host request the changes from
// another host or read the store itself. ApplyFeed reports whether this host
// lacked any of the changes and knows them now.
func (f *Follower) ApplyFeed(feed *gossip.Feed) bool { return f.applyFeed(feed, true) }

// applyFeed applies a feed; fromReader is set if the zone's reader sent it.
func (f *Follower) applyFeed(feed *gossip.Feed, fromReader bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	from, to := f.feedPositions(feed)
	f.reach.see(to)
	if !f.listed || to.Before(f.pos) {
		return false
	}
	defer f.wake()
	if feed.Partial {
		f.missedFeed = ReasonPartialFeed
		return false
	}
	if !f.continues(from, to) {
		f.missedFeed = ReasonMissedFeed
		return false
	}
	f.stats.Feeds++
	f.checkUpdateGap()
	f.applyFeedChanges(feed.Changes, to)
	lacked := f.pos.Before(to)
	f.recent.add(f.pos, to, feed.Changes)
	updated := f.cfg.Clock() - time.Duration(feed.AgeMS)*time.Millisecond
	lag := time.Duration(feed.LagMS) * time.Millisecond
	f.advance(to, updated-lag-maxFeedDelay, updated)
	if f.compareViews(feed, to) && fromReader && f.peerStoreAnswers {
		f.confirmTable("checksum")
	}
	f.publish()
	return lacked
}

// checkUpdateGap is called before an update is applied. If the last one is too old,
// the store may have been unreachable without this host's notice, and entries that
// expired meanwhile may be written again.
func (f *Follower) checkUpdateGap() {
	if now := f.cfg.Clock(); now > f.lastUpdate+feedTimeout {
		f.dir.ExpectRewrites(now)
	}
}

// feedPositions returns the positions between which the changes of a feed were
// made. A feed of a build that knows no epochs is taken to be of the current one.
func (f *Follower) feedPositions(feed *gossip.Feed) (from, to store.Position) {
	from, to = feed.Start(), feed.End()
	if feed.Epoch == 0 {
		from.Epoch, to.Epoch = f.pos.Epoch, f.pos.Epoch
	}
	return from, to
}

// continues reports whether the changes between two positions complete what this
// host knows. Changes that cross epochs are the differences from what their sender
// knew in the older one, so they say nothing to a host that is in a newer one.
func (f *Follower) continues(from, to store.Position) bool {
	if from.Epoch != to.Epoch && f.pos.Epoch != from.Epoch {
		return f.pos == to
	}
	return !f.pos.Before(from)
}

// applyFeedChanges applies the changes of a feed up to a position that this host
// lacks. A feed from an older epoch has what changed by the store's restore, whose
// revisions are not comparable with this host's.
func (f *Follower) applyFeedChanges(changes []gossip.Change, to store.Position) {
	crossesEpochs := f.pos.Epoch != to.Epoch
	if crossesEpochs {
		f.recordRestore(to)
	}
	for _, c := range changes {
		if crossesEpochs || store.Index(c.Revision) > f.pos.Index {
			f.applyFeedChange(c)
		}
	}
}

// applyFeedChange applies one change of a feed.
func (f *Follower) applyFeedChange(c gossip.Change) {
	e := store.Entry{Key: c.Key, Value: c.Value, Revision: c.Revision}
	if c.Copied && !c.Deleted {
		f.applyListed(e, true)
		return
	}
	f.apply(store.Change{Entry: e, Deleted: c.Deleted})
}

// Refresh makes this host read the store now, at most once per minRefreshInterval,
// whether or not it is the reader of its zone. It is called when a packet of an open
// flow arrives whose route or target is not in the host's view.
func (f *Follower) Refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Clock()
	if !f.listed || now < f.lastRefresh+minRefreshInterval {
		return
	}
	f.lastRefresh = now
	f.refreshTo = now
	f.wake()
}

// refreshDue reports whether a read that Refresh requested is still to be made. The
// caller holds f.mu.
func (f *Follower) refreshDue() bool { return f.refreshTo > 0 && f.completeTo < f.refreshTo }

// readDue returns why this host has to read the store although another host does, an
// empty reason if it need not. The caller holds f.mu.
func (f *Follower) readDue() Reason {
	if f.missedFeed == "" && f.refreshDue() {
		return ReasonUnknownDestination
	}
	return f.missedFeed
}

// pause waits until a time for the next read. It returns earlier, with true, once
// Refresh requests one.
func (f *Follower) pause(ctx context.Context, until time.Duration) bool {
	for ctx.Err() == nil {
		f.mu.Lock()
		due := f.refreshDue()
		f.mu.Unlock()
		wait := until - f.cfg.Clock()
		if due || wait <= 0 {
			return due
		}
		f.waitForWakeup(ctx, wait)
	}
	return false
}

// advance records that all changes up to a position are known. They include all
// writes made until the time completeTo, as the store said at the time updated.
func (f *Follower) advance(to store.Position, completeTo, updated time.Duration) {
	if f.pos.Before(to) {
		f.pos = to
	}
	f.completeTo = max(f.completeTo, completeTo)
	f.lastUpdate = max(f.lastUpdate, updated)
	f.missedFeed = ""
}

func (f *Follower) wake() {
	select {
	case f.wakeup <- struct{}{}:
	default: // a wakeup is already pending
	}
}

// applyChanges applies the changes read by a call that began at start. It
// returns the feed for the other hosts, which leaves out heartbeats, or an error
// if the changes belong to another history.
func (f *Follower) applyChanges(after store.Position, start time.Duration, got store.Changes) (*gossip.Feed, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.checkChanges(after, &got); err != nil {
		return nil, err
	}
	f.recordSuccess()
	f.checkUpdateGap()
	to := store.Position{Epoch: got.Epoch, Index: got.Index}
	after.Epoch = got.Epoch // also if the store has just begun to report it
	feed := gossip.NewFeed(after, to, nil)
	latest := f.latestOperator(got.List)
	for _, c := range got.List {
		if store.Index(c.Revision) <= f.pos.Index {
			continue // already applied from a feed
		}
		if c.Revision < latest[c.Key] {
			continue // a later change of the same answer replaces it
		}
		if f.apply(c) {
			feed.Changes = append(feed.Changes, gossip.Change{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted})
		}
	}
	f.recent.add(after, to, feed.Changes)
	f.readTo = to
	f.advance(to, f.recordAnswer(after, to, start, got.List), f.cfg.Clock())
	f.publish()
	f.addState(feed)
	feed.LagMS = f.lagTime().Milliseconds()
	return feed, nil
}
