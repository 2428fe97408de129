package burn

import (
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/balancer"
	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/verdict"
	"github.com/jujubehaven/jujubehaven/state/slo"
)

// Feeder adds the increments of a balancer's service totals to the windows of a
// store. It is not safe for concurrent use.
type Feeder struct {
	store *slo.Store
	// previous holds the totals of the last call by service.
	previous map[string]balancer.ServiceStats
}

// NewFeeder returns a feeder whose first call of Feed counts the full totals.
func NewFeeder(store *slo.Store) *Feeder {
	return &Feeder{store: store, previous: make(map[string]balancer.ServiceStats)}
}

// Feed adds the events since the last call and advances the windows to now. It
// should be called about once per second. Services without a document are
// removed from the store.
func (f *Feeder) Feed(now time.Duration, totals []balancer.ServiceStats, services []document.Service) {
	names := make([]string, len(services))
	counters := make(map[string]*slo.Service, len(services))
	for i := range services {
		names[i] = services[i].Name
		counters[names[i]] = f.store.Service(names[i], services[i].Objectives)
	}
	f.store.Retain(names)
	for _, total := range totals {
		if s := counters[total.Name]; s != nil {
			countDifference(s, f.previous[total.Name], total)
		}
		f.previous[total.Name] = total
	}
	f.store.Advance(now)
}

// countDifference adds the difference of two totals to s.
func countDifference(s *slo.Service, before, after balancer.ServiceStats) {
	var broken, refused uint64
	for cause := range after.Broken {
		if slo.Breaks(verdict.Cause(cause)) {
			broken += after.Broken[cause] - before.Broken[cause]
		}
		refused += after.Refused[cause] - before.Refused[cause]
	}
	s.Count(slo.FlowsNotBroken, after.Ended-before.Ended, broken)
	s.Count(slo.NewFlowsServed, after.Placed-before.Placed, refused)
}
