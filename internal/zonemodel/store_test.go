package zonemodel

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/store"
)

const (
	// entryLifetime is how long the store keeps a target's entry without a write.
	entryLifetime = 3 * heartbeatInterval
	// watchPoll is how often a waiting watch looks for changes.
	watchPoll = 5 * time.Millisecond
	// callTime is how long a call takes.
	callTime = 4 * time.Millisecond
)

// modelStore is the store of a model. It implements store.Feed.
type modelStore struct {
	mu      sync.Mutex
	epoch   store.Epoch
	index   store.Index
	entries map[store.Key]store.Entry
	written map[store.Key]time.Time
	history []store.Change
	// away is set while no call succeeds.
	away bool
	// lists, watches and heads count the calls, also failed ones.
	lists, watches, heads int
}

func newModelStore() *modelStore {
	return &modelStore{epoch: 1, index: 1, entries: map[store.Key]store.Entry{}, written: map[store.Key]time.Time{}}
}

// storeState is a copy of the store's data.
type storeState struct {
	index   store.Index
	entries map[store.Key]store.Entry
	history []store.Change
}

func (s *modelStore) copy() storeState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeState{index: s.index, entries: maps.Clone(s.entries), history: slices.Clone(s.history)}
}

// restore replaces the data by a copy and begins a new epoch. The entries of
// targets live on from now.
func (s *modelStore) restore(c storeState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index, s.entries, s.history = c.index, maps.Clone(c.entries), slices.Clone(c.history)
	s.written = map[store.Key]time.Time{}
	for key := range s.entries {
		s.written[key] = time.Now()
	}
	s.epoch++
	s.away = false
}

func (s *modelStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// put writes an entry and reports whether the store took it.
func (s *modelStore) put(key store.Key, value string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.index++
	e := store.Entry{Key: key, Value: []byte(value), Revision: store.Revision(s.index)}
	s.entries[key], s.written[key] = e, time.Now()
	s.history = append(s.history, store.Change{Entry: e})
	return true
}

// remove deletes an entry and reports whether the store took it.
func (s *modelStore) remove(key store.Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.drop(key)
	return true
}

func (s *modelStore) drop(key store.Key) {
	if _, ok := s.entries[key]; !ok {
		return
	}
	s.index++
	delete(s.entries, key)
	s.history = append(s.history, store.Change{Entry: store.Entry{Key: key, Revision: store.Revision(s.index)}, Deleted: true})
}

// expire drops the entries of targets that were not written for long.
func (s *modelStore) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if strings.HasPrefix(string(key), targetPrefix) && time.Since(s.written[key]) > entryLifetime {
			s.drop(key)
		}
	}
}

// List implements store.Feed.
func (s *modelStore) List(context.Context, store.Key) (store.Snapshot, error) {
	time.Sleep(callTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if s.away {
		return store.Snapshot{}, &store.Error{Op: store.OpList, Kind: store.Unavailable}
	}
	all := store.Snapshot{Epoch: s.epoch, Index: s.index}
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		all.Entries = append(all.Entries, s.entries[key])
	}
	return all, nil
}

// Head implements store.Feed.
func (s *modelStore) Head(context.Context) (store.Position, error) {
	time.Sleep(callTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heads++
	if s.away {
		return store.Position{}, &store.Error{Op: store.OpHead, Kind: store.Unavailable}
	}
	return store.Position{Epoch: s.epoch, Index: s.index}, nil
}

// Changes implements store.Feed.
func (s *modelStore) Changes(ctx context.Context, _ store.Key, after store.Index, wait time.Duration) (store.Changes, error) {
	time.Sleep(callTime)
	s.mu.Lock()
	s.watches++
	epoch := s.epoch
	s.mu.Unlock()
	for end := time.Now().Add(wait); ; time.Sleep(watchPoll) {
		got, done, err := s.changesSince(epoch, after)
		if done || err != nil || !time.Now().Before(end) || ctx.Err() != nil {
			return got, err
		}
	}
}

func (s *modelStore) changesSince(epoch store.Epoch, after store.Index) (store.Changes, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.away:
		return store.Changes{}, false, &store.Error{Op: store.OpChanges, Kind: store.Unavailable}
	case s.epoch != epoch, after > s.index:
		return store.Changes{}, false, &store.Error{Op: store.OpChanges, Kind: store.HistoryLost, Epoch: s.epoch}
	}
	got := store.Changes{Epoch: s.epoch, Index: s.index}
	for _, c := range s.history {
		if store.Index(c.Revision) > after {
			got.List = append(got.List, c)
		}
	}
	return got, len(got.List) > 0, nil
}
