package explaincmd

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/jujubehaven/jujubehaven/protocol/explain"
)

// tabPadding is the number of spaces between columns.
const tabPadding = 2

// writeText writes an answer as text for a terminal.
func writeText(w io.Writer, a *explain.Answer) error {
	buf := bufio.NewWriter(w)
	from := a.From
	if a.CallerAssumed {
		from = "an assumed caller"
	}
	fmt.Fprintf(buf, "opening to %s from %s, at host %s in zone %s\n", a.To, from, a.Host, a.Zone)
	fmt.Fprintf(buf, "service: %s of the route's %s\n", orNone(a.Service), shares(a.Shares))
	if a.KnownTarget != "" {
		fmt.Fprintf(buf, "flow: open at %s; its packets go there\n", a.KnownTarget)
	}
	fmt.Fprintf(buf, "target: %s (%s): %s\n", orNone(a.Chosen), a.Cause, a.Reason)
	fmt.Fprintf(buf, "data: %s\n", ages(a.Ages))
	writeCandidates(buf, a)
	return buf.Flush()
}

func shares(list []explain.Share) string {
	texts := make([]string, 0, len(list))
	for _, s := range list {
		texts = append(texts, fmt.Sprintf("%s (weight %d)", s.Service, s.Weight))
	}
	return strings.Join(texts, ", ")
}

func ages(list []explain.Age) string {
	texts := make([]string, 0, len(list))
	for _, age := range list {
		texts = append(texts, fmt.Sprintf("%s %.3f s old", age.Name, age.Seconds))
	}
	return strings.Join(texts, ", ")
}

// writeCandidates writes one line for each candidate: first those that are not ruled
// out, by their cost.
func writeCandidates(w io.Writer, a *explain.Answer) {
	list := slices.Clone(a.Candidates)
	slices.SortStableFunc(list, func(x, y explain.Candidate) int {
		if out := min(len(x.RuledOut), 1) - min(len(y.RuledOut), 1); out != 0 {
			return out
		}
		switch {
		case x.Cost < y.Cost:
			return -1
		case x.Cost > y.Cost:
			return 1
		}
		return 0
	})
	names := figureNames(list)
	tab := tabwriter.NewWriter(w, 0, 0, tabPadding, ' ', 0)
	fmt.Fprint(tab, "\nTARGET\tZONE\tCOST\tLOAD\tSLOTS\tBUSY\tOPEN\tPEERS BUSY\tPEERS OPEN\tHEARTBEAT")
	for _, name := range names {
		fmt.Fprintf(tab, "\t%s", strings.ToUpper(strings.ReplaceAll(name, "_", " ")))
	}
	fmt.Fprintln(tab, "\tRULED OUT\tRANKED LOWER")
	for i := range list {
		c := &list[i]
		cost := fmt.Sprintf("%.3f", c.Cost)
		if len(c.RuledOut) > 0 {
			cost = ""
		}
		fmt.Fprintf(tab, "%s\t%s\t%s\t%.3f\t%d\t%d\t%d\t%d\t%d\t%.1fs", c.Target, c.Zone, orNone(cost), c.Load, c.Slots, c.Busy, c.Open,
			c.PeersBusy, c.PeersOpen, c.HeartbeatAgeSeconds)
		for _, name := range names {
			fmt.Fprintf(tab, "\t%s", figure(c, name))
		}
		fmt.Fprintf(tab, "\t%s\t%s\n", orNone(strings.Join(c.RuledOut, ",")), orNone(strings.Join(c.RankedLower, ",")))
	}
	// A write error is kept by the buffered writer and returned when it is flushed.
	_ = tab.Flush()
}

// figureNames returns the names of the further columns in the order of their first use.
func figureNames(list []explain.Candidate) []string {
	var names []string
	for i := range list {
		for _, f := range list[i].Figures {
			if !slices.Contains(names, f.Name) {
				names = append(names, f.Name)
			}
		}
	}
	return names
}

func figure(c *explain.Candidate, name string) string {
	for _, f := range c.Figures {
		if f.Name == name {
			return f.Value
		}
	}
	return "-"
}

func orNone(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
