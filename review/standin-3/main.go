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
	// coldRate is warmup_per_s, 0 for none; rates replaces the kinds' requests a second.
	coldRate float64
	rates    map[*kind]float64
	// rule is the rule that the case is about.
	rule string
	play func(w *world, trouble bool) error
}

var cases = map[string]testCase{
	"idle":    {layout: layout{[]string{"a", "b", "c"}, 2, 5, 1}, rule: "DRAIN", play: playIdle},
	"foreign": {layout: layout{[]string{"a", "b", "c"}, 2, 5, 1}, rule: "ROUTE", play: playForeign},
	"late":    {layout: layout{[]string{"a", "b", "c"}, 2, 5, 1}, rule: "DRAIN", play: playLate},
	"reborn": {
		layout: layout{[]string{"a", "b", "c"}, 2, 5, 1}, rule: "FAILBACK", play: playReborn,
		coldRate: 12, rates: map[*kind]float64{feeds: 292},
	},
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
	w, err := newWorld(dir, record, &c)
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
