package follow

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

// feed is a store in memory whose calls the test answers.
type feed struct {
	mu      sync.Mutex
	entries []store.Entry
	changes []store.Change
	index   store.Index
	err     error
	lists   int
	watches int
}

func (f *feed) List(context.Context, store.Key) (store.Snapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	if f.err != nil {
		return store.Snapshot{}, f.err
	}
	return store.Snapshot{Entries: append([]store.Entry(nil), f.entries...), Index: f.index}, nil
}

func (f *feed) Changes(_ context.Context, _ store.Key, after store.Index, _ time.Duration) (store.Changes, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watches++
	if f.err != nil {
		return store.Changes{}, f.err
	}
	got := store.Changes{Index: f.index}
	for _, c := range f.changes {
		if store.Index(c.Revision) > after {
			got.List = append(got.List, c)
		}
	}
	return got, nil
}

func (f *feed) put(key, value string) store.Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.index++
	c := store.Change{Entry: store.Entry{Key: store.Key(key), Value: []byte(value), Revision: store.Revision(f.index)}}
	f.changes = append(f.changes, c)
	f.entries = append(f.entries, c.Entry)
	return c
}

func (f *feed) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err = err
}

func (f *feed) calls() (lists, watches int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lists, f.watches
}

// decoder reads targets as JSON and operator entries by their key.
type decoder struct{}

func (decoder) Target(key store.Key, value []byte) (fleet.Target, error) {
	t := fleet.Target{Key: fleet.TargetKey(strings.TrimPrefix(string(key), "t/")), Addr: netip.MustParseAddrPort("10.0.0.1:80")}
	return t, errors.Wrap(json.Unmarshal(value, &t.Heartbeats), "beats")
}

func (decoder) Operator(key store.Key, value []byte, deleted bool) (fleet.OperatorChange, error) {
	if key == "o/config" {
		return fleet.OperatorChange{Config: &fleet.Config{Version: uint64(len(value))}}, nil
	}
	return fleet.OperatorChange{Zone: strings.TrimPrefix(string(key), "o/out/"), ZoneOut: !deleted}, nil
}

type stubPeers struct {
	mu    sync.Mutex
	reads bool
	sent  []gossip.Feed
}

func (p *stubPeers) Reads() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

func (p *stubPeers) SendFeed(f *gossip.Feed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent = append(p.sent, *f)
}

func (p *stubPeers) set(reads bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads = reads
}

type fixture struct {
	*Follower
	feed  *feed
	peers *stubPeers
	mu    sync.Mutex
	view  *fleet.View
}

func newFixture(pace time.Duration) *fixture {
	x := &fixture{feed: &feed{}, peers: &stubPeers{reads: true}}
	start := time.Now()
	x.feed.put("o/config", "v")
	x.feed.put("t/1", "1")
	x.Follower = New(Config{
		Feed: x.feed, Keys: fleet.Keys{Targets: "t/", Operator: "o/"}, Decoder: decoder{}, Peers: x.peers, Pace: pace,
		Clock: func() time.Duration { return time.Since(start) }, Log: zerolog.Nop(),
		Publish: func(v *fleet.View) {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.view = v
		},
	})
	return x
}

func (x *fixture) seen() *fleet.View {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.view
}

func (x *fixture) start(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		x.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within 20 s: %s", what)
}

func TestFollowsTheStore(t *testing.T) {
	is := is.New(t)
	x := newFixture(time.Millisecond)
	x.start(t)
	eventually(t, "first view", func() bool { return x.seen() != nil })
	is.Equal(x.seen().Config.Version, uint64(1))
	is.Equal(len(x.seen().Targets), 1)
	x.feed.put("t/2", "1")
	x.feed.put("o/config", "vvv")
	x.feed.put("o/out/a", "{}")
	eventually(t, "changes", func() bool {
		v := x.seen()
		return len(v.Targets) == 2 && v.Config.Version == 3 && v.ZonesOut["a"]
	})
	is.True(x.Ready())
	is.True(x.StoreAnswers())
}

// The store's troubles leave the view as it is, and end by themselves.
func TestTroublesOfTheStore(t *testing.T) {
	for _, kind := range []store.Kind{store.Unavailable, store.Overloaded, store.HistoryLost} {
		t.Run(kind.String(), func(t *testing.T) {
			is := is.New(t)
			x := newFixture(time.Millisecond)
			x.start(t)
			eventually(t, "first view", func() bool { return x.seen() != nil })
			x.feed.fail(&store.Error{Kind: kind})
			eventually(t, "failure", func() bool { return x.Stats().Failures[kind] > 0 })
			is.Equal(len(x.seen().Targets), 1)
			_, ok := x.CompleteTo()
			is.True(!ok)
			x.feed.fail(nil)
			x.feed.put("t/2", "1")
			eventually(t, "change after the trouble", func() bool { return len(x.seen().Targets) == 2 })
		})
	}
}

// An entry that can't be read names no target to use; the others hold, and the
// target's flows go on until it has had time to write again.
func TestUnreadableEntry(t *testing.T) {
	x := newFixture(time.Millisecond)
	x.start(t)
	eventually(t, "first view", func() bool { return x.seen() != nil })
	x.feed.put("t/1", "x")
	x.feed.put("t/2", "1")
	eventually(t, "the other target", func() bool {
		v := x.seen()
		return len(v.Targets) == 2 && v.Targets[0].Missing && !v.Targets[0].Gone && !v.Targets[1].Missing
	})
	is.New(t).Equal(x.Stats().Rejected, 1)
}

