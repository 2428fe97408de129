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
)

const (
	// DefaultPace is the shortest time between two reads of changes: beats of
	// many targets are collected into one call.
	DefaultPace = 900 * time.Millisecond
	// watchWait is how long a read waits for a change. It bounds how late a
	// connection that has gone silent is noticed.
	watchWait = 2 * time.Second
	// firstRetry and maxRetry bound the wait after a failed call; it doubles
	// and is spread by up to a half.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 800 * time.Millisecond
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
	// Pace replaces DefaultPace if it is not 0.
	Pace time.Duration
}

// Follower follows the store. Its methods are safe for concurrent use.
type Follower struct {
	cfg Config

	// mu guards the rest.
	mu    sync.Mutex
	dir   *fleet.Directory
	stats Stats
	// rejected holds the entries that can't be read, so that each is logged
	// once.
	rejected map[store.Key]string
}

// Stats are totals and ages for metrics.
type Stats struct {
	// Calls and Failures count by operation, failures by kind of error.
	Calls    map[store.Op]uint64
	Failures map[store.Kind]uint64
	// Answered is when the store answered last.
	Answered      time.Duration
	ConfigVersion uint64
	Rejected      int
	Ready         bool
}

// New returns a follower that knows nothing.
func New(cfg Config) *Follower {
	if cfg.Pace == 0 {
		cfg.Pace = DefaultPace
	}
	return &Follower{
		cfg: cfg, dir: fleet.NewDirectory(), rejected: map[store.Key]string{},
		stats: Stats{Calls: map[store.Op]uint64{}, Failures: map[store.Kind]uint64{}},
	}
}

// Ready reports whether the host knows its configuration and targets.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dir.Ready()
}

