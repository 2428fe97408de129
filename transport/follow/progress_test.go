package follow

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

// newSteppedFixture returns a fixture whose clock moves only by the result's advance.
func newSteppedFixture(t *testing.T) (x *fixture, advance func(time.Duration)) {
	t.Helper()
	x = newFixture(0)
	x.skipped.Store(int64(time.Hour))
	now := time.Minute
	x.cfg.Clock = func() time.Duration { return now }
	is.New(t).NoErr(x.read(t.Context(), ReasonStart))
	return x, func(d time.Duration) { now += d }
}

// putMany writes n heartbeats of other targets.
func (f *feed) putMany(n int) {
	for i := range n {
		f.put(fmt.Sprintf("t/many-%d", i%10), fmt.Sprint(i))
	}
}

// Guards against an answer of the store that holds a part of the changes and counts as
// all of them: what was written before it would seem absent.
func TestDividedAnswerIsNotComplete(t *testing.T) {
	is := is.New(t)
	x, advance := newSteppedFixture(t)
	listed := x.cfg.Clock()
	x.feed.pageEvents = 100
	x.feed.putMany(350)
	for range 3 {
		advance(time.Second)
		is.NoErr(x.readAnswer(t.Context(), ReasonReader))
		to, _ := x.CompleteTo()
		is.Equal(to, listed)
	}
	is.Equal(x.Stats().LagRevisions, uint64(50))
	advance(time.Second)
	is.NoErr(x.readAnswer(t.Context(), ReasonReader))
	to, _ := x.CompleteTo()
	is.Equal(to, x.cfg.Clock())
	is.Equal(x.Stats().LagRevisions, uint64(0))
	is.Equal(x.feed.heads, 1) // the position that it has to reach was read once
}

// Guards against a store that is asked for its position with each read although its
// answers are undivided, and against longer answers that count as undivided after that.
func TestUndividedAnswersAreLearned(t *testing.T) {
	is := is.New(t)
	x, advance := newSteppedFixture(t)
	x.feed.pageEvents = 250
	for range 20 {
		advance(time.Second)
		x.feed.putMany(200)
		is.NoErr(x.readAnswer(t.Context(), ReasonReader))
	}
	is.True(x.feed.heads <= 2)
	to, _ := x.CompleteTo()
	is.Equal(to, x.cfg.Clock())
	complete := to
	x.feed.putMany(600)
	for range 2 {
		advance(time.Second)
		is.NoErr(x.readAnswer(t.Context(), ReasonReader))
		to, _ = x.CompleteTo()
		is.Equal(to, complete)
	}
}

// Guards against the loss of a living target that wrote its entry again after an outage,
// if the host reads that long after the store is reachable again because the store's
// history is long.
func TestTargetsSurviveALongHistoryAfterAnOutage(t *testing.T) {
	for _, page := range []int{0, 100} {
		t.Run(fmt.Sprint("page ", page), func(t *testing.T) {
			is := is.New(t)
			x, advance := newSteppedFixture(t)
			x.feed.pageEvents = page
			advance(time.Minute)
			x.recordFailure(&store.Error{Kind: store.Unavailable})
			advance(6 * time.Second)
			x.feed.putMany(450)
			x.feed.remove("t/1")
			x.feed.putMany(450)
			x.feed.put("t/1", "2")
			for range 12 {
				is.NoErr(x.readAnswer(t.Context(), ReasonReader))
				e, ok := x.target("1")
				is.True(ok)
				is.True(!e.Gone)
				advance(900 * time.Millisecond)
			}
			e, _ := x.target("1")
			is.True(!e.Missing)
		})
	}
}

// Guards against a host that takes a feed for complete although the zone's reader has
// not read all that the store holds.
func TestFeedOfAReaderThatLags(t *testing.T) {
	is := is.New(t)
	x, advance := newSteppedFixture(t)
	advance(time.Minute)
	x.ApplyFeed(&gossip.Feed{From: x.pos.Index, To: x.pos.Index, LagMS: 5000})
	to, _ := x.CompleteTo()
	is.Equal(to, x.cfg.Clock()-5*time.Second-maxFeedDelay)

	reader, advanceReader := newSteppedFixture(t)
	reader.feed.pageEvents = 100
	reader.feed.putMany(250)
	advanceReader(5 * time.Second)
	is.NoErr(reader.readAnswer(context.Background(), ReasonReader))
	is.Equal(reader.peers.sent[0].LagMS, int64(5000))
	for range 2 {
		is.NoErr(reader.readAnswer(context.Background(), ReasonReader))
	}
	is.Equal(reader.peers.sent[2].LagMS, int64(0))
}

