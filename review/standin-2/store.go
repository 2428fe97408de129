package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of a page of kv-range.
const (
	maxPageItems = 500
	maxPageBytes = 1 << 20
)

// item is an entry of the store as the platform's protocol has it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created_rev,omitempty"`
	Lease    uint64 `json:"lease"`
}

// kvStore is a stand-in of the platform's metadata store. It is linearizable and keeps
// its whole history.
type kvStore struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	// changed is closed by the next change.
	changed chan struct{}
	// silent holds the clients that get no response, closed when that ends.
	silent map[string]chan struct{}
}

func newStore() *kvStore {
	return &kvStore{
		items: map[string]item{}, revision: 1, changed: make(chan struct{}), silent: map[string]chan struct{}{},
	}
}

// put writes an entry and returns the time of the acknowledgement.
func (s *kvStore) put(key string, value any) time.Time {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // the stand-in's own types
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: b, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.record(it)
	return time.Now()
}

// record appends a change to the history; the caller holds mu.
func (s *kvStore) record(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// setSilent sets whether a client gets no responses.
func (s *kvStore) setSilent(client string, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ended := s.silent[client]; ended != nil {
		close(ended)
		delete(s.silent, client)
	}
	if silent {
		s.silent[client] = make(chan struct{})
	}
}

// serve answers the calls of one client at an address of its own, so that the store
// can tell the clients apart.
func (s *kvStore) serve(client, addr string) (*http.Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /jujubehaven/kv-range", s.handleRange)
	mux.HandleFunc("GET /jujubehaven/kv-watch", s.handleWatch)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		ended := s.silent[client]
		s.mu.Unlock()
		if ended != nil {
			select {
			case <-ended:
			case <-r.Context().Done():
			}
			panic(http.ErrAbortHandler) // a lost response: the connection returns nothing further
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(l) }() // ends with Close
	return server, nil
}

func (s *kvStore) handleRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	page := struct {
		Items     []item `json:"items"`
		Truncated bool   `json:"truncated"`
		Revision  uint64 `json:"store_revision"`
	}{Items: []item{}}
	s.mu.Lock()
	page.Revision = s.revision
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	size := 0
	for _, key := range keys {
		size += len(s.items[key].Value)
		if len(page.Items) > 0 && (len(page.Items) == maxPageItems || size > maxPageBytes) {
			page.Truncated = true
			break
		}
		page.Items = append(page.Items, s.items[key])
	}
	s.mu.Unlock()
	reply(w, page)
}

func (s *kvStore) handleWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || err2 != nil {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, revision, changed := s.since(prefix, after)
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, map[string]any{"events": []item{}, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes after a revision, the store's revision and a channel that
// the next change closes.
func (s *kvStore) since(prefix string, after uint64) ([]item, uint64, chan struct{}) {
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

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the client may have gone
}
