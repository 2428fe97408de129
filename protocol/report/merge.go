package report

import (
	"sort"
	"time"
)

// Missing is a balancer that did not respond, and why.
type Missing struct {
	Balancer string `json:"balancer"`
	Reason   string `json:"reason"`
}

// Burn is the merged report over several balancers.
type Burn struct {
	Version  int        `json:"version"`
	Answered []Answered `json:"answered"`
	Missing  []Missing  `json:"missing"`
	// Alert is the most urgent alert over all services.
	Alert    Alert         `json:"alert"`
	Services []ServiceBurn `json:"services"`
}

// Answered is a balancer that responded and how long it has been counting.
type Answered struct {
	Host        string  `json:"host"`
	Zone        string  `json:"zone"`
	SeenSeconds float64 `json:"seen_seconds"`
}

// ServiceBurn is the merged report of one service.
type ServiceBurn struct {
	Name  string `json:"name"`
	Alert Alert  `json:"alert"`
	// ObjectivesDiffer is set if balancers have different objectives in force;
	// the strictest values are then used.
	ObjectivesDiffer bool        `json:"objectives_differ,omitempty"`
	Objectives       []Objective `json:"objectives"`
}

// Names of the objectives in reports.
const (
	NameFlowsNotBroken = "flows not broken"
	NameNewFlowsServed = "new flows served"
)

// Merge sums the counts of all balancers. Each flow is counted by the one
// balancer that owns its target, so the sums count no flow twice.
func Merge(balancers []Balancer, missing []Missing) Burn {
	out := Burn{Version: Version, Missing: missing, Alert: AlertNoData}
	if out.Missing == nil {
		out.Missing = []Missing{}
	}
	for i := range balancers {
		b := &balancers[i]
		out.Answered = append(out.Answered, Answered{Host: b.Host, Zone: b.Zone, SeenSeconds: b.SeenSeconds})
	}
	for _, name := range serviceNames(balancers) {
		service := mergeService(name, balancers)
		if service.Alert.rank() > out.Alert.rank() {
			out.Alert = service.Alert
		}
		out.Services = append(out.Services, service)
	}
	return out
}

func serviceNames(balancers []Balancer) []string {
	seen := make(map[string]bool)
	var names []string
	for i := range balancers {
		for j := range balancers[i].Services {
			name := balancers[i].Services[j].Name
			if !seen[name] {
				seen[name] = true
				names = append(names, name)
			}
		}
	}
	sort.Strings(names)
	return names
}

func mergeService(name string, balancers []Balancer) ServiceBurn {
	objectives, differ := mergeObjectives(name, balancers)
	out := ServiceBurn{Name: name, Alert: AlertNoData, ObjectivesDiffer: differ}
	flows := objective{NameFlowsNotBroken, objectives.FlowsNotBroken, flowsNotBroken}
	openings := objective{NameNewFlowsServed, objectives.NewFlowsServed, newFlowsServed}
	for _, o := range []objective{flows, openings} {
		merged := o.merge(name, balancers, objectives.WindowSeconds)
		if merged.Alert.rank() > out.Alert.rank() {
			out.Alert = merged.Alert
		}
		out.Objectives = append(out.Objectives, merged)
	}
	return out
}

// mergeObjectives returns the strictest objectives of a service over all
// balancers and whether the balancers' objectives differ.
func mergeObjectives(name string, balancers []Balancer) (Objectives, bool) {
	var out Objectives
	found, differ := false, false
	for i := range balancers {
		s := balancers[i].service(name)
		if s == nil {
			continue
		}
		if found && s.Objectives != out {
			differ = true
		}
		out.WindowSeconds = max(out.WindowSeconds, s.Objectives.WindowSeconds)
		out.FlowsNotBroken = max(out.FlowsNotBroken, s.Objectives.FlowsNotBroken)
		out.NewFlowsServed = max(out.NewFlowsServed, s.Objectives.NewFlowsServed)
		found = true
	}
	return out, differ
}

// objective describes how one objective is merged; countIn selects its count.
type objective struct {
	name    string
	goal    float64
	countIn func(*Window) Count
}

func flowsNotBroken(w *Window) Count { return w.FlowsNotBroken }
func newFlowsServed(w *Window) Count { return w.NewFlowsServed }

func (o *objective) merge(service string, balancers []Balancer, budgetSeconds float64) Objective {
	out := Objective{Name: o.name, Goal: o.goal}
	for _, window := range AlertWindows {
		count, coverage := o.sum(service, balancers, window.Seconds())
		out.Rates = append(out.Rates, BurnRate{
			Window:   WindowName(window),
			Seconds:  window.Seconds(),
			Rate:     burnRate(o.goal, count),
			Count:    count,
			Coverage: coverage,
		})
	}
	budget := time.Duration(budgetSeconds * float64(time.Second))
	count, coverage := o.sum(service, balancers, budgetSeconds)
	out.Budget = Budget{
		Window:   WindowName(budget),
		Seconds:  budgetSeconds,
		Left:     1 - burnRate(o.goal, count)*coverage.Mean,
		Count:    count,
		Coverage: coverage,
	}
	out.Alert = mostUrgentAlert(out.Rates, budget)
	return out
}

// sum returns the total count and the coverage of one window over all
// balancers.
func (o *objective) sum(service string, balancers []Balancer, seconds float64) (Count, Coverage) {
	var count Count
	coverage := Coverage{Min: 1}
	for i := range balancers {
		b := &balancers[i]
		covered := min(b.SeenSeconds, seconds)
		if w := b.window(service, seconds); w != nil {
			covered = min(w.CoveredSeconds, seconds)
			count = count.Add(o.countIn(w))
		}
		share := 1.0
		if seconds > 0 {
			share = covered / seconds
		}
		coverage.Min = min(coverage.Min, share)
		coverage.Mean += share / float64(len(balancers))
	}
	if len(balancers) == 0 {
		return count, Coverage{}
	}
	return count, coverage
}

func (b *Balancer) service(name string) *Service {
	for i := range b.Services {
		if b.Services[i].Name == name {
			return &b.Services[i]
		}
	}
	return nil
}

func (b *Balancer) window(service string, seconds float64) *Window {
	s := b.service(service)
	if s == nil {
		return nil
	}
	for i := range s.Windows {
		if s.Windows[i].Seconds == seconds {
			return &s.Windows[i]
		}
	}
	return nil
}
