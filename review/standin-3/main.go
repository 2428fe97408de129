// Command standin-3 plays the cases of the third review: clients, routers, backends and
// the platform's store around the project's own processes, on loopback addresses.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// testCase is a case of the review.
type testCase struct {
	layout layout
	// rule is the rule that the case is about.
	rule string
	play func(w *world, trouble bool) error
}

var cases = map[string]testCase{
	"idle":    {layout{[]string{"a", "b", "c"}, 2, 5, 1}, "DRAIN", playIdle},
	"foreign": {layout{[]string{"a", "b", "c"}, 2, 5, 1}, "ROUTE", playForeign},
}

// leadTime is the time between the start of the machines and that of the traffic.
const leadTime = 10 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	code, err := run(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-3:", err)
	}
	os.Exit(code)
}

func run(name, record string) (int, error) {
	c, ok := cases[name]
	if !ok {
		return exitNotRun, fmt.Errorf("unknown case %q", name)
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return exitNotRun, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	w, err := newWorld(dir, record, c.layout)
	if err != nil {
		return exitNotRun, err
	}
	err = w.play(c)
	breaks := w.finish()
	if err != nil {
		return exitNotRun, err
	}
	fmt.Printf("case %s: broken %v\n", name, breaks)
	if len(breaks) > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// play plays a case: the machines start, the traffic begins, then the case takes its
// course.
func (w *world) play(c testCase) error {
	if err := w.waitReady(leadTime); err != nil {
		return err
	}
	time.Sleep(leadTime - time.Since(w.start))
	w.traffic()
	time.Sleep(contactTime)
	trouble := os.Getenv("TROUBLE") != "0"
	w.record("the case begins; rule %s; disruption: %t", c.rule, trouble)
	return c.play(w, trouble)
}
