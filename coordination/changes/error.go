package changes

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/protocol/document"
)

// errNotDocumentKey is the cause for a key that is not a document's key.
var errNotDocumentKey = errors.New("not the key of a document")

// InvalidError reports a stored text that is not a valid document. It was not
// written by this package and has to be removed from the store by hand.
type InvalidError struct {
	Key   store.Key
	Cause error
}

// Error returns the key and the cause.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("store: %s: %s", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *InvalidError) Unwrap() error { return e.Cause }

// CheckError means that a document conflicts with others in the store, or with
// a change of another service that is under way. Nothing was written.
type CheckError struct {
	Conflicts []document.Conflict
	// Pending is set when the conflict is with a change that is under way.
	Pending bool
}

// Error lists the conflicts, one per line.
func (e *CheckError) Error() string {
	lines := make([]string, len(e.Conflicts))
	for i, c := range e.Conflicts {
		lines[i] = c.Error()
		if e.Pending {
			lines[i] += " (claimed by a change that is under way)"
		}
	}
	return strings.Join(lines, "\n")
}

// OwnerError means that another team owns the document. Nothing was written.
type OwnerError struct {
	Key document.Key
	// Owner is the team that owns the document, Team the one that requested the
	// change.
	Owner, Team string
}

// Error returns the document's key and the teams.
func (e *OwnerError) Error() string {
	return fmt.Sprintf("%s belongs to team %s; team %s cannot change it", e.Key, e.Owner, e.Team)
}

// ConflictError means that another change of the document was written after the
// base of this change, or that the store has lost what this change relies on. This
// change was not written, unless MayHaveRun is set: then it may have been written
// before the other replaced it.
type ConflictError struct {
	Key document.Key
	// Base is the generation from which the change was made.
	Base uint64
	// Current is the document that is stored now.
	Current Stored
	// Diff shows the other change.
	Diff string
	// MayHaveRun is set when this change may have been in force for a time.
	MayHaveRun bool
	// ClaimLost is set when the store was restored from an older copy, which lacks
	// the claim of this change. Nobody has changed the document.
	ClaimLost bool
}

// Error returns the key and the generations, without the diff.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("%s: the change was made from generation %d; the store has generation %d",
		e.Key, e.Base, e.Current.generation())
	if e.Current.Revision != 0 {
		text += ", change " + e.Current.Document.Change()
	}
	if e.ClaimLost {
		text += "; the store has returned from an older copy and lost the claim of this change"
	}
	if e.MayHaveRun {
		text += "; this change may have been in force in between"
	}
	return text
}
