package follow

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

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
	f.passOn(f.applyList(start, all), reason)
	return nil
}

// applyList applies all entries, read by a call that began at start. It returns
// the changes since the last read as a feed, nil at the first read.
func (f *Follower) applyList(start time.Duration, all store.Snapshot) *gossip.Feed {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordSuccess()
	var feed *gossip.Feed
	if f.index > 0 && all.Index >= f.index {
		feed = &gossip.Feed{From: f.index, To: all.Index, Changes: f.changesInList(all)}
	}
	f.applyOperatorEntries(all.Entries)
	f.applyTargetEntries(all.Entries)
	f.index, f.listed, f.lastList = 0, true, f.cfg.Clock()
	if feed != nil {
		f.recent.add(feed.From, feed.To, feed.Changes)
	} else {
		f.recent.reset(all.Index)
	}
	f.advance(all.Index, start, f.cfg.Clock())
	f.publish()
	f.cfg.Log.Info().Str("event", "store_listed").Int("entries", len(all.Entries)).Uint64("revision", uint64(all.Index)).Send()
	if feed != nil {
		feed.Checksum = f.dir.Checksum()
	}
	return feed
}

// changesInList applies the entries of a list that were written since the last
// read. It returns these, without heartbeats, and the entries that are no longer
// in the list, as deleted at the list's index.
func (f *Follower) changesInList(all store.Snapshot) []gossip.Change {
	var changes []gossip.Change
	listed := make(map[store.Key]bool, len(all.Entries))
	for _, e := range all.Entries {
		listed[e.Key] = true
		if store.Index(e.Revision) > f.index && f.apply(store.Change{Entry: e}) {
			changes = append(changes, gossip.Change{Key: e.Key, Value: e.Value, Revision: e.Revision})
		}
	}
	for _, key := range f.knownKeys() {
		if !listed[key] {
			changes = append(changes, gossip.Change{Key: key, Revision: store.Revision(all.Index), Deleted: true})
		}
	}
	slices.SortStableFunc(changes, func(a, b gossip.Change) int { return cmp.Compare(a.Revision, b.Revision) })
	return changes
}

// knownKeys returns the keys of all entries that this host knows of.
func (f *Follower) knownKeys() []store.Key {
	keys := slices.Collect(maps.Keys(f.operatorKeys))
	for _, key := range f.dir.TargetKeys() {
		keys = append(keys, f.cfg.Keys.Targets+store.Key(key))
	}
	slices.Sort(keys)
	return keys
}
