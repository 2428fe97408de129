// Package slo counts, for each service, the events that met and missed its two
// service-level objectives over sliding windows. All state is in memory of fixed
// size, so a replaced host starts without history; a report states how much of
// each window this process has covered. The package reads no clock: callers pass
// the monotonic time.
package slo

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/report"
	"github.com/jujubehaven/jujubehaven/protocol/verdict"
)

// Objective is one of a service's two service-level objectives.
type Objective uint8

const (
	// FlowsNotBroken counts flows that ended: good if an endpoint closed
	// them, bad if the load balancer broke them.
	FlowsNotBroken Objective = iota
	// NewFlowsServed counts openings: good if placed at a target, bad if refused.
	NewFlowsServed
	objectiveCount
)

// MaxGap is the longest time between two calls of Advance that still counts as
// covered. A longer time means that the process was paused.
const MaxGap = 10 * time.Second

// maxGaps limits the recorded pauses; the oldest are dropped first.
const maxGaps = 64

// Breaks reports whether a flow given up for the cause misses the objective
// FlowsNotBroken. Refused openings are counted by NewFlowsServed instead; flows
// that end because operators took a zone out are agreed with the teams.
func Breaks(cause verdict.Cause) bool {
	switch cause {
	case verdict.CauseTargetGone, verdict.CauseLostState, verdict.CauseSilent, verdict.CauseDuplicate:
		return true
	}
	return false
}

// Service holds the running totals of one service. Its Count method is safe
// for concurrent use, takes no lock and does not allocate.
type Service struct {
	totals [objectiveCount]struct{ good, bad atomic.Uint64 }

	// Guarded by Store.mu.
	objectives document.Objectives
	rings      []ring
}

// Count adds events that met and missed the objective.
func (s *Service) Count(o Objective, good, bad uint64) {
	if good > 0 {
		s.totals[o].good.Add(good)
	}
	if bad > 0 {
		s.totals[o].bad.Add(bad)
	}
}

func (s *Service) currentTotals() totals {
	return totals{
		flows:    s.objectiveTotals(FlowsNotBroken),
		openings: s.objectiveTotals(NewFlowsServed),
	}
}

func (s *Service) objectiveTotals(o Objective) report.Count {
	return report.Count{Good: s.totals[o].good.Load(), Bad: s.totals[o].bad.Load()}
}

// gap is a period in which the process was paused.
type gap struct{ from, to time.Duration }

// Store holds the windows of all services of one host. It is safe for
// concurrent use.
type Store struct {
	mu          sync.Mutex
	started     time.Duration
	lastAdvance time.Duration
	gaps        []gap
	services    map[string]*Service
}

// New returns an empty store whose coverage begins now.
func New(now time.Duration) *Store {
	return &Store{started: now, lastAdvance: now, services: make(map[string]*Service)}
}

// Service returns the counters of the named service and sets its objectives.
// The counters stay valid until Retain drops the service.
func (st *Store) Service(name string, objectives document.Objectives) *Service {
	st.mu.Lock()
	defer st.mu.Unlock()
	s := st.services[name]
	if s == nil {
		s = &Service{}
		st.services[name] = s
	}
	// A new budget window starts without history.
	if s.objectives.Window != objectives.Window && s.rings != nil {
		s.rings[len(s.rings)-1] = ring{window: objectives.Window, since: st.lastAdvance, base: s.currentTotals()}
	}
	s.objectives = objectives
	return s
}

// Retain drops all services but the named ones.
func (st *Store) Retain(names []string) {
	keep := make(map[string]bool, len(names))
	for _, name := range names {
		keep[name] = true
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	for name := range st.services {
		if !keep[name] {
			delete(st.services, name)
		}
	}
}

// Advance moves the windows to now. It should be called about once per second:
// counts are attributed to the time of the next call.
func (st *Store) Advance(now time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if now <= st.lastAdvance {
		return
	}
	if now-st.lastAdvance > MaxGap {
		st.addGap(gap{from: st.lastAdvance, to: now})
	}
	st.lastAdvance = now
	for _, s := range st.services {
		s.advance(st.started, now)
	}
}

func (st *Store) addGap(g gap) {
	if len(st.gaps) == maxGaps {
		st.gaps = append(st.gaps[:0], st.gaps[1:]...)
	}
	st.gaps = append(st.gaps, g)
}

func (s *Service) advance(start, now time.Duration) {
	t := s.currentTotals()
	if s.rings == nil {
		if t == (totals{}) {
			return
		}
		s.rings = newRings(s.objectives.Window, start)
	}
	for i := range s.rings {
		s.rings[i].advance(now, t)
	}
}

// coveredTime returns for how much of the window that ends now the process was
// not paused. The window begins at or after the start.
func (st *Store) coveredTime(now, window time.Duration) time.Duration {
	from := now - window
	covered := window
	for _, g := range st.gaps {
		covered -= max(0, min(g.to, now)-max(g.from, from))
	}
	return max(0, covered)
}

// Report returns the counts of all windows of all services, ordered by name. A
// service without events since the start has no windows.
func (st *Store) Report(now time.Duration, host, zone string) report.Balancer {
	st.Advance(now)
	st.mu.Lock()
	defer st.mu.Unlock()
	out := report.Balancer{
		Version:     report.Version,
		Host:        host,
		Zone:        zone,
		SeenSeconds: st.coveredTime(now, now-st.started).Seconds(),
	}
	for name, s := range st.services {
		out.Services = append(out.Services, st.reportService(now, name, s))
	}
	sort.Slice(out.Services, func(i, j int) bool {
		return out.Services[i].Name < out.Services[j].Name
	})
	return out
}

func (st *Store) reportService(now time.Duration, name string, s *Service) report.Service {
	out := report.Service{
		Name: name,
		Objectives: report.Objectives{
			WindowSeconds:  s.objectives.Window.Seconds(),
			FlowsNotBroken: s.objectives.FlowsNotBroken,
			NewFlowsServed: s.objectives.NewFlowsServed,
		},
	}
	t := s.currentTotals()
	for i := range s.rings {
		r := &s.rings[i]
		counts := t.since(r.totalsAt(now - r.window))
		out.Windows = append(out.Windows, report.Window{
			Seconds:        r.window.Seconds(),
			CoveredSeconds: st.coveredTime(now, min(r.window, now-r.since)).Seconds(),
			FlowsNotBroken: counts.flows,
			NewFlowsServed: counts.openings,
		})
	}
	return out
}
