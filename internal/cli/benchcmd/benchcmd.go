// Package benchcmd implements the command "bench".
package benchcmd

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/jujubehaven/jujubehaven/internal/bench"
)

// Exit codes of "bench".
const (
	// ExitFailed means that the system did not start, a fault could not be
	// injected or the output failed.
	ExitFailed = 1
	// ExitUsage means that a flag, an argument or a result file is invalid.
	ExitUsage = 2
	// ExitBroken means that flows were broken and --fail-broken was given.
	ExitBroken = 3
)

// Commands returns the command "bench".
func Commands() []*cli.Command {
	return []*cli.Command{{
		Name:  "bench",
		Usage: "load a system on loopback while balancers die and a zone goes out",
		Description: "Starts balancers and stand-ins for fabric, callers, targets and platform in\n" +
			"this process, on loopback. Exit codes: 0 done, 1 failed, 2 wrong usage,\n" +
			"3 flows were broken and --fail-broken was given.",
		Flags:  flags(),
		Action: run,
		Commands: []*cli.Command{{
			Name: "compare", Usage: "compare two results", ArgsUsage: "FILE FILE", Action: compare,
		}},
	}}
}

func flags() []cli.Flag {
	d := bench.Default()
	return []cli.Flag{
		&cli.IntFlag{Name: "zones", Value: d.Zones, Usage: "availability zones"},
		&cli.IntFlag{Name: "hosts", Value: d.HostsPerZone, Usage: "balancers in each zone"},
		&cli.IntFlag{Name: "targets", Value: d.TargetsPerZone, Usage: "targets in each zone"},
		&cli.FloatFlag{Name: "rate", Value: d.Rate, Usage: "new flows a second"},
		&cli.IntFlag{Name: "flows", Value: d.MaxFlows, Usage: "most flows open at once"},
		&cli.FloatFlag{Name: "long", Value: d.LongShare, Usage: "share of flows that stay open to the end"},
		&cli.DurationFlag{Name: "length", Value: d.MeanLength, Usage: "mean length of the other flows"},
		&cli.DurationFlag{Name: "interval", Value: d.Interval, Usage: "time between two requests of a flow"},
		&cli.DurationFlag{Name: "duration", Value: d.Duration, Usage: "length of the run"},
		&cli.DurationFlag{Name: "settle", Value: d.Settle, Usage: "time between ready balancers and the first flow"},
		&cli.BoolFlag{Name: "kill", Value: d.Kill, Usage: "kill and restart a balancer"},
		&cli.BoolFlag{Name: "zone-out", Value: d.ZoneOut, Usage: "take a zone out and return it"},
		&cli.Uint64Flag{Name: "seed", Value: d.Seed, Usage: "seed of arrivals, lengths and the fabric's choices"},
		&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "text", Usage: "text or json"},
		&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "write the output to `FILE`"},
		&cli.StringFlag{Name: "plot", Usage: "draw the run into `FILE`, .svg or .png"},
		&cli.BoolFlag{Name: "fail-broken", Usage: "exit with 3 if a flow was broken"},
	}
}

func configOf(cmd *cli.Command) bench.Config {
	return bench.Config{
		Zones: cmd.Int("zones"), HostsPerZone: cmd.Int("hosts"), TargetsPerZone: cmd.Int("targets"),
		Rate: cmd.Float("rate"), MaxFlows: cmd.Int("flows"), LongShare: cmd.Float("long"),
		MeanLength: cmd.Duration("length"), Interval: cmd.Duration("interval"),
		Duration: cmd.Duration("duration"), Settle: cmd.Duration("settle"), Kill: cmd.Bool("kill"), ZoneOut: cmd.Bool("zone-out"),
		Seed: cmd.Uint64("seed"),
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	cfg := configOf(cmd)
	output := cmd.String("output")
	switch {
	case output != "text" && output != "json":
		return cli.Exit(fmt.Sprintf("--output %q: must be text or json", output), ExitUsage)
	case cmd.Args().Present():
		return cli.Exit(fmt.Sprintf("unexpected argument %q", cmd.Args().First()), ExitUsage)
	}
	if err := cfg.Check(); err != nil {
		return cli.Exit(err.Error(), ExitUsage)
	}
	result, err := bench.Run(ctx, cfg)
	if err != nil {
		return cli.Exit(err.Error(), ExitFailed)
	}
	if err := report(cmd, &result, output); err != nil {
		return cli.Exit(err.Error(), ExitFailed)
	}
	if cmd.Bool("fail-broken") && result.Flows.Broken() > 0 {
		return cli.Exit(fmt.Sprintf("%d flows were broken", result.Flows.Broken()), ExitBroken)
	}
	return nil
}

func report(cmd *cli.Command, result *bench.Result, output string) error {
	if file := cmd.String("plot"); file != "" {
		if err := result.Plot(file); err != nil {
			return err
		}
	}
	write := result.WriteText
	if output == "json" {
		write = result.Write
	}
	name := cmd.String("file")
	if name == "" {
		return write(cmd.Root().Writer)
	}
	return writeFile(name, write)
}

func writeFile(name string, write func(io.Writer) error) error {
	file, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "create result")
	}
	err = write(file)
	return errors.Wrapf(errors.CombineErrors(err, file.Close()), "write result to %s", name)
}

func compare(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 2 {
		return cli.Exit("compare: needs two files", ExitUsage)
	}
	a, err := bench.Read(cmd.Args().Get(0))
	if err != nil {
		return cli.Exit(err.Error(), ExitUsage)
	}
	b, err := bench.Read(cmd.Args().Get(1))
	if err != nil {
		return cli.Exit(err.Error(), ExitUsage)
	}
	if err := bench.Compare(cmd.Root().Writer, &a, &b); err != nil {
		return cli.Exit(err.Error(), ExitFailed)
	}
	return nil
}
