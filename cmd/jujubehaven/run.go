package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/jujubehaven/jujubehaven/internal/daemon"
	"github.com/jujubehaven/jujubehaven/internal/logging"
	"github.com/jujubehaven/jujubehaven/internal/settings"
	"github.com/jujubehaven/jujubehaven/internal/tokenhost"
	"github.com/jujubehaven/jujubehaven/platform"
)

const (
	flagSettings = "settings"
	flagCheck    = "check"
)

func runCommand() *cli.Command {
	return &cli.Command{
		Name:   "run",
		Usage:  "run the balancer of this host",
		Flags:  runFlags(),
		Action: runAction,
	}
}

// runFlags returns the flags of the command and one flag for each setting.
func runFlags() []cli.Flag {
	flags := []cli.Flag{
		&cli.StringFlag{Name: flagSettings, Usage: "path of the settings, in YAML"},
		&cli.BoolFlag{Name: flagCheck, Usage: "check the settings and exit"},
	}
	for _, k := range settings.Keys() {
		flags = append(flags, &cli.StringFlag{Name: k.Flag(), Usage: k.Usage + " (" + k.Env() + ")"})
	}
	return flags
}

func runAction(_ context.Context, c *cli.Command) error {
	source := settings.Source{
		File:       c.String(flagSettings),
		LookupEnv:  os.LookupEnv,
		LookupFlag: func(name string) (string, bool) { return c.String(name), c.IsSet(name) },
	}
	s, err := settings.Load(source)
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	if c.Bool(flagCheck) {
		_, err := fmt.Fprintln(c.Root().Writer, "settings are valid")
		return err
	}
	if s.Steering == settings.SteeringToken {
		return runTokenHost(c, s, source)
	}
	log := logging.New(c.Root().ErrWriter, zerolog.DebugLevel)
	logIgnored(log, s)
	d, err := daemon.New(s, log)
	if err != nil {
		return cli.Exit(err.Error(), exitFailure)
	}
	return serve(d, source, log)
}

// runTokenHost runs a host that steers by token on the users' platform. It logs
// to standard output through a queue, so that logging never blocks packets.
func runTokenHost(c *cli.Command, s settings.Settings, source settings.Source) error {
	queue := logging.NewQueue(c.Root().Writer)
	defer func() { _ = queue.Close() }() // flushes the queue; an error can't be logged any more
	log := logging.New(queue, zerolog.DebugLevel)
	logIgnored(log, s)
	deps, err := platform.New(s.Platform, s.Data[0])
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	deps.LinesDropped = queue.Dropped
	h, err := tokenhost.New(s, log, deps)
	if err != nil {
		return cli.Exit(err.Error(), exitFailure)
	}
	return serve(h, source, log)
}

// logIgnored logs the settings that this version does not know.
func logIgnored(log zerolog.Logger, s settings.Settings) {
	for _, p := range s.Ignored {
		log.Warn().Str("event", "setting_ignored").Str("where", p.Where).Str("key", p.Key).Str("reason", p.Reason).Send()
	}
}

// host is the common interface of the daemons for both kinds of steering.
type host interface {
	Run(leave, abort context.Context) error
	Reload(s settings.Settings) error
}

// serve runs the daemon until SIGTERM or SIGINT starts a planned stop; a second
// one of these signals aborts it. SIGHUP or a change of the settings file reloads
// the settings and, when steering by owner, the TLS keys.
func serve(d host, source settings.Source, log zerolog.Logger) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	leave, startLeave := context.WithCancel(context.Background())
	defer startLeave()
	abort, startAbort := context.WithCancel(context.Background())
	defer startAbort()
	file := newFileWatch(source.File)
	checks := time.NewTicker(fileCheckInterval)
	defer checks.Stop()
	result := make(chan error, 1)
	go func() { result <- d.Run(leave, abort) }()
	for {
		select {
		case err := <-result:
			return exitError(err, abort.Err() != nil)
		case <-checks.C:
			if file.Changed() {
				reload(d, source, log)
			}
		case sig := <-signals:
			switch {
			case sig == syscall.SIGHUP:
				reload(d, source, log)
			case leave.Err() != nil:
				startAbort()
			default:
				startLeave()
			}
		}
	}
}

func exitError(err error, aborted bool) error {
	if err != nil {
		return cli.Exit(err.Error(), exitFailure)
	}
	if aborted {
		return cli.Exit("", exitAborted)
	}
	return nil
}

func reload(d host, source settings.Source, log zerolog.Logger) {
	s, err := settings.Load(source)
	if err == nil {
		err = d.Reload(s)
	}
	if err != nil {
		log.Error().Str("event", "reload_refused").Err(err).Send()
		return
	}
	log.Info().Str("event", "reload_done").Send()
}
