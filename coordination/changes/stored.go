// Package changes writes operators' documents to the platform's store: it
// checks a document alone and against all others, prevents operators from
// overwriting each other's changes, and resolves the outcome of writes whose
// answer was lost.
package changes

import (
	"context"
	"maps"
	"slices"

	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/protocol/document"
)

// Stored is a document in the store, with its text and revision.
type Stored struct {
	Document document.Document
	Text     []byte
	Revision store.Revision
}

// generation returns the document's generation, 0 if it is not in the store.
func (s Stored) generation() uint64 {
	if s.Revision == 0 {
		return 0
	}
	return s.Document.Generation()
}

// Snapshot holds all documents in the store, by key.
type Snapshot struct {
	Documents map[document.Key]Stored
	// Invalid lists the stored texts that are not valid; hosts reject them, too.
	Invalid []*InvalidError
}

// invalid returns the error of the text stored under the key, or nil.
func (a Snapshot) invalid(key document.Key) error {
	for _, e := range a.Invalid {
		if e.Key == store.DocumentKey(key) {
			return e
		}
	}
	return nil
}

// Load reads all documents from the store.
func Load(ctx context.Context, s store.Store) (Snapshot, error) {
	snapshot, err := s.List(ctx, store.DocumentsPrefix)
	if err != nil {
		return Snapshot{}, err
	}
	all := Snapshot{Documents: map[document.Key]Stored{}}
	for _, entry := range snapshot.Entries {
		key, ok := entry.Key.Document()
		if !ok {
			all.Invalid = append(all.Invalid, &InvalidError{Key: entry.Key, Cause: errNotDocumentKey})
			continue
		}
		doc, err := document.ParseStored(key, entry.Value)
		if err != nil {
			all.Invalid = append(all.Invalid, &InvalidError{Key: entry.Key, Cause: err})
			continue
		}
		all.Documents[key] = Stored{Document: doc, Text: entry.Value, Revision: entry.Revision}
	}
	return all, nil
}

// Keys returns the keys of the documents in order.
func (a Snapshot) Keys() []document.Key { return slices.Sorted(maps.Keys(a.Documents)) }

// Zones returns the zones document, empty if the store has none.
func (a Snapshot) Zones() document.Zones {
	if s, ok := a.Documents[document.ZonesKey]; ok {
		return *s.Document.Zones
	}
	return document.Zones{}
}

// withDocument returns the services and zones with one document added or
// replaced.
func (a Snapshot) withDocument(doc document.Document) ([]document.Service, document.Zones) {
	docs := maps.Clone(a.Documents)
	docs[doc.Key()] = Stored{Document: doc}
	var services []document.Service
	for _, key := range slices.Sorted(maps.Keys(docs)) {
		if service := docs[key].Document.Service; service != nil {
			services = append(services, *service)
		}
	}
	if doc.Zones != nil {
		return services, *doc.Zones
	}
	return services, a.Zones()
}

// conflictsWith returns the conflicts that involve the document.
func conflictsWith(key document.Key, conflicts []document.Conflict) []document.Conflict {
	var found []document.Conflict
	for _, c := range conflicts {
		if c.First == key || c.Second == key {
			found = append(found, c)
		}
	}
	return found
}
