// Command fakes runs the fakes of the end-to-end tests as separate processes. It
// is not part of the product.
//
// Each subcommand writes one key=value line per event to standard output,
// the first being event=listening with its address, and exits on SIGTERM.
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/jujubehaven/jujubehaven/internal/fakes/gue"
)

// loopback is the default address to listen on.
const loopback = "127.0.0.1:0"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cmd := &cli.Command{
		Name:     "fakes",
		Usage:    "run a stand-in for the fabric, a target or callers",
		Commands: commands(),
	}
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// commands returns the subcommands.
func commands() []*cli.Command {
	return []*cli.Command{fabricCommand(), targetCommand(), callerCommand()}
}

var printMu sync.Mutex

// printEvent writes one key=value line to standard output; pairs alternates keys
// and values.
func printEvent(name string, pairs ...any) {
	printMu.Lock()
	defer printMu.Unlock()
	line := "event=" + name
	for i := 0; i+1 < len(pairs); i += 2 {
		line += fmt.Sprintf(" %v=%v", pairs[i], pairs[i+1])
	}
	fmt.Println(line)
}

// runner is implemented by all fakes.
type runner interface {
	Run() error
	Close() error
	Addr() netip.AddrPort
}

// serve runs r until ctx is done.
func serve(ctx context.Context, r runner) error {
	printEvent("listening", "addr", r.Addr())
	done := make(chan error, 1)
	go func() { done <- r.Run() }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	if err := r.Close(); err != nil {
		return err
	}
	return <-done
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: loopback, Usage: "UDP `ADDRESS:PORT` of the stand-in's socket"}
}

func routeFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "route", Usage: "`PREFIX=ADDRESS:PORT` of callers and their socket"}
}

func addrFlag(cmd *cli.Command, name string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(cmd.String(name))
	return addr, errors.Wrapf(err, "--%s", name)
}

func addrsFlag(cmd *cli.Command, name string) ([]netip.AddrPort, error) {
	var addrs []netip.AddrPort
	for _, text := range cmd.StringSlice(name) {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, errors.Wrapf(err, "--%s", name)
		}
		addrs = append(addrs, addr)
	}
	return addrs, nil
}

func routesFlag(cmd *cli.Command) (gue.Routes, error) {
	var routes gue.Routes
	for _, text := range cmd.StringSlice("route") {
		route, err := gue.ParseRoute(text)
		if err != nil {
			return nil, errors.Wrap(err, "--route")
		}
		routes = append(routes, route)
	}
	return routes, nil
}