// Run follows until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	retry := firstRetry
	listed := false
	var index store.Index
	for ctx.Err() == nil {
		start := f.cfg.Clock()
		var err error
		if listed {
			index, err = f.changes(ctx, index)
		} else {
			index, err = f.list(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		switch {
		case err == nil:
			listed = true
			retry = firstRetry
			f.sleep(ctx, start+f.cfg.Pace-f.cfg.Clock())
		case store.IsKind(err, store.HistoryLost):
			f.failed(err)
			listed = false
		default:
			f.failed(err)
			f.sleep(ctx, retry/2+rand.N(retry))
			retry = min(2*retry, maxRetry)
		}
	}
}

// list reads everything, in two calls at once.
func (f *Follower) list(ctx context.Context) (store.Index, error) {
	var operator, targets store.Snapshot
	var operatorErr, targetsErr error
	var wg sync.WaitGroup
	wg.Go(func() { operator, operatorErr = f.cfg.Feed.List(ctx, f.cfg.Keys.Operator) })
	wg.Go(func() { targets, targetsErr = f.cfg.Feed.List(ctx, f.cfg.Keys.Targets) })
	wg.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stats.Calls[store.OpList] += 2
	if operatorErr != nil {
		return 0, operatorErr
	}
	if targetsErr != nil {
		return 0, targetsErr
	}
	f.answered()
	f.takeOperator(operator.Entries)
	f.takeTargets(targets.Entries)
	f.publish()
	return min(operator.Index, targets.Index), nil
}

func (f *Follower) takeOperator(entries []store.Entry) {
	var zones []string
	for _, e := range entries {
		change := f.decodeOperator(e, false)
		if change.Config != nil {
			f.setConfig(*change.Config)
		}
		if change.ZoneOut {
			zones = append(zones, change.Zone)
		}
	}
	f.dir.SetZones(zones)
}

func (f *Follower) takeTargets(entries []store.Entry) {
	list := make([]fleet.Target, 0, len(entries))
	for _, e := range entries {
		if t, ok := f.decodeTarget(e); ok {
			list = append(list, t)
		}
	}
	f.dir.SetTargets(f.cfg.Clock(), list)
}

// changes reads what has changed after an index and returns the next one.
func (f *Follower) changes(ctx context.Context, after store.Index) (store.Index, error) {
	got, err := f.cfg.Feed.Changes(ctx, "", after, watchWait)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stats.Calls[store.OpChanges]++
	if err != nil {
		return after, err
	}
	f.answered()
	for _, c := range got.List {
		f.apply(c)
	}
	f.publish()
	return got.Index, nil
}

func (f *Follower) apply(c store.Change) {
	switch {
	case c.Key.HasPrefix(f.cfg.Keys.Operator):
		change := f.decodeOperator(c.Entry, c.Deleted)
		if change.Config != nil {
			f.setConfig(*change.Config)
		}
		if change.Zone != "" && f.dir.SetZone(change.Zone, change.ZoneOut) {
			f.cfg.Log.Info().Str("event", "zone_changed").Str("zone", change.Zone).Bool("out", change.ZoneOut).
				Uint64("revision", uint64(c.Revision)).Send()
		}
	case c.Key.HasPrefix(f.cfg.Keys.Targets) && c.Deleted:
		key := fleet.TargetKey(c.Key[len(f.cfg.Keys.Targets):])
		delete(f.rejected, c.Key)
		f.dir.RemoveTarget(f.cfg.Clock(), key)
		f.cfg.Log.Info().Str("event", "target_removed").Str("target", string(key)).Uint64("revision", uint64(c.Revision)).Send()
	case c.Key.HasPrefix(f.cfg.Keys.Targets):
		t, ok := f.decodeTarget(c.Entry)
		if !ok {
			// The target writes its entry again with its next beat, if it lives.
			f.dir.RemoveTarget(f.cfg.Clock(), fleet.TargetKey(c.Key[len(f.cfg.Keys.Targets):]))
			return
		}
		f.putTarget(t)
	}
}

func (f *Follower) putTarget(t fleet.Target) {
	change := f.dir.PutTarget(f.cfg.Clock(), t)
	if change == fleet.ChangeNone {
		return
	}
	f.cfg.Log.Info().Str("event", "target_changed").Str("target", string(t.Key)).Str("change", change.String()).
		Str("service", t.Service).Str("zone", t.Zone).Stringer("address", t.Addr).Bool("draining", t.Draining).
		Dur("slow_ms", t.SlowFor).Send()
}

func (f *Follower) setConfig(c fleet.Config) {
	former := f.dir.ConfigVersion()
	if f.dir.SetConfig(c) {
		f.stats.ConfigVersion = c.Version
		f.cfg.Log.Info().Str("event", "config_in_force").Uint64("version", c.Version).Uint64("former", former).
			Int("routes", len(c.Routes)).Int("services", len(c.Services)).Send()
	}
}

func (f *Follower) decodeOperator(e store.Entry, deleted bool) fleet.OperatorChange {
	change, err := f.cfg.Decoder.Operator(e.Key, e.Value, deleted)
	f.reject(e.Key, err)
	return change
}

func (f *Follower) decodeTarget(e store.Entry) (fleet.Target, bool) {
	t, err := f.cfg.Decoder.Target(e.Key, e.Value)
	f.reject(e.Key, err)
	return t, err == nil
}

// reject notes an entry that can't be read, or that it can be again.
func (f *Follower) reject(key store.Key, err error) {
	if err == nil {
		delete(f.rejected, key)
		return
	}
	if f.rejected[key] == err.Error() {
		return
	}
	f.rejected[key] = err.Error()
	f.cfg.Log.Warn().Str("event", "entry_rejected").Str("key", string(key)).Err(err).Send()
}

// answered records an answer of the store.
func (f *Follower) answered() {
	now := f.cfg.Clock()
	f.stats.Answered = now
	if f.dir.StoreBack(now) {
		f.cfg.Log.Info().Str("event", "store_regained").Send()
	}
}

// failed records a call without a usable answer.
func (f *Follower) failed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kind := store.Unavailable
	var e *store.Error
	if errors.As(err, &e) {
		kind = e.Kind
	}
	f.stats.Failures[kind]++
	if kind == store.HistoryLost {
		f.cfg.Log.Warn().Str("event", "store_history_lost").Err(err).Send()
		return
	}
	if f.dir.StoreAway() {
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
