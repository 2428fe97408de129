package fleet

import "github.com/jujubehaven/jujubehaven/coordination/store"

// Keys holds the key prefixes of the entries in the store that a host reads.
type Keys struct {
	// Targets is the prefix of the targets' entries, Operator that of the
	// configuration and of the zones that take no new flows.
	Targets, Operator store.Key
}

// Decoder decodes the entries of a store. An error means that the entry is
// unusable; it does not affect other entries.
type Decoder interface {
	// Target decodes the entry of a target.
	Target(key store.Key, value []byte) (Target, error)
	// Operator decodes an entry of the operator; value is empty if the entry was
	// deleted. If it returns both a change and an error, the change is usable and
	// the error names what was left out of it.
	Operator(key store.Key, value []byte, deleted bool) (OperatorChange, error)
}

// OperatorChange is one change by the operator. The zero value means that the
// entry is of no use to a host.
type OperatorChange struct {
	// Config is a new configuration, nil if the change is none.
	Config *Config
	// Zone is the zone whose state changes, empty if none does. ZoneOut is set if
	// it takes no new flows from now on.
	Zone    string
	ZoneOut bool
}
