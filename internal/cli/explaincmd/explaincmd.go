// Package explaincmd implements the command explain, which asks a running host where
// it would place an opening, and why.
package explaincmd

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/jujubehaven/jujubehaven/protocol/explain"
)

// Exit codes of "explain".
const (
	// ExitFailed means that the host did not answer the question or the output failed.
	ExitFailed = 1
	// ExitUsage means that a flag or argument is wrong.
	ExitUsage = 2
)

const (
	flagAdmin   = "admin"
	flagTo      = "to"
	flagFrom    = "from"
	flagJSON    = "json"
	flagTimeout = "timeout"

	defaultTimeout = 3 * time.Second
	// maxResponseBytes limits the response: about 400 bytes for each target.
	maxResponseBytes = 8 << 20
)

// Commands returns the command "explain".
func Commands() []*cli.Command {
	return []*cli.Command{{
		Name:  "explain",
		Usage: "ask a host that steers by token where it would place an opening now, and why",
		Description: "The host answers from its own state and changes nothing. Without --from the answer\n" +
			"is for an assumed caller; which target is chosen may depend on the caller.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagAdmin, Usage: "admin `URL` of the host"},
			&cli.StringFlag{Name: flagTo, Usage: "`ADDR:PORT` of the service"},
			&cli.StringFlag{Name: flagFrom, Usage: "`ADDR:PORT` of the caller"},
			&cli.BoolFlag{Name: flagJSON, Usage: "print the answer in JSON"},
			&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "longest `TIME` to wait for the host"},
		},
		Action: run,
	}}
}

func run(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return cli.Exit("explain: unexpected argument "+cmd.Args().First(), ExitUsage)
	}
	requestURL, err := questionURL(cmd.String(flagAdmin), cmd.String(flagTo), cmd.String(flagFrom))
	if err != nil {
		return cli.Exit("explain: "+err.Error(), ExitUsage)
	}
	answer, body, err := ask(ctx, requestURL, cmd.Duration(flagTimeout))
	if err != nil {
		return cli.Exit("explain: "+err.Error(), ExitFailed)
	}
	if cmd.Bool(flagJSON) {
		_, err = cmd.Root().Writer.Write(body)
	} else {
		err = writeText(cmd.Root().Writer, answer)
	}
	if err != nil {
		return cli.Exit(errors.Wrap(err, "explain: write").Error(), ExitFailed)
	}
	return nil
}

// questionURL checks the flags and returns the URL of the question.
func questionURL(admin, to, from string) (string, error) {
	if admin == "" {
		return "", errors.New("--admin is missing: name the admin URL of the host")
	}
	u, err := url.Parse(admin)
	if err != nil {
		return "", errors.Wrapf(err, "--admin %q", admin)
	}
	if u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return "", errors.Newf("--admin %q: must be a URL such as http://192.0.2.1:9100", admin)
	}
	if to == "" {
		return "", errors.New("--to is missing: name the address and port of the service")
	}
	query := url.Values{}
	for _, p := range []struct{ flag, parameter, value string }{{flagTo, explain.ToParameter, to}, {flagFrom, explain.FromParameter, from}} {
		if p.value == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(p.value); err != nil {
			return "", errors.Newf("--%s %q: must be an address and a port such as 198.18.0.1:80", p.flag, p.value)
		}
		query.Set(p.parameter, p.value)
	}
	u = u.JoinPath(explain.Path)
	u.RawQuery = query.Encode()
	return u.String(), nil
}

// ask sends the question and returns the answer, decoded and as received.
func ask(ctx context.Context, requestURL string, timeout time.Duration) (*explain.Answer, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, requestURL, http.NoBody)
	if err != nil {
		return nil, nil, errors.Wrap(err, "build request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, errors.Wrap(err, "the host does not answer; it may be down")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, nil, errors.Wrap(err, "read answer")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, nil, statusError(resp.Status, body)
	}
	var answer explain.Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, nil, errors.Wrap(err, "decode answer")
	}
	return &answer, body, nil
}

// statusError returns the error for an answer other than 200 OK.
func statusError(status string, body []byte) error {
	var problem explain.Problem
	if json.Unmarshal(body, &problem) == nil && problem.Error != "" {
		return errors.Newf("the host answered: %s", problem.Error)
	}
	return errors.Newf("the host answered %s; hosts that steer by owner, or of an older build, have no %s", status, explain.Path)
}
