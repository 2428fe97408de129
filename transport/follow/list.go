package follow

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

// list reads all entries, in one call if they fit into a page of the store. It
// sends what has changed since the last read to the other hosts of the zone if
// this host is their reader.
func (f *Follower) list(ctx context.Context, reason Reason) error {
	start := f.cfg.Clock()
	all, err := f.cfg.Feed.List(ctx, "")
	if err != nil {
		return err
	}
	feed, err := f.applyList(start, all)
	if err != nil {
		return err
	}
	f.passOn(feed, reason)
	return nil
}

// applyList applies all entries, read by a call that began at start. It returns
// the changes since the last read as a feed, nil if they don't continue from
// there. A list of an older epoch is an error.
func (f *Follower) applyList(start time.Duration, all store.Snapshot) (*gossip.Feed, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resolveEpoch(&all.Epoch)
	if all.Epoch < f.pos.Epoch {
		return nil, &store.Error{
			Op: store.OpList, Kind: store.Outdated, Epoch: all.Epoch, Cause: errors.Newf("epoch %d is before epoch %d", all.Epoch, f.pos.Epoch),
		}
	}
	f.recordSuccess()
	if f.pos.Epoch == 0 && f.pos.Index > 0 && all.Epoch != 0 {
		f.adoptEpoch(all.Epoch)
	}
	if f.pos.Index > 0 {
		f.checkUpdateGap()
	}
	former := f.pos
	if f.restored(&all) {
		f.recordRestore(all.Position())
	}
	var feed *gossip.Feed
	if former.Index == 0 {
		f.applyFirstList(&all)
	} else {
		held := f.cfg.Clock() < f.heldUntil
		if !held {
			f.relistPending = false
		}
		feed = gossip.NewFeed(former, all.Position(), f.applyLaterList(&all, held))
	}
	fromTable := f.unconfirmed
	f.confirmTable("list")
	f.dir.SetListed()
	f.pos, f.listed, f.lastList = all.Position(), true, f.cfg.Clock()
	f.targetsDiffer = false
	if feed != nil && (f.pos.Before(former) || fromTable) {
		// Hosts at the former position could not apply the feed. If the former position
		// is that of another host's table, hosts may be ahead of it. They may know of
		// a change that was undone since, which the feed lacks.
		feed = nil
	}
	if feed != nil {
		f.recent.add(former, f.pos, feed.Changes)
	} else {
		f.recent.reset(f.pos)
	}
	f.reach.reset(f.pos, start)
	f.readTo = f.pos
	f.advance(f.pos, start, f.cfg.Clock())
	f.publish()
	f.cfg.Log.Info().Str("event", "store_listed").Int("entries", len(all.Entries)).Uint64("epoch", uint64(all.Epoch)).
		Uint64("revision", uint64(all.Index)).Int("kept", f.keptInList).Send()
	if feed != nil {
		f.addState(feed)
	}
	return feed, nil
}

// applyFirstList applies all entries as the first ones that this host knows. The
// store may have been unreachable shortly before.
func (f *Follower) applyFirstList(all *store.Snapshot) {
	f.keptInList = 0
	f.firstList = f.cfg.Clock()
	f.dir.ExpectRewrites(f.firstList)
	for _, e := range all.Entries {
		switch {
		case e.Key.HasPrefix(f.cfg.Keys.Operator):
			f.applyOperator(store.Change{Entry: e})
		case e.Key.HasPrefix(f.cfg.Keys.Targets):
			if t, ok := f.decodeTarget(e); ok {
				f.recordValue(e)
				f.dir.PutTarget(f.cfg.Clock(), t)
			}
		}
	}
}

// applyLaterList applies all entries of a list to what this host knows. It returns
// the differences as changes, without heartbeats. Entries that are no longer in
// the list are deleted at the list's index. held is set if the list may be older than
// what this host knows, as a copy of the store is in the grace after a restore.
func (f *Follower) applyLaterList(all *store.Snapshot, held bool) []gossip.Change {
	f.keptInList = 0
	var changes []gossip.Change
	listed := make(map[store.Key]bool, len(all.Entries))
	for _, e := range all.Entries {
		listed[e.Key] = true
		if f.applyListed(e, held) {
			// What was held back for a while has an older revision than the hosts
			// that get this change know of.
			revision := e.Revision
			if store.Index(revision) <= f.pos.Index {
				revision = store.Revision(all.Index)
			}
			changes = append(changes, gossip.Change{Key: e.Key, Value: e.Value, Revision: revision, Copied: held})
		}
	}
	for _, key := range f.knownKeys() {
		if !listed[key] && f.applyUnlisted(key, all.Index, held) {
			changes = append(changes, gossip.Change{Key: key, Revision: store.Revision(all.Index), Deleted: true, Copied: held})
		}
	}
	slices.SortStableFunc(changes, func(a, b gossip.Change) int { return cmp.Compare(a.Revision, b.Revision) })
	return changes
}

// applyListed applies one entry of a list and reports whether anything but a
// target's heartbeat changed.
func (f *Follower) applyListed(e store.Entry, held bool) bool {
	switch {
	case e.Key.HasPrefix(f.cfg.Keys.Operator):
		if held && f.keepsZone(e.Key) {
			f.recordKept(e.Key, keepZoneIn)
			return false
		}
		return f.applyOperator(store.Change{Entry: e})
	case !e.Key.HasPrefix(f.cfg.Keys.Targets):
		return false
	case held:
		return f.applyCopiedTarget(e)
	}
	return f.apply(store.Change{Entry: e})
}

// applyUnlisted applies that a known entry is not in a list and reports whether
// anything changed.
func (f *Follower) applyUnlisted(key store.Key, index store.Index, held bool) bool {
	if key.HasPrefix(f.cfg.Keys.Targets) {
		target := f.targetKey(key)
		if removal := f.dir.RemoveTarget(f.cfg.Clock(), f.completeTo, target); removal != fleet.RemovalNone {
			f.cfg.Log.Info().Str("event", "target_removed").Str("target", string(target)).Stringer("state", removal).
				Bool("listed", true).Send()
		}
		return true
	}
	if held {
		f.recordKept(key, keepZoneOut)
		return false
	}
	f.applyOperator(store.Change{Entry: store.Entry{Key: key, Revision: store.Revision(index)}, Deleted: true})
	return true
}

// knownKeys returns the keys of all entries that this host knows of.
func (f *Follower) knownKeys() []store.Key {
	keys := f.operatorKeys()
	for _, key := range f.dir.TargetKeys() {
		keys = append(keys, f.cfg.Keys.Targets+store.Key(key))
	}
	slices.Sort(keys)
	return keys
}
