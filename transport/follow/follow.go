// Package follow keeps a fleet directory in step with the platform's store and
// publishes its views.
package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

const (
	// DefaultPace is the shortest time between two reads of changes: beats of
	// many targets are collected into one call.
	DefaultPace = 900 * time.Millisecond
	// watchWait is how long a read waits for a change. It bounds how late a
	// connection that has gone silent is noticed.
	watchWait = time.Second
	// firstRetry and maxRetry bound the wait after a failed call; it doubles
	// and is spread by up to a half.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 800 * time.Millisecond
	// feedPatience is how long a host waits for the next feed of the host that
	// reads for its zone before it asks the store itself, spread by up to
	// feedSpread: a feed comes every pace, and one may be lost.
	feedPatience = 1500 * time.Millisecond
	feedSpread   = 300 * time.Millisecond
	// trustedFresh is how old the last news may be, and trustedAfter how long
	// the last trouble must be past, for the host to conclude that what it has
	// not heard of is not there. listedAfter is the same for its first list: the
	// store may have returned just before, and entries that lapsed meanwhile are
	// written again within 2 s.
	trustedFresh = 2500 * time.Millisecond
	trustedAfter = 4 * time.Second
	listedAfter  = 2500 * time.Millisecond
	// feedDelay is how long a feed may be on its way.
	feedDelay = time.Second
	// refreshPace bounds the calls that Refresh causes.
	refreshPace = time.Second
	// missedSpread spreads the calls of hosts that all missed one feed.
	missedSpread = 150 * time.Millisecond
)

// Config says what a Follower does.
type Config struct {
	Feed    store.Feed
	Keys    fleet.Keys
	Decoder fleet.Decoder
	// Publish gets each new view.
	Publish func(*fleet.View)
	Clock   func() time.Duration
	Log     zerolog.Logger
	// Peers is the exchange with the other hosts of the zone, nil if there is
	// none.
	Peers Peers
	// Pace replaces DefaultPace if it is not 0.
	Pace time.Duration
}

// Peers lets one host of a zone read the store for the others.
type Peers interface {
	// Reads reports whether this host reads the store for its zone.
	Reads() bool
	// SendFeed tells the others what the store told.
	SendFeed(f *gossip.Feed)
}

// Follower follows the store. Its methods are safe for concurrent use.
type Follower struct {
	cfg Config

	// mu guards the rest.
	mu    sync.Mutex
	dir   *fleet.Directory
	stats Stats
	// index is the position in the store's history up to which all is known;
	// listed is set once it means anything.
	index  store.Index
	listed bool
	// fresh is when the store or a feed last told this host something.
	fresh time.Duration
	// complete is the time up to which all that was written is known.
	complete time.Duration
	// woken tells Run that a feed has come, or that one was missed.
	woken chan struct{}
	// missed is set when a feed showed that this host lacks changes.
	missed bool
	// refreshed is when Refresh last had the host ask the store.
	refreshed time.Duration
	// failedAt is when a call failed last, if hasFailed is set; listedAt is when
	// the host read everything last.
	failedAt  time.Duration
	hasFailed bool
	listedAt  time.Duration
	// away is set while the store does not answer this host.
	away bool
	// rejected holds the entries that can't be read, so that each is logged
	// once.
	rejected map[store.Key]string
}

// Stats are totals and ages for metrics.
type Stats struct {
	// Calls and Failures count by operation, failures by kind of error.
	Calls    map[store.Op]uint64
	Failures map[store.Kind]uint64
	// Told is when the store or a feed told this host something last.
	Told          time.Duration
	ConfigVersion uint64
	Rejected      int
	// Feeds counts what other hosts told.
	Feeds uint64
	Ready bool
}

// New returns a follower that knows nothing.
func New(cfg Config) *Follower {
	if cfg.Pace == 0 {
		cfg.Pace = DefaultPace
	}
	return &Follower{
		cfg: cfg, dir: fleet.NewDirectory(), rejected: map[store.Key]string{}, woken: make(chan struct{}, 1),
		stats: Stats{Calls: map[store.Op]uint64{}, Failures: map[store.Kind]uint64{}},
	}
}

// Ready reports whether the host knows its configuration and targets.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dir.Ready()
}

// StoreAnswers reports whether the store answered this host's last call.
func (f *Follower) StoreAnswers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed && !f.away
}

