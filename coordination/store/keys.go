package store

import (
	"strings"

	"github.com/jujubehaven/jujubehaven/protocol/document"
)

// Keys of the project in the platform's store.
const (
	// DocumentsPrefix is the prefix of the keys of all documents.
	DocumentsPrefix Key = "jujubehaven/documents/"
	// ClaimsKey holds the addresses that are assigned to services or about to be.
	ClaimsKey Key = "jujubehaven/claims"
	// GuardsPrefix is the prefix of the keys of guards.
	GuardsPrefix Key = "jujubehaven/guards/"
	// HostsKey holds the platform's list of live and leaving hosts, in the
	// format of package hostlist.
	HostsKey Key = "jujubehaven/hosts"
)

// DocumentKey returns the key under which the document is stored.
func DocumentKey(key document.Key) Key {
	return DocumentsPrefix + Key(key)
}

// Document returns the key of the document stored under k, and false if k is
// not the key of a document.
func (k Key) Document() (document.Key, bool) {
	name, found := strings.CutPrefix(string(k), string(DocumentsPrefix))
	key := document.Key(name)
	return key, found && key.Valid()
}
