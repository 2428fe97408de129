package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/jujubehaven/jujubehaven/coordination/store"
)

// verb is the kind of an operation of a transaction.
type verb string

// Verbs that the service supports, of those that Consul's documentation names.
const (
	// verbCheckIndex fails unless the key has the index.
	verbCheckIndex verb = "check-index"
	// verbCAS writes the value if the key has the index, 0 for a key without a value.
	verbCAS verb = "cas"
	// verbDelete deletes the key, if there is one.
	verbDelete verb = "delete"
)

// txnOp is one operation of a transaction. Value is base64 in JSON.
type txnOp struct {
	Verb  verb
	Key   store.Key
	Value []byte
	Index store.Revision
}

// holds reports whether the operation can be done.
func (o txnOp) holds(v view) bool {
	entry, exists := v.entries[o.Key]
	switch o.Verb {
	case verbCheckIndex:
		return exists && entry.Revision == o.Index
	case verbCAS:
		return entry.Revision == o.Index
	}
	return true
}

// transact does all operations at one index and returns it, and -1. If one can't be
// done, none is, and its number is returned.
func (p *Platform) transact(ops []txnOp) (revision store.Revision, failed int) {
	failed = slices.IndexFunc(ops, func(o txnOp) bool { return !o.holds(p.view) })
	if failed >= 0 {
		return 0, failed
	}
	index := p.view.index + 1
	for _, o := range ops {
		if o.Verb == verbCheckIndex {
			continue
		}
		p.recordKey(o.Key)
		p.view.index = index
		holder := p.view.entries[o.Key].Lease
		delete(p.view.entries, o.Key)
		delete(p.view.deleted, o.Key)
		if o.Verb == verbDelete {
			p.view.deleted[o.Key] = index
			continue
		}
		p.view.entries[o.Key] = store.Entry{
			Key: o.Key, Value: slices.Clone(o.Value), Revision: store.Revision(index), Lease: holder,
		}
	}
	p.wakeWatches()
	return store.Revision(index), failed
}

// txnError is an operation of a transaction that could not be done.
type txnError struct {
	OpIndex int
	What    string
}

// parseTxn returns the operations of the body of PUT /v1/txn.
func parseTxn(body io.Reader) ([]txnOp, error) {
	var list []struct{ KV txnOp }
	if err := json.NewDecoder(body).Decode(&list); err != nil {
		return nil, errors.Wrap(err, "Failed to parse body")
	}
	var ops []txnOp
	for _, o := range list {
		if !slices.Contains([]verb{verbCheckIndex, verbCAS, verbDelete}, o.KV.Verb) {
			return nil, errors.Newf("verb %q is not supported", o.KV.Verb)
		}
		ops = append(ops, o.KV)
	}
	if len(ops) == 0 {
		return nil, errors.New("no operations")
	}
	return ops, nil
}

// transact serves PUT /v1/txn. A transaction counts as a write of its last key, or as
// the creation of a guard.
func (s *Server) transact(w http.ResponseWriter, r *http.Request) {
	ops, err := parseTxn(http.MaxBytesReader(w, r.Body, store.MaxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := ops[len(ops)-1].Key
	op := store.OpPut
	if key.HasPrefix(store.GuardsPrefix) {
		op = store.OpCreateGuard
	}
	var revision store.Revision
	var failed int
	o := s.platform.call(r.Context(), op, key, func() { revision, failed = s.platform.transact(ops) })
	if writeFailure(w, o) {
		return
	}
	if failed >= 0 {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
		writeJSON(w, map[string]any{"Errors": []txnError{{failed, fmt.Sprintf("key %q: index is stale", ops[failed].Key)}}})
		return
	}
	var results []map[string]kvPair
	for _, done := range ops {
		if done.Verb == verbCAS {
			results = append(results, map[string]kvPair{"KV": {Key: string(done.Key), ModifyIndex: uint64(revision)}})
		}
	}
	writeJSON(w, map[string]any{"Results": results, "Errors": nil})
}
