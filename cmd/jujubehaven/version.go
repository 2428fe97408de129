package main

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version and the Go release",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintln(c.Root().Writer, version())
			return err
		},
	}
}

// version returns the module version, the commit and the Go release of the build.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "jujubehaven, version unknown"
	}
	commit := "unknown"
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			commit = s.Value
		}
	}
	return fmt.Sprintf("jujubehaven %s, commit %s, %s", info.Main.Version, commit, info.GoVersion)
}
