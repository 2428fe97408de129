package consul

import (
	"sync"

	"github.com/zeebo/xxh3"

	"github.com/jujubehaven/jujubehaven/coordination/store"
)

// maxPrefixes bounds the prefixes whose last list is remembered.
const maxPrefixes = 64

// history tells when the server is restored from an older copy of its data, which it
// does not report. The documentation of blocking queries advises clients to reset
// their index when it goes back. That misses a copy whose index has been passed
// again in the meantime, so lists are compared as well. Epochs are numbered within
// one client; those of two clients are not comparable.
type history struct {
	mu       sync.Mutex
	epoch    store.Epoch
	prefixes map[store.Key]prefixState
}

// prefixState is what responses said about the keys under a prefix.
type prefixState struct {
	// index is the highest index of a response.
	index store.Index
	// list is the last list, nil if there is none. It is not modified.
	list *listing
}

// listing identifies the entries of a list.
type listing struct {
	index   store.Index
	entries map[store.Key]stamp
}

// stamp identifies an entry's value.
type stamp struct {
	revision store.Revision
	hash     uint64
}

// mark is the state when a request was sent. Its response is only compared with
// responses received before that.
type mark struct {
	epoch store.Epoch
	prefixState
}

func newHistory() *history {
	return &history{epoch: 1, prefixes: map[store.Key]prefixState{}}
}

func stampOf(e store.Entry) stamp {
	return stamp{revision: e.Revision, hash: xxh3.Hash(e.Value)}
}

func newListing(s store.Snapshot) *listing {
	l := &listing{index: s.Index, entries: make(map[store.Key]stamp, len(s.Entries))}
	for _, e := range s.Entries {
		l.entries[e.Key] = stampOf(e)
	}
	return l
}

// last returns the key of the last write, and false if the last change was a
// deletion.
func (l *listing) last() (store.Key, bool) {
	for key, s := range l.entries {
		if store.Index(s.revision) == l.index {
			return key, true
		}
	}
	return "", false
}

// continues reports whether a later list can follow from this one: what has not been
// written since is the same, and nothing was written or deleted without a new index.
func (l *listing) continues(later *listing) bool {
	for key, s := range later.entries {
		if store.Index(s.revision) <= l.index && l.entries[key] != s {
			return false
		}
	}
	if later.index > l.index {
		return true
	}
	return len(l.entries) == len(later.entries)
}

// sent returns the state when a request for a prefix is sent.
func (h *history) sent(prefix store.Key) mark {
	h.mu.Lock()
	defer h.mu.Unlock()
	return mark{epoch: h.epoch, prefixState: h.prefixes[prefix]}
}

// received records the index of a response, and the list if it was one, and returns
// the response's epoch. It is an older one than the current if another response has
// shown a new epoch since the request was sent.
func (h *history) received(prefix store.Key, m mark, index store.Index, list *listing) store.Epoch {
	h.mu.Lock()
	defer h.mu.Unlock()
	if m.epoch != h.epoch {
		return m.epoch
	}
	if index < m.index || (list != nil && m.list != nil && !m.list.continues(list)) {
		h.startEpoch()
	}
	h.remember(prefix, index, list)
	return h.epoch
}

// restored starts a new epoch, unless another response has done so since the request
// was sent, and returns the current one.
func (h *history) restored(m mark) store.Epoch {
	h.mu.Lock()
	defer h.mu.Unlock()
	if m.epoch == h.epoch {
		h.startEpoch()
	}
	return h.epoch
}

func (h *history) startEpoch() {
	h.epoch++
	clear(h.prefixes)
}

func (h *history) remember(prefix store.Key, index store.Index, list *listing) {
	state, known := h.prefixes[prefix]
	if !known && len(h.prefixes) >= maxPrefixes {
		clear(h.prefixes)
	}
	state.index = max(state.index, index)
	if list != nil && (state.list == nil || state.list.index <= list.index) {
		state.list = list
	}
	h.prefixes[prefix] = state
}