// The reader of a zone passes on what has changed, and leaves out beats.
func TestReaderFeedsItsZone(t *testing.T) {
	is := is.New(t)
	x := newFixture(time.Hour)
	is.NoErr(x.read(context.Background()))
	x.feed.put("t/1", "2") // a beat
	x.feed.put("t/2", "1")
	is.NoErr(x.read(context.Background()))
	is.Equal(len(x.peers.sent), 1)
	f := x.peers.sent[0]
	is.Equal(f.From, store.Index(2))
	is.Equal(f.To, store.Index(4))
	is.Equal(len(f.Changes), 1)
	is.Equal(f.Changes[0].Key, store.Key("t/2"))
	x.peers.set(false)
	is.NoErr(x.read(context.Background()))
	is.Equal(len(x.peers.sent), 1)
}

func TestFeedIsAppliedWithoutACall(t *testing.T) {
	is := is.New(t)
	x := newFixture(time.Hour)
	is.NoErr(x.read(context.Background()))
	c := x.feed.put("t/2", "1")
	x.TakeFeed(&gossip.Feed{From: 2, To: 3, Changes: []gossip.Change{{Key: c.Key, Value: c.Value, Revision: c.Revision}}})
	is.Equal(len(x.seen().Targets), 2)
	x.TakeFeed(&gossip.Feed{From: 1, To: 2, Changes: []gossip.Change{{Key: "t/2", Revision: 2, Deleted: true}}}) // late
	is.True(!x.seen().Targets[1].Gone)
	_, watches := x.feed.calls()
	is.Equal(watches, 0)
}

// A feed that leaves something out, or follows one that was lost, makes the
// host ask the store.
func TestMissedFeedLeadsToACall(t *testing.T) {
	for name, f := range map[string]gossip.Feed{
		"lost":     {From: 3, To: 4},
		"too long": {From: 2, To: 3, Partial: true},
	} {
		t.Run(name, func(t *testing.T) {
			x := newFixture(time.Millisecond)
			x.peers.set(false)
			x.start(t)
			eventually(t, "first view", func() bool { return x.seen() != nil })
			x.feed.put("t/2", "1")
			start := x.cfg.Clock()
			x.TakeFeed(&f)
			eventually(t, "the change", func() bool { return len(x.seen().Targets) == 2 })
			is.New(t).True(x.cfg.Clock()-start < feedPatience/2) // not for want of feeds
		})
	}
}

// A host whose zone's reader falls silent asks the store itself.
func TestSilentReaderLeadsToACall(t *testing.T) {
	x := newFixture(time.Millisecond)
	x.peers.set(false)
	x.start(t)
	eventually(t, "first view", func() bool { return x.seen() != nil })
	x.feed.put("t/2", "1")
	eventually(t, "the change", func() bool { return len(x.seen().Targets) == 2 })
	lists, watches := x.feed.calls()
	is := is.New(t)
	is.Equal(lists, 1)
	is.Equal(watches, 1)
}

// What a host has not heard of is not there once it has read all, the store has
// had time to get lapsed entries back, and the news is fresh.
func TestCompleteTo(t *testing.T) {
	is := is.New(t)
	x := newFixture(time.Hour)
	now := 10 * time.Second
	x.cfg.Clock = func() time.Duration { return now }
	ok := func() bool {
		_, ok := x.CompleteTo()
		return ok
	}
	is.True(!ok()) // nothing was read
	is.NoErr(x.read(context.Background()))
	is.True(!ok()) // entries may have lapsed just before
	now += listedAfter - time.Millisecond
	is.NoErr(x.read(context.Background()))
	is.True(!ok())
	now += time.Millisecond
	to, fine := x.CompleteTo()
	is.True(fine)
	is.Equal(to, now-time.Millisecond) // the start of the last call

	now += time.Second
	x.TakeFeed(&gossip.Feed{From: x.index, To: x.index})
	to, fine = x.CompleteTo()
	is.True(fine)
	is.Equal(to, now-feedDelay) // a feed may have been on its way for long
	now += trustedFresh
	is.True(!ok()) // the news is old

	is.NoErr(x.read(context.Background()))
	is.True(ok())
	x.failed(&store.Error{Kind: store.Unavailable})
	is.NoErr(x.read(context.Background()))
	is.True(!ok()) // the store may have been away
	now += trustedAfter
	is.NoErr(x.read(context.Background()))
	is.True(ok())
}

// A host that meets something unknown asks the store itself, once a second at
// most, though another host reads for its zone.
func TestRefreshLeadsToACall(t *testing.T) {
	is := is.New(t)
	x := newFixture(time.Millisecond)
	x.peers.set(false)
	x.start(t)
	eventually(t, "first view", func() bool { return x.seen() != nil })
	time.Sleep(refreshPace) // counted from the start of the clock
	x.TakeFeed(&gossip.Feed{From: 2, To: 2})
	x.feed.put("t/2", "1")
	start := x.cfg.Clock()
	x.Refresh()
	x.Refresh()
	eventually(t, "the change", func() bool { return len(x.seen().Targets) == 2 })
	is.True(x.cfg.Clock()-start < feedPatience/2) // not for want of feeds
	_, watches := x.feed.calls()
	is.Equal(watches, 1)
}
