package daemon

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubehaven/jujubehaven/protocol/report"
	"github.com/jujubehaven/jujubehaven/state/slo"
	"github.com/jujubehaven/jujubehaven/transport/burn"
	"github.com/jujubehaven/jujubehaven/transport/metrics"
)

// sloInterval is the time between two updates of the service-level counts from
// the balancer's statistics.
const sloInterval = time.Second

// balancerMetrics returns the collector of the balancer's counters.
func (d *Daemon) balancerMetrics() prometheus.Collector {
	return metrics.New(metrics.Config{Source: d.balancer, Clock: d.clock, Documents: d.generations})
}

// serveBurn creates the store of service-level counts and serves it on the admin
// address.
func (d *Daemon) serveBurn() {
	d.slos = slo.New(d.clock())
	d.admin.Handle(report.BurnPath, burn.Handler(burn.Config{
		Store: d.slos, Host: d.host.Name, Zone: d.host.Zone, Clock: d.clock,
	}))
}

// sloLoop updates the service-level counts until ctx is done.
func (d *Daemon) sloLoop(ctx context.Context) {
	feeder := burn.NewFeeder(d.slos)
	ticker := time.NewTicker(sloInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if services := d.services.Load(); services != nil {
				now := d.clock()
				feeder.Feed(now, d.balancer.Stats(now).Services, *services)
			}
		}
	}
}

// generations returns the generation of each document in force, for the metrics.
func (d *Daemon) generations() []metrics.Generation {
	inForce := d.docs.InForce().Documents
	list := make([]metrics.Generation, len(inForce))
	for i, doc := range inForce {
		list[i] = metrics.Generation{Document: string(doc.Key), Generation: doc.Generation}
	}
	return list
}
