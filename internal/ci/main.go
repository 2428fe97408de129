// Command ci runs `go test -json` and prints the failures and a summary. It
// ignores only failures of tests on the list of known red tests, which are tests
// that fail because of a known fault.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
)

// Exit codes of the command.
const (
	exitPassed = 0
	exitFailed = 1
	exitUsage  = 2
)

// packageTimeout is the longest time for the tests of one package. With the race detector
// the replays of coordination/steering take several minutes on a busy machine.
const packageTimeout = "30m"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run parses args, runs the tests and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("ci", flag.ContinueOnError)
	flags.SetOutput(stderr)
	listPath := flags.String("known-red", "", "path of the list of known red tests")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	known, err := readKnownRed(*listPath)
	if err != nil {
		fmt.Fprintln(stderr, "ci:", err)
		return exitUsage
	}
	results, err := runTests(ctx, flags.Args(), stderr)
	if err != nil {
		fmt.Fprintln(stderr, "ci:", err)
		return exitFailed
	}
	if !summarize(stdout, results, known, scopeOf(flags.Args())) {
		return exitFailed
	}
	return exitPassed
}

// runTests runs `go test -json` with the arguments and collects its events. A
// failing test is part of the results; the error means that the tests could not be
// run or their output not be read.
func runTests(ctx context.Context, args []string, stderr io.Writer) (*results, error) {
	cmd := exec.CommandContext(ctx, "go", append([]string{"test", "-json", "-timeout", packageTimeout}, args...)...)
	cmd.Stderr = stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("go test: %w", err)
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("go test: %w", err)
	}
	res, readErr := readEvents(out)
	waitErr := cmd.Wait()
	if readErr != nil {
		return nil, fmt.Errorf("go test -json: %w", readErr)
	}
	if waitErr != nil && !res.anyFailed() {
		return nil, fmt.Errorf("go test ended without naming a failure: %w", waitErr)
	}
	return res, nil
}
