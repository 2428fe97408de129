package document

import (
	"bytes"
	"fmt"
	"reflect"
	"regexp"
)

// versionLines matches the top-level lines of generation and change.
var versionLines = regexp.MustCompile(`(?m)^(generation|change):.*(\n|\z)`)

// WithVersion returns the document and its text with the generation and the
// change set. It replaces the lines of these two keys, which keeps comments and
// the order of the other keys. If the new text does not parse to the document,
// for example because a key has another form, the document is marshaled instead.
func WithVersion(doc Document, text []byte, generation uint64, change string) (Document, []byte, error) {
	doc = doc.withVersion(generation, change)
	head := fmt.Sprintf("generation: %d\nchange: %s\n", generation, change)
	body := versionLines.ReplaceAll(bytes.TrimPrefix(text, []byte("---\n")), nil)
	rewritten := append([]byte(head), body...)
	reparsed, err := Parse("", rewritten)
	if err == nil && reflect.DeepEqual(reparsed, doc) {
		return doc, rewritten, nil
	}
	rewritten, err = doc.Marshal()
	return doc, rewritten, err
}

// withVersion returns a copy of d with the generation and the change set.
func (d Document) withVersion(generation uint64, change string) Document {
	if d.Service != nil {
		s := *d.Service
		s.Generation, s.Change = generation, change
		return Document{Service: &s}
	}
	z := *d.Zones
	z.Generation, z.Change = generation, change
	return Document{Zones: &z}
}

// SameContent reports whether two documents are equal apart from generation and
// change.
func SameContent(a, b Document) bool {
	return reflect.DeepEqual(a.withVersion(0, ""), b.withVersion(0, ""))
}
