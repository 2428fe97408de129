package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the answers of the store.
const (
	maxPageItems = 500
	maxPageBytes = 1 << 20
	maxWait      = 30 * time.Second
	// storeDelay is the time of an answer.
	storeDelay = 4 * time.Millisecond
)

// item is an entry of the store, or a removal in the history.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   uint64 `json:"revision"`
	CreatedRev uint64 `json:"created_rev,omitempty"`
	Lease      uint64 `json:"lease"`
	Deleted    bool   `json:"deleted,omitempty"`
}

// store is the platform's metadata store, as far as hosts, backends and the operator of a
// case use it.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 100, items: map[string]item{}, changed: make(chan struct{})}
}

// put writes an entry and returns its revision once the store has accepted it.
func (s *store) put(key string, value any) uint64 {
	b, ok := value.([]byte)
	if !ok {
		var err error
		if b, err = json.Marshal(value); err != nil {
			panic(err) // only values of the case's own types are written
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: b, Revision: s.revision, CreatedRev: s.revision}
	if old, ok := s.items[key]; ok {
		it.CreatedRev = old.CreatedRev
	}
	s.items[key] = it
	s.record(it)
	return s.revision
}

// remove removes an entry.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.record(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) record(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// handler serves the store's interface.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /jujubehaven/kv-range", s.serveRange)
	mux.HandleFunc("GET /jujubehaven/kv-watch", s.serveWatch)
	return mux
}

// serve serves the store at a new address.
func (s *store) serve(ip string) (*http.Server, string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, "", err
	}
	srv := &http.Server{Handler: s.handler()}
	go func() { _ = srv.Serve(l) }() // ends with Close
	return srv, l.Addr().String(), nil
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	time.Sleep(storeDelay)
	s.mu.Lock()
	keys := make([]string, 0, len(s.items))
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page := struct {
		Items     []item `json:"items"`
		Truncated bool   `json:"truncated"`
		Revision  uint64 `json:"store_revision"`
	}{Items: []item{}, Revision: s.revision}
	size := 0
	for _, key := range keys {
		if len(page.Items) == maxPageItems || size >= maxPageBytes {
			page.Truncated = true
			break
		}
		page.Items = append(page.Items, s.items[key])
		size += len(s.items[key].Value)
	}
	s.mu.Unlock()
	writeJSON(w, page)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	ms, err2 := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || err2 != nil || ms < 0 {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWait))
	defer deadline.Stop()
	time.Sleep(storeDelay)
	for {
		events, revision, changed := s.since(query.Get("prefix"), after)
		if len(events) > 0 {
			writeJSON(w, watchAnswer{events, revision})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			writeJSON(w, watchAnswer{[]item{}, revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// watchAnswer is the answer to a watch.
type watchAnswer struct {
	Events   []item `json:"events"`
	Revision uint64 `json:"store_revision"`
}

// since returns the changes after a revision, the store's revision, and a channel that
// is closed with the next change.
func (s *store) since(prefix string, after uint64) ([]item, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
	var events []item
	for _, it := range s.history[first:] {
		if strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events, s.revision, s.changed
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller has left if it fails
}
