// Package replaycmd implements the command replay, which replays recorded
// traces.
package replaycmd

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/jujubehaven/jujubehaven/internal/replay"
)

const (
	// exitBroken means that a trace did not meet a stated outcome.
	exitBroken = 1
	// exitUsage means wrong arguments or a trace that can't be read.
	exitUsage = 2
)

// Commands returns the command replay.
func Commands() []*cli.Command {
	return []*cli.Command{{
		Name:      "replay",
		Usage:     "run recorded traces through the decision core and check their stated outcomes",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "use this seed in place of the trace's"},
			&cli.StringFlag{Name: "policy", Value: string(replay.PolicyCore), Usage: "core, no-ramp, hashing or least-reported"},
		},
		Action: run,
	}}
}

func run(_ context.Context, c *cli.Command) error {
	options := replay.Options{Policy: replay.Policy(c.String("policy")), Seed: c.Uint64("seed")}
	if !options.Policy.Valid() {
		return cli.Exit(fmt.Sprintf("--policy: unknown policy %q", options.Policy), exitUsage)
	}
	if c.Args().Len() == 0 {
		return cli.Exit("replay: FILE is missing", exitUsage)
	}
	broken := false
	for _, path := range c.Args().Slice() {
		trace, err := read(path)
		if err != nil {
			return cli.Exit(err.Error(), exitUsage)
		}
		result := replay.Run(trace, options)
		if err := result.Write(c.Root().Writer); err != nil {
			return errors.Wrap(err, "write result")
		}
		broken = broken || result.Broken()
	}
	if broken {
		return cli.Exit("replay: a stated outcome is broken", exitBroken)
	}
	return nil
}

func read(path string) (*replay.Trace, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open trace")
	}
	defer func() { _ = f.Close() }()
	trace, err := replay.Parse(f)
	return trace, errors.Wrap(err, path)
}
