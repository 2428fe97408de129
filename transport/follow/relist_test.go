package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

// A host that has no list can't apply feeds. It must repeat a failed list after
// the usual delay: if it waited for a feed like the others of a large zone, it
// would have no view, or an outdated one, for over ten seconds although the store
// answers again.
func TestFailedListIsRepeatedSoon(t *testing.T) {
	for _, c := range []struct {
		name string
		// listed is set if the host lost a list that it had before.
		listed bool
	}{{"after a start", false}, {"after the history was lost", true}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				x := newFixture(100 * time.Millisecond)
				x.peers.feedWait = 10 * time.Second
				if c.listed {
					is.NoErr(x.read(t.Context(), ReasonStart))
					x.recordFailure(&store.Error{Kind: store.HistoryLost})
				}
				x.peers.set(false)
				x.feed.fail(&store.Error{Kind: store.Unavailable})
				x.start(t)
				time.Sleep(50 * time.Millisecond)
				x.feed.put("t/2", "1")
				x.feed.fail(nil)
				x.ApplyFeed(&gossip.Feed{From: 2, To: 3}) // can't be applied without a list
				time.Sleep(2 * minRetryDelay)
				view := x.lastView()
				is.True(view != nil)
				is.Equal(len(view.Targets), 2)
			})
		})
	}
}

// Guards against flows that are ended after an outage of the store that a host
// could not notice, as it has just started: the entries that expired in the outage
// are missing, not gone, until their targets had time to write them again.
func TestEntryThatExpiresSoonAfterTheStartIsMissing(t *testing.T) {
	is := is.New(t)
	x := newFixture(time.Hour)
	is.NoErr(x.read(t.Context(), ReasonStart))
	x.feed.remove("t/1")
	is.NoErr(x.read(t.Context(), ReasonReader))
	is.True(x.lastView().Targets[0].Missing)
	is.True(!x.lastView().Targets[0].Gone)
}

// Guards against a target that counts as gone at one host while the zone's reader
// has its entry: the reader leaves the return of the entry out of its feeds as a
// heartbeat, if it has not seen the entry expire.
func TestNoTargetIsGoneWhileTheReadersTargetsDiffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		x := newFixture(time.Hour)
		is.NoErr(x.read(t.Context(), ReasonStart))
		x.SetPeerStore(false)
		x.ApplyFeed(&gossip.Feed{From: 2, To: 3, Changes: []gossip.Change{{Key: "t/1", Revision: 3, Deleted: true}}})
		x.SetPeerStore(true)
		is.True(x.lastView().Targets[0].Missing)
		x.lastMismatch, x.hasMismatch = x.cfg.Clock(), true // another list would come too soon
		time.Sleep(3 * time.Second)
		x.ApplyFeed(&gossip.Feed{From: 3, To: 5, Checksum: 1})
		is.True(!x.lastView().Targets[0].Gone)
	})
}

// Guards against flows that are ended after an outage of the store that a host did
// not notice because no update reached it: it made no call, and the hosts that did
// had just started.
func TestEntryThatExpiresAfterAGapInUpdatesIsMissing(t *testing.T) {
	for _, gap := range []bool{false, true} {
		is := is.New(t)
		x := newFixture(time.Hour)
		is.NoErr(x.read(t.Context(), ReasonStart))
		x.skipStart(t)
		if gap {
			x.skipped.Add(int64(2 * time.Second))
		}
		x.feed.remove("t/1")
		is.NoErr(x.read(t.Context(), ReasonReader))
		is.Equal(x.lastView().Targets[0].Missing, gap)
		is.Equal(x.lastView().Targets[0].Gone, !gap)
	}
}
