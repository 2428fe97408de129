// Package doccmd implements the commands doc and zone, which check, write and
// show service documents and availability zones.
package doccmd

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/jujubehaven/jujubehaven/coordination/changes"
	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/protocol/document"
)

// Exit codes of all commands of this package. They are stable.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailure means any failure without a code of its own.
	ExitFailure = 1
	// ExitInput means a bad document, argument or flag; nothing was written.
	ExitInput = 2
	// ExitConflict means that the document was changed concurrently, or that the store
	// was restored from an older copy during the change.
	ExitConflict = 3
	// ExitRefused means that another team owns the document.
	ExitRefused = 4
	// ExitPlatform means that the store is unavailable or that it is unknown
	// whether the change was written; the message says which.
	ExitPlatform = 5
	// ExitWait means that the change was written but was not in force on all
	// balancers before the wait timed out.
	ExitWait = 6
	// ExitDiffers means that doc diff found a difference.
	ExitDiffers = 7
)

// exitError is an error with a process exit code.
type exitError struct {
	code int
	err  error
}

// Error returns the message.
func (e *exitError) Error() string {
	if e.err == nil {
		return ""
	}
	return e.err.Error()
}

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

// ExitCode implements cli.ExitCoder.
func (e *exitError) ExitCode() int { return e.code }

func inputError(format string, args ...any) error {
	return &exitError{ExitInput, fmt.Errorf(format, args...)}
}

// withExitCode adds the exit code for the kind of error, unless err has one.
func withExitCode(err error) error {
	if err == nil {
		return nil
	}
	var coded *exitError
	if errors.As(err, &coded) {
		return err
	}
	return &exitError{exitCode(err), err}
}

func exitCode(err error) int {
	var (
		problems document.Errors
		problem  *document.Error
		check    *changes.CheckError
		zone     *changes.UnknownZoneError
		conflict *changes.ConflictError
		owner    *changes.OwnerError
		platform *store.Error
	)
	switch {
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &owner):
		return ExitRefused
	case errors.As(err, &check), errors.As(err, &zone):
		return ExitInput
	case errors.As(err, &platform):
		if platform.Kind == store.Invalid {
			return ExitInput
		}
		return ExitPlatform
	case errors.As(err, &problems), errors.As(err, &problem):
		return ExitInput
	}
	return ExitFailure
}
