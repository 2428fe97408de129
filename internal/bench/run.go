package bench

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/report"
)

const (
	// fabricDetectionDelay is how long the fabric still sends packets to a
	// killed balancer.
	fabricDetectionDelay = time.Second
	// sentBytesMetric is the metric of control bytes sent.
	sentBytesMetric = "jujubehaven_control_sent_bytes_total"
)

// The times of the faults, as shares of the run's duration.
const (
	killAt       = 0.2
	restartAt    = 0.4
	zoneOutAt    = 0.55
	zoneReturnAt = 0.75
)

// Run starts a system, performs one run and returns its result. An error means
// that the system could not be started, changed or read; broken flows are no
// error.
func Run(ctx context.Context, cfg Config) (Result, error) {
	result := Result{Version: Version, Config: cfg}
	if err := cfg.Check(); err != nil {
		return result, err
	}
	s, err := newSystem(cfg)
	if err != nil {
		return result, errors.Wrap(err, "start")
	}
	defer s.close()
	if !pauseUntil(ctx, time.Now().Add(cfg.Settle)) {
		return result, ctx.Err()
	}
	r := &runner{system: s, load: newLoad(s), result: &result, start: time.Now()}
	return result, r.run(ctx)
}

// runner is a run in progress.
type runner struct {
	system *system
	load   *load
	result *Result
	start  time.Time
}

func (r *runner) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.system.cfg.Duration)
	defer cancel()
	before := r.sentBytes()
	began := time.Now()
	faults := make(chan error, 1)
	go func() { faults <- r.injectFaults(ctx) }()
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		r.sample(ctx)
	}()
	r.load.run(ctx)
	err := <-faults
	<-sampled
	r.result.ControlBytes = controlRates(before, r.sentBytes(), time.Since(began))
	counted, countErr := r.readCounts()
	r.result.Counted = counted
	r.load.withLock(func() {
		r.result.Flows = r.load.flows
		r.result.Opening = latencyOf(r.load.opening)
		r.result.Request = latencyOf(r.load.request)
	})
	r.result.Imbalance = imbalanceOf(r.result.Seconds)
	return errors.CombineErrors(err, countErr)
}

// fault is a change of the system at a share of the run's duration.
type fault struct {
	at   float64
	what string
	do   func() error
}

func (r *runner) planFaults() []fault {
	var faults []fault
	s := r.system
	if s.cfg.Kill {
		h := s.hosts[0]
		faults = append(faults,
			fault{killAt, "kill " + h.name, func() error { return r.kill(h) }},
			fault{restartAt, "restart " + h.name, func() error { return r.restart(h) }})
	}
	if s.cfg.ZoneOut {
		zone := s.zone(s.cfg.Zones - 1)
		faults = append(faults,
			fault{zoneOutAt, "out " + zone, func() error { return r.takeZoneOut(zone) }},
			fault{zoneReturnAt, "return " + zone, func() error { return r.returnZone(zone) }})
	}
	return faults
}

func (r *runner) injectFaults(ctx context.Context) error {
	for _, f := range r.planFaults() {
		at := r.start.Add(time.Duration(f.at * float64(r.system.cfg.Duration)))
		if !pauseUntil(ctx, at) {
			return nil
		}
		r.load.withLock(func() {
			r.result.Faults = append(r.result.Faults, Fault{At: time.Since(r.start).Seconds(), What: f.what})
		})
		if err := f.do(); err != nil {
			return errors.Wrap(err, f.what)
		}
	}
	return nil
}

func (r *runner) kill(h *host) error {
	h.kill()
	time.AfterFunc(fabricDetectionDelay, func() { r.system.fabric.SetDown(h.data(), true) })
	return nil
}

func (r *runner) restart(h *host) error {
	if err := r.system.run(h); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if err := h.waitReady(ctx); err != nil {
		return err
	}
	r.system.fabric.SetDown(h.data(), false)
	return nil
}

