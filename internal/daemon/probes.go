package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubehaven/jujubehaven/coordination/balancer"
	"github.com/jujubehaven/jujubehaven/transport/probe"
)

// probeInterval is the time between two updates of the set of probed targets.
const probeInterval = time.Second

// reportFailures holds the targets whose last report failed, so that each change
// is logged once.
type reportFailures struct {
	mu     sync.Mutex
	failed map[uint64]bool
}

// probeLoop probes the health and load of the targets that this host owns until
// ctx is done.
func (d *Daemon) probeLoop(ctx context.Context) {
	manager := probe.NewManager(probe.Config{Seed: rand.Uint64()}, d.clock, d.handleReport)
	defer manager.Close()
	for ctx.Err() == nil {
		manager.Set(d.ownedTargets())
		sleep(ctx, probeInterval)
	}
}

// ownedTargets returns the targets of the services in force that this host owns.
func (d *Daemon) ownedTargets() []probe.Target {
	services := d.services.Load()
	if services == nil {
		return nil
	}
	owned := map[uint64]bool{}
	for _, t := range d.balancer.Stats(d.clock()).Targets {
		owned[t.ID] = true
	}
	var targets []probe.Target
	for _, s := range *services {
		for _, t := range s.Targets {
			id := balancer.TargetID(s.Name, t.Name)
			if owned[id] {
				targets = append(targets, probe.Target{ID: id, HealthURL: t.HealthURL, LoadURL: t.LoadURL})
			}
		}
	}
	return targets
}

func (d *Daemon) handleReport(r probe.Result) {
	d.balancer.HandleReport(d.clock(), r.Target, r.Report)
	err := errors.CombineErrors(r.HealthErr, r.LoadErr)
	if !d.reportFailures.changed(r.Target, err != nil) {
		return
	}
	if err != nil {
		d.log.Warn().Str("event", "target_report_failed").Uint64("target", r.Target).Err(err).Send()
		return
	}
	d.log.Info().Str("event", "target_report_received").Uint64("target", r.Target).Send()
}

// changed records whether a target's report failed and returns whether that
// differs from the last report. A new target counts as not failed.
func (r *reportFailures) changed(target uint64, failed bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed[target] == failed {
		return false
	}
	if failed {
		r.failed[target] = true
	} else {
		delete(r.failed, target)
	}
	return true
}
