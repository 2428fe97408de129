// Command standin-2 runs one deployment for a case of the second review: the platform's
// store, back ends, clients and routers as stand-ins, and hosts as separate processes of
// the project's program. It writes what was sent, answered and run to a record and exits
// with 1 if the case's rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario runs one case. It returns the violations of the case's rule.
type scenario func(e *env, trouble bool) ([]string, error)

func main() {
	scenarios := map[string]scenario{
		"turned-away": runTurnedAway,
		"seed-down":   runSeedDown,
		"reborn":      runReborn,
	}
	name := flag.String("case", "", "the case to run")
	program := flag.String("program", "target/jujubehaven", "the project's program")
	record := flag.String("record", "record.txt", "the file that the record is written to")
	trouble := flag.Bool("trouble", true, "inject the disruption")
	flag.Parse()
	run := scenarios[*name]
	if run == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(run, *program, *record, *trouble))
}

// runCase runs a scenario and returns the exit code.
func runCase(run scenario, program, record string, trouble bool) int {
	e, err := newEnv(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer e.close()
	e.logf("trouble=%t", trouble)
	begin := time.Now()
	violations, err := run(e, trouble)
	if err != nil {
		e.logf("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for _, v := range violations {
		e.logf("violation: %s", v)
	}
	e.logf("%d violations, %s", len(violations), time.Since(begin).Round(time.Second))
	fmt.Printf("%d violations\n", len(violations))
	if len(violations) > 0 {
		return exitBroken
	}
	return exitHeld
}
