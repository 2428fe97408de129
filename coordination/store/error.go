package store

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kind classifies an error by what a caller may conclude from it.
type Kind uint8

const (
	// Unavailable means that the store could not be reached or did not answer a
	// read; nothing was written.
	Unavailable Kind = iota
	// UnknownOutcome means that a write may have taken effect or may still do so.
	UnknownOutcome
	// NotFound means that the key has no value.
	NotFound
	// Conflict means that the key's revision is not the expected one; nothing
	// was written.
	Conflict
	// Held means that another lease holds the key; nothing was written.
	Held
	// LeaseLost means that the lease has expired or does not hold the key.
	LeaseLost
	// Invalid means that the store rejects the request, also on a retry; nothing
	// was written.
	Invalid
	// HistoryLost means that the store no longer has the changes after the
	// given index; the caller has to call List again.
	HistoryLost
	// Overloaded means that the store rejected the call because of a rate limit
	// or of its load; nothing was done.
	Overloaded
	// Outdated means that the response describes an older epoch of the store than
	// one that the caller knows; it says nothing about the store's contents.
	Outdated
	// TooLong means that the answer is longer than the client reads. The same call
	// fails again as long as it has that answer.
	TooLong
)

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Unavailable:
		return "unavailable"
	case UnknownOutcome:
		return "unknown-outcome"
	case NotFound:
		return "not-found"
	case Conflict:
		return "conflict"
	case Held:
		return "held"
	case LeaseLost:
		return "lease-lost"
	case Invalid:
		return "invalid"
	case HistoryLost:
		return "history-lost"
	case Overloaded:
		return "overloaded"
	case Outdated:
		return "outdated"
	case TooLong:
		return "too-long"
	}
	return "unknown"
}

// Op names an operation of a Store or Leases.
type Op string

// Operations, as they appear in errors and in counts of calls.
const (
	OpGet         Op = "get"
	OpList        Op = "list"
	OpPut         Op = "put"
	OpDelete      Op = "delete"
	OpWatch       Op = "watch"
	OpChanges     Op = "changes"
	OpHead        Op = "head"
	OpCreateLease Op = "create-lease"
	OpRenewLease  Op = "renew-lease"
	OpRevokeLease Op = "revoke-lease"
	OpAcquire     Op = "acquire"
	OpCreateGuard Op = "create-guard"
)

// Writes reports whether the operation changes the store.
func (o Op) Writes() bool {
	return o != OpGet && o != OpList && o != OpWatch && o != OpChanges && o != OpHead
}

// Error is the failure of one operation.
type Error struct {
	Op   Op
	Key  Key
	Kind Kind
	// Epoch is the epoch that the response named, 0 if it named none.
	Epoch Epoch
	// Cause is the underlying error, nil if there is none.
	Cause error
}

// Error returns the operation, the key, the kind and the cause.
func (e *Error) Error() string {
	text := fmt.Sprintf("store: %s %q: %s", e.Op, e.Key, e.Kind)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// IsKind reports whether the error is an *Error of the kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
