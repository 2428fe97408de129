package bench

import (
	"bufio"
	"fmt"
	"io"
	"text/tabwriter"
)

// line is one named figure of a result.
type line struct {
	name  string
	value string
}

// lines returns the figures of a result in the order of the report.
func (r *Result) lines() []line {
	f := &r.Flows
	count := func(name string, n int) line { return line{name, fmt.Sprint(n)} }
	return []line{
		count("flows started", f.Started), count("flows opened", f.Opened),
		count("openings refused", f.Refused), count("openings without answer", f.Unopened),
		count("arrivals skipped", f.Skipped), count("flows ended", f.Ended),
		count("flows given up with their zone", f.GivenUp), count("flows broken", f.Broken()),
		count("  by a reset", f.Reset), count("  silent", f.Silent), count("  crossed", f.Crossed),
		{"opening", r.Opening.String()},
		{"request", r.Request.String()},
		{"imbalance", fmt.Sprintf("mean %.2f, highest %.2f", r.Imbalance.Mean, r.Imbalance.Max)},
		{"counted by balancers", fmt.Sprintf("%d placed, %d refused, %d broken", r.Counted.Placed, r.Counted.Refused, r.Counted.Broken)},
		{"relayed share of packets", fmt.Sprintf("%.3f", r.Counted.RelayedShare)},
		{"control bytes a second", fmt.Sprintf("mean %.0f, highest %.0f", r.ControlBytes.Mean, r.ControlBytes.Max)},
	}
}

// String returns the quantiles and the count.
func (l Latency) String() string {
	return fmt.Sprintf("p50 %.2f ms, p90 %.2f ms, p99 %.2f ms, p99.9 %.2f ms, highest %.1f ms (%d)",
		l.P50, l.P90, l.P99, l.P999, l.Max, l.Count)
}

// WriteText writes the result for a terminal.
func (r *Result) WriteText(w io.Writer) error {
	buf := bufio.NewWriter(w)
	c := &r.Config
	fmt.Fprintf(buf, "%d zones, %d balancers, %d targets, %.4g flows a second for %v, seed %d\n",
		c.Zones, c.Zones*c.HostsPerZone, c.Zones*c.TargetsPerZone, c.Rate, c.Duration, c.Seed)
	for _, fault := range r.Faults {
		fmt.Fprintf(buf, "at %.1f s: %s\n", fault.At, fault.What)
	}
	tab := tabwriter.NewWriter(buf, 0, 0, 2, ' ', 0)
	for _, l := range r.lines() {
		fmt.Fprintf(tab, "%s\t%s\n", l.name, l.value)
	}
	if err := tab.Flush(); err != nil {
		return err
	}
	return buf.Flush()
}

// Compare writes the figures of two results side by side and marks differences
// with an asterisk. It prints both configurations if they differ.
func Compare(w io.Writer, a, b *Result) error {
	buf := bufio.NewWriter(w)
	if a.Config != b.Config {
		fmt.Fprintf(buf, "configurations differ:\n  %+v\n  %+v\n", a.Config, b.Config)
	}
	tab := tabwriter.NewWriter(buf, 0, 0, 2, ' ', 0)
	first, second := a.lines(), b.lines()
	for i := range first {
		mark := ""
		if first[i].value != second[i].value {
			mark = "*"
		}
		fmt.Fprintf(tab, "%s\t%s\t%s\t%s\n", first[i].name, first[i].value, second[i].value, mark)
	}
	if err := tab.Flush(); err != nil {
		return err
	}
	return buf.Flush()
}
