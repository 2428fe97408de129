package platform

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jujubehaven/jujubehaven/coordination/store"
)

// Memory implements store.Store and store.Leases without a network.
type Memory struct {
	platform *Platform
	// timeout bounds each call; for a watch, its wait is added.
	timeout time.Duration
}

var (
	_ store.Store  = (*Memory)(nil)
	_ store.Leases = (*Memory)(nil)
)

// NewMemory returns a store whose calls time out after timeout.
func NewMemory(p *Platform, timeout time.Duration) *Memory {
	return &Memory{platform: p, timeout: timeout}
}

// run executes one operation and converts its outcome into an error.
func (m *Memory) run(ctx context.Context, op store.Op, key store.Key, effect func()) error {
	ctx, cancel := context.WithTimeout(ctx, m.timeout)
	defer cancel()
	return outcomeError(m.platform.call(ctx, op, key, effect), op, key)
}

func outcomeError(o outcome, op store.Op, key store.Key) error {
	switch o {
	case refused:
		return &store.Error{Op: op, Key: key, Kind: store.Unavailable, Cause: errors.New("outage")}
	case canceled, unanswered:
		kind := store.Unavailable
		if op.Writes() {
			kind = store.UnknownOutcome
		}
		return &store.Error{Op: op, Key: key, Kind: kind, Cause: errors.New("no answer in time")}
	}
	return nil
}

// Get implements store.Store.
func (m *Memory) Get(ctx context.Context, key store.Key) (store.Entry, error) {
	var entry store.Entry
	var found bool
	err := m.run(ctx, store.OpGet, key, func() {
		entry, found = m.platform.readableView().entries[key]
	})
	if err == nil && !found {
		err = &store.Error{Op: store.OpGet, Key: key, Kind: store.NotFound}
	}
	return entry, err
}

// List implements store.Store.
func (m *Memory) List(ctx context.Context, prefix store.Key) (store.Snapshot, error) {
	var s store.Snapshot
	err := m.run(ctx, store.OpList, prefix, func() {
		v := m.platform.readableView()
		s = store.Snapshot{Entries: v.list(prefix), Epoch: v.epoch, Index: v.indexOf(prefix)}
	})
	return s, err
}

// Put implements store.Store.
func (m *Memory) Put(ctx context.Context, key store.Key, value []byte, expected store.Revision) error {
	if len(value) > store.MaxValueBytes {
		return &store.Error{Op: store.OpPut, Key: key, Kind: store.Invalid, Cause: errors.New("value too long")}
	}
	done := false
	err := m.run(ctx, store.OpPut, key, func() { done = m.platform.put(key, value, expected) })
	return conflictError(err, done, store.OpPut, key)
}

// Delete implements store.Store.
func (m *Memory) Delete(ctx context.Context, key store.Key, expected store.Revision) error {
	done := false
	err := m.run(ctx, store.OpDelete, key, func() { done = m.platform.remove(key, expected) })
	return conflictError(err, done, store.OpDelete, key)
}

// CreateGuard implements store.Store.
func (m *Memory) CreateGuard(ctx context.Context) (store.Guard, error) {
	guard := store.Guard{Key: store.GuardsPrefix + store.Key(rand.Text())}
	err := m.run(ctx, store.OpCreateGuard, guard.Key, func() {
		guard.Revision, _ = m.platform.transact([]txnOp{{Verb: verbCAS, Key: guard.Key}})
	})
	return guard, err
}

// PutGuarded implements store.Store.
func (m *Memory) PutGuarded(ctx context.Context, key store.Key, value []byte, expected store.Revision, guard store.Guard) error {
	if len(value) > store.MaxValueBytes {
		return &store.Error{Op: store.OpPut, Key: key, Kind: store.Invalid, Cause: errors.New("value too long")}
	}
	failed := -1
	err := m.run(ctx, store.OpPut, key, func() {
		_, failed = m.platform.transact([]txnOp{
			{Verb: verbCheckIndex, Key: guard.Key, Index: guard.Revision},
			{Verb: verbDelete, Key: guard.Key},
			{Verb: verbCAS, Key: key, Value: value, Index: expected},
		})
	})
	return conflictError(err, failed < 0, store.OpPut, key)
}

func conflictError(err error, done bool, op store.Op, key store.Key) error {
	if err == nil && !done {
		return &store.Error{Op: op, Key: key, Kind: store.Conflict}
	}
	return err
}

// Watch implements store.Store.
func (m *Memory) Watch(ctx context.Context, prefix store.Key, after store.Position, wait time.Duration) (store.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, m.timeout+wait)
	defer cancel()
	v, o := m.platform.watch(ctx, prefix, after, wait)
	if err := outcomeError(o, store.OpWatch, prefix); err != nil {
		return store.Position{}, err
	}
	return v.position(prefix), nil
}

// CreateLease implements store.Leases.
func (m *Memory) CreateLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if ttl < store.MinLeaseTTL || ttl > store.MaxLeaseTTL {
		return "", &store.Error{Op: store.OpCreateLease, Kind: store.Invalid, Cause: errors.Newf("%s is out of range", ttl)}
	}
	var id store.LeaseID
	err := m.run(ctx, store.OpCreateLease, "", func() { id = m.platform.createLease(ttl) })
	return id, err
}

// RenewLease implements store.Leases.
func (m *Memory) RenewLease(ctx context.Context, id store.LeaseID) error {
	renewed := false
	err := m.run(ctx, store.OpRenewLease, store.Key(id), func() { renewed = m.platform.renewLease(id) })
	if err == nil && !renewed {
		return &store.Error{Op: store.OpRenewLease, Key: store.Key(id), Kind: store.LeaseLost}
	}
	return err
}

// RevokeLease implements store.Leases.
func (m *Memory) RevokeLease(ctx context.Context, id store.LeaseID) error {
	return m.run(ctx, store.OpRevokeLease, store.Key(id), func() { m.platform.endLease(id) })
}

// Acquire implements store.Leases.
func (m *Memory) Acquire(ctx context.Context, key store.Key, value []byte, id store.LeaseID) error {
	var kind store.Kind
	var rejected bool
	err := m.run(ctx, store.OpAcquire, key, func() { kind, rejected = m.platform.acquire(key, value, id) })
	if err == nil && rejected {
		return &store.Error{Op: store.OpAcquire, Key: key, Kind: kind}
	}
	return err
}
