// Package documents decides which documents are in force on a host. Texts are
// received from the platform's store and from peers in any order; a document is
// accepted only if its generation is higher than the one in force and it does
// not conflict with the others. The package does no I/O and reads no clock.
package documents

import (
	"maps"
	"slices"
	"strings"

	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/peer"
	"github.com/zeebo/xxh3"
)

// Text is a document as received from a source.
type Text struct {
	Key  document.Key
	YAML []byte
	// Source is the origin that events name: "store" or a host's name.
	Source string
}

// version is a parsed document with its text.
type version struct {
	doc    document.Document
	text   []byte
	source string
}

// Set holds the documents of one host. It is not safe for concurrent use.
type Set struct {
	inForce map[document.Key]version
	// held has the documents that are newer than those in force but conflict.
	held map[document.Key]version
	// heldReasons has the conflict for which each held document was last reported.
	heldReasons map[document.Key]string
	// rejectedHashes has the hash of the last rejected text of each key, so that
	// it is reported once and not at each read.
	rejectedHashes map[document.Key]uint64
	digest         uint64
	stats          Stats
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{
		inForce:        map[document.Key]version{},
		held:           map[document.Key]version{},
		heldReasons:    map[document.Key]string{},
		rejectedHashes: map[document.Key]uint64{},
	}
}

// Ready reports whether the zones document and at least one service are in force.
func (s *Set) Ready() bool {
	_, hasZones := s.inForce[document.ZonesKey]
	return hasZones && len(s.inForce) > 1
}

// Digest returns a hash of the keys and generations in force, 0 if none are.
func (s *Set) Digest() uint64 { return s.digest }

// Stats returns the outcomes of the texts offered so far.
func (s *Set) Stats() Stats { return s.stats }

// Services returns the services in force, ordered by name.
func (s *Set) Services() []document.Service {
	var services []document.Service
	for _, key := range s.keys() {
		if service := s.inForce[key].doc.Service; service != nil {
			services = append(services, *service)
		}
	}
	return services
}

// Zones returns the zones document in force, empty without one. A zone that a
// target names and the document does not is added as out: a zones document is
// never held because of a service's document, and nothing is sent to a zone that
// no zones document declares to be in service.
func (s *Set) Zones() document.Zones {
	v, ok := s.inForce[document.ZonesKey]
	if !ok {
		return document.Zones{}
	}
	zones := *v.doc.Zones
	zones.Zones = slices.Clone(zones.Zones)
	known := map[string]bool{}
	for _, zone := range zones.Zones {
		known[zone.Name] = true
	}
	for _, service := range s.Services() {
		for _, target := range service.Targets {
			if !known[target.Zone] {
				known[target.Zone] = true
				zones.Zones = append(zones.Zones, document.Zone{Name: target.Zone, State: document.ZoneOut})
			}
		}
	}
	return zones
}

// InForce lists the documents in force, ordered by key.
func (s *Set) InForce() []document.InForce {
	var list []document.InForce
	for _, key := range s.keys() {
		doc := s.inForce[key].doc
		list = append(list, document.InForce{
			Key: key, Generation: doc.Generation(), Change: doc.Change(),
		})
	}
	return list
}

// Inventory lists the documents in force for a peer.
func (s *Set) Inventory() peer.Inventory {
	var m peer.Inventory
	for _, d := range s.InForce() {
		m.Documents = append(m.Documents, peer.DocumentID{Key: string(d.Key), Generation: d.Generation})
	}
	return m
}

// Fetch returns the text of a document in force; ok is false if there is none.
func (s *Set) Fetch(m peer.Fetch) (doc peer.Document, ok bool) {
	v, ok := s.inForce[document.Key(m.Key)]
	if !ok {
		return peer.Document{}, false
	}
	return peer.Document{Key: m.Key, YAML: string(v.text)}, true
}

// Missing returns the keys of the documents that a peer has in a higher
// generation than the one that this host holds or, if none is held, has in force.
func (s *Set) Missing(m peer.Inventory) []document.Key {
	var keys []document.Key
	for _, id := range m.Documents {
		key := document.Key(id.Key)
		if key.Valid() && id.Generation > s.newest(key).generation() {
			keys = append(keys, key)
		}
	}
	return keys
}

func (s *Set) keys() []document.Key {
	return slices.SortedFunc(maps.Keys(s.inForce), func(a, b document.Key) int {
		return strings.Compare(string(a), string(b))
	})
}

// newest returns the held version of the key, else the one in force.
func (s *Set) newest(key document.Key) version {
	if v, ok := s.held[key]; ok {
		return v
	}
	return s.inForce[key]
}

// generation returns 0 for the zero version.
func (v version) generation() uint64 {
	if v.doc.Service == nil && v.doc.Zones == nil {
		return 0
	}
	return v.doc.Generation()
}

// versionHash returns the hash of one document that the digest combines by XOR.
func versionHash(key document.Key, generation uint64) uint64 {
	return xxh3.HashStringSeed(string(key), generation)
}

// put puts a version into force and updates the digest.
func (s *Set) put(key document.Key, v version) {
	if old, ok := s.inForce[key]; ok {
		s.digest ^= versionHash(key, old.generation())
	}
	s.inForce[key] = v
	s.digest ^= versionHash(key, v.generation())
}
