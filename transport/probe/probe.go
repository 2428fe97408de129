// Package probe polls the health and load endpoints of targets over HTTP. The
// load is in the Prometheus text format. Each check is bounded in time and size.
// Reports may be outdated or wrong; package admission decides how to use them.
package probe

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubehaven/jujubehaven/coordination/admission"
)

const (
	// DefaultInterval is the mean time between two checks of a target.
	DefaultInterval = 2 * time.Second
	// DefaultTimeout is the timeout of one HTTP request, including the body.
	DefaultTimeout = time.Second
	// DefaultMaxBytes is the maximum size of a response body in bytes.
	DefaultMaxBytes = 256 << 10
	// intervalJitter is the maximum deviation of an interval from its mean, as a
	// share of the mean.
	intervalJitter = 0.25
)

const (
	// LoadMetric is the gauge with the share of a target's capacity in use, 0 to 1.
	LoadMetric = "target_load_ratio"
	// SheddingMetric is the gauge that is nonzero while the target sheds load.
	SheddingMetric = "target_shedding"
)

var (
	// ErrTooLarge means that a response body exceeded Config.MaxBytes.
	ErrTooLarge = errors.New("response body too large")
	// ErrContent means that a response from the load endpoint is invalid.
	ErrContent = errors.New("unexpected content")
	// ErrStatus means that a response has an HTTP status other than 2xx.
	ErrStatus = errors.New("unexpected HTTP status")
)

// Config configures the checks. Zero values of the first three fields select the
// defaults above.
type Config struct {
	Interval time.Duration
	Timeout  time.Duration
	MaxBytes int64
	// Seed makes the jitter of the intervals reproducible.
	Seed uint64
}

// withDefaults replaces zero values by the defaults.
func (c Config) withDefaults() Config {
	if c.Interval <= 0 {
		c.Interval = DefaultInterval
	}
	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}
	if c.MaxBytes <= 0 {
		c.MaxBytes = DefaultMaxBytes
	}
	return c
}

// Target holds the endpoints of one target. An empty URL is not queried.
type Target struct {
	ID        uint64
	HealthURL string
	LoadURL   string
}

// Result is the outcome of one check.
type Result struct {
	Target uint64
	Report admission.Report
	// HealthErr and LoadErr are the errors of the two endpoints, nil for one
	// without a URL.
	HealthErr, LoadErr error
}
