package follow

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/coordination/store"
)

// Restored stores. The failure: the store loses its last seconds and returns from
// an older copy, a new epoch. Its indexes and revisions are issued again for other
// contents, so a host that went on from its old index would skip changes without
// notice. And what the copy says is older than what hosts know: a target that has
// left is listed, a zone that was taken out is not. Targets and the operator write
// what was lost again within seconds. Until restoreGrace has passed a host
// therefore believes the copy only where it can't be older than its own knowledge.
// The zone's reader then lists once more, and the store's contents hold.

const (
	// restoreGrace is how long after the store's restore from a copy the copy does
	// not override what a host knows: longer than the three heartbeats after which
	// the store drops the entry of a target that has left.
	restoreGrace = 4500 * time.Millisecond
	// relistWindow is how long after restoreGrace a host that becomes the reader of
	// its zone still lists: the former one may have died before it did.
	relistWindow = 10 * time.Second
	// maxKeptLines bounds the log lines about entries that one list did not change.
	maxKeptLines = 20
)

// keepReason says why an entry of a copy does not override what a host knows.
type keepReason string

// Reasons to keep what is known.
const (
	// keepTarget is for a target that has left, drains or has written since the
	// copy was made.
	keepTarget keepReason = "target-is-older"
	// keepZoneOut is for a zone that is out and not listed as such.
	keepZoneOut keepReason = "zone-is-out"
	// keepZoneIn is for a zone that was taken back since the copy was made.
	keepZoneIn keepReason = "zone-is-back"
)

// resolveEpoch replaces the epoch of a response that names none by the current
// one, and logs once that this happens. The caller holds f.mu.
func (f *Follower) resolveEpoch(epoch *store.Epoch) {
	if *epoch != 0 {
		return
	}
	*epoch = f.pos.Epoch
	if !f.epochMissing {
		f.epochMissing = true
		f.cfg.Log.Info().Str("event", "store_epoch_missing").Uint64("epoch", uint64(f.pos.Epoch)).Send()
	}
}

// checkChanges returns an error if changes read after a position don't continue
// the history that this host knows. The caller holds f.mu.
func (f *Follower) checkChanges(after store.Position, got *store.Changes) error {
	f.resolveEpoch(&got.Epoch)
	if f.pos.Epoch == 0 && got.Epoch != 0 {
		f.adoptEpoch(got.Epoch)
		after.Epoch = got.Epoch
	}
	fail := func(kind store.Kind) error {
		return &store.Error{
			Op: store.OpChanges, Kind: kind, Epoch: got.Epoch,
			Cause: errors.Newf("index %d of epoch %d does not continue index %d of epoch %d", got.Index, got.Epoch, after.Index, after.Epoch),
		}
	}
	switch {
	case got.Epoch < f.pos.Epoch, got.Epoch != after.Epoch && got.Epoch == f.pos.Epoch:
		return fail(store.Outdated) // a feed has brought this host to a newer epoch meanwhile
	case got.Epoch > after.Epoch, got.Index < after.Index:
		return fail(store.HistoryLost)
	}
	return nil
}

// adoptEpoch sets the epoch of a store that named none before. The history goes
// on.
func (f *Follower) adoptEpoch(epoch store.Epoch) {
	f.pos.Epoch = epoch
	f.recent.reset(f.pos)
}

// restored reports whether a list shows that the store was restored from a copy
// since this host's position. Without epochs only an index that went back does.
func (f *Follower) restored(all *store.Snapshot) bool {
	if f.pos.Index == 0 {
		return false
	}
	return all.Epoch > f.pos.Epoch || (all.Epoch == f.pos.Epoch && all.Index < f.pos.Index)
}

// recordRestore records that the store was restored from a copy, at a position.
func (f *Follower) recordRestore(at store.Position) {
	now := f.cfg.Clock()
	f.dir.ExpectRewrites(now)
	f.lastList = now // entries may be missing from the copy
	f.heldUntil = now + restoreGrace
	f.relistPending = true
	f.stats.Restores++
	f.cfg.Log.Warn().Str("event", "store_restored").
		Uint64("epoch", uint64(at.Epoch)).Uint64("former_epoch", uint64(f.pos.Epoch)).
		Uint64("revision", uint64(at.Index)).Uint64("former_revision", uint64(f.pos.Index)).Send()
}

// relistDue reports whether this host, as the reader of its zone, is to list the
// store again because the grace after a restore is over.
func (f *Follower) relistDue() bool {
	now := f.cfg.Clock()
	if !f.relistPending || now < f.heldUntil {
		return false
	}
	if now >= f.heldUntil+relistWindow {
		f.relistPending = false
	}
	return f.relistPending
}

// watchTime returns how long a watch waits for a change: until the list that ends
// the grace after a restore, if one is due soon.
func (f *Follower) watchTime() time.Duration {
	untilRelist := f.heldUntil - f.cfg.Clock()
	if f.relistPending && untilRelist > 0 {
		return min(watchWait, untilRelist)
	}
	return watchWait
}

// keepsZone reports whether what is known of a zone goes before a listed entry of
// the operator, while the list may be a copy: this host has seen the entry deleted.
func (f *Follower) keepsZone(key store.Key) bool {
	exists, known := f.operator[key]
	return known && !exists
}

// applyCopiedTarget applies the entry of a target in a list that may be a copy. It
// reports whether anything changed.
func (f *Follower) applyCopiedTarget(e store.Entry) bool {
	key := f.targetKey(e.Key)
	t, ok := f.decodeTarget(e)
	if !ok {
		f.dir.MarkTargetMissing(f.cfg.Clock(), key)
		return true
	}
	if f.dir.KeepsTarget(t) {
		f.recordKept(e.Key, keepTarget)
		return false
	}
	return f.applyTarget(t, e)
}

// recordKept counts and logs that an entry of a copy does not override what is
// known.
func (f *Follower) recordKept(key store.Key, reason keepReason) {
	f.stats.Kept++
	f.keptInList++
	if f.keptInList <= maxKeptLines {
		f.cfg.Log.Info().Str("event", "entry_kept").Str("key", string(key)).Str("reason", string(reason)).Send()
	}
}

func (f *Follower) targetKey(key store.Key) fleet.TargetKey {
	return fleet.TargetKey(key[len(f.cfg.Keys.Targets):])
}
