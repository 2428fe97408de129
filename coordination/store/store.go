// Package store is the interface to the platform's key-value service, which
// holds the operators' documents. It does no I/O; transport/consul implements
// it over HTTP and internal/fakes/platform in memory.
package store

import (
	"context"
	"strings"
	"time"
)

// Key names a value; its parts are separated by '/'.
type Key string

// HasPrefix reports whether the key begins with the prefix.
func (k Key) HasPrefix(prefix Key) bool { return strings.HasPrefix(string(k), string(prefix)) }

// Revision counts the writes of the whole store: a value's revision is that of
// its last write. 0 stands for a key without a value.
type Revision uint64

// Index is a position in the store's history that a watch resumes from.
type Index uint64

// LeaseID identifies a lease.
type LeaseID string

// Bounds of the platform's service.
const (
	// MaxValueBytes is the longest value.
	MaxValueBytes = 1_000_000
	// MinLeaseTTL and MaxLeaseTTL bound how long a lease lives without renewal.
	MinLeaseTTL = 10 * time.Second
	MaxLeaseTTL = 24 * time.Hour
	// MaxWatchWait is the longest time that a watch waits for a change.
	MaxWatchWait = 10 * time.Minute
)

// Entry is a key with its value.
type Entry struct {
	Key      Key
	Value    []byte
	Revision Revision
	// Lease is the lease that holds the key, empty if none does.
	Lease LeaseID
}

// Snapshot is the entries under a prefix, ordered by key, as of an index.
// It may be older than one that was read before: servers answer from copies.
type Snapshot struct {
	Entries []Entry
	Index   Index
}

// Store reads, writes and watches values. Every error is an *Error. A write
// whose error is of kind UnknownOutcome may have taken effect, at once or
// later; the caller settles it by reading back.
type Store interface {
	// Get returns the entry, or an error of kind NotFound.
	Get(ctx context.Context, key Key) (Entry, error)
	// List returns the entries whose keys begin with the prefix.
	List(ctx context.Context, prefix Key) (Snapshot, error)
	// Put writes the value if the key's revision is still the expected one,
	// 0 for a key without a value; else the error is of kind Conflict.
	Put(ctx context.Context, key Key, value []byte, expected Revision) error
	// Delete removes the value if its revision is still the expected one;
	// else the error is of kind Conflict.
	Delete(ctx context.Context, key Key, expected Revision) error
	// Watch returns the index of the last change under the prefix once it is
	// above after, or when the wait is over. Index 0 returns at once. A returned
	// index below after means that the store's history was lost: List again
	// and watch from the returned index.
	Watch(ctx context.Context, prefix Key, after Index, wait time.Duration) (Index, error)
}

// Change is an entry as it was written, or a key that was deleted.
type Change struct {
	Entry
	Deleted bool
}

// Changes is what happened under a prefix, in order, up to an index.
type Changes struct {
	List  []Change
	Index Index
}

// Feed reads a store whose watches tell what has changed. Every error is an
// *Error.
type Feed interface {
	// List returns the entries whose keys begin with the prefix. The changes
	// after its index lead from it to the present.
	List(ctx context.Context, prefix Key) (Snapshot, error)
	// Changes returns the changes after an index once there are any, or none
	// when the wait is over. Its error is of kind HistoryLost if the store has
	// dropped some of them.
	Changes(ctx context.Context, prefix Key, after Index, wait time.Duration) (Changes, error)
}

// Leases lets one holder at a time mark a key as held. A holder that was
// paused may believe in a lease that has lapsed: what it writes must be a Put
// with the revision that it read under the lease, since lapsing and a later
// Acquire change the revision.
type Leases interface {
	// CreateLease returns a lease that lapses when not renewed for ttl.
	CreateLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease restarts the ttl, or fails with kind LeaseLost.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends the lease and releases its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Acquire writes the value and marks the key as held by the lease. It
	// fails with kind Held if another lease holds the key and with kind
	// LeaseLost if the lease has lapsed.
	Acquire(ctx context.Context, key Key, value []byte, id LeaseID) error
}
