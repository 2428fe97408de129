package doccmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	wire "github.com/jujubehaven/jujubehaven/protocol/report"
)

const (
	flagAdmin = "admin"
	flagJSON  = "json"

	// maxCapacityBytes limits the response of a host.
	maxCapacityBytes = 4 << 20
)

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name: "capacity", Usage: "show the zones' spare capacity and what is sent to other zones, as a host knows it",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagAdmin, Usage: "URL of the host's admin address"},
			&cli.BoolFlag{Name: flagJSON, Usage: "print the answer in JSON"},
		},
		Action: capacityAction, OnUsageError: usageError,
	}
}

func capacityAction(ctx context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return inputError("capacity: expects no argument")
	}
	u, err := url.Parse(c.String(flagAdmin))
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return inputError("--%s %q: must be a URL such as http://192.0.2.1:9100", flagAdmin, c.String(flagAdmin))
	}
	capacity, err := fetchCapacity(ctx, u.JoinPath(wire.CapacityPath).String())
	if err != nil {
		return &exitError{ExitFailure, errors.Wrapf(err, "%s", u)}
	}
	if c.Bool(flagJSON) {
		out := json.NewEncoder(stdout(c))
		out.SetIndent("", "  ")
		return out.Encode(capacity)
	}
	return printCapacity(stdout(c), &capacity)
}

func fetchCapacity(ctx context.Context, reportURL string) (wire.Capacity, error) {
	var capacity wire.Capacity
	ctx, cancel := context.WithTimeout(ctx, balancerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, reportURL, http.NoBody)
	if err != nil {
		return capacity, errors.Wrap(err, "build request")
	}
	resp, err := balancerClient.Do(req)
	if err != nil {
		return capacity, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return capacity, errors.Newf("answered %s", resp.Status)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxCapacityBytes)).Decode(&capacity)
	return capacity, errors.Wrap(err, "decode answer")
}

// printCapacity prints one line for each service and zone; the host's own zone comes
// first.
func printCapacity(out io.Writer, capacity *wire.Capacity) error {
	fmt.Fprintf(out, "host=%s zone=%s enabled=%t\n", capacity.Host, capacity.Zone, capacity.Enabled)
	if len(capacity.Services) == 0 {
		fmt.Fprintln(out, "no zone's capacity is known")
		return nil
	}
	return printTable(out, func(w io.Writer) {
		fmt.Fprintln(w, "SERVICE\tZONE\tSLOTS\tREQUESTS\tSPARE\tSHARE")
		for _, s := range capacity.Services {
			if s.Known {
				fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%.2f\n", s.Service, capacity.Zone, s.Slots, s.Demand, s.Spare, 1-s.ShareAway)
			} else {
				fmt.Fprintf(w, "%s\t%s\t-\t-\t-\t%.2f\n", s.Service, capacity.Zone, 1-s.ShareAway)
			}
			for _, z := range s.Zones {
				fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%.2f\n", s.Service, z.Zone, z.Slots, z.Busy, z.Spare, z.ShareAway)
			}
		}
	})
}
