package replaycmd

import (
	"bytes"
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/urfave/cli/v3"
)

const smallTrace = `name: small
seed: 3
length: 15s
caller_distance: 1ms
host_distance: 1ms
zones: [{name: a, hosts: 2}]
services:
  - name: s
    address: 192.0.2.1:443
    targets: 2
    connections: 2000
    openings_in_flight: 3
    openings_per_second: 100
    ramp: 5s
    flows: {per_second: 20, mean_length: 1s, packet_every: 1s}
outcomes:
  - {kind: broken-flows, max: 0}
  - {kind: served, from: 5s, to: 14s, min: 0.9}
`

func TestExitCodes(t *testing.T) {
	cases := []struct {
		name, trace, want string
		args              []string
		code              int
	}{
		{"kept", smallTrace, "kept    served", nil, 0},
		{"broken", strings.ReplaceAll(smallTrace, "min: 0.9", "min: 1.1"), "BROKEN  served", nil, 1},
		{"unknown key", smallTrace + "colour: red\n", "", nil, 2},
		{"unknown outcome", strings.ReplaceAll(smallTrace, "kind: served", "kind: beauty"), "", nil, 2},
		{"unknown zone", smallTrace + "events: [{at: 6s, kind: zone-out, zone: b}]\n", "", nil, 2},
		{"unknown policy", smallTrace, "", []string{"--policy", "luck"}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "trace.yaml")
			is.NoErr(os.WriteFile(path, []byte(c.trace), 0o600))
			var out bytes.Buffer
			root := &cli.Command{
				Name: "jujubehaven", Commands: Commands(), Writer: &out, ErrWriter: io.Discard,
				ExitErrHandler: func(context.Context, *cli.Command, error) {},
			}
			args := append([]string{"jujubehaven", "replay"}, c.args...)
			err := root.Run(context.Background(), append(args, path))
			code := 0
			var coder cli.ExitCoder
			if errors.As(err, &coder) {
				code = coder.ExitCode()
			}
			is.Equal(code, c.code)
			is.True(strings.Contains(out.String(), c.want))
		})
	}
}