func (r *runner) takeZoneOut(zone string) error {
	r.load.setZoneOut(zone, true)
	return r.system.setZone(zone, document.ZoneOut)
}

func (r *runner) returnZone(zone string) error {
	err := r.system.setZone(zone, document.ZoneIn)
	r.load.setZoneOut(zone, false)
	return err
}

// sample records the state at the end of each second.
func (r *runner) sample(ctx context.Context) {
	for at := 1; pauseUntil(ctx, r.start.Add(time.Duration(at)*time.Second)); at++ {
		ratio := r.imbalance()
		r.load.withLock(func() {
			f := &r.load.flows
			r.result.Seconds = append(r.result.Seconds, Second{
				At: at, Open: r.load.open, Refused: f.Refused, Broken: f.Broken(),
				GivenUp: f.GivenUp, Imbalance: ratio,
			})
		})
	}
}

// imbalance returns the highest number of connections of the targets in service
// divided by the mean, or 0 without connections.
func (r *runner) imbalance() float64 {
	highest, sum, n := 0, 0, 0
	for i, t := range r.system.targets {
		zone := r.system.zone(i)
		out := false
		r.load.withLock(func() { out = r.load.zoneWasOut(zone) })
		if out {
			continue
		}
		open := t.Stats().Connections
		highest = max(highest, open)
		sum += open
		n++
	}
	if sum == 0 {
		return 0
	}
	return float64(highest*n) / float64(sum)
}

func imbalanceOf(seconds []Second) Imbalance {
	var out Imbalance
	n := 0
	for _, s := range seconds {
		if s.Imbalance > 0 {
			out.Mean += s.Imbalance
			out.Max = max(out.Max, s.Imbalance)
			n++
		}
	}
	if n > 0 {
		out.Mean /= float64(n)
	}
	return out
}

// sentBytes returns the control bytes that each balancer has sent, by its name. A
// balancer that does not answer is left out.
func (r *runner) sentBytes() map[string]float64 {
	sent := make(map[string]float64)
	for _, h := range r.system.hosts {
		if values, err := h.scrape(); err == nil {
			sent[h.name] = values[sentBytesMetric]
		}
	}
	return sent
}

// countedLag is how long the balancers take to update their counts.
const countedLag = 1500 * time.Millisecond

// readCounts returns the sum of the balancers' own counts. A restarted balancer
// has lost its earlier counts.
func (r *runner) readCounts() (Counted, error) {
	time.Sleep(countedLag)
	var out Counted
	var answers []report.Balancer
	var relayed, forwarded float64
	for _, h := range r.system.hosts {
		var answer report.Balancer
		if err := h.getJSON(report.BurnPath, &answer); err != nil {
			return out, errors.Wrap(err, h.name)
		}
		answers = append(answers, answer)
		values, err := h.scrape()
		if err != nil {
			return out, errors.Wrap(err, h.name)
		}
		relayed += values["jujubehaven_packets_relayed_total"]
		forwarded += values["jujubehaven_packets_forwarded_total"]
	}
	burn := report.Merge(answers, nil)
	for i := range burn.Services {
		flows, openings := burn.Services[i].Objectives[0], burn.Services[i].Objectives[1]
		out.Ended += flows.Budget.Count.Good
		out.Broken += flows.Budget.Count.Bad
		out.Placed += openings.Budget.Count.Good
		out.Refused += openings.Budget.Count.Bad
	}
	if relayed+forwarded > 0 {
		out.RelayedShare = relayed / (relayed + forwarded)
	}
	return out, nil
}

// controlRates returns the bytes a second of the balancers. It leaves out those
// whose counter is lower than before, as a restart sets it to zero.
func controlRates(before, after map[string]float64, took time.Duration) Spread {
	var out Spread
	n := 0
	for name, end := range after {
		start, ok := before[name]
		if !ok || end < start {
			continue
		}
		rate := (end - start) / took.Seconds()
		out.Mean += rate
		out.Max = max(out.Max, rate)
		n++
	}
	if n > 0 {
		out.Mean /= float64(n)
	}
	return out
}
