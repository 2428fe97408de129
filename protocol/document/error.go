package document

import (
	"strconv"
	"strings"
)

// Error is one problem in the text of a document.
type Error struct {
	// File is the file name or key that was passed to the parser.
	File string
	// Line is the 1-based line of the problem, 0 if it concerns no single line.
	Line int
	// Key is the path of the key, such as "targets[2].tunnel".
	Key string
	// Reason describes the problem.
	Reason string
}

// Error returns "file:line: key: reason" without the parts that are empty.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		b.WriteString(":" + strconv.Itoa(e.Line))
	}
	if b.Len() > 0 {
		b.WriteString(": ")
	}
	if e.Key != "" {
		b.WriteString(e.Key + ": ")
	}
	b.WriteString(e.Reason)
	return b.String()
}

// Errors lists all problems of one document, ordered by line.
type Errors []*Error

// Error returns the problems, one per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, problem := range e {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the problems, so that errors.As finds an *Error.
func (e Errors) Unwrap() []error {
	errs := make([]error, len(e))
	for i, problem := range e {
		errs[i] = problem
	}
	return errs
}
