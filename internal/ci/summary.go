package main

import (
	"fmt"
	"io"
	"strings"
)

// scope describes which tests a run includes.
type scope struct {
	// Everything is set if the run includes all tests of all packages.
	Everything bool
}

// scopeOf derives the scope from the arguments of `go test`. Only a run of
// everything can show that a listed test does not exist.
func scopeOf(args []string) scope {
	return scope{Everything: len(args) == 1 && args[0] == "./..."}
}

// counts holds the numbers of tests by outcome; knownRed tests are not included in
// failed.
type counts struct {
	passed, failed, skipped, knownRed int
}

// summarize prints the outcomes and reports whether the run passed.
func summarize(w io.Writer, res *results, known []knownRed, sc scope) bool {
	s := summary{out: w, known: known, actions: map[testID]string{}}
	for _, o := range res.Tests {
		s.addTest(o, res)
	}
	for _, o := range res.Packages {
		s.addPackage(o, res)
	}
	stale := s.printKnownRed(sc)
	fmt.Fprintf(w, "%d passed, %d failed, %d skipped\n", s.n.passed, s.n.failed, s.n.skipped)
	return s.n.failed == 0 && s.failedPackages == 0 && !stale
}

// summary prints and counts the outcomes of a run.
type summary struct {
	out            io.Writer
	known          []knownRed
	actions        map[testID]string
	n              counts
	failedPackages int
}

func (s *summary) isListed(id testID) bool {
	for _, k := range s.known {
		if k.ID == id {
			return true
		}
	}
	return false
}

// isKnownRed reports whether a failed test is listed, or fails only because listed
// subtests fail.
func (s *summary) isKnownRed(id testID, res *results) bool {
	if s.isListed(id) {
		return true
	}
	found := false
	for _, o := range res.Tests {
		isChild := o.ID.Package == id.Package && strings.HasPrefix(o.ID.Test, id.Test+"/")
		if !isChild || o.Action != "fail" {
			continue
		}
		if !s.isKnownRed(o.ID, res) {
			return false
		}
		found = true
	}
	return found
}

func (s *summary) addTest(o outcome, res *results) {
	s.actions[o.ID] = o.Action
	switch {
	case o.Action == "pass":
		s.n.passed++
	case o.Action == "skip":
		s.n.skipped++
	case s.isKnownRed(o.ID, res):
		s.n.knownRed++
	default:
		s.n.failed++
		fmt.Fprintf(s.out, "FAIL %s %s\n%s", o.ID.Package, o.ID.Test, indent(o.Output))
	}
}

func (s *summary) addPackage(o outcome, res *results) {
	switch o.Action {
	case "pass":
		fmt.Fprintf(s.out, "ok   %s %.1fs\n", o.ID.Package, o.Seconds)
	case "skip":
		fmt.Fprintf(s.out, "none %s (no test files)\n", o.ID.Package)
	default:
		s.addFailedPackage(o, res)
	}
}

// addFailedPackage counts a package as failed unless its only failures are known
// red tests. A package that fails without a failed test adds one to the number of
// failed tests.
func (s *summary) addFailedPackage(o outcome, res *results) {
	red, other := 0, 0
	for _, t := range res.Tests {
		if t.ID.Package != o.ID.Package || t.Action != "fail" {
			continue
		}
		if s.isKnownRed(t.ID, res) {
			red++
		} else {
			other++
		}
	}
	if other == 0 && red > 0 {
		fmt.Fprintf(s.out, "red  %s %.1fs (known red tests only)\n", o.ID.Package, o.Seconds)
		return
	}
	s.failedPackages++
	if other == 0 {
		s.n.failed++
	}
	fmt.Fprintf(s.out, "FAIL %s %.1fs\n", o.ID.Package, o.Seconds)
	fmt.Fprint(s.out, indent(o.Output), indent(res.BuildOutput[o.FailedBuild]))
}

// printKnownRed prints the listed tests. It returns true if an entry has to be
// removed because its test passed, was skipped or does not exist; the last two
// count only in a run of everything.
func (s *summary) printKnownRed(sc scope) (stale bool) {
	for _, k := range s.known {
		action, ran := s.actions[k.ID]
		switch {
		case !ran && !sc.Everything:
			fmt.Fprintf(s.out, "known red, not in this run: %s %s\n", k.ID.Package, k.ID.Test)
		case !ran:
			stale = true
			fmt.Fprintf(s.out, "KNOWN-RED line %d: %s %s does not exist\n", k.Line, k.ID.Package, k.ID.Test)
		case action == "skip" && !sc.Everything:
			fmt.Fprintf(s.out, "known red, skipped in this run: %s %s\n", k.ID.Package, k.ID.Test)
		case action != "fail":
			stale = true
			fmt.Fprintf(s.out, "KNOWN-RED line %d: %s %s ended with %q; remove the entry\n",
				k.Line, k.ID.Package, k.ID.Test, action)
		default:
			fmt.Fprintf(s.out, "known red: %s %s (%s; seen: %s; issue %s)\n",
				k.ID.Package, k.ID.Test, k.Command, k.Seen, k.Issue)
		}
	}
	return stale
}

func indent(text string) string {
	if text == "" {
		return ""
	}
	return "    " + strings.ReplaceAll(strings.TrimRight(text, "\n"), "\n", "\n    ") + "\n"
}
