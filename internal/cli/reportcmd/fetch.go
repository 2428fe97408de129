package reportcmd

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/cockroachdb/errors"

	"github.com/jujubehaven/jujubehaven/protocol/report"
)

const (
	// maxConcurrentFetches limits the concurrent requests.
	maxConcurrentFetches = 32
	// maxResponseBytes limits the response of one balancer.
	maxResponseBytes = 8 << 20
)

// burnURLs validates the balancers' URLs and appends the path of the report.
func burnURLs(balancers []string) ([]string, error) {
	if len(balancers) == 0 {
		return nil, errors.New("--balancer is missing: name the admin URL of each balancer")
	}
	seen := make(map[string]bool, len(balancers))
	urls := make([]string, 0, len(balancers))
	for _, text := range balancers {
		u, err := url.Parse(text)
		if err != nil {
			return nil, errors.Wrapf(err, "--balancer %q", text)
		}
		if u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return nil, errors.Newf("--balancer %q: must be a URL such as http://192.0.2.1:9100", text)
		}
		full := u.JoinPath(report.BurnPath).String()
		if seen[full] {
			return nil, errors.Newf("--balancer %q: given twice; its counts would be doubled", text)
		}
		seen[full] = true
		urls = append(urls, full)
	}
	return urls, nil
}

// fetchResult is the response of one balancer or the error of its request.
type fetchResult struct {
	balancer report.Balancer
	err      error
}

// fetchAll queries the balancers concurrently and returns their responses in the
// order of the URLs. A second response of the same host counts as missing.
func fetchAll(ctx context.Context, urls []string, timeout time.Duration) ([]report.Balancer, []report.Missing) {
	results := make([]fetchResult, len(urls))
	pool := pond.NewPool(min(len(urls), maxConcurrentFetches))
	for i := range urls {
		pool.Submit(func() {
			results[i].balancer, results[i].err = fetch(ctx, urls[i], timeout)
		})
	}
	pool.StopAndWait()

	var balancers []report.Balancer
	var missing []report.Missing
	hosts := make(map[string]bool)
	for i := range results {
		r := &results[i]
		if r.err == nil && hosts[r.balancer.Host] {
			r.err = errors.Newf("host %q answered at another URL too; counted once", r.balancer.Host)
		}
		if r.err != nil {
			missing = append(missing, report.Missing{Balancer: urls[i], Reason: r.err.Error()})
			continue
		}
		hosts[r.balancer.Host] = true
		balancers = append(balancers, r.balancer)
	}
	return balancers, missing
}

func fetch(ctx context.Context, from string, timeout time.Duration) (report.Balancer, error) {
	var out report.Balancer
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, from, http.NoBody)
	if err != nil {
		return out, errors.Wrap(err, "build request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return out, errors.Newf("answered %s", resp.Status)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&out)
	if err != nil {
		return out, errors.Wrap(err, "decode answer")
	}
	if out.Version != report.Version {
		return out, errors.Newf("answered version %d, want %d", out.Version, report.Version)
	}
	return out, nil
}
