package daemon

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/coordination/documents"
)

const root = "../.."

// The operators' page must list exactly the events that the product's code logs.
func TestEventsPageAgrees(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(filepath.Join(root, "docs/operators/events.md"))
	is.NoErr(err)
	var listed []string
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\|").FindAllStringSubmatch(string(page), -1) {
		listed = append(listed, m[1])
	}
	for _, name := range loggedEvents(t) {
		if !slices.Contains(listed, name) {
			t.Errorf("event %s is logged and not listed", name)
		}
	}
	for _, name := range listed {
		if !slices.Contains(loggedEvents(t), name) {
			t.Errorf("event %s is listed and not logged", name)
		}
	}
}

// loggedEvents returns the event names in the source code of the product.
func loggedEvents(t *testing.T) []string {
	t.Helper()
	literal := regexp.MustCompile(`(?:Str\("event", "([a-z_]+)"\)|l\.line\("([a-z_]+)",)`)
	var names []string
	for _, dir := range []string{"cmd", "internal/daemon", "internal/tokenhost", "transport", "coordination"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			for _, m := range literal.FindAllSubmatch(text, -1) {
				names = append(names, string(m[1])+string(m[2]))
			}
			return err
		})
		is.New(t).NoErr(err)
	}
	// Package docsource derives the event name of a document from its outcome;
	// older and known documents are not logged.
	for _, o := range []documents.Outcome{documents.Accepted, documents.Held, documents.Diverged, documents.Rejected} {
		names = append(names, "document_"+o.String())
	}
	return names
}
