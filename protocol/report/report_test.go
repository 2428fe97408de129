package report_test

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/protocol/report"
)

const day = 24 * time.Hour

var objectives = report.Objectives{
	WindowSeconds: (30 * day).Seconds(), FlowsNotBroken: 0.999, NewFlowsServed: 0.99,
}

// balancerReport returns the report of a balancer that has run for the time seen,
// with the given fraction of broken flows in each window.
func balancerReport(host string, seen time.Duration, broken map[time.Duration]float64) report.Balancer {
	s := report.Service{Name: "orders", Objectives: objectives}
	for _, w := range append(report.AlertWindows[:], 30*day) {
		bad := uint64(math.Round(broken[w] * 100_000))
		s.Windows = append(s.Windows, report.Window{
			Seconds:        w.Seconds(),
			CoveredSeconds: min(seen, w).Seconds(),
			FlowsNotBroken: report.Count{Good: 100_000 - bad, Bad: bad},
		})
	}
	return report.Balancer{
		Version: report.Version, Host: host, Zone: "z1",
		SeenSeconds: seen.Seconds(), Services: []report.Service{s},
	}
}

func TestThresholdsMatchSREWorkbook(t *testing.T) {
	is := is.New(t)
	for i, want := range []float64{14.4, 6, 1} {
		is.True(math.Abs(report.Thresholds(30 * day)[i]-want) < 1e-9)
	}
	is.Equal(report.Thresholds(time.Hour), [3]float64{1, 1, 1})
}

func TestAlerts(t *testing.T) {
	m, h := time.Minute, time.Hour
	tests := []struct {
		name   string
		seen   time.Duration
		broken map[time.Duration]float64
		want   report.Alert
	}{
		{"nothing broken", 30 * day, nil, report.AlertFine},
		{"fast burn", 30 * day, map[time.Duration]float64{5 * m: .02, h: .0145}, report.AlertPage},
		{"fast burn that has stopped", 30 * day, map[time.Duration]float64{h: .0145}, report.AlertFine},
		{"short spike", 30 * day, map[time.Duration]float64{5 * m: .02, h: .014}, report.AlertFine},
		{"middle burn", 30 * day, map[time.Duration]float64{30 * m: .0061, 6 * h: .0061}, report.AlertPage},
		{"slow burn", 30 * day, map[time.Duration]float64{6 * h: .0011, 72 * h: .0011}, report.AlertTicket},
		{"below burn rate 1", 30 * day, map[time.Duration]float64{6 * h: .0009, 72 * h: .0009}, report.AlertFine},
		{"seen for a minute", m, map[time.Duration]float64{5 * m: .5, h: .5}, report.AlertNoData},
		{"seen for ten minutes", 10 * m, map[time.Duration]float64{5 * m: .5, h: .5}, report.AlertPage},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			burn := report.Merge([]report.Balancer{balancerReport("h1", tt.seen, tt.broken)}, nil)
			is.Equal(burn.Services[0].Objectives[0].Alert, tt.want)
			is.Equal(burn.Services[0].Objectives[1].Alert, report.AlertNoData)
			is.Equal(burn.Alert, tt.want)
		})
	}
}

func TestMergeSumsCountsAndReportsCoverage(t *testing.T) {
	is := is.New(t)
	old := balancerReport("h1", 30*day, map[time.Duration]float64{time.Hour: .01})
	recent := balancerReport("h2", 15*time.Minute, nil)
	noTraffic := report.Balancer{Host: "h3", SeenSeconds: 1800}
	missing := []report.Missing{{Balancer: "http://h4", Reason: "timeout"}}

	burn := report.Merge([]report.Balancer{old, recent, noTraffic}, missing)
	is.Equal(len(burn.Answered), 3)
	is.Equal(burn.Missing, missing)
	hour := burn.Services[0].Objectives[0].Rates[2]
	is.Equal(hour.Window, "1h")
	is.Equal(hour.Count, report.Count{Good: 199_000, Bad: 1000})
	is.True(math.Abs(hour.Rate-5) < 1e-9)
	is.Equal(hour.Min, 0.25)
	is.True(math.Abs(hour.Mean-(1+0.25+0.5)/3) < 1e-9)
}

func TestBudget(t *testing.T) {
	is := is.New(t)
	burn := report.Merge([]report.Balancer{balancerReport("h1", 30*day, map[time.Duration]float64{30 * day: .0004})}, nil)
	budget := burn.Services[0].Objectives[0].Budget
	is.Equal(budget.Window, "30d")
	is.True(math.Abs(budget.Left-0.6) < 1e-9)
	// A coverage of 10 of 30 days weights the spent budget with a third.
	burn = report.Merge([]report.Balancer{balancerReport("h1", 10*day, map[time.Duration]float64{30 * day: .0003})}, nil)
	is.True(math.Abs(burn.Services[0].Objectives[0].Budget.Left-0.9) < 1e-9)
}

func TestMergeReportsDifferingObjectives(t *testing.T) {
	is := is.New(t)
	a, b := balancerReport("h1", day, nil), balancerReport("h2", day, nil)
	b.Services[0].Objectives.FlowsNotBroken = 0.9999
	burn := report.Merge([]report.Balancer{a, b}, nil)
	is.True(burn.Services[0].ObjectivesDiffer)
	is.Equal(burn.Services[0].Objectives[0].Goal, 0.9999)
}

func TestBalancerJSONRoundTrip(t *testing.T) {
	is := is.New(t)
	want := balancerReport("h1", day, map[time.Duration]float64{time.Hour: .01})
	text, err := json.Marshal(want)
	is.NoErr(err)
	var got report.Balancer
	is.NoErr(json.Unmarshal(text, &got))
	is.Equal(got, want)
}

func TestMergeWithoutBalancers(t *testing.T) {
	is := is.New(t)
	burn := report.Merge(nil, []report.Missing{{Balancer: "http://h1", Reason: "refused"}})
	is.Equal(burn.Alert, report.AlertNoData)
}
