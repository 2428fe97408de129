package follow

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

// Guards against a call of every host of a zone for each feed that is lost:
// another host has the changes.
func TestMissedFeedIsFetchedFromAHost(t *testing.T) {
	is := is.New(t)
	x := newFixture(time.Millisecond)
	reader := newFixture(time.Hour)
	reader.feed = x.feed
	reader.cfg.Feed = x.feed
	is.NoErr(reader.read(context.Background(), ReasonReader))
	x.peers.set(false)
	x.peers.fetched = func(after store.Position) { x.ApplyFetched(reader.ChangesSince(after)) }
	x.start(t)
	eventually(t, "first view", func() bool { return x.lastView() != nil })
	x.feed.put("t/2", "1")
	x.feed.put("t/3", "1")
	is.NoErr(reader.read(context.Background(), ReasonReader))
	x.ApplyFeed(&gossip.Feed{From: 3, To: 4})
	eventually(t, "changed view", func() bool { return len(x.lastView().Targets) == 3 })
	is.Equal(x.Stats().Calls[Call{store.OpChanges, ReasonMissedFeed}], uint64(0))
}

// A host whose request for missed changes is not answered reads the store.
func TestUnansweredFetchLeadsToStoreRead(t *testing.T) {
	is := is.New(t)
	x := newFixture(time.Millisecond)
	x.peers.set(false)
	x.peers.fetched = func(store.Position) {}
	x.start(t)
	eventually(t, "first view", func() bool { return x.lastView() != nil })
	x.feed.put("t/2", "1")
	x.ApplyFeed(&gossip.Feed{From: 3, To: 4})
	eventually(t, "changed view", func() bool { return len(x.lastView().Targets) == 2 })
	is.Equal(x.Stats().Calls[Call{store.OpChanges, ReasonMissedFeed}], uint64(1))
}

// Guards against a zone that learns nothing because the store refuses all of its
// hosts: its reader fetches the changes from hosts of other zones and passes
// them on.
func TestRefusedReaderFetchesFromOtherZones(t *testing.T) {
	is := is.New(t)
	x := newFixture(time.Millisecond)
	x.start(t)
	eventually(t, "first view", func() bool { return x.lastView() != nil })
	x.feed.fail(&store.Error{Op: store.OpChanges, Kind: store.Overloaded})
	x.peers.mu.Lock()
	x.peers.fetched = func(after store.Position) {
		x.ApplyFetched(&gossip.Feed{From: after.Index, To: 3, Changes: []gossip.Change{{Key: "t/2", Value: []byte("1"), Revision: 3}}})
	}
	x.peers.mu.Unlock()
	eventually(t, "changed view", func() bool { return len(x.lastView().Targets) == 2 })
	eventually(t, "the zone's feed", func() bool {
		x.peers.mu.Lock()
		defer x.peers.mu.Unlock()
		for _, f := range x.peers.sent {
			if f.To == 3 && len(f.Changes) == 1 {
				return true
			}
		}
		return false
	})
	is.True(!x.StoreAnswers())
}

// The log of recent changes has no gaps and stays within its bound: for each
// index it gives all changes after it, or none.
func TestChangeLog(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	var all []gossip.Change
	var log changeLog
	var index store.Index
	at := func(index store.Index) store.Position { return store.Position{Index: index} }
	for range 2000 {
		from := index
		var changes []gossip.Change
		for range rng.IntN(4) {
			index++
			c := gossip.Change{Key: "t/1", Value: make([]byte, rng.IntN(2000)), Revision: store.Revision(index)}
			changes, all = append(changes, c), append(all, c)
		}
		index += store.Index(rng.IntN(3)) // heartbeats, which the log leaves out
		overlap := min(from, store.Index(rng.IntN(2)))
		log.add(at(from-overlap), at(index), changes)
		is.True(log.bytes <= maxLogBytes)
		after := index - min(index, store.Index(rng.IntN(700)))
		got, ok := log.since(at(after))
		if !ok {
			continue
		}
		var want []gossip.Change
		for _, c := range all {
			if store.Index(c.Revision) > after {
				want = append(want, c)
			}
		}
		is.Equal(len(got), len(want))
		for i := range got {
			is.Equal(got[i].Revision, want[i].Revision)
		}
	}
	is.True(log.from.Index > 0) // the bound was reached
	log.add(at(index+10), at(index+11), nil)
	_, ok := log.since(at(index))
	is.True(!ok) // a gap
}

