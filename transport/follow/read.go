package follow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

// read reads all entries of the store, or the changes since the last read. If an
// answer does not hold all of these, it reads on at once.
func (f *Follower) read(ctx context.Context, reason Reason) error {
	err := f.readAnswer(ctx, reason)
	for err == nil && ctx.Err() == nil && f.hasUnread() {
		err = f.readOn(ctx, reason)
	}
	return err
}

// hasUnread reports whether the store holds changes that the last answer left out, or
// may do so.
func (f *Follower) hasUnread() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.continuesList() && f.reach.unread(f.pos)
}

// readOn reads what the last answer left out, if anything. The other hosts of the zone
// get it as what was read for a reason.
func (f *Follower) readOn(ctx context.Context, reason Reason) error {
	if err := f.readHead(ctx, ReasonBehind); err != nil || !f.hasUnread() {
		return err
	}
	f.mu.Lock()
	after, wait := f.pos, f.watchTime()
	f.countCall(ReasonBehind)
	f.mu.Unlock()
	return f.readChanges(ctx, after, wait, reason)
}

// readAnswer makes one call to the store, for all entries or for the changes since
// the last call.
func (f *Follower) readAnswer(ctx context.Context, reason Reason) error {
	f.mu.Lock()
	if f.relistDue() {
		f.listed = false
		reason = ReasonRestored
	}
	listed, after, wait := f.continuesList(), f.pos, f.watchTime()
	f.countCall(reason)
	f.mu.Unlock()
	if !listed {
		return f.list(ctx, reason)
	}
	if err := f.readHead(ctx, reason); err != nil {
		return err
	}
	return f.readChanges(ctx, after, wait, reason)
}

// continuesList reports whether the next call to the store reads changes, not a list.
func (f *Follower) continuesList() bool { return f.listed && !f.unconfirmed }

// readChanges reads the changes after a position, once there are any or wait has
// passed, and sends them to the other hosts of the zone if this host is their
// reader.
func (f *Follower) readChanges(ctx context.Context, after store.Position, wait time.Duration, reason Reason) error {
	start := f.cfg.Clock()
	got, err := f.cfg.Feed.Changes(ctx, "", after.Index, wait)
	if err != nil {
		return err
	}
	feed, err := f.applyChanges(after, start, got)
	if err != nil {
		return err
	}
	f.passOn(feed, reason)
	return nil
}

// passOn sends changes to the other hosts of the zone if this host reads the
// store for them, or does so now because no feed arrived.
func (f *Follower) passOn(feed *gossip.Feed, reason Reason) {
	if feed == nil || f.cfg.Peers == nil {
		return
	}
	if reason == ReasonNoFeed || f.cfg.Peers.ReadsStore() {
		f.cfg.Peers.SendFeed(feed)
	}
}

// recordSuccess records a successful call.
func (f *Follower) recordSuccess() {
	now := f.cfg.Clock()
	f.storeLost = false
	f.lastRead, f.hasRead = now, true
	if f.dir.StoreRegained(now) {
		f.cfg.Log.Info().Str("event", "store_regained").Send()
	}
}

// isTooLong reports whether the changes that were asked for make an answer that is too
// long. It would be again, but all entries come in pages.
func isTooLong(err error) bool {
	var e *store.Error
	return errors.As(err, &e) && e.Kind == store.TooLong && e.Op == store.OpChanges
}

// recordTooLong records an answer that was too long. The next read is a full list. The
// store has not failed.
func (f *Follower) recordTooLong(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stats.Failures[store.TooLong]++
	f.listed = false
	f.recordProgress()
	f.cfg.Log.Warn().Str("event", "store_answer_too_long").Err(err).Send()
}

// recordFailure records a failed call. If the store's history was lost, the next
// read is a full list.
func (f *Follower) recordFailure(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.recordProgress()
	f.lastFailure, f.hasFailed = f.cfg.Clock(), true
	kind := store.Unavailable
	var e *store.Error
	if errors.As(err, &e) {
		kind = e.Kind
	}
	f.stats.Failures[kind]++
	switch kind {
	case store.HistoryLost:
		f.listed = false
		f.cfg.Log.Warn().Str("event", "store_history_lost").Err(err).Send()
		return
	case store.Outdated:
		f.cfg.Log.Info().Str("event", "store_response_outdated").Err(err).Send()
		return
	}
	f.storeLost = true
	if f.dir.StoreLost() {
		f.cfg.Log.Warn().Str("event", "store_lost").Err(err).Send()
	}
}
