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
	// unclaimTimeout bounds the removal of a claim after a change.
	unclaimTimeout = 2 * time.Second
)

// Writer writes changes. It is safe for concurrent use.
type Writer struct {
	store store.Store
	newID func() string
	sleep func(context.Context, time.Duration) error
}

// Options are the parts of a Writer that tests replace.
type Options struct {
	// Sleep waits between attempts; nil stands for a timer.
	Sleep func(context.Context, time.Duration) error
}

// NewWriter returns a writer; newID returns an ID that no other change has.
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

// Request is a change that an operator wants.
type Request struct {
	Document document.Document
	Text     []byte
	// Team is the team that the operator acts for; empty stands for the team
	// that the document names.
	Team string
	// Above is a generation that hosts had in force before this request; the
	// store is behind it only if it went back to an old copy.
	Above uint64
}

// Plan is a checked change that was not written yet.
type Plan struct {
	Key document.Key
	// Base is what the store had; its Revision is 0 for a new document.
	Base Stored
	// Next is what is to be written.
	Next Stored
	// Unchanged means that the store has the wanted content already; Next is
	// equal to Base then.
	Unchanged bool
	// Diff shows the change.
	Diff string
	// WentBack means that the store has an older generation than one known
	// from the request, so that it was restored from an old copy.
	WentBack bool
	// Invalid has the other texts in the store that are no valid documents.
	Invalid []*InvalidError
}

// Plan checks a change against the store and says what it would write. The
// error is a *CheckError, *OwnerError, *ConflictError or *store.Error.
func (w *Writer) Plan(ctx context.Context, r Request) (Plan, error) {
	all, err := Load(ctx, w.store)
	if err != nil {
		return Plan{}, err
	}
	return w.plan(all, r)
}

func (w *Writer) plan(all All, r Request) (Plan, error) {
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
	if conflicts := involving(plan.Key, document.CheckSet(all.with(r.Document))); len(conflicts) > 0 {
		return plan, &CheckError{Conflicts: conflicts}
	}
	plan.WentBack = r.knownGeneration() > plan.Base.generation()
	next := max(plan.Base.generation(), r.knownGeneration()) + 1
	doc, text, err := document.WithVersion(r.Document, r.Text, next, w.newID())
	if err != nil {
		return plan, err
	}
	plan.Next = Stored{Document: doc, Text: text}
	plan.Diff = document.Diff(string(plan.Base.Text), string(text))
	return plan, nil
}

// isUnchanged reports whether the store has the wanted content, in a
// generation that is not below one known from elsewhere.
func isUnchanged(base Stored, r Request) bool {
	return base.Revision != 0 &&
		base.generation() >= r.knownGeneration() &&
		document.SameContent(base.Document, r.Document)
}

// knownGeneration is the highest generation that the document is known to
// have had.
func (r Request) knownGeneration() uint64 { return max(r.Document.Generation(), r.Above) }

// checkOwner refuses a change by another team than the owner. A new document
// belongs to the team it names; its owner may name another team and so hand
// the document over.
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
// A document that names a higher generation than the store has was read before
// the store went back, and is written above both.
func checkBase(base Stored, r Request) error {
	mine := r.Document.Generation()
	if mine == 0 || mine > base.generation() {
		return nil
	}
	if mine == base.generation() && r.Document.Change() == base.Document.Change() {
		return nil
	}
	return &ConflictError{
		Key: r.Document.Key(), Base: mine, Theirs: base,
		Diff: document.Diff(string(r.Text), string(base.Text)),
	}
}

// Write carries out a plan. It reads back and repeats attempts without an
// answer until one is settled or the context is done: the expected revision
// lets the change take effect once only. The error is a *CheckError,
// *ConflictError or *store.Error; one of kind UnknownOutcome says that the
// change may have been written or may still be.
func (w *Writer) Write(ctx context.Context, plan Plan) error {
	if plan.Unchanged {
		return nil
	}
	service := plan.Next.Document.Service
	if service == nil || !adds(plan.Base, *service) {
		return w.put(ctx, plan)
	}
	if err := w.claimed(ctx, *service); err != nil {
		w.endClaim(ctx, service.Change)
		return nothingWritten(err)
	}
	err := w.put(ctx, plan)
	if !store.IsKind(err, store.UnknownOutcome) {
		w.endClaim(ctx, service.Change)
	}
	return err
}

