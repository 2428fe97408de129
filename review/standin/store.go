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

const (
	// answerTime is how long the store takes for a call.
	answerTime = 4 * time.Millisecond
	// history is how long the store keeps changes for watches.
	history = 20 * time.Second
	// pageItems and pageBytes bound the items of one answer and their values, as the
	// platform's pages say of kv-range. The store keeps kv-watch to the same bounds unless
	// wholeWatch is set.
	pageItems = 500
	pageBytes = 1 << 20
)

// item is an entry of the store, or a deletion in its history.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created_rev,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
	at       time.Time
}

// store is the platform's metadata store: ranges and watches over HTTP, writes by
// the back ends and the operator in this process.
type store struct {
	listener net.Listener
	server   *http.Server
	// wholeWatch is set if the answer to a watch holds all changes.
	wholeWatch bool

	mu       sync.Mutex
	changed  chan struct{}
	items    map[string]item
	changes  []item
	revision uint64
	// dropped is the last revision that is no longer in the history.
	dropped uint64
	reads   int
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, changed: make(chan struct{}), items: map[string]item{}, revision: 100, dropped: 100}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /jujubehaven/kv-range", s.serveRange)
	mux.HandleFunc("GET /jujubehaven/kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	go s.expire()
	return s, nil
}

func (s *store) addr() string { return s.listener.Addr().String() }

func (s *store) close() { _ = s.server.Close() }

// put writes a value and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // a value of this program's own
	}
	return s.write(item{Key: key, Value: b})
}

// expire removes the entries of back ends after three heartbeat intervals of silence.
func (s *store) expire() {
	for range time.Tick(100 * time.Millisecond) {
		var silent []string
		s.mu.Lock()
		for key, it := range s.items {
			if strings.HasPrefix(key, "servers/") && time.Since(it.at) > 3*heartbeat {
				silent = append(silent, key)
			}
		}
		s.mu.Unlock()
		for _, key := range silent {
			s.remove(key)
		}
	}
}

// remove removes a key.
func (s *store) remove(key string) time.Time { return s.write(item{Key: key, Deleted: true}) }

func (s *store) write(it item) time.Time {
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.revision++
	it.Revision, it.at = s.revision, now
	if it.Deleted {
		delete(s.items, it.Key)
	} else {
		it.Created = s.revision
		if old, ok := s.items[it.Key]; ok {
			it.Created = old.Created
		}
		s.items[it.Key] = it
	}
	s.changes = append(s.changes, it)
	for now.Sub(s.changes[0].at) > history {
		s.dropped = s.changes[0].Revision
		s.changes = s.changes[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return now
}

// serveRange answers with the items of a prefix after a key.
func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	s.mu.Lock()
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page, size := []item{}, 0
	for _, key := range keys {
		it := s.items[key]
		if len(page) > 0 && (len(page) == pageItems || size+len(it.Value) > pageBytes) {
			break
		}
		page, size = append(page, it), size+len(it.Value)
	}
	s.reads++
	body := map[string]any{"items": page, "truncated": len(page) < len(keys), "store_revision": s.revision}
	s.mu.Unlock()
	reply(w, body)
}

// serveWatch answers with the changes after a revision, once there are any.
func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		if waiting {
			s.reads++
			waiting = false
		}
		events, revision, lost := s.since(r.FormValue("prefix"), after)
		changed := s.changed
		s.mu.Unlock()
		if lost {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-deadline:
			}
		}
		reply(w, map[string]any{"events": events, "store_revision": revision})
		return
	}
}

// since returns a page of the changes after a revision and the revision at which the
// next watch continues. lost is set if the history does not reach back so far. The
// caller holds mu.
func (s *store) since(prefix string, after uint64) (events []item, revision uint64, lost bool) {
	if after < s.dropped || after > s.revision {
		return nil, 0, true
	}
	events, revision = []item{}, s.revision
	size := 0
	for _, it := range s.changes {
		if it.Revision <= after || !strings.HasPrefix(it.Key, prefix) {
			continue
		}
		if !s.wholeWatch && len(events) > 0 && (len(events) == pageItems || size+len(it.Value) > pageBytes) {
			return events, events[len(events)-1].Revision, false
		}
		events, size = append(events, it), size+len(it.Value)
	}
	return events, revision, false
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // a failed write means that the client is gone
}
