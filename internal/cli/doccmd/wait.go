package doccmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/urfave/cli/v3"
)

const (
	// pollInterval is the wait between two queries of the balancers.
	pollInterval = 200 * time.Millisecond
	// balancerTimeout limits one query of a balancer.
	balancerTimeout = time.Second
	// maxListBytes limits the response of one balancer.
	maxListBytes = 1 << 20
)

// balancerClient connects to balancers directly and ignores the proxy settings
// of the environment.
var balancerClient = &http.Client{Transport: &http.Transport{}}

// report holds the version of a document that one balancer has in force, the
// wanted version and the error of the query.
type report struct {
	url     string
	host    string
	current document.InForce
	want    document.InForce
	err     error
}

// inForce reports whether the balancer has the wanted change in force, or a
// later generation.
func (r report) inForce() bool {
	if r.err != nil || r.current.Generation < r.want.Generation {
		return false
	}
	return r.current.Generation > r.want.Generation || r.current.Change == r.want.Change
}

// String returns the report as key=value pairs.
func (r report) String() string {
	if r.err != nil {
		return fmt.Sprintf("balancer=%s in_force=unknown error=%q", r.url, r.err)
	}
	return fmt.Sprintf("balancer=%s host=%s generation=%d change=%s in_force=%t",
		r.url, r.host, r.current.Generation, r.current.Change, r.inForce())
}

func checkWaitFlags(c *cli.Command) error {
	if c.Bool(flagWait) && len(c.StringSlice(flagBalancer)) == 0 {
		return inputError("--%s needs at least one --%s", flagWait, flagBalancer)
	}
	return nil
}

// highestInForce returns the highest generation of a document that the given
// balancers have in force. Balancers that do not respond are ignored.
func highestInForce(ctx context.Context, c *cli.Command, key document.Key) uint64 {
	var highest uint64
	for _, r := range queryBalancers(ctx, c.StringSlice(flagBalancer), document.InForce{Key: key}) {
		highest = max(highest, r.current.Generation)
	}
	return highest
}

// waitForBalancers polls until all balancers have the document in force or the
// wait times out, and prints the last report of each.
func waitForBalancers(ctx context.Context, c *cli.Command, want document.InForce) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration(flagWaitTimeout))
	defer cancel()
	urls := c.StringSlice(flagBalancer)
	reports := queryBalancers(ctx, urls, want)
	for countMissing(reports) > 0 && waitPollInterval(ctx) {
		reports = retryMissing(ctx, reports)
	}
	for _, r := range reports {
		fmt.Fprintln(stdout(c), r)
	}
	if n := countMissing(reports); n > 0 {
		return &exitError{ExitWait, errors.Newf(
			"%s: the change is written, and %d of %d balancers do not have it in force yet", want.Key, n, len(reports))}
	}
	return nil
}

// retryMissing queries the balancers that do not have the document in force yet.
// A query that fails because ctx is done leaves the previous report in place.
func retryMissing(ctx context.Context, reports []report) []report {
	var wg sync.WaitGroup
	next := make([]report, len(reports))
	for i, r := range reports {
		next[i] = r
		if r.inForce() {
			continue
		}
		wg.Go(func() {
			if latest := queryBalancer(ctx, r.url, r.want); latest.err == nil || ctx.Err() == nil {
				next[i] = latest
			}
		})
	}
	wg.Wait()
	return next
}

func countMissing(reports []report) int {
	n := 0
	for _, r := range reports {
		if !r.inForce() {
			n++
		}
	}
	return n
}

func waitPollInterval(ctx context.Context) bool {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// queryBalancers queries all balancers concurrently.
func queryBalancers(ctx context.Context, urls []string, want document.InForce) []report {
	reports := make([]report, len(urls))
	var wg sync.WaitGroup
	for i, url := range urls {
		wg.Go(func() { reports[i] = queryBalancer(ctx, url, want) })
	}
	wg.Wait()
	return reports
}

func queryBalancer(ctx context.Context, url string, want document.InForce) report {
	r := report{url: url, want: want}
	var list document.InForceList
	list, r.err = fetchList(ctx, url)
	r.host = list.Host
	for _, d := range list.Documents {
		if d.Key == want.Key {
			r.current = d
		}
	}
	return r
}

func fetchList(ctx context.Context, url string) (document.InForceList, error) {
	var list document.InForceList
	ctx, cancel := context.WithTimeout(ctx, balancerTimeout)
	defer cancel()
	target := strings.TrimSuffix(url, "/") + document.InForcePath
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return list, err
	}
	resp, err := balancerClient.Do(req)
	if err != nil {
		return list, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return list, errors.Newf("status %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&list)
	return list, err
}
