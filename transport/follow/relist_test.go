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
