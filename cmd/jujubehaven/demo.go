package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/jujubehaven/jujubehaven/internal/bench"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "serve flows on loopback while a zone goes out and returns; ends within 30 s",
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := bench.Demo(ctx, c.Root().Writer); err != nil {
				return cli.Exit(err.Error(), exitFailure)
			}
			return nil
		},
	}
}
