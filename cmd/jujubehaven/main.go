// Command jujubehaven is a layer-4 load balancer: the daemon of a host and the
// tools for its operators.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/jujubehaven/jujubehaven/internal/cli/benchcmd"
	"github.com/jujubehaven/jujubehaven/internal/cli/doccmd"
	"github.com/jujubehaven/jujubehaven/internal/cli/explaincmd"
	"github.com/jujubehaven/jujubehaven/internal/cli/replaycmd"
	"github.com/jujubehaven/jujubehaven/internal/cli/reportcmd"
)

// Exit codes of the command, as listed in docs/operators/exit-codes.md.
const (
	exitOK       = 0
	exitFailure  = 1
	exitSettings = 2 // also for a wrong command or flag
	exitAborted  = 3
)

func main() {
	os.Exit(execute(context.Background(), os.Args, os.Stdout, os.Stderr))
}

// execute runs the command line and returns the exit code.
func execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	// Keep the library from exiting the process: execute returns the exit code.
	cli.OsExiter = func(int) {}
	err := newCommand(stdout, stderr).Run(ctx, args)
	if err == nil {
		return exitOK
	}
	if text := err.Error(); text != "" {
		fmt.Fprintln(stderr, text)
	}
	var coder cli.ExitCoder
	if errors.As(err, &coder) {
		return coder.ExitCode()
	}
	return exitSettings
}

func newCommand(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:           "jujubehaven",
		Usage:          "layer-4 load balancer for services whose zones come and go",
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands:       commands(),
		Action:         rootAction,
	}
}

// rootAction runs if the command is missing or unknown.
func rootAction(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return cli.Exit(fmt.Sprintf("no command %q; see --help", c.Args().First()), exitSettings)
	}
	return cli.ShowRootCommandHelp(c)
}

func commands() []*cli.Command {
	return slices.Concat(
		[]*cli.Command{runCommand()},
		doccmd.Commands(),
		explaincmd.Commands(),
		reportcmd.Commands(),
		replaycmd.Commands(),
		benchcmd.Commands(),
		[]*cli.Command{demoCommand(), versionCommand()},
	)
}
