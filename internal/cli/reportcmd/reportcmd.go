// Package reportcmd implements the command "report burn", which queries balancers
// for their service-level counts and reports how fast each service burns its
// error budget.
package reportcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/jujubehaven/jujubehaven/protocol/report"
)

// Exit codes of "report burn". ExitUsage and ExitFailed come before all others,
// whatever the alerts are; otherwise the highest one that applies is used.
const (
	// ExitOK means that no service has an alert; services without data have none.
	ExitOK = 0
	// ExitFailed means that no balancer responded or the output failed.
	ExitFailed = 1
	// ExitUsage means that a flag or argument is wrong.
	ExitUsage = 2
	// ExitMissing means that some balancers did not respond and those that did
	// report no alert.
	ExitMissing = 3
	// ExitTicket means that the most urgent alert is a ticket.
	ExitTicket = 4
	// ExitPage means that the most urgent alert is a page.
	ExitPage = 5
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
	outputHTML  = "html"
)

// DefaultTimeout is the default timeout of the request to each balancer.
const DefaultTimeout = 3 * time.Second

// Commands returns the command "report".
func Commands() []*cli.Command {
	return []*cli.Command{{
		Name:     "report",
		Usage:    "report what the balancers have measured",
		Commands: []*cli.Command{burnCommand()},
		Action:   groupAction,
	}}
}

// groupAction runs if the subcommand is missing or unknown.
func groupAction(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return cli.Exit(fmt.Sprintf("report has no command %q; see --help", cmd.Args().First()), ExitUsage)
	}
	return cli.ShowSubcommandHelp(cmd)
}

func burnCommand() *cli.Command {
	return &cli.Command{
		Name:  "burn",
		Usage: "show how fast each service spends its error budget",
		Description: "Exit codes: 0 all fine, 1 no balancer answered, 2 wrong usage,\n" +
			"3 a balancer did not answer, 4 an objective asks for a ticket, 5 for a page.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "balancer", Aliases: []string{"b"}, Usage: "admin `URL` of a balancer; repeat for each one"},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: outputTable, Usage: "`FORM`: table, json or html"},
			&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "write to `FILE` instead of the standard output"},
			&cli.DurationFlag{Name: "timeout", Value: DefaultTimeout, Usage: "longest `TIME` to wait for each balancer"},
		},
		Action: runBurn,
	}
}

func runBurn(ctx context.Context, cmd *cli.Command) error {
	write, err := writerFor(cmd.String("output"))
	if err != nil {
		return cli.Exit(err.Error(), ExitUsage)
	}
	if cmd.Args().Present() {
		return cli.Exit(fmt.Sprintf("unexpected argument %q", cmd.Args().First()), ExitUsage)
	}
	urls, err := burnURLs(cmd.StringSlice("balancer"))
	if err != nil {
		return cli.Exit(err.Error(), ExitUsage)
	}
	balancers, missing := fetchAll(ctx, urls, cmd.Duration("timeout"))
	burn := report.Merge(balancers, missing)
	if err := writeTo(cmd.String("file"), cmd.Root().Writer, &burn, write); err != nil {
		return cli.Exit(err.Error(), ExitFailed)
	}
	return exitError(&burn)
}

// writer writes the report in one output format.
type writer func(io.Writer, *report.Burn) error

func writerFor(output string) (writer, error) {
	switch output {
	case outputTable:
		return writeTable, nil
	case outputJSON:
		return writeJSON, nil
	case outputHTML:
		return writeHTML, nil
	}
	return nil, errors.Newf("--output %q: must be table, json or html", output)
}

func writeJSON(w io.Writer, burn *report.Burn) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(burn)
}

// writeTo writes to the named file, or to stdout if the name is empty.
func writeTo(name string, stdout io.Writer, burn *report.Burn, write writer) error {
	if name == "" {
		return errors.Wrap(write(stdout, burn), "write report")
	}
	file, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "create report")
	}
	err = write(file, burn)
	return errors.Wrapf(errors.CombineErrors(err, file.Close()), "write report to %s", name)
}

// exitError returns an error with the exit code of the report, or nil.
func exitError(burn *report.Burn) error {
	switch {
	case len(burn.Answered) == 0:
		return cli.Exit("no balancer answered", ExitFailed)
	case burn.Alert == report.AlertPage:
		return cli.Exit("", ExitPage)
	case burn.Alert == report.AlertTicket:
		return cli.Exit("", ExitTicket)
	case len(burn.Missing) > 0:
		return cli.Exit("", ExitMissing)
	}
	return nil
}