func (w *Writer) put(ctx context.Context, plan Plan) error {
	key := store.DocumentKey(plan.Key)
	lost := false
	err := w.repeat(ctx, func() (done bool, err error) {
		err = w.store.Put(ctx, key, plan.Next.Text, plan.Base.Revision)
		switch {
		case store.IsKind(err, store.UnknownOutcome):
			lost = true
			if w.isWritten(ctx, plan) {
				return true, nil
			}
		case store.IsKind(err, store.Conflict):
			return w.settle(ctx, plan, lost)
		}
		return err == nil, err
	})
	if lost && store.IsKind(err, store.Unavailable) {
		return &store.Error{Op: store.OpPut, Key: key, Kind: store.UnknownOutcome, Cause: err}
	}
	return err
}

// nothingWritten tells that the document was not written although a write of
// the claim may have been.
func nothingWritten(err error) error {
	if store.IsKind(err, store.UnknownOutcome) {
		return &store.Error{Op: store.OpPut, Key: store.ClaimsKey, Kind: store.Unavailable, Cause: err}
	}
	return err
}

// isWritten reports whether the store is known to have the change.
func (w *Writer) isWritten(ctx context.Context, plan Plan) bool {
	entry, err := w.store.Get(ctx, store.DocumentKey(plan.Key))
	if err != nil {
		return false
	}
	doc, err := document.ParseStored(plan.Key, entry.Value)
	return err == nil && doc.Change() == plan.Next.Document.Change()
}

// settle reads back after a conflict: the change itself may be what moved the
// revision. lost says that an attempt went without an answer.
func (w *Writer) settle(ctx context.Context, plan Plan, lost bool) (done bool, err error) {
	all, err := Load(ctx, w.store)
	if err != nil {
		return false, err
	}
	theirs := all.Documents[plan.Key]
	if theirs.Revision != 0 && theirs.Document.Change() == plan.Next.Document.Change() {
		return true, nil
	}
	if theirs.Revision == plan.Base.Revision {
		// The write met a later revision than this read returned.
		return false, &store.Error{
			Op: store.OpList, Key: store.DocumentKey(plan.Key), Kind: store.Unavailable,
			Cause: errors.New("the store answers from an old copy"),
		}
	}
	// Each generation is written once, so that another change of the same
	// generation proves that this one was not written.
	replaced := theirs.generation() > plan.Next.Document.Generation()
	return true, &ConflictError{
		Key: plan.Key, Base: plan.Base.generation(), Theirs: theirs,
		Diff:       document.Diff(string(plan.Base.Text), string(theirs.Text)),
		MayHaveRun: lost && replaced,
	}
}

func (w *Writer) endClaim(ctx context.Context, change string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), unclaimTimeout)
	defer cancel()
	_ = w.unclaim(ctx, change) // the next change of the service ends it
}

// repeat calls attempt until it is done, fails for good or the context ends,
// with a growing delay and jitter between calls. It returns the last error.
func (w *Writer) repeat(ctx context.Context, attempt func() (done bool, err error)) error {
	for delay := minDelay; ; delay = min(2*delay, maxDelay) {
		done, err := attempt()
		if done || !transient(err) {
			return err
		}
		if w.sleep(ctx, delay/2+rand.N(delay/2)) != nil {
			return err
		}
	}
}

// transient reports whether another attempt may succeed.
func transient(err error) bool {
	var e *store.Error
	if !errors.As(err, &e) {
		return false
	}
	return e.Kind == store.Unavailable || e.Kind == store.UnknownOutcome || e.Kind == store.Conflict
}
