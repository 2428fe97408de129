package changes

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/protocol/document"
)

const (
	// minDelay and maxDelay bound the delay between attempts.
	minDelay = 20 * time.Millisecond
	maxDelay = time.Second
	// cleanupTimeout is the timeout for removing a claim or a guard after a change.
	cleanupTimeout = 2 * time.Second
)

// Writer writes changes to the store. It is safe for concurrent use.
type Writer struct {
	store store.Store
	newID func() string
	sleep func(context.Context, time.Duration) error
}

// Options are the parts of a Writer that tests replace.
type Options struct {
	// Sleep waits between attempts; nil uses a timer.
	Sleep func(context.Context, time.Duration) error
}

// NewWriter returns a writer; newID returns a unique ID for each change.
func NewWriter(s store.Store, newID func() string, o Options) *Writer {
	if o.Sleep == nil {
		o.Sleep = sleep
	}
	return &Writer{store: s, newID: newID, sleep: o.Sleep}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Request is a change requested by an operator.
type Request struct {
	Document document.Document
	Text     []byte
	// Team is the team on whose behalf the operator acts; empty means the team
	// that the document names.
	Team string
	// InForceGeneration is the highest generation known to be in force on hosts.
	// The store has a lower one only if it was restored from an old copy.
	InForceGeneration uint64
}

// Plan is a checked change that is not written yet.
type Plan struct {
	Key document.Key
	// Base is the stored document; its Revision is 0 if there is none.
	Base Stored
	// Next is the document to be written.
	Next Stored
	// Unchanged means that the store already has the requested content; Next is
	// then equal to Base.
	Unchanged bool
	// Diff shows the change.
	Diff string
	// StoreReverted means that the stored generation is lower than one known from
	// the request, so that the store was restored from an old copy.
	StoreReverted bool
	// Invalid lists the other stored texts that are not valid documents.
	Invalid []*InvalidError
}

// Plan checks a change against the store and returns what it would write. The
// error is an *InvalidError if the stored text of the document is invalid, else a
// *CheckError, *OwnerError, *ConflictError or *store.Error.
func (w *Writer) Plan(ctx context.Context, r Request) (Plan, error) {
	all, err := Load(ctx, w.store)
	if err != nil {
		return Plan{}, err
	}
	return w.plan(all, r)
}

func (w *Writer) plan(all Snapshot, r Request) (Plan, error) {
	plan := Plan{Key: r.Document.Key(), Invalid: all.Invalid}
	plan.Base = all.Documents[plan.Key]
	if err := all.invalid(plan.Key); err != nil {
		return plan, err
	}
	if err := checkOwner(plan.Base, r); err != nil {
		return plan, err
	}
	if isUnchanged(plan.Base, r) {
		plan.Next = plan.Base
		plan.Unchanged = true
		return plan, nil
	}
	if err := checkBase(plan.Base, r); err != nil {
		return plan, err
	}
	if conflicts := conflictsWith(plan.Key, document.CheckSet(all.withDocument(r.Document))); len(conflicts) > 0 {
		return plan, &CheckError{Conflicts: conflicts}
	}
	plan.StoreReverted = r.knownGeneration() > plan.Base.generation()
	next := max(plan.Base.generation(), r.knownGeneration()) + 1
	doc, text, err := document.WithVersion(r.Document, r.Text, next, w.newID())
	if err != nil {
		return plan, err
	}
	plan.Next = Stored{Document: doc, Text: text}
	plan.Diff = document.Diff(string(plan.Base.Text), string(text))
	return plan, nil
}

// isUnchanged reports whether the store has the requested content, in a
// generation that is not below the known one.
func isUnchanged(base Stored, r Request) bool {
	return base.Revision != 0 &&
		base.generation() >= r.knownGeneration() &&
		document.SameContent(base.Document, r.Document)
}

// knownGeneration returns the highest generation that the document is known to
// have had.
func (r Request) knownGeneration() uint64 { return max(r.Document.Generation(), r.InForceGeneration) }

// checkOwner refuses a change by a team that does not own the document. A new
// document belongs to the team it names; the owner may name another team to
// transfer the document.
func checkOwner(base Stored, r Request) error {
	service := r.Document.Service
	if service == nil {
		return nil
	}
	team, owner := r.Team, service.Team
	if team == "" {
		team = service.Team
	}
	if base.Revision != 0 {
		owner = base.Document.Service.Team
	}
	if team != owner {
		return &OwnerError{Key: r.Document.Key(), Owner: owner, Team: team}
	}
	return nil
}

// checkBase refuses a change made from an older document than the stored one.
// A document with a higher generation than the stored one was read before the
// store was restored from an old copy, and is written with a higher generation
// than both.
func checkBase(base Stored, r Request) error {
	generation := r.Document.Generation()
	if generation == 0 || generation > base.generation() {
		return nil
	}
	if generation == base.generation() && r.Document.Change() == base.Document.Change() {
		return nil
	}
	return &ConflictError{
		Key: r.Document.Key(), Base: generation, Current: base,
		Diff: document.Diff(string(r.Text), string(base.Text)),
	}
}

// Write writes a planned change. If an attempt's answer is lost, it reads the
// document back and retries until the outcome is known or the context is done; the
// compared contents make the write idempotent. The error is a *CheckError,
// *ConflictError or *store.Error; the kind UnknownOutcome means that the change may
// have been written or may still be.
func (w *Writer) Write(ctx context.Context, plan Plan) error {
	if plan.Unchanged {
		return nil
	}
	service := plan.Next.Document.Service
	if service == nil || !needsClaim(plan.Base, *service) {
		return w.put(ctx, plan, false)
	}
	if err := w.acquireClaim(ctx, *service); err != nil {
		w.releaseClaim(ctx, service.Change)
		return unwritten(err)
	}
	err := w.put(ctx, plan, true)
	if !store.IsKind(err, store.UnknownOutcome) {
		w.releaseClaim(ctx, service.Change)
	}
	return err
}

// put writes the document of a plan; claimed is set if the plan needs its claim.
func (w *Writer) put(ctx context.Context, plan Plan, claimed bool) error {
	// unanswered holds the guards of the attempts whose outcome is unknown.
	var unanswered []store.Guard
	err := w.retry(ctx, func() (done bool, err error) {
		guard, err := w.putGuarded(ctx, plan, claimed)
		switch {
		case errors.Is(err, errBaseChanged), errors.Is(err, errClaimLost), store.IsKind(err, store.Conflict):
			return w.resolveConflict(ctx, plan, err, unanswered)
		case store.IsKind(err, store.UnknownOutcome):
			unanswered = append(unanswered, guard)
			if w.isWritten(ctx, plan) {
				return true, nil
			}
		}
		return err == nil, err
	})
	if err == nil {
		for _, guard := range unanswered {
			w.removeGuard(ctx, guard)
		}
	}
	if len(unanswered) > 0 && store.IsKind(err, store.Unavailable) {
		return &store.Error{Op: store.OpPut, Key: store.DocumentKey(plan.Key), Kind: store.UnknownOutcome, Cause: err}
	}
	return err
}

// isWritten reports whether reading the document back shows the change.
func (w *Writer) isWritten(ctx context.Context, plan Plan) bool {
	entry, err := w.store.Get(ctx, store.DocumentKey(plan.Key))
	if err != nil {
		return false
	}
	doc, err := document.ParseStored(plan.Key, entry.Value)
	return err == nil && doc.Change() == plan.Next.Document.Change()
}

// resolveConflict reads the document back after an attempt that did not find what
// the plan relies on, as an earlier attempt of this change may have written it.
// unanswered holds the guards of the attempts whose outcome is unknown.
func (w *Writer) resolveConflict(ctx context.Context, plan Plan, cause error, unanswered []store.Guard) (done bool, err error) {
	all, err := Load(ctx, w.store)
	if err != nil {
		return false, err
	}
	current := all.Documents[plan.Key]
	if current.Revision != 0 && current.Document.Change() == plan.Next.Document.Change() {
		return true, nil
	}
	sameBase := sameValue(store.Entry{Value: current.Text, Revision: current.Revision}, plan.Base)
	if sameBase && !errors.Is(cause, errClaimLost) {
		return false, retryLater(store.DocumentKey(plan.Key), errBaseUnchanged)
	}
	conflict := conflictError(plan, current)
	conflict.ClaimLost = sameBase
	conflict.MayHaveRun = w.mayHaveRun(ctx, unanswered)
	return true, conflict
}

// mayHaveRun reports whether a change that is not in the store may have been in force
// for a time. As long as its guard is in the store, an attempt has had no effect. That
// would be wrong only after a restore from a copy that was made between the creation
// of the guard and its write.
func (w *Writer) mayHaveRun(ctx context.Context, unanswered []store.Guard) bool {
	lost := false
	for _, guard := range unanswered {
		if w.guardLost(ctx, guard) {
			lost = true
			continue
		}
		w.removeGuard(ctx, guard)
	}
	return lost
}

// releaseClaim removes a claim, also if ctx is already done.
func (w *Writer) releaseClaim(ctx context.Context, change string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	_ = w.removeClaim(ctx, change) // on failure, the service's next change ends the claim
}

// retry calls attempt until it is done, fails permanently or the context ends,
// with exponential backoff and jitter. It returns the last error.
func (w *Writer) retry(ctx context.Context, attempt func() (done bool, err error)) error {
	for delay := minDelay; ; delay = min(2*delay, maxDelay) {
		done, err := attempt()
		if done || !isTransient(err) {
			return err
		}
		if w.sleep(ctx, delay/2+rand.N(delay/2)) != nil {
			return err
		}
	}
}

// isTransient reports whether another attempt may succeed.
func isTransient(err error) bool {
	var e *store.Error
	if !errors.As(err, &e) {
		return false
	}
	return e.Kind == store.Unavailable || e.Kind == store.UnknownOutcome || e.Kind == store.Conflict
}
