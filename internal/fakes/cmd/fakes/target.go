package main

import (
	"context"
	"net/netip"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/jujubehaven/jujubehaven/internal/fakes/target"
	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

func targetCommand() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "answer TCP and UDP requests that arrive in GUE",
		Flags: []cli.Flag{
			listenFlag(), routeFlag(),
			&cli.StringFlag{Name: "name", Required: true, Usage: "`NAME` in the answers"},
			&cli.StringSliceFlag{Name: "service", Required: true, Usage: "`tcp/ADDRESS:PORT` or udp/ADDRESS:PORT that is served"},
			&cli.IntFlag{Name: "connections", Usage: "most open connections, 0 for no limit"},
			&cli.IntFlag{Name: "slots", Usage: "most requests that run at once, 0 for no limit"},
			&cli.DurationFlag{Name: "work", Usage: "how long one request runs"},
		},
		Action: runTarget,
	}
}

func runTarget(ctx context.Context, cmd *cli.Command) error {
	listen, err := addrFlag(cmd, "listen")
	if err != nil {
		return err
	}
	services, err := servicesFlag(cmd)
	if err != nil {
		return err
	}
	routes, err := routesFlag(cmd)
	if err != nil {
		return err
	}
	t, err := target.New(target.Config{
		Name: cmd.String("name"), Listen: listen, Services: services, Routes: routes,
		MaxConnections: cmd.Int("connections"), Slots: cmd.Int("slots"), RequestDuration: cmd.Duration("work"),
		OnRequest: func(target, request string) {
			printEvent("request", "target", target, "bytes", len(request), "id", firstWord(request))
		},
	})
	if err != nil {
		return err
	}
	err = serve(ctx, t)
	stats := t.Stats()
	printEvent("stopped", "openings", stats.Openings, "requests", stats.Requests,
		"max_connections", stats.MaxConnections, "wrong_service", stats.WrongService,
		"over_limit", stats.OverLimit, "unknown_flow", stats.UnknownFlow, "resets", stats.Resets)
	return err
}

func servicesFlag(cmd *cli.Command) ([]document.Address, error) {
	var services []document.Address
	for _, text := range cmd.StringSlice("service") {
		proto, addrText, _ := strings.Cut(text, "/")
		addr, err := netip.ParseAddrPort(addrText)
		if err != nil {
			return nil, errors.Wrap(err, "--service")
		}
		switch proto {
		case "tcp":
			services = append(services, document.Address{AddrPort: addr, Protocol: packet.ProtoTCP})
		case "udp":
			services = append(services, document.Address{AddrPort: addr, Protocol: packet.ProtoUDP})
		default:
			return nil, errors.Newf("--service %q: want tcp/ or udp/", text)
		}
	}
	return services, nil
}

func firstWord(text string) string {
	word, _, _ := strings.Cut(text, " ")
	return word
}