// Guards against hosts that send each other the same changes for ever while the
// store refuses all of them: a reply without news is not passed on. It also must
// not make the view look fresher than the sender's was.
func TestOldChangesAreNotPassedOn(t *testing.T) {
	is := is.New(t)
	x := newFixture(time.Hour)
	is.NoErr(x.read(context.Background(), ReasonReader))
	complete, updated := x.completeTo, x.lastUpdate
	x.ApplyFetched(&gossip.Feed{From: 2, To: 2, AgeMS: 60_000})
	is.Equal(len(x.peers.sent), 0)
	is.Equal(x.completeTo, complete)
	is.Equal(x.lastUpdate, updated)
	time.Sleep(20 * time.Millisecond)
	is.True(x.ChangesSince(store.Position{Index: 2}).AgeMS >= 20) // not the reader's own feed
	is.Equal(x.ChangesSince(store.Position{Index: 3}), nil)       // not known yet
	x.ApplyFetched(&gossip.Feed{From: 2, To: 4})
	is.Equal(len(x.peers.sent), 1)
	is.True(x.lastUpdate > updated)
}

// Guards against a list by every host of a zone after the store has lost its
// history: the reader passes on what its own list changes.
func TestListIsPassedOnAsAFeed(t *testing.T) {
	is := is.New(t)
	reader, other := newFixture(time.Hour), newFixture(time.Hour)
	other.cfg.Feed = reader.feed
	x := reader.feed
	x.put("o/zone/b", "out")
	is.NoErr(reader.read(context.Background(), ReasonReader))
	is.NoErr(other.read(context.Background(), ReasonReader))
	reader.skipStart(t)
	other.skipStart(t)
	x.remove("t/1")
	x.remove("o/zone/b")
	x.put("t/2", "1")
	reader.recordFailure(&store.Error{Op: store.OpChanges, Kind: store.HistoryLost})
	is.NoErr(reader.read(context.Background(), ReasonHistoryLost))
	is.Equal(len(reader.peers.sent), 1)
	is.True(other.ApplyFeed(&reader.peers.sent[0]))
	is.Equal(other.lastView().Targets[0].Gone, true)
	is.Equal(other.lastView().Targets[1].Key, fleet.TargetKey("2"))
	is.Equal(len(other.lastView().ZonesOut), 0)
	is.Equal(other.pos, reader.pos)
	changes := other.ChangesSince(store.Position{Index: 3})
	is.Equal(len(changes.Changes), 3) // those of the list are in the log, too
}

// Guards against flows that are ended after an outage of the store of which a
// host did not know, as only the reader calls the store: entries that expired in
// it are missing, not gone, until their targets had time to write them again.
func TestReaderTellsOfAnOutage(t *testing.T) {
	for _, told := range []bool{true, false} {
		is := is.New(t)
		x := newFixture(time.Hour)
		is.NoErr(x.read(context.Background(), ReasonReader))
		x.skipStart(t)
		if told {
			x.SetPeerStore(false)
			x.SetPeerStore(true)
		}
		x.ApplyFeed(&gossip.Feed{From: 2, To: 3, Changes: []gossip.Change{{Key: "t/1", Revision: 3, Deleted: true}}})
		is.Equal(x.lastView().Targets[0].Missing, told)
		is.Equal(x.lastView().Targets[0].Gone, !told)
	}
}

// Guards against a living target that counts as gone at one host, whose open
// flows were then reset: the host had seen the entry expire, while the reader had
// not and left its return out of the feed as a mere heartbeat.
func TestDifferentTargetsAreListedAgain(t *testing.T) {
	is := is.New(t)
	x := newFixture(time.Millisecond)
	x.peers.set(false)
	x.start(t)
	eventually(t, "first view", func() bool { return x.lastView() != nil })
	reader := newFixture(time.Hour)
	reader.cfg.Feed = x.feed
	is.NoErr(reader.read(context.Background(), ReasonReader))
	x.SetPeerStore(false)
	x.ApplyFeed(&gossip.Feed{From: 2, To: 3, Changes: []gossip.Change{{Key: "t/1", Revision: 3, Deleted: true}}})
	is.True(x.lastView().Targets[0].Missing)
	x.feed.put("t/1", "1")
	x.feed.put("t/1", "1")
	is.NoErr(reader.read(context.Background(), ReasonReader))
	is.Equal(len(reader.peers.sent[0].Changes), 0) // to the reader these are heartbeats
	x.ApplyFeed(&reader.peers.sent[0])
	eventually(t, "the target is back", func() bool { return !x.lastView().Targets[0].Missing })
	is.Equal(x.Stats().Calls[Call{store.OpList, ReasonMismatch}], uint64(1))
}
