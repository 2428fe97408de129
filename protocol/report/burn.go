package report

import (
	"fmt"
	"time"
)

// Alert is the urgency of an operator's response to one objective.
type Alert string

const (
	// AlertNoData means that no event was counted or that the coverage is too low.
	AlertNoData Alert = "no data"
	// AlertFine means that no alert condition holds.
	AlertFine Alert = "fine"
	// AlertTicket means that an operator should respond within days.
	AlertTicket Alert = "ticket"
	// AlertPage means that an operator should respond immediately.
	AlertPage Alert = "page"
)

// rank orders alerts by urgency.
func (a Alert) rank() int {
	switch a {
	case AlertFine:
		return 1
	case AlertTicket:
		return 2
	case AlertPage:
		return 3
	}
	return 0
}

// condition is one row of the table of multiwindow, multi-burn-rate alerts. It
// holds if the burn rate reaches the threshold in both windows; the short window
// shows that the budget is still being spent.
type condition struct {
	alert       Alert
	budgetShare float64
	long, short time.Duration
}

// conditions follows "The Site Reliability Workbook" (Beyer et al., O'Reilly,
// 2018), chapter 5, section "6: Multiwindow, Multi-Burn-Rate Alerts", table 5-8.
var conditions = [...]condition{
	{alert: AlertPage, budgetShare: 0.02, long: Window1h, short: Window5m},
	{alert: AlertPage, budgetShare: 0.05, long: Window6h, short: Window30m},
	{alert: AlertTicket, budgetShare: 0.10, long: Window3d, short: Window6h},
}

// threshold returns the burn rate that spends budgetShare of the error budget
// within the long window, where budget is the window of the budget: 14.4, 6 and
// 1 for 30 days. It is at least 1, since a lower rate never spends the whole
// budget.
func (c *condition) threshold(budget time.Duration) float64 {
	return max(1, c.budgetShare*float64(budget)/float64(c.long))
}

// Thresholds returns the threshold burn rates of the two page conditions and of
// the ticket condition for a budget over the given window.
func Thresholds(budget time.Duration) [3]float64 {
	var out [3]float64
	for i := range conditions {
		out[i] = conditions[i].threshold(budget)
	}
	return out
}

// minCoverage is the mean coverage of a short window below which its condition
// is not evaluated.
const minCoverage = 0.9

// BurnRate is the rate at which the error budget was spent in one window. A
// rate of 1 spends the budget exactly over its window.
type BurnRate struct {
	Window   string  `json:"window"`
	Seconds  float64 `json:"seconds"`
	Rate     float64 `json:"rate"`
	Count    Count   `json:"count"`
	Coverage `json:"coverage"`
}

// Coverage is the fraction of a window in which the responding balancers
// counted, as the minimum and the mean over these balancers.
type Coverage struct {
	Min  float64 `json:"min"`
	Mean float64 `json:"mean"`
}

// Objective is the state of one objective of a service over all balancers.
type Objective struct {
	Name   string     `json:"name"`
	Goal   float64    `json:"goal"`
	Alert  Alert      `json:"alert"`
	Rates  []BurnRate `json:"rates"`
	Budget Budget     `json:"budget"`
}

// BudgetWindow returns the window over which the objective must be met.
func (o *Objective) BudgetWindow() time.Duration {
	return time.Duration(o.Budget.Seconds * float64(time.Second))
}

// Budget is the remaining error budget of an objective.
type Budget struct {
	Window  string  `json:"window"`
	Seconds float64 `json:"seconds"`
	// Left is the remaining fraction, negative if the budget is overspent. Time
	// that is not covered counts as time without bad events, so Left is an upper
	// bound if the coverage is below 1.
	Left     float64 `json:"left"`
	Count    Count   `json:"count"`
	Coverage `json:"coverage"`
}

// burnRate returns the burn rate of an objective, at most MaxRate. A goal of 1
// leaves no budget, so any bad event gives MaxRate.
func burnRate(goal float64, c Count) float64 {
	bad := c.BadShare()
	if bad == 0 {
		return 0
	}
	if goal >= 1 {
		return MaxRate
	}
	return min(bad/(1-goal), MaxRate)
}

// MaxRate is the highest burn rate that is reported.
const MaxRate = 1e6

// mostUrgentAlert returns the most urgent alert whose condition holds.
func mostUrgentAlert(rates []BurnRate, budget time.Duration) Alert {
	out := AlertNoData
	for i := range conditions {
		alert := evaluateCondition(&conditions[i], rates, budget)
		if alert.rank() > out.rank() {
			out = alert
		}
	}
	return out
}

func evaluateCondition(c *condition, rates []BurnRate, budget time.Duration) Alert {
	long, short := rateOf(rates, c.long), rateOf(rates, c.short)
	if long.Count.Total() == 0 || short.Mean < minCoverage {
		return AlertNoData
	}
	limit := c.threshold(budget)
	if long.Rate >= limit && short.Rate >= limit {
		return c.alert
	}
	return AlertFine
}

func rateOf(rates []BurnRate, window time.Duration) BurnRate {
	for _, r := range rates {
		if r.Seconds == window.Seconds() {
			return r
		}
	}
	return BurnRate{}
}

// WindowName returns a window's short name: 5m, 6h, 30d.
func WindowName(window time.Duration) string {
	const day = 24 * time.Hour
	switch {
	case window >= 2*day && window%day == 0:
		return fmt.Sprintf("%dd", window/day)
	case window%time.Hour == 0:
		return fmt.Sprintf("%dh", window/time.Hour)
	case window%time.Minute == 0:
		return fmt.Sprintf("%dm", window/time.Minute)
	}
	return window.String()
}
