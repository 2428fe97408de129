package fleet

import "github.com/jujubehaven/jujubehaven/coordination/store"

// Keys says where a store keeps what a host follows.
type Keys struct {
	// Targets begins the keys of the targets' entries, Operator those of the
	// configuration and of the zones that are out.
	Targets, Operator store.Key
}

// Decoder reads the entries of one store. An error means that the entry is
// unusable; others hold.
type Decoder interface {
	// Target reads the entry of a target.
	Target(key store.Key, value []byte) (Target, error)
	// Operator reads an entry of the operator. The value of a deleted entry is
	// empty. A change beside an error is usable; the error names what was left
	// out of it.
	Operator(key store.Key, value []byte, deleted bool) (OperatorChange, error)
}

// OperatorChange is one change by the operator. All empty, it is none that a
// host follows.
type OperatorChange struct {
	// Config is a new configuration, nil if the change is another.
	Config *Config
	// Zone is the zone that is taken out or back, empty if none is.
	Zone    string
	ZoneOut bool
}
