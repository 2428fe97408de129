package main

import (
	"bufio"
	"context"
	"io"
	"net/netip"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/jujubehaven/jujubehaven/internal/fakes/fabric"
)

func fabricCommand() *cli.Command {
	return &cli.Command{
		Name:  "fabric",
		Usage: "spray callers' packets over balancers; reads \"down ADDRESS:PORT\" and \"up ADDRESS:PORT\" from standard input",
		Flags: []cli.Flag{
			listenFlag(), routeFlag(),
			&cli.StringSliceFlag{Name: "balancer", Usage: "`ADDRESS:PORT` of a balancer's tunnel"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the choice of balancers"},
		},
		Action: runFabric,
	}
}

func runFabric(ctx context.Context, cmd *cli.Command) error {
	listen, err := addrFlag(cmd, "listen")
	if err != nil {
		return err
	}
	balancers, err := addrsFlag(cmd, "balancer")
	if err != nil {
		return err
	}
	routes, err := routesFlag(cmd)
	if err != nil {
		return err
	}
	f, err := fabric.New(fabric.Config{
		Listen: listen, Balancers: balancers, Routes: routes, Seed: cmd.Uint64("seed"),
	})
	if err != nil {
		return err
	}
	go readCommands(f, os.Stdin)
	return serve(ctx, f)
}

// readCommands reads the commands "down ADDRESS:PORT" and "up ADDRESS:PORT", one a
// line, until the input ends.
func readCommands(f *fabric.Fabric, in io.Reader) {
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		state, text, _ := strings.Cut(lines.Text(), " ")
		addr, err := netip.ParseAddrPort(text)
		if err != nil || (state != "down" && state != "up") {
			printEvent("bad-command", "line", "\""+lines.Text()+"\"")
			continue
		}
		f.SetDown(addr, state == "down")
		printEvent(state, "balancer", addr)
	}
}
