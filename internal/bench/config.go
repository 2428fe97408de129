// Package bench loads a running system of balancers on loopback with many
// flows, kills a balancer, takes a zone out and reports the results of the
// callers. The balancers are the real daemons in this process, with sockets and
// TLS; fabric, callers, targets and the platform are fakes.
package bench

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config is the configuration of a run. It is part of the result.
type Config struct {
	Zones          int `json:"zones"`
	HostsPerZone   int `json:"hosts_per_zone"`
	TargetsPerZone int `json:"targets_per_zone"`
	// Rate is the mean number of new flows a second, as a Poisson process. No
	// flow is opened while MaxFlows are open.
	Rate     float64 `json:"rate"`
	MaxFlows int     `json:"max_flows"`
	// LongShare is the share of flows that stay open to the end. The lengths of
	// the others are exponential with the mean MeanLength.
	LongShare  float64       `json:"long_share"`
	MeanLength time.Duration `json:"mean_length_ns"`
	// Interval is the time between two requests of one flow.
	Interval time.Duration `json:"interval_ns"`
	Duration time.Duration `json:"duration_ns"`
	// Settle is the time between all balancers being ready and the first flow.
	Settle time.Duration `json:"settle_ns"`
	// Kill stops one balancer without notice to the others and restarts it later.
	Kill bool `json:"kill"`
	// ZoneOut takes one zone out and returns it later.
	ZoneOut bool   `json:"zone_out"`
	Seed    uint64 `json:"seed"`
}

// Bounds of a run: new flows a second, open flows, hosts, targets and duration.
const (
	MaxRate     = 2000
	MaxOpen     = 20_000
	MaxHosts    = 30
	MaxTargets  = 100
	MinDuration = 2 * time.Second
	MaxDuration = 10 * time.Minute
)

// Default returns the configuration of a run of 30 s.
func Default() Config {
	return Config{
		Zones: 3, HostsPerZone: 3, TargetsPerZone: 5,
		Rate: 50, MaxFlows: 2000, LongShare: 0.2,
		MeanLength: 2 * time.Second, Interval: 500 * time.Millisecond,
		Duration: 30 * time.Second, Kill: true, ZoneOut: true, Seed: 1,
	}
}

// Check returns an error for the first value that is out of range.
func (c *Config) Check() error {
	checks := []struct {
		name     string
		value    float64
		min, max float64
	}{
		{"zones", float64(c.Zones), 1, 6},
		{"hosts", float64(c.Zones * c.HostsPerZone), 1, MaxHosts},
		{"targets", float64(c.Zones * c.TargetsPerZone), 1, MaxTargets},
		{"rate", c.Rate, 0.1, MaxRate},
		{"flows", float64(c.MaxFlows), 1, MaxOpen},
		{"long share", c.LongShare, 0, 1},
		{"length in seconds", c.MeanLength.Seconds(), 0.001, MaxDuration.Seconds()},
		{"interval in seconds", c.Interval.Seconds(), 0.001, MaxDuration.Seconds()},
		{"settle in seconds", c.Settle.Seconds(), 0, MaxDuration.Seconds()},
		{"duration in seconds", c.Duration.Seconds(), MinDuration.Seconds(), MaxDuration.Seconds()},
	}
	for _, v := range checks {
		if v.value < v.min || v.value > v.max {
			return errors.Newf("%s: %v is not from %v to %v", v.name, v.value, v.min, v.max)
		}
	}
	if c.ZoneOut && c.Zones < 2 {
		return errors.New("zone out: needs at least two zones")
	}
	return nil
}
