package balancer

import (
	"slices"
	"strings"
	"sync/atomic"

	"github.com/jujubehaven/jujubehaven/protocol/verdict"
)

// serviceCounters counts the outcomes of a service's flows on this host.
// Counters are kept across views, so that they are totals since the start.
type serviceCounters struct {
	placed, ended   atomic.Uint64
	broken, refused [verdict.CauseCount]atomic.Uint64
}

// ServiceStats are the totals of one service since the start.
type ServiceStats struct {
	Name string
	// Placed counts new flows placed by this host, Ended flows that ended
	// normally or expired.
	Placed, Ended uint64
	// Broken counts flows given up and Refused openings refused, by cause.
	Broken, Refused [verdict.CauseCount]uint64
}

// internService returns the counters of a service, created on first use.
func (b *Balancer) internService(name string) *serviceCounters {
	c := b.serviceCounts[name]
	if c == nil {
		c = &serviceCounters{}
		b.serviceCounts[name] = c
	}
	return c
}

// serviceStats returns the totals of all services, sorted by name.
func (b *Balancer) serviceStats() []ServiceStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]ServiceStats, 0, len(b.serviceCounts))
	for name, c := range b.serviceCounts {
		s := ServiceStats{Name: name, Placed: c.placed.Load(), Ended: c.ended.Load()}
		for cause := range c.broken {
			s.Broken[cause] = c.broken[cause].Load()
			s.Refused[cause] = c.refused[cause].Load()
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b ServiceStats) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// String returns the name used in metrics.
func (c DropCause) String() string {
	names := [DropCauseCount]string{
		"no-service", "peer-unreachable", "hop-limit", "views-differ", "not-ready", "unknown-flow", "taking-over",
	}
	if c < DropCauseCount {
		return names[c]
	}
	return "unknown"
}
