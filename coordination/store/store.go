// Package store defines the interface to the platform's key-value service,
// which holds the operators' documents. It does no I/O; transport/consul
// implements it over HTTP and internal/fakes/platform in memory.
package store

import (
	"context"
	"strings"
	"time"
)

// Key is the key of a value; its parts are separated by '/'.
type Key string

// HasPrefix reports whether the key begins with the prefix.
func (k Key) HasPrefix(prefix Key) bool { return strings.HasPrefix(string(k), string(prefix)) }

// Revision counts the writes to the whole store: a value's revision is that of
// its last write. 0 means that the key has no value.
type Revision uint64

// Index is a position in the store's history from which a watch resumes.
type Index uint64

// LeaseID identifies a lease.
type LeaseID string

// Limits of the platform's service.
const (
	// MaxValueBytes is the maximum length of a value in bytes.
	MaxValueBytes = 1_000_000
	// MinLeaseTTL and MaxLeaseTTL bound the time to live of a lease without
	// renewal.
	MinLeaseTTL = 10 * time.Second
	MaxLeaseTTL = 24 * time.Hour
	// MaxWatchWait is the longest time that a watch may wait for a change.
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

// Snapshot is the entries under a prefix, ordered by key, as of an index. It
// may be older than one read before: replicas answer reads. A Store that does not
// report epochs leaves Epoch 0.
type Snapshot struct {
	Entries []Entry
	Epoch   Epoch
	Index   Index
}

// Position returns the position of the snapshot.
func (s *Snapshot) Position() Position { return Position{Epoch: s.Epoch, Index: s.Index} }

// Guard is an entry under a key that is used once. A revision does not identify a
// value: a store that was restored from an older copy gives it out again for another
// one. The copy has either both the guard and all that was written before it, or no
// guard. So a guarded write relies on a value only if it was read after the guard was
// created and has a lower revision than the guard.
type Guard struct {
	Key      Key
	Revision Revision
}

// Store reads, writes and watches values. Every error is an *Error. A write
// that fails with kind UnknownOutcome may have taken effect or may still do so;
// the caller has to read the value back.
type Store interface {
	// Get returns the entry, or an error of kind NotFound.
	Get(ctx context.Context, key Key) (Entry, error)
	// List returns the entries whose keys begin with the prefix.
	List(ctx context.Context, prefix Key) (Snapshot, error)
	// Put writes the value if the key's revision is the expected one, 0 for a key
	// without a value; else the error is of kind Conflict.
	Put(ctx context.Context, key Key, value []byte, expected Revision) error
	// Delete removes the value if its revision is the expected one; else the
	// error is of kind Conflict.
	Delete(ctx context.Context, key Key, expected Revision) error
	// CreateGuard writes a new guard.
	CreateGuard(ctx context.Context) (Guard, error)
	// PutGuarded writes the value like Put and removes the guard, in one step. The
	// error is of kind Conflict, and nothing is written, if the key's revision is not
	// the expected one or if the guard no longer exists.
	PutGuarded(ctx context.Context, key Key, value []byte, expected Revision, guard Guard) error
	// Watch returns the position of the last change under the prefix once its index
	// is above that of after, or when wait has passed. With after zero it returns at
	// once. A position of another epoch means that the store was restored from an
	// older copy: the caller has to call List again and watch from its position.
	Watch(ctx context.Context, prefix Key, after Position, wait time.Duration) (Position, error)
}

// Change is a written entry or a deleted key.
type Change struct {
	Entry
	Deleted bool
}

// Changes is the changes under a prefix, in order, up to an index of an epoch. If
// the epoch is not that of the requested index, or the index is below it, the
// changes belong to another history and don't continue the caller's.
type Changes struct {
	List  []Change
	Epoch Epoch
	Index Index
}

// Feed reads a store that returns the changes themselves to a watch. Every
// error is an *Error.
type Feed interface {
	// List returns the entries whose keys begin with the prefix. Changes after
	// its index continue from this state.
	List(ctx context.Context, prefix Key) (Snapshot, error)
	// Changes returns the changes after an index once there are any, or none when
	// wait has passed. Its error is of kind HistoryLost if the store no longer
	// has some of them, and of kind TooLong if the client can't read so many: List
	// returns the state that they lead to.
	// An answer may hold only the first ones: it then ends at the index of its last
	// change.
	Changes(ctx context.Context, prefix Key, after Index, wait time.Duration) (Changes, error)
	// Head returns the position of the store. All writes that were acknowledged before
	// the call are at it or before.
	Head(ctx context.Context) (Position, error)
}

// Leases lets one holder at a time hold a key. A holder that was paused may not
// notice that its lease has expired: it must write with Put and the revision
// that it read under the lease, since the expiry and a later Acquire change the
// revision.
type Leases interface {
	// CreateLease returns a lease that expires unless it is renewed within ttl.
	CreateLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease restarts the lease's ttl, or fails with kind LeaseLost.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends the lease and releases its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Acquire writes the value and marks the key as held by the lease. It fails
	// with kind Held if another lease holds the key and with kind LeaseLost if
	// the lease has expired.
	Acquire(ctx context.Context, key Key, value []byte, id LeaseID) error
}
