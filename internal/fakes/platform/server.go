package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/store"
)

// Server implements the part of Consul's HTTP API that package consul uses.
type Server struct {
	platform *Platform
	mux      *http.ServeMux
}

// NewServer returns an HTTP handler for p.
func NewServer(p *Platform) *Server {
	s := &Server{platform: p, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /v1/kv/{key...}", s.read)
	s.mux.HandleFunc("PUT /v1/kv/{key...}", s.put)
	s.mux.HandleFunc("DELETE /v1/kv/{key...}", s.remove)
	s.mux.HandleFunc("PUT /v1/txn", s.transact)
	s.mux.HandleFunc("PUT /v1/session/create", s.createSession)
	s.mux.HandleFunc("PUT /v1/session/renew/{id}", s.renewSession)
	s.mux.HandleFunc("PUT /v1/session/destroy/{id}", s.destroySession)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// kvPair is an entry in a response; Value is base64 in JSON.
type kvPair struct {
	LockIndex   uint64
	Key         string
	Flags       uint64
	Value       []byte
	CreateIndex uint64
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

// writeFailure writes the response of a call that failed. It returns false, and
// writes nothing, if the call was answered.
func writeFailure(w http.ResponseWriter, o outcome) bool {
	switch o {
	case refused:
		http.Error(w, "No cluster leader", http.StatusInternalServerError)
	case canceled, unanswered:
		// http.ErrAbortHandler closes the connection without a response.
		panic(http.ErrAbortHandler)
	default:
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	key := store.Key(r.PathValue("key"))
	query := r.URL.Query()
	var seen view
	var o outcome
	switch {
	case query.Has("index"):
		seen, o = s.watch(r, key)
	case query.Has("recurse"):
		o = s.platform.call(r.Context(), store.OpList, key, func() { seen = s.platform.readableView().clone() })
	default:
		o = s.platform.call(r.Context(), store.OpGet, key, func() { seen = s.platform.readableView().clone() })
	}
	if writeFailure(w, o) {
		return
	}
	w.Header().Set("X-Consul-Index", strconv.FormatUint(uint64(seen.indexOf(key)), 10))
	entries := seen.list(key)
	if !query.Has("recurse") && !query.Has("keys") {
		entries = entries[:countExact(entries, key)]
	}
	if len(entries) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if query.Has("keys") {
		writeJSON(w, keysOf(entries))
		return
	}
	writeJSON(w, pairsOf(entries))
}

// countExact returns the number of entries, 0 or 1, that have exactly this key.
// Entries are ordered and have the key as a prefix, so the exact match is first.
func countExact(entries []store.Entry, key store.Key) int {
	if len(entries) > 0 && entries[0].Key == key {
		return 1
	}
	return 0
}

func keysOf(entries []store.Entry) []string {
	var keys []string
	for _, e := range entries {
		keys = append(keys, string(e.Key))
	}
	return keys
}

func pairsOf(entries []store.Entry) []kvPair {
	var pairs []kvPair
	for _, e := range entries {
		pairs = append(pairs, kvPair{
			Key: string(e.Key), Value: e.Value,
			ModifyIndex: uint64(e.Revision), Session: string(e.Lease),
		})
	}
	return pairs
}

func (s *Server) watch(r *http.Request, key store.Key) (view, outcome) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("index"), 10, 64)
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		wait = store.MaxWatchWait
	}
	return s.platform.watch(r.Context(), key, store.Position{Index: store.Index(after)}, wait)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	key := store.Key(r.PathValue("key"))
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, store.MaxValueBytes))
	if err != nil {
		http.Error(w, "Request body too large", http.StatusRequestEntityTooLarge)
		return
	}
	query := r.URL.Query()
	switch {
	case query.Has("cas"):
		s.compareAndSwap(w, r, key, value)
	case query.Has("acquire"):
		s.acquire(w, r, key, value)
	default:
		http.Error(w, "only writes with cas or acquire are supported", http.StatusBadRequest)
	}
}

func (s *Server) compareAndSwap(w http.ResponseWriter, r *http.Request, key store.Key, value []byte) {
	revision, err := strconv.ParseUint(r.URL.Query().Get("cas"), 10, 64)
	if err != nil {
		http.Error(w, "bad cas", http.StatusBadRequest)
		return
	}
	done := false
	o := s.platform.call(r.Context(), store.OpPut, key, func() {
		done = s.platform.put(key, value, store.Revision(revision))
	})
	if !writeFailure(w, o) {
		writeJSON(w, done)
	}
}

func (s *Server) acquire(w http.ResponseWriter, r *http.Request, key store.Key, value []byte) {
	id := store.LeaseID(r.URL.Query().Get("acquire"))
	var kind store.Kind
	var rejected bool
	o := s.platform.call(r.Context(), store.OpAcquire, key, func() {
		kind, rejected = s.platform.acquire(key, value, id)
	})
	if writeFailure(w, o) {
		return
	}
	if rejected && kind == store.LeaseLost {
		http.Error(w, "invalid session \""+string(id)+"\"", http.StatusInternalServerError)
		return
	}
	writeJSON(w, !rejected)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	key := store.Key(r.PathValue("key"))
	revision, err := strconv.ParseUint(r.URL.Query().Get("cas"), 10, 64)
	if err != nil {
		http.Error(w, "only deletes with cas are supported", http.StatusBadRequest)
		return
	}
	done := false
	o := s.platform.call(r.Context(), store.OpDelete, key, func() {
		done = s.platform.remove(key, store.Revision(revision))
	})
	if !writeFailure(w, o) {
		writeJSON(w, done)
	}
}

func (s *Server) createSession(w http.ResponseWriter, r *http.Request) {
	var spec struct{ TTL string }
	if err := json.NewDecoder(r.Body).Decode(&spec); err != nil {
		http.Error(w, "Request decode failed", http.StatusBadRequest)
		return
	}
	ttl, err := time.ParseDuration(spec.TTL)
	if err != nil || ttl < store.MinLeaseTTL || ttl > store.MaxLeaseTTL {
		http.Error(w, "Invalid Session TTL", http.StatusBadRequest)
		return
	}
	var id store.LeaseID
	o := s.platform.call(r.Context(), store.OpCreateLease, "", func() { id = s.platform.createLease(ttl) })
	if !writeFailure(w, o) {
		writeJSON(w, struct{ ID string }{string(id)})
	}
}

func (s *Server) renewSession(w http.ResponseWriter, r *http.Request) {
	id := store.LeaseID(r.PathValue("id"))
	renewed := false
	o := s.platform.call(r.Context(), store.OpRenewLease, store.Key(id), func() { renewed = s.platform.renewLease(id) })
	if writeFailure(w, o) {
		return
	}
	if !renewed {
		http.Error(w, "Session id \""+strings.TrimSpace(string(id))+"\" not found", http.StatusNotFound)
		return
	}
	writeJSON(w, []struct{ ID string }{{string(id)}})
}

func (s *Server) destroySession(w http.ResponseWriter, r *http.Request) {
	id := store.LeaseID(r.PathValue("id"))
	o := s.platform.call(r.Context(), store.OpRevokeLease, store.Key(id), func() { s.platform.endLease(id) })
	if !writeFailure(w, o) {
		writeJSON(w, true)
	}
}
