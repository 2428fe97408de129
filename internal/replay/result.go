package replay

import (
	"fmt"
	"io"
	"time"
)

// OutcomeResult is one stated outcome with its measured value.
type OutcomeResult struct {
	Outcome Outcome
	Value   float64
	Broken  bool
	// Violations are the events or samples that explain the value, if any.
	Violations []Violation
}

// Result holds the measured outcomes of a run.
type Result struct {
	Trace    string
	Policy   Policy
	Seed     uint64
	Flows    int
	Outcomes []OutcomeResult
}

// Broken reports whether any outcome is out of its bounds.
func (r *Result) Broken() bool {
	for i := range r.Outcomes {
		if r.Outcomes[i].Broken {
			return true
		}
	}
	return false
}

func (sim *simulation) result() *Result {
	r := &Result{Trace: sim.trace.Name, Policy: sim.policy, Seed: sim.seed, Flows: int(sim.callers.next)}
	for _, o := range sim.trace.Outcomes {
		r.Outcomes = append(r.Outcomes, sim.evaluate(o))
	}
	return r
}

// evaluate measures one outcome and compares it with its bounds.
func (sim *simulation) evaluate(o Outcome) OutcomeResult {
	if o.To == 0 {
		o.To = sim.trace.Length
	}
	r := OutcomeResult{Outcome: o}
	m := &sim.metrics
	switch o.Kind {
	case PeakToMean:
		r.Value, r.Violations = m.peakToMean(&o)
	case Served:
		r.Value, r.Violations = m.servedShare(&o)
	case Goodput:
		r.Value = m.goodput(&o)
	case RefusalDelay:
		r.Value = m.refusalDelay(&o)
	case RefusalSwings:
		r.Value = float64(m.refusalSwings(&o))
	default:
		r.Violations = m.violationsOf(o.Kind)
		r.Value = float64(len(r.Violations))
	}
	r.Broken = (o.Max != nil && r.Value > *o.Max) || (o.Min != nil && r.Value < *o.Min)
	return r
}

func (m *metrics) violationsOf(kind OutcomeKind) []Violation {
	var list []Violation
	for _, v := range m.violations {
		if v.Kind == kind {
			list = append(list, v)
		}
	}
	return list
}

// matches reports whether the outcome covers the service at a time.
func (o *Outcome) matches(s *service, at time.Duration) bool {
	return (o.Service == "" || o.Service == s.spec.Name) && at >= o.From && at < o.To
}

func (m *metrics) peakToMean(o *Outcome) (float64, []Violation) {
	worst := 0.0
	var list []Violation
	for _, b := range m.balances {
		if !o.matches(b.service, b.at) {
			continue
		}
		worst = max(worst, b.ratio)
		if o.Max != nil && b.ratio > *o.Max {
			detail := fmt.Sprintf("%s %s holds %.2f times the mean", b.service.spec.Name, b.peakTarget, b.ratio)
			list = append(list, Violation{At: b.at, Kind: o.Kind, Detail: detail})
		}
	}
	return worst, list
}

func (m *metrics) servedShare(o *Outcome) (float64, []Violation) {
	offered, served := 0, 0
	var list []Violation
	for _, b := range m.bins {
		if !o.matches(b.service, b.at) {
			continue
		}
		offered += b.offered
		served += b.served
		if b.refused+b.failed > 0 {
			detail := fmt.Sprintf("%s: %d of %d refused, %d unanswered", b.service.spec.Name, b.refused, b.offered, b.failed)
			list = append(list, Violation{At: b.at, Kind: o.Kind, Detail: detail})
		}
	}
	if offered == 0 {
		return 1, nil
	}
	return float64(served) / float64(offered), list
}

func (m *metrics) goodput(o *Outcome) float64 {
	possible, served := 0.0, 0.0
	for _, b := range m.bins {
		if o.matches(b.service, b.at) {
			possible += min(float64(b.offered), b.possible)
			served += float64(b.served)
		}
	}
	if possible == 0 {
		return 1
	}
	return served / possible
}

func (m *metrics) refusalDelay(o *Outcome) float64 {
	longest := time.Duration(0)
	for _, b := range m.bins {
		if o.matches(b.service, b.at) {
			longest = max(longest, b.refusalDelay)
		}
	}
	return longest.Seconds()
}

// refusalSwings counts how often the refused share reverses by swingSize or more.
func (m *metrics) refusalSwings(o *Outcome) int {
	const swingSize = 0.1
	turns, direction := 0, 0
	extreme := 0.0
	for _, share := range m.refusedShares(o) {
		switch {
		case direction >= 0 && share > extreme, direction <= 0 && share < extreme:
			if direction == 0 && max(share-extreme, extreme-share) < swingSize {
				continue
			}
			direction = sign(share - extreme)
			extreme = share
		case max(share-extreme, extreme-share) >= swingSize:
			turns++
			direction = -direction
			extreme = share
		}
	}
	return turns
}

func sign(x float64) int {
	if x < 0 {
		return -1
	}
	return 1
}

// refusedShares returns the refused share for each group of three bins.
func (m *metrics) refusedShares(o *Outcome) []float64 {
	const smoothing = 3
	var shares []float64
	offered, refused, n := 0, 0, 0
	for _, b := range m.bins {
		if !o.matches(b.service, b.at) {
			continue
		}
		offered += b.offered
		refused += b.refused
		n++
		if n == smoothing && offered > 0 {
			shares = append(shares, float64(refused)/float64(offered))
		}
		if n == smoothing {
			offered, refused, n = 0, 0, 0
		}
	}
	return shares
}

// maxPrintedViolations bounds the violations printed for one broken outcome.
const maxPrintedViolations = 20

// Write prints the outcomes, and for each broken one its first violations.
func (r *Result) Write(out io.Writer) error {
	if _, err := fmt.Fprintf(out, "trace=%q policy=%s seed=%d flows=%d\n", r.Trace, r.Policy, r.Seed, r.Flows); err != nil {
		return err
	}
	for i := range r.Outcomes {
		if err := r.Outcomes[i].write(out); err != nil {
			return err
		}
	}
	return nil
}

func (o *OutcomeResult) write(out io.Writer) error {
	state := "kept"
	if o.Broken {
		state = "BROKEN"
	}
	_, err := fmt.Fprintf(out, "%-7s %s value=%.4f%s\n", state, o.Outcome.Kind, o.Value, o.Outcome.bounds())
	if err != nil || !o.Broken {
		return err
	}
	for i, v := range o.Violations {
		if i == maxPrintedViolations {
			_, err = fmt.Fprintf(out, "  and %d more\n", len(o.Violations)-i)
			return err
		}
		if _, err = fmt.Fprintln(out, "  "+v.String()); err != nil {
			return err
		}
	}
	return nil
}

func (o *Outcome) bounds() string {
	text := ""
	if o.Min != nil {
		text += fmt.Sprintf(" min=%g", *o.Min)
	}
	if o.Max != nil {
		text += fmt.Sprintf(" max=%g", *o.Max)
	}
	if o.Service != "" {
		text += " service=" + o.Service
	}
	return text + fmt.Sprintf(" from=%s to=%s", o.From, o.To)
}

// String returns one line with the time, the flow and the detail.
func (v *Violation) String() string {
	flow := ""
	if v.Flow != nil {
		flow = fmt.Sprintf(" flow=%s->%s", v.Flow.CallerAddr(), v.Flow.Service.AddrPort())
	}
	return fmt.Sprintf("at=%s%s %s", v.At, flow, v.Detail)
}
