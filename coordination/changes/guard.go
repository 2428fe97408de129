package changes

import (
	"bytes"
	"context"

	"github.com/cockroachdb/errors"

	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/protocol/document"
)

// Compare-and-swap on a revision does not protect from a store that returns from an
// older copy: it gives the revision out again for another value. So each write is
// guarded (see store.Guard): the guard is created first, then what the write relies
// on is read and compared by its contents.

// Causes of errors after which another attempt may succeed.
var (
	errWrittenMeanwhile = errors.New("the key was written while this change was checked")
	errBaseUnchanged    = errors.New("the write conflicted but the contents are the same: " +
		"the read is stale, or the store has returned from an older copy")
)

// errBaseChanged means that the stored document is not the one that a plan was made
// from.
var errBaseChanged = errors.New("the stored document differs from the base of the change")

// retryLater returns an error that makes retry attempt again; nothing was written.
func retryLater(key store.Key, cause error) error {
	return &store.Error{Op: store.OpPut, Key: key, Kind: store.Unavailable, Cause: cause}
}

// guarded creates a guard and runs a write with it. The guard is removed if the write
// was not made, but not while the write's outcome is unknown.
func (w *Writer) guarded(ctx context.Context, write func(store.Guard) (wrote bool, err error)) error {
	guard, err := w.store.CreateGuard(ctx)
	if err != nil {
		return unwritten(err)
	}
	wrote, err := write(guard)
	if !wrote && !store.IsKind(err, store.UnknownOutcome) {
		w.removeGuard(ctx, guard)
	}
	return err
}

// removeGuard removes a guard, also if ctx is already done.
func (w *Writer) removeGuard(ctx context.Context, guard store.Guard) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	_ = w.store.Delete(ctx, guard.Key, guard.Revision) // a guard that stays does no harm
}

// unwritten returns the error of a write that nothing relies on as Unavailable if its
// outcome is unknown: the document was not written.
func unwritten(err error) error {
	var e *store.Error
	if errors.As(err, &e) && e.Kind == store.UnknownOutcome {
		return &store.Error{Op: e.Op, Key: e.Key, Kind: store.Unavailable, Cause: err}
	}
	return err
}

// putGuarded writes the document of a plan once. It fails with errBaseChanged if the
// stored document is not the plan's base, and with errClaimLost if the plan's claim
// is not in the store. guard is that of the write, its key empty if the write was not
// sent.
func (w *Writer) putGuarded(ctx context.Context, plan Plan, claimed bool) (guard store.Guard, err error) {
	key := store.DocumentKey(plan.Key)
	err = w.guarded(ctx, func(created store.Guard) (bool, error) {
		base, err := w.read(ctx, key)
		switch {
		case err != nil:
			return false, err
		case !sameValue(base, plan.Base):
			return false, errBaseChanged
		case base.Revision > created.Revision:
			return false, retryLater(key, errWrittenMeanwhile)
		}
		if claimed {
			if err := w.checkOwnClaim(ctx, plan.Next.Document.Change()); err != nil {
				return false, err
			}
		}
		guard = created
		err = w.store.PutGuarded(ctx, key, plan.Next.Text, base.Revision, created)
		return err == nil, err
	})
	return guard, err
}

// read returns the entry of a key, empty if there is none.
func (w *Writer) read(ctx context.Context, key store.Key) (store.Entry, error) {
	all, err := w.store.List(ctx, key)
	if err != nil {
		return store.Entry{}, err
	}
	for _, e := range all.Entries {
		if e.Key == key {
			return e, nil
		}
	}
	return store.Entry{}, nil
}

// sameValue reports whether an entry has the text of a stored document, or neither
// exists.
func sameValue(e store.Entry, s Stored) bool {
	return (e.Revision == 0) == (s.Revision == 0) && bytes.Equal(e.Value, s.Text)
}

// guardLost reports whether a guard is not in the store, or may not be: its write has
// taken effect, or the store was restored from a copy that lacks it.
func (w *Writer) guardLost(ctx context.Context, guard store.Guard) bool {
	entry, err := w.store.Get(ctx, guard.Key)
	return err != nil || entry.Revision != guard.Revision
}

// conflictError returns the error of a plan whose base is not what the store has.
func conflictError(plan Plan, current Stored) *ConflictError {
	return &ConflictError{
		Key: plan.Key, Base: plan.Base.generation(), Current: current,
		Diff: document.Diff(string(plan.Base.Text), string(current.Text)),
	}
}
