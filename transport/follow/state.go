package follow

import (
	"maps"
	"slices"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

// addState adds what other hosts compare their views with to a feed. What a host
// knows of the operator's entries is left out from a restore until the list that
// follows its grace: it may differ from the store and from other hosts. It is left
// out for as long after a start, since the first list may have been an older copy.
func (f *Follower) addState(feed *gossip.Feed) {
	if f.unconfirmed {
		return // another host without a list could take its table for confirmed
	}
	feed.Checksum = f.dir.Checksum()
	if !f.relistPending && f.cfg.Clock() >= f.firstList+restoreGrace {
		feed.Operator = &gossip.OperatorState{ConfigVersion: f.dir.ConfigVersion(), Keys: f.operatorKeys()}
	}
}

// operatorKeys returns the keys of the operator's entries that the store holds.
func (f *Follower) operatorKeys() []store.Key {
	var keys []store.Key
	for _, key := range slices.Sorted(maps.Keys(f.operator)) {
		if f.operator[key] {
			keys = append(keys, key)
		}
	}
	return keys
}

// adoptOperator takes over which entries of the operator another host has at the
// same position, so that the zones that are out agree without a call to the store.
// It returns false if this host needs another configuration.
func (f *Follower) adoptOperator(state *gossip.OperatorState) bool {
	if state == nil {
		return true
	}
	for _, key := range f.operatorKeys() {
		if !slices.Contains(state.Keys, key) {
			f.applyOperator(store.Change{Entry: store.Entry{Key: key, Revision: store.Revision(f.pos.Index)}, Deleted: true})
		}
	}
	sameConfig := state.ConfigVersion == f.dir.ConfigVersion()
	for _, key := range state.Keys {
		if key.HasPrefix(f.cfg.Keys.Operator) && !f.operator[key] {
			f.applyOperator(store.Change{Entry: store.Entry{Key: key, Revision: store.Revision(f.pos.Index)}})
		}
	}
	return sameConfig
}

// compareViews makes this host list all entries if its targets or its configuration
// differ from the sender's at the same position. What a feed leaves out as a
// heartbeat depends on what its sender knew; a wrong omission would end the flows of
// a living target. compareViews reports whether all of the sender's state is known and
// the same.
func (f *Follower) compareViews(feed *gossip.Feed, to store.Position) bool {
	sameTargets := feed.Checksum == 0 || feed.Checksum == f.dir.Checksum()
	if to != f.pos {
		return false
	}
	f.targetsDiffer = !sameTargets
	sameConfig := f.adoptOperator(feed.Operator)
	if sameTargets && sameConfig {
		return feed.Checksum != 0 && feed.Operator != nil
	}
	now := f.cfg.Clock()
	if f.mismatchLimited(now) {
		return false
	}
	f.lastMismatch, f.hasMismatch = now, true
	f.cfg.Log.Warn().Str("event", "view_mismatch").Uint64("revision", uint64(f.pos.Index)).
		Bool("targets", !sameTargets).Bool("config", !sameConfig).Send()
	f.listed = f.unconfirmed // the next call is a list then, and feeds go on
	f.missedFeed = ReasonMismatch
	return false
}

// mismatchLimited reports whether a list because of a mismatch would follow the
// last one too soon. One in the grace after a restore does not count once the grace
// is over, as it could not settle the mismatch.
func (f *Follower) mismatchLimited(now time.Duration) bool {
	recent := f.hasMismatch && now < f.lastMismatch+minMismatchInterval
	return recent && (now < f.heldUntil || f.lastMismatch >= f.heldUntil)
}
