// Package metrics exports the counters and gauges of a balancer to Prometheus.
//
// The documents bound the number of series: a host exports only the targets that
// it owns, at most MaxTargets, and for each service only the causes that have
// occurred.
package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubehaven/jujubehaven/coordination/balancer"
	"github.com/jujubehaven/jujubehaven/protocol/verdict"
)

// MaxTargets is the maximum number of targets that one host exports.
const MaxTargets = 1000

// Source provides the values of the metrics at each scrape.
type Source interface {
	Stats(now time.Duration) balancer.Stats
}

// Generation is the generation of one document in force.
type Generation struct {
	Document   string
	Generation uint64
}

// Config configures a Collector. The metrics of the control traffic are exported
// by package peerlink.
type Config struct {
	Source Source
	// Clock returns the monotonic time that is passed to Source.
	Clock func() time.Duration
	// Documents returns the generations of the documents in force. It may be nil.
	Documents func() []Generation
}

// Collector is a prometheus.Collector for the metrics of a balancer.
type Collector struct {
	cfg Config
	families
}

// New returns a collector, which must be registered only once.
func New(cfg Config) *Collector {
	return &Collector{cfg: cfg, families: newFamilies()}
}

// Describe sends the descriptions of all metrics.
func (c *Collector) Describe(out chan<- *prometheus.Desc) {
	for _, f := range c.all() {
		out <- f.desc
	}
}

// Collect reads the balancer and sends all metrics.
func (c *Collector) Collect(out chan<- prometheus.Metric) {
	w := sampleWriter{out: out}
	s := c.cfg.Source.Stats(c.cfg.Clock())
	c.collectTotals(w, &s)
	c.collectServices(w, &s)
	c.collectTargets(w, s.Targets)
	if c.cfg.Documents != nil {
		for _, d := range c.cfg.Documents() {
			w.write(c.generation, float64(d.Generation), d.Document)
		}
	}
}

// sampleWriter sends samples to the channel of a scrape.
type sampleWriter struct {
	out chan<- prometheus.Metric
}

func (w sampleWriter) write(f family, value float64, labels ...string) {
	w.out <- prometheus.MustNewConstMetric(f.desc, f.kind, value, labels...)
}

func (w sampleWriter) count(f family, value uint64, labels ...string) {
	w.write(f, float64(value), labels...)
}

// countNonZero omits a counter that is 0.
func (w sampleWriter) countNonZero(f family, value uint64, labels ...string) {
	if value > 0 {
		w.count(f, value, labels...)
	}
}

func (c *Collector) collectTotals(w sampleWriter, s *balancer.Stats) {
	w.count(c.forwarded, s.Forwarded)
	w.count(c.relayed, s.Relayed)
	w.count(c.placed, s.Placed)
	w.count(c.placedElsewhere, s.PlacedElsewhere)
	w.count(c.handedOver, s.HandedOver)
	w.count(c.adopted, s.Adopted)
	w.count(c.concluded, s.Concluded)
	w.count(c.told, s.FlowsTold)
	w.count(c.toldBytes, s.FlowBytes)
	w.count(c.heartbeats, s.Heartbeats)
	w.count(c.rejoined, s.Rejoined)
	w.write(c.flows, float64(s.Flows))
	w.write(c.replicas, float64(s.Replicas))
	w.write(c.serving, float64(s.Serving))
	w.write(c.view, float64(s.View))
	for cause, n := range s.Drops {
		w.count(c.drops, n, balancer.DropCause(cause).String())
	}
	for run, causes := range s.Verdicts {
		for cause, n := range causes {
			w.countNonZero(c.verdicts, n, verdict.Run(run).String(), verdict.Cause(cause).String())
		}
	}
}

func (c *Collector) collectServices(w sampleWriter, s *balancer.Stats) {
	for i := range s.Services {
		service := &s.Services[i]
		w.countNonZero(c.servicePlaced, service.Placed, service.Name)
		w.countNonZero(c.serviceEnded, service.Ended, service.Name)
		for cause, n := range service.Broken {
			w.countNonZero(c.serviceBroken, n, service.Name, verdict.Cause(cause).String())
		}
		for cause, n := range service.Refused {
			w.countNonZero(c.serviceRefused, n, service.Name, verdict.Cause(cause).String())
		}
	}
	for service, ratio := range imbalances(s.Targets) {
		w.write(c.imbalance, ratio, service)
	}
}

func (c *Collector) collectTargets(w sampleWriter, targets []balancer.TargetStats) {
	exported := targets[:min(len(targets), MaxTargets)]
	w.write(c.omitted, float64(len(targets)-len(exported)))
	for i := range exported {
		t := &exported[i]
		labels := []string{t.Service, t.Name, t.Zone}
		w.write(c.targetFlows, float64(t.Flows), labels...)
		w.write(c.targetInFlight, float64(t.InFlight), labels...)
		w.write(c.targetWarm, t.Warm, labels...)
		w.write(c.targetAccepting, boolToFloat(t.Accepting), labels...)
		w.write(c.targetSlots, float64(t.OpenSlots), labels...)
		w.write(c.targetLimit, float64(t.Limit.Connections), append(labels, "connections")...)
		w.write(c.targetLimit, float64(t.Limit.OpeningsInFlight), append(labels, "openings_in_flight")...)
		w.write(c.targetLimit, float64(t.Limit.OpeningsPerSecond), append(labels, "openings_per_second")...)
	}
}

func boolToFloat(set bool) float64 {
	if set {
		return 1
	}
	return 0
}

// imbalances returns, for each service with flows, the ratio of the highest to
// the mean number of flows of its warm, accepting targets.
func imbalances(targets []balancer.TargetStats) map[string]float64 {
	type sum struct{ flows, highest, targets int }
	sums := make(map[string]sum)
	for i := range targets {
		t := &targets[i]
		if !t.Accepting || t.Warm < 1 {
			continue
		}
		s := sums[t.Service]
		s.flows += t.Flows
		s.highest = max(s.highest, t.Flows)
		s.targets++
		sums[t.Service] = s
	}
	ratios := make(map[string]float64)
	for service, s := range sums {
		if s.flows > 0 {
			ratios[service] = float64(s.highest) * float64(s.targets) / float64(s.flows)
		}
	}
	return ratios
}
