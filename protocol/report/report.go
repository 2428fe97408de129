// Package report defines the service level reports of balancers, how the reports
// of several balancers are merged, and the burn rate of each service's error
// budget.
package report

import "time"

// Version is the version of the JSON form of Balancer.
const Version = 1

// BurnPath is the path on a balancer's admin address that returns a Balancer as
// JSON.
const BurnPath = "/v1/burn"

// Windows over which burn rates are computed, in ascending order.
const (
	Window5m  = 5 * time.Minute
	Window30m = 30 * time.Minute
	Window1h  = time.Hour
	Window6h  = 6 * time.Hour
	Window3d  = 72 * time.Hour
)

// AlertWindows lists the windows that every balancer maintains besides the
// window of the error budget.
var AlertWindows = [...]time.Duration{Window5m, Window30m, Window1h, Window6h, Window3d}

// Count is the number of events that met and that missed an objective.
type Count struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}

// Add returns the sum of two counts.
func (c Count) Add(other Count) Count {
	return Count{Good: c.Good + other.Good, Bad: c.Bad + other.Bad}
}

// Sub returns the events counted since an earlier value of the same count.
func (c Count) Sub(earlier Count) Count {
	return Count{Good: c.Good - earlier.Good, Bad: c.Bad - earlier.Bad}
}

// Total returns the number of events.
func (c Count) Total() uint64 { return c.Good + c.Bad }

// BadShare returns the fraction of events that missed the objective, 0 if there
// are no events.
func (c Count) BadShare() float64 {
	if c.Total() == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total())
}

// Balancer is the response of one balancer to GET /v1/burn.
type Balancer struct {
	Version int    `json:"version"`
	Host    string `json:"host"`
	Zone    string `json:"zone"`
	// SeenSeconds is how long the process has run, excluding pauses.
	SeenSeconds float64   `json:"seen_seconds"`
	Services    []Service `json:"services"`
}

// Service holds the counts of one balancer for one service.
type Service struct {
	Name       string     `json:"name"`
	Objectives Objectives `json:"objectives"`
	// Windows is empty if the balancer has counted no event of the service.
	Windows []Window `json:"windows,omitempty"`
}

// Objectives are the target fractions, from 0 to 1, over WindowSeconds.
type Objectives struct {
	WindowSeconds  float64 `json:"window_seconds"`
	FlowsNotBroken float64 `json:"flows_not_broken"`
	NewFlowsServed float64 `json:"new_flows_served"`
}

// Window holds the counts of one balancer over the last Seconds seconds.
type Window struct {
	Seconds float64 `json:"seconds"`
	// CoveredSeconds is the part of the window in which the balancer counted.
	CoveredSeconds float64 `json:"covered_seconds"`
	FlowsNotBroken Count   `json:"flows_not_broken"`
	NewFlowsServed Count   `json:"new_flows_served"`
}
