package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// event is one output line of `go test -json`; see `go doc test2json`.
type event struct {
	Action      string
	Package     string
	ImportPath  string
	Test        string
	Output      string
	Elapsed     float64
	FailedBuild string
}

// testID identifies a test or subtest, or a package if Test is empty.
type testID struct {
	Package string
	Test    string
}

// outcome is the result of one test or package.
type outcome struct {
	ID testID
	// Action is pass, fail or skip.
	Action  string
	Seconds float64
	Output  string
	// FailedBuild is the import path whose build failed; it is set for packages
	// only.
	FailedBuild string
}

// results holds the outcomes in the order of the events.
type results struct {
	Tests    []outcome
	Packages []outcome
	// BuildOutput maps import paths to compiler output.
	BuildOutput map[string]string
}

// anyFailed reports whether a test or package failed.
func (r *results) anyFailed() bool {
	for _, list := range [][]outcome{r.Tests, r.Packages} {
		for _, o := range list {
			if o.Action == "fail" {
				return true
			}
		}
	}
	return false
}

// readEvents collects the events of one run of `go test -json`. A test that
// started but did not end counts as failed.
func readEvents(in io.Reader) (*results, error) {
	c := newCollector()
	reader := bufio.NewReader(in)
	for {
		line, err := reader.ReadBytes('\n')
		if len(line) > 0 {
			if err := c.addLine(line); err != nil {
				return nil, err
			}
		}
		if err == io.EOF {
			c.failUnfinished()
			return c.res, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// collector builds results from events.
type collector struct {
	res     *results
	output  map[testID]*strings.Builder
	running []testID
}

func newCollector() *collector {
	return &collector{
		res:    &results{BuildOutput: map[string]string{}},
		output: map[testID]*strings.Builder{},
	}
}

func (c *collector) addLine(line []byte) error {
	var e event
	if err := json.Unmarshal(line, &e); err != nil {
		return fmt.Errorf("line %q: %w", line, err)
	}
	c.add(e)
	return nil
}

func (c *collector) add(e event) {
	id := testID{Package: e.Package, Test: e.Test}
	switch e.Action {
	case "run":
		c.running = append(c.running, id)
	case "output":
		c.outputOf(id).WriteString(e.Output)
	case "build-output":
		c.res.BuildOutput[e.ImportPath] += e.Output
	case "pass", "fail", "skip":
		c.end(outcome{
			ID: id, Action: e.Action, Seconds: e.Elapsed,
			Output: c.outputOf(id).String(), FailedBuild: e.FailedBuild,
		})
	}
}

func (c *collector) end(o outcome) {
	delete(c.output, o.ID)
	if o.ID.Test == "" {
		c.res.Packages = append(c.res.Packages, o)
		return
	}
	for i, id := range c.running {
		if id == o.ID {
			c.running = append(c.running[:i], c.running[i+1:]...)
			break
		}
	}
	c.res.Tests = append(c.res.Tests, o)
}

func (c *collector) outputOf(id testID) *strings.Builder {
	b, ok := c.output[id]
	if !ok {
		b = &strings.Builder{}
		c.output[id] = b
	}
	return b
}

// failUnfinished records as failed the tests that did not end because of a panic,
// a timeout or an exit.
func (c *collector) failUnfinished() {
	for _, id := range c.running {
		text := c.outputOf(id).String() + "test did not end\n"
		c.res.Tests = append(c.res.Tests, outcome{ID: id, Action: "fail", Output: text})
	}
}
