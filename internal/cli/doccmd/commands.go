package doccmd

import (
	"context"
	"crypto/rand"
	"io"
	"os"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/changes"
	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/transport/consul"
	"github.com/urfave/cli/v3"
)

const (
	flagPlatform    = "platform"
	flagToken       = "platform-token"
	flagTimeout     = "timeout"
	flagTeam        = "team"
	flagWait        = "wait"
	flagBalancer    = "balancer"
	flagWaitTimeout = "wait-timeout"

	envPlatform = "JUJUBEHAVEN_PLATFORM"
	envToken    = "JUJUBEHAVEN_PLATFORM_TOKEN"

	// defaultTimeout limits the total time of a command's calls to the store.
	defaultTimeout = 20 * time.Second
	// defaultWaitTimeout limits the wait for the balancers.
	defaultWaitTimeout = 10 * time.Second
)

// Commands returns the commands doc and zone.
func Commands() []*cli.Command {
	return []*cli.Command{docCommand(), zoneCommand()}
}

func docCommand() *cli.Command {
	return group("doc", "check, write and show service documents",
		&cli.Command{
			Name: "check", Usage: "check documents without the platform", ArgsUsage: "FILE...",
			Action: checkAction, OnUsageError: usageError,
		},
		&cli.Command{
			Name: "apply", Usage: "check a document and write it to the platform", ArgsUsage: "FILE",
			Flags: append(append(platformFlags(), waitFlags()...), &cli.StringFlag{
				Name: flagTeam, Usage: "team to act for; default: the team that the document names",
			}),
			Action: applyAction, OnUsageError: usageError,
		},
		&cli.Command{
			Name: "get", Usage: "print a document, or list all", ArgsUsage: "[SERVICE|zones]",
			Flags: platformFlags(), Action: getAction, OnUsageError: usageError,
		},
		&cli.Command{
			Name: "diff", Usage: "show how a file differs from the document in the platform", ArgsUsage: "FILE",
			Flags: platformFlags(), Action: diffAction, OnUsageError: usageError,
		},
	)
}

func zoneCommand() *cli.Command {
	change := func(name, usage string, state document.ZoneState) *cli.Command {
		return &cli.Command{
			Name: name, Usage: usage, ArgsUsage: "NAME",
			Flags: append(platformFlags(), waitFlags()...),
			Action: func(ctx context.Context, c *cli.Command) error {
				return setZoneAction(ctx, c, state)
			},
			OnUsageError: usageError,
		}
	}
	return group("zone", "take availability zones out and return them",
		change("out", "take a zone out of service", document.ZoneOut),
		change("return", "return a zone to service", document.ZoneIn),
		&cli.Command{
			Name: "status", Usage: "show the state of the zones",
			Flags: append(platformFlags(), balancerFlag()), Action: statusAction, OnUsageError: usageError,
		},
		capacityCommand(),
	)
}

// group returns a command that only groups subcommands.
func group(name, usage string, commands ...*cli.Command) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, Commands: commands, OnUsageError: usageError,
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return inputError("%s has no command %q; see --help", name, c.Args().First())
			}
			return cli.ShowSubcommandHelp(c)
		},
	}
}

func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return &exitError{ExitInput, err}
}

func platformFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: flagPlatform, Usage: "URL of the platform's key-value service",
			Sources: cli.EnvVars(envPlatform),
		},
		&cli.StringFlag{
			Name: flagToken, Usage: "token for the platform's key-value service",
			Sources: cli.EnvVars(envToken),
		},
		&cli.DurationFlag{
			Name: flagTimeout, Usage: "how long to try to reach the platform", Value: defaultTimeout,
		},
	}
}

func balancerFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: flagBalancer, Usage: "URL of a balancer's admin address; repeatable"}
}

func waitFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: flagWait, Usage: "wait until the balancers have the document in force"},
		balancerFlag(),
		&cli.DurationFlag{Name: flagWaitTimeout, Usage: "how long to wait for the balancers", Value: defaultWaitTimeout},
	}
}

// newClient returns a client of the store that the flags select.
func newClient(c *cli.Command) (*consul.Client, error) {
	url := c.String(flagPlatform)
	if url == "" {
		return nil, inputError("--%s: missing; give the URL of the platform's key-value service or set %s", flagPlatform, envPlatform)
	}
	client, err := consul.New(consul.Config{URL: url, Token: c.String(flagToken)})
	if err != nil {
		return nil, inputError("--%s: %w", flagPlatform, err)
	}
	return client, nil
}

// newChangeID returns a random, unique change ID.
func newChangeID() string { return "c-" + rand.Text() }

func newWriter(c *cli.Command) (*changes.Writer, error) {
	client, err := newClient(c)
	if err != nil {
		return nil, err
	}
	return changes.NewWriter(client, newChangeID, changes.Options{}), nil
}

func withTimeout(ctx context.Context, c *cli.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.Duration(flagTimeout))
}

func stdout(c *cli.Command) io.Writer { return c.Root().Writer }

func stderr(c *cli.Command) io.Writer { return c.Root().ErrWriter }

// singleArg returns the command's only argument. The error for any other number
// of arguments names what is expected.
func singleArg(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 {
		return "", inputError("%s: expects one %s", c.Name, what)
	}
	return c.Args().First(), nil
}

// parseFile reads and parses one file.
func parseFile(name string) (document.Document, []byte, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return document.Document{}, nil, &exitError{ExitInput, err}
	}
	doc, err := document.Parse(name, text)
	return doc, text, err
}
