package platform

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubehaven/jujubehaven/coordination/store"
)

// maxUndoSteps bounds the recorded changes, so that a long run does not grow
// without end.
const maxUndoSteps = 10_000

// undoStep reverts one change.
type undoStep struct {
	at     time.Time
	revert func()
}

// record records how to revert a change that is about to be made.
func (p *Platform) record(revert func()) {
	if len(p.undo) >= maxUndoSteps {
		p.undo = append(p.undo[:0], p.undo[maxUndoSteps/2:]...)
		p.undoTrimmed = true
	}
	p.undo = append(p.undo, undoStep{at: p.now().Add(p.clockOffset), revert: revert})
}

// recordKey records the value of a key that is about to be changed.
func (p *Platform) recordKey(key store.Key) {
	index := p.view.index
	entry, exists := p.view.entries[key]
	deletedAt, deleted := p.view.deleted[key]
	p.record(func() {
		p.view.index = index
		restoreKey(p.view.entries, key, entry, exists)
		restoreKey(p.view.deleted, key, deletedAt, deleted)
	})
}

// recordLease records a lease that is about to be changed.
func (p *Platform) recordLease(id store.LeaseID) {
	l, exists := p.leases[id]
	p.record(func() { restoreKey(p.leases, id, l, exists) })
}

func restoreKey[K comparable, V any](m map[K]V, key K, value V, exists bool) {
	if exists {
		m[key] = value
		return
	}
	delete(m, key)
}

// Restore restores the service from a copy of its data that was made age ago:
// what was written since is lost, and its indexes are given out again. Values are
// not renumbered. It fails if the changes since then are no longer recorded.
func (p *Platform) Restore(age time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	copied := p.now().Add(p.clockOffset - age)
	if p.undoTrimmed && (len(p.undo) == 0 || p.undo[0].at.After(copied)) {
		return errors.Newf("the changes of the last %s are not recorded", age)
	}
	for len(p.undo) > 0 && p.undo[len(p.undo)-1].at.After(copied) {
		last := len(p.undo) - 1
		p.undo[last].revert()
		p.undo = p.undo[:last]
	}
	p.view.epoch++
	p.wakeWatches()
	return nil
}
