package probe

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubehaven/jujubehaven/coordination/admission"
)

// Checker queries the endpoints of targets. It is safe for concurrent use.
type Checker struct {
	cfg    Config
	client *http.Client
}

// NewChecker returns a Checker that follows no redirects, since the response to a
// redirected request may come from another server than the target.
func NewChecker(cfg Config) *Checker {
	return &Checker{
		cfg: cfg.withDefaults(),
		client: &http.Client{
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Check queries both endpoints of a target once. now is the time of the report.
func (c *Checker) Check(ctx context.Context, now time.Duration, t Target) Result {
	r := Result{Target: t.ID, Report: admission.Report{At: now, Load: -1}}
	if t.HealthURL != "" {
		_, r.HealthErr = c.get(ctx, t.HealthURL)
		r.Report.Unhealthy = r.HealthErr != nil
	}
	if t.LoadURL == "" {
		return r
	}
	body, err := c.get(ctx, t.LoadURL)
	if err != nil {
		r.LoadErr = err
		return r
	}
	r.Report.Load, r.Report.Shedding, r.LoadErr = parseLoad(body)
	return r
}

// get returns the response body of a GET request, and an error for a status
// other than 2xx.
func (c *Checker) get(ctx context.Context, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "create request for %s", url)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "get %s", url)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return nil, errors.Wrapf(ErrStatus, "get %s: %s", url, resp.Status)
	}
	return c.read(url, resp.Body)
}

// read reads a response body of at most MaxBytes.
func (c *Checker) read(url string, r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, c.cfg.MaxBytes+1))
	if err != nil {
		return nil, errors.Wrapf(err, "read %s", url)
	}
	if int64(len(body)) > c.cfg.MaxBytes {
		return nil, errors.Wrapf(ErrTooLarge, "read %s: more than %d bytes", url, c.cfg.MaxBytes)
	}
	return body, nil
}
