package follow

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
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

// feed is an in-memory store.Feed that counts its calls and fails them with err
// if that is set.
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

func (f *feed) remove(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.index++
	f.entries = slices.DeleteFunc(f.entries, func(e store.Entry) bool { return e.Key == store.Key(key) })
	f.changes = append(f.changes, store.Change{Entry: store.Entry{Key: store.Key(key), Revision: store.Revision(f.index)}, Deleted: true})
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

// decoder decodes the value of a target as the JSON number of its heartbeats.
// Of operator entries it uses the key and the length of the value.
type decoder struct{}

func (decoder) Target(key store.Key, value []byte) (fleet.Target, error) {
	t := fleet.Target{Key: fleet.TargetKey(strings.TrimPrefix(string(key), "t/")), Addr: netip.MustParseAddrPort("10.0.0.1:80")}
	return t, errors.Wrap(json.Unmarshal(value, &t.Heartbeats), "heartbeats")
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
	// fetched answers the calls of Fetch, which fetches counts; without it there
	// is no host to fetch from.
	fetched func(after store.Index)
	fetches int
}

func (p *stubPeers) ReadsStore() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

func (p *stubPeers) SendFeed(f *gossip.Feed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent = append(p.sent, *f)
}

// Fetch implements Peers: it counts the calls and lets fetched answer them.
func (p *stubPeers) Fetch(after store.Index) bool {
	p.mu.Lock()
	p.fetches++
	fetched := p.fetched
	p.mu.Unlock()
	if fetched == nil {
		return false
	}
	go fetched(after)
	return true
}

func (p *stubPeers) FeedWait() time.Duration { return 0 }

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

func newFixture(pollInterval time.Duration) *fixture {
	x := &fixture{feed: &feed{}, peers: &stubPeers{reads: true}}
	start := time.Now()
	x.feed.put("o/config", "v")
	x.feed.put("t/1", "1")
	x.Follower = New(Config{
		Feed: x.feed, Keys: fleet.Keys{Targets: "t/", Operator: "o/"}, Decoder: decoder{}, Peers: x.peers, PollInterval: pollInterval,
		Clock: func() time.Duration { return time.Since(start) }, Log: zerolog.Nop(),
		Publish: func(v *fleet.View) {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.view = v
		},
	})
	return x
}

func (x *fixture) lastView() *fleet.View {
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
	eventually(t, "first view", func() bool { return x.lastView() != nil })
	is.Equal(x.lastView().Config.Version, uint64(1))
	is.Equal(len(x.lastView().Targets), 1)
	x.feed.put("t/2", "1")
	x.feed.put("o/config", "vvv")
	x.feed.put("o/out/a", "{}")
	eventually(t, "changes", func() bool {
		v := x.lastView()
		return len(v.Targets) == 2 && v.Config.Version == 3 && v.ZonesOut["a"]
	})
	is.True(x.Ready())
	is.True(x.StoreAnswers())
}

// Failed calls to the store must leave the view as it is, and following must
// resume once calls succeed again.
func TestStoreFailureKeepsView(t *testing.T) {
	for _, kind := range []store.Kind{store.Unavailable, store.Overloaded, store.HistoryLost} {
		t.Run(kind.String(), func(t *testing.T) {
			is := is.New(t)
			x := newFixture(time.Millisecond)
			x.start(t)
			eventually(t, "first view", func() bool { return x.lastView() != nil })
			x.feed.fail(&store.Error{Kind: kind})
			eventually(t, "failure", func() bool { return x.Stats().Failures[kind] > 0 })
			is.Equal(len(x.lastView().Targets), 1)
			_, ok := x.CompleteTo()
			is.True(!ok)
			x.feed.fail(nil)
			x.feed.put("t/2", "1")
			eventually(t, "change after the failure", func() bool { return len(x.lastView().Targets) == 2 })
		})
	}
}

// A target whose entry can't be decoded counts as missing, not as gone: its
// flows must not be ended before it had time to write again. Other targets are
// not affected.
func TestUnreadableEntry(t *testing.T) {
	x := newFixture(time.Millisecond)
	x.start(t)
	eventually(t, "first view", func() bool { return x.lastView() != nil })
	x.feed.put("t/1", "x")
	x.feed.put("t/2", "1")
	eventually(t, "other target", func() bool {
		v := x.lastView()
		return len(v.Targets) == 2 && v.Targets[0].Missing && !v.Targets[0].Gone && !v.Targets[1].Missing
	})
	is.New(t).Equal(x.Stats().Rejected, 1)
}

// The host that reads the store for its zone sends changes to the other hosts,
// without heartbeats. A host that is not the reader sends none.
func TestReaderFeedsItsZone(t *testing.T) {
	is := is.New(t)
	x := newFixture(time.Hour)
	is.NoErr(x.read(context.Background(), ReasonReader))
	x.feed.put("t/1", "2") // a heartbeat
	x.feed.put("t/2", "1")
	is.NoErr(x.read(context.Background(), ReasonReader))
	is.Equal(len(x.peers.sent), 1)
	f := x.peers.sent[0]
	is.Equal(f.From, store.Index(2))
	is.Equal(f.To, store.Index(4))
	is.Equal(len(f.Changes), 1)
	is.Equal(f.Changes[0].Key, store.Key("t/2"))
	x.peers.set(false)
	is.NoErr(x.read(context.Background(), ReasonReader))
	is.Equal(len(x.peers.sent), 1)
}

// Feeds are applied without a call to the store, and a feed that arrives late
// must not undo a newer one.
func TestFeedIsAppliedWithoutACall(t *testing.T) {
	is := is.New(t)
	x := newFixture(time.Hour)
	is.NoErr(x.read(context.Background(), ReasonReader))
	c := x.feed.put("t/2", "1")
	x.ApplyFeed(&gossip.Feed{From: 2, To: 3, Changes: []gossip.Change{{Key: c.Key, Value: c.Value, Revision: c.Revision}}})
	is.Equal(len(x.lastView().Targets), 2)
	x.ApplyFeed(&gossip.Feed{From: 1, To: 2, Changes: []gossip.Change{{Key: "t/2", Revision: 2, Deleted: true}}}) // late
	is.True(!x.lastView().Targets[1].Gone)
	_, watches := x.feed.calls()
	is.Equal(watches, 0)
}

// A partial feed, or a feed that follows a lost one, must make the host read the
// store without waiting for the feed timeout.
func TestMissedFeedTriggersStoreRead(t *testing.T) {
	for name, f := range map[string]gossip.Feed{
		"lost":     {From: 3, To: 4},
		"too long": {From: 2, To: 3, Partial: true},
	} {
		t.Run(name, func(t *testing.T) {
			x := newFixture(time.Millisecond)
			x.peers.set(false)
			x.start(t)
			eventually(t, "first view", func() bool { return x.lastView() != nil })
			x.feed.put("t/2", "1")
			start := x.cfg.Clock()
			x.ApplyFeed(&f)
			eventually(t, "changed view", func() bool { return len(x.lastView().Targets) == 2 })
			is.New(t).True(x.cfg.Clock()-start < feedTimeout/2) // before the feed timeout
		})
	}
}

// A host reads the store itself when the feeds of its zone's reader stop.
func TestSilentReaderTriggersStoreRead(t *testing.T) {
	x := newFixture(time.Millisecond)
	x.peers.set(false)
	x.start(t)
	eventually(t, "first view", func() bool { return x.lastView() != nil })
	x.feed.put("t/2", "1")
	eventually(t, "changed view", func() bool { return len(x.lastView().Targets) == 2 })
	lists, watches := x.feed.calls()
	is := is.New(t)
	is.Equal(lists, 1)
	is.Equal(watches, 1)
}

// A host may take a missing entry as absent only after a full list, after the
// time in which expired entries are written again, and while its last update is
// recent. Otherwise it would refuse flows of live targets after a store outage.
func TestCompleteTo(t *testing.T) {
	is := is.New(t)
	x := newFixture(time.Hour)
	now := 10 * time.Second
	x.cfg.Clock = func() time.Duration { return now }
	ok := func() bool {
		_, ok := x.CompleteTo()
		return ok
	}
	is.True(!ok()) // nothing was read yet
	is.NoErr(x.read(context.Background(), ReasonReader))
	is.True(!ok()) // entries may have expired just before
	now += listSettleTime - time.Millisecond
	is.NoErr(x.read(context.Background(), ReasonReader))
	is.True(!ok())
	now += time.Millisecond
	to, complete := x.CompleteTo()
	is.True(complete)
	is.Equal(to, now-time.Millisecond) // the start of the last call

	now += time.Second
	x.ApplyFeed(&gossip.Feed{From: x.index, To: x.index})
	to, complete = x.CompleteTo()
	is.True(complete)
	is.Equal(to, now-maxFeedDelay) // minus the longest time in transit
	now += maxUpdateAge
	is.True(!ok()) // the last update is too old

	is.NoErr(x.read(context.Background(), ReasonReader))
	is.True(ok())
	x.recordFailure(&store.Error{Kind: store.Unavailable})
	is.NoErr(x.read(context.Background(), ReasonReader))
	is.True(!ok()) // the store may have been down
	now += failureSettleTime
	is.NoErr(x.read(context.Background(), ReasonReader))
	is.True(ok())
}

// Refresh makes a host read the store, at most once per minRefreshInterval, even
// though another host reads for its zone.
func TestRefreshTriggersStoreRead(t *testing.T) {
	is := is.New(t)
	x := newFixture(time.Millisecond)
	x.peers.set(false)
	x.start(t)
	eventually(t, "first view", func() bool { return x.lastView() != nil })
	time.Sleep(minRefreshInterval) // Refresh is rate-limited from clock time 0 on
	x.ApplyFeed(&gossip.Feed{From: 2, To: 2})
	x.feed.put("t/2", "1")
	start := x.cfg.Clock()
	x.Refresh()
	x.Refresh()
	eventually(t, "changed view", func() bool { return len(x.lastView().Targets) == 2 })
	is.True(x.cfg.Clock()-start < feedTimeout/2) // before the feed timeout
	_, watches := x.feed.calls()
	is.Equal(watches, 1)
}

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
	x.peers.fetched = func(after store.Index) { x.ApplyFetched(reader.ChangesSince(after)) }
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
	x.peers.fetched = func(store.Index) {}
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
	x.peers.fetched = func(after store.Index) {
		x.ApplyFetched(&gossip.Feed{From: after, To: 3, Changes: []gossip.Change{{Key: "t/2", Value: []byte("1"), Revision: 3}}})
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
		log.add(from-overlap, index, changes)
		is.True(log.bytes <= maxLogBytes)
		after := index - min(index, store.Index(rng.IntN(700)))
		got, ok := log.since(after)
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
	is.True(log.from > 0) // the bound was reached
	log.add(index+10, index+11, nil)
	_, ok := log.since(index)
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
	is.True(x.ChangesSince(2).AgeMS >= 20) // not the reader's own feed
	is.Equal(x.ChangesSince(3), nil)       // not known yet
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
	is.Equal(other.index, reader.index)
	changes := other.ChangesSince(3)
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
		if told {
			x.SetReaderStore(false)
			x.SetReaderStore(true)
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
	x.SetReaderStore(false)
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