// CompleteTo returns the time up to which this host knows all that was written
// to the store. It is false while some of that may be missing from the store
// itself, or the last news is old.
func (f *Follower) CompleteTo() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Clock()
	settled := now >= f.listedAt+listedAfter && (!f.hasFailed || now >= f.failedAt+trustedAfter)
	return f.complete, f.listed && !f.away && settled && now < f.fresh+trustedFresh
}

// Run follows until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	retry := firstRetry
	for ctx.Err() == nil {
		start := f.cfg.Clock()
		err := f.read(ctx)
		if ctx.Err() != nil {
			return
		}
		switch {
		case err == nil:
			retry = firstRetry
			f.sleep(ctx, start+f.cfg.Pace-f.cfg.Clock())
			f.waitForTurn(ctx)
		case store.IsKind(err, store.HistoryLost):
			f.failed(err)
		default:
			f.failed(err)
			f.sleep(ctx, retry/2+rand.N(retry))
			retry = min(2*retry, maxRetry)
			f.waitForTurn(ctx)
		}
	}
}

// read asks the store once for all, or for what has changed.
func (f *Follower) read(ctx context.Context) error {
	f.mu.Lock()
	listed, index := f.listed, f.index
	f.mu.Unlock()
	if listed {
		return f.changes(ctx, index)
	}
	return f.list(ctx)
}

// list reads everything, in one call as long as it fits a page of the store.
func (f *Follower) list(ctx context.Context) error {
	start := f.cfg.Clock()
	all, err := f.cfg.Feed.List(ctx, "")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stats.Calls[store.OpList]++
	if err != nil {
		return err
	}
	f.answered()
	f.takeOperator(all.Entries)
	f.takeTargets(all.Entries)
	f.index, f.listed, f.listedAt = 0, true, f.cfg.Clock()
	f.told(all.Index, start)
	f.publish()
	f.cfg.Log.Info().Str("event", "store_listed").Int("entries", len(all.Entries)).Uint64("revision", uint64(all.Index)).Send()
	return nil
}

// changes reads what has changed after an index, and tells the other hosts of
// the zone if this one reads for them.
func (f *Follower) changes(ctx context.Context, after store.Index) error {
	start := f.cfg.Clock()
	got, err := f.cfg.Feed.Changes(ctx, "", after, watchWait)
	feed := f.take(after, start, got, err)
	if feed != nil && f.cfg.Peers != nil && f.cfg.Peers.Reads() {
		f.cfg.Peers.SendFeed(feed)
	}
	return err
}

// answered records an answer of the store.
func (f *Follower) answered() {
	now := f.cfg.Clock()
	f.away = false
	if f.dir.StoreRegained(now) {
		f.cfg.Log.Info().Str("event", "store_regained").Send()
	}
}

// failed records a call without a usable answer.
func (f *Follower) failed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failedAt, f.hasFailed = f.cfg.Clock(), true
	kind := store.Unavailable
	var e *store.Error
	if errors.As(err, &e) {
		kind = e.Kind
	}
	f.stats.Failures[kind]++
	if kind == store.HistoryLost {
		f.listed = false
		f.cfg.Log.Warn().Str("event", "store_history_lost").Err(err).Send()
		return
	}
	f.away = true
	if f.dir.StoreLost() {
		f.cfg.Log.Warn().Str("event", "store_lost").Err(err).Send()
	}
}

// publish sweeps and hands on a new view, if anything has changed.
func (f *Follower) publish() {
	for _, key := range f.dir.Sweep(f.cfg.Clock()) {
		f.cfg.Log.Warn().Str("event", "target_expired").Str("target", string(key)).Send()
	}
	if !f.dir.Ready() {
		return
	}
	f.stats.Ready = true
	if v := f.dir.View(); v != nil {
		f.cfg.Publish(v)
	}
}

// Stats returns a copy of the totals.
func (f *Follower) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.stats
	s.Calls = make(map[store.Op]uint64, len(f.stats.Calls))
	for op, n := range f.stats.Calls {
		s.Calls[op] = n
	}
	s.Failures = make(map[store.Kind]uint64, len(f.stats.Failures))
	for kind, n := range f.stats.Failures {
		s.Failures[kind] = n
	}
	s.Rejected = len(f.rejected)
	s.Told = f.fresh
	return s
}

func (f *Follower) sleep(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
