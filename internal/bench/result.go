package bench

import (
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// Version is the version of the JSON form of Result.
const Version = 1

// Result holds the measurements of a run.
type Result struct {
	Version int    `json:"version"`
	Config  Config `json:"config"`
	Flows   Flows  `json:"flows"`
	// Opening is the time from the first SYN to the answer, Request the time from
	// a request on an open flow to its answer, both including retransmissions.
	Opening Latency `json:"opening"`
	Request Latency `json:"request"`
	// Imbalance is the highest number of connections of the targets in service
	// divided by the mean.
	Imbalance Imbalance `json:"imbalance"`
	// ControlBytes is the control traffic sent by one balancer, in bytes a
	// second.
	ControlBytes Spread   `json:"control_bytes"`
	Counted      Counted  `json:"counted"`
	Seconds      []Second `json:"seconds"`
	Faults       []Fault  `json:"faults"`
}

// Flows counts flows by their result.
type Flows struct {
	Started int `json:"started"`
	Opened  int `json:"opened"`
	// Refused openings were answered with a reset or as unreachable, Unopened
	// ones not at all.
	Refused  int `json:"refused"`
	Unopened int `json:"unopened"`
	// Skipped flows were not opened because MaxFlows were open.
	Skipped int `json:"skipped"`
	Ended   int `json:"ended"`
	// GivenUp flows were reset after their target's zone was taken out. They do
	// not count as broken.
	GivenUp int `json:"given_up"`
	// Reset, Silent and Crossed flows are broken: they were reset without cause,
	// got no answer, or got the answer of another target or request.
	Reset   int `json:"reset"`
	Silent  int `json:"silent"`
	Crossed int `json:"crossed"`
}

// Broken returns the number of broken flows.
func (f *Flows) Broken() int { return f.Reset + f.Silent + f.Crossed }

// Latency is a latency distribution in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p99_9_ms"`
	Max   float64 `json:"max_ms"`
}

// Bounds in microseconds and significant digits of the latency histograms.
const (
	lowestMicros  = 1
	highestMicros = int64(time.Minute / time.Microsecond)
	digits        = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, digits)
}

// latencyOf converts a histogram in microseconds to quantiles in milliseconds.
func latencyOf(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{
		Count: h.TotalCount(), P50: at(50), P90: at(90), P99: at(99), P999: at(99.9),
		Max: float64(h.Max()) / 1000,
	}
}

// Imbalance is the mean and the maximum over the seconds of a run in which
// targets had connections.
type Imbalance struct {
	Mean float64 `json:"mean"`
	Max  float64 `json:"max"`
}

// Spread is the mean and the maximum over the balancers.
type Spread struct {
	Mean float64 `json:"mean"`
	Max  float64 `json:"max"`
}

// Counted holds the balancers' own counts, from their service level reports and
// metrics. Placed and Refused count openings, Ended and Broken flows.
type Counted struct {
	Placed  uint64 `json:"placed"`
	Refused uint64 `json:"refused"`
	Ended   uint64 `json:"ended"`
	Broken  uint64 `json:"broken"`
	// RelayedShare is the share of packets that were relayed to another balancer.
	RelayedShare float64 `json:"relayed_share"`
}

// Second is the state at the end of one second. Open is the current number of
// flows; Refused, Broken and GivenUp are totals since the start.
type Second struct {
	At        int     `json:"at"`
	Open      int     `json:"open"`
	Refused   int     `json:"refused"`
	Broken    int     `json:"broken"`
	GivenUp   int     `json:"given_up"`
	Imbalance float64 `json:"imbalance"`
}

// Fault is a fault or change that was applied to the system.
type Fault struct {
	At   float64 `json:"at_seconds"`
	What string  `json:"what"`
}

// Write writes the result as JSON.
func (r *Result) Write(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// Read reads a result from a JSON file. Another version is an error.
func Read(name string) (Result, error) {
	var r Result
	text, err := os.ReadFile(name)
	if err != nil {
		return r, errors.Wrap(err, "read result")
	}
	if err := json.Unmarshal(text, &r); err != nil {
		return r, errors.Wrapf(err, "%s: not a result", name)
	}
	if r.Version != Version {
		return r, errors.Newf("%s: version %d, want %d", name, r.Version, Version)
	}
	return r, nil
}
