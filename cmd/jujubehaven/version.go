package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/jujubehaven/jujubehaven/internal/buildinfo"
	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version, the Go release and the version of the messages between hosts",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintln(c.Root().Writer, version())
			return err
		},
	}
}

// version describes the build for operators.
func version() string {
	build := buildinfo.Read()
	return fmt.Sprintf("jujubehaven %s, commit %s, %s, messages %d", build.Version, build.Commit, build.Go, gossip.Protocol)
}