// Guards against a host that waits for its next poll while changes are left unread: it
// would send new flows to targets that have long said that they leave.
func TestReaderReadsOnWhileItIsBehind(t *testing.T) {
	is := is.New(t)
	x, advance := newSteppedFixture(t)
	x.feed.pageEvents = 100
	x.feed.putMany(1000)
	x.feed.put("t/1", "2")
	last := x.feed.index
	advance(time.Second)
	is.NoErr(x.read(t.Context(), ReasonReader))
	is.Equal(x.pos.Index, last)
	to, _ := x.CompleteTo()
	is.Equal(to, x.cfg.Clock())
	is.Equal(len(x.peers.sent), 11) // the zone gets each of the answers
	is.Equal(x.Stats().Calls[Call{store.OpChanges, ReasonBehind}], uint64(10))
	is.Equal(x.feed.heads, 1)
	is.NoErr(x.read(t.Context(), ReasonReader))
	is.Equal(x.Stats().Calls[Call{store.OpChanges, ReasonBehind}], uint64(10))
}

// Guards against a call for changes that can't have been left out: the position of the
// store shows that a long answer was undivided.
func TestUndividedAnswerIsNotReadOn(t *testing.T) {
	is := is.New(t)
	x, _ := newSteppedFixture(t)
	x.feed.putMany(1000)
	_, before := x.feed.calls()
	is.NoErr(x.read(t.Context(), ReasonReader))
	_, after := x.feed.calls()
	is.Equal(after-before, 1)
	is.Equal(x.feed.heads, 1)
}

// Guards against configurations that are decoded although a later one of the same
// answer replaces them.
func TestReplacedConfigurationsAreNotDecoded(t *testing.T) {
	is := is.New(t)
	x, _ := newSteppedFixture(t)
	for range 5 {
		x.feed.put("o/config", "invalid")
	}
	x.feed.put("o/out/a", "")
	x.feed.put("o/config", "longer")
	counted := &countingDecoder{Decoder: x.cfg.Decoder}
	x.cfg.Decoder = counted
	is.NoErr(x.read(t.Context(), ReasonReader))
	is.Equal(counted.operator, 2)
	is.Equal(x.lastView().Config.Version, uint64(len("longer")))
	is.True(x.lastView().ZonesOut["a"])
	is.Equal(len(x.peers.sent[0].Changes), 2)
}

// Guards against a read that is repeated without a delay because a list is too long, as
// no other call can succeed in its place.
func TestOnlyTooLongChangesAreListed(t *testing.T) {
	is := is.New(t)
	is.True(isTooLong(&store.Error{Op: store.OpChanges, Kind: store.TooLong}))
	is.True(!isTooLong(&store.Error{Op: store.OpList, Kind: store.TooLong}))
	is.True(!isTooLong(&store.Error{Op: store.OpChanges, Kind: store.Unavailable}))
}

// Guards against a host that asks for changes again and again because the store's
// position is past its last change.
func TestPositionWithoutChangesIsRead(t *testing.T) {
	is := is.New(t)
	x, advance := newSteppedFixture(t)
	x.feed.pageEvents = 100
	x.feed.putMany(150)
	x.feed.headLead = 7
	advance(time.Second)
	_, before := x.feed.calls()
	is.NoErr(x.read(t.Context(), ReasonReader))
	_, after := x.feed.calls()
	is.Equal(after-before, 3) // two answers with changes and an empty one
	to, _ := x.CompleteTo()
	is.Equal(to, x.cfg.Clock())
}

// Guards against conclusions from the position of a store that has returned from an older
// copy: it does not say how far this host has read.
func TestPositionBeforeOwnIsAnError(t *testing.T) {
	is := is.New(t)
	x, advance := newSteppedFixture(t)
	listed := x.cfg.Clock()
	advance(time.Second)
	x.feed.putMany(100)
	is.NoErr(x.readAnswer(t.Context(), ReasonReader))
	x.feed.index = 1
	is.True(store.IsKind(x.readHead(t.Context(), ReasonReader), store.HistoryLost))
	x.pos.Epoch = 2
	x.feed.epoch = 1
	is.True(store.IsKind(x.readHead(t.Context(), ReasonReader), store.Outdated))
	to, _ := x.CompleteTo()
	is.Equal(to, listed)
}

// Guards against an answer that counts as undivided because a feed has filled the gap
// after it.
func TestAnswerBeforeAFeedIsNotLearned(t *testing.T) {
	is := is.New(t)
	x, advance := newSteppedFixture(t)
	x.feed.pageEvents = 100
	x.feed.putMany(150)
	advance(time.Second)
	is.NoErr(x.readAnswer(t.Context(), ReasonReader))
	x.ApplyFeed(&gossip.Feed{From: x.pos.Index, To: x.feed.index})
	is.NoErr(x.readHead(t.Context(), ReasonReader))
	is.Equal(x.reach.whole, answerSize{})
}

// Guards against full answers that count as undivided because an answer of the same length
// was: the next change had no room in them.
func TestFullAnswersAreNotLearned(t *testing.T) {
	is := is.New(t)
	x, advance := newSteppedFixture(t)
	const page = 4
	x.feed.pageEvents = page
	long := strings.Repeat("v", 100_000)
	for _, changes := range []int{page, 5 * page, 5 * page} {
		for range changes {
			x.feed.put("o/out/a", long)
		}
		advance(time.Second)
		is.NoErr(x.read(t.Context(), ReasonReader))
		is.Equal(x.pos.Index, x.feed.index)
	}
}
