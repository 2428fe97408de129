package reportcmd

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/jujubehaven/jujubehaven/protocol/report"
)

// fullCoverage is the fraction of a window from which coverage counts as full and
// is not shown.
const fullCoverage = 0.995

// writeTable writes the report as text for a terminal.
func writeTable(w io.Writer, burn *report.Burn) error {
	buf := bufio.NewWriter(w)
	tab := tabwriter.NewWriter(buf, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tab, "SERVICE\tOBJECTIVE\tGOAL\tALERT\t%s\tBUDGET LEFT\n", strings.Join(windowNames(), "\t"))
	for i := range burn.Services {
		writeService(tab, &burn.Services[i])
	}
	if err := tab.Flush(); err != nil {
		return err
	}
	for _, line := range notes(burn) {
		fmt.Fprintln(buf, line)
	}
	return buf.Flush()
}

func writeService(w io.Writer, s *report.ServiceBurn) {
	for i := range s.Objectives {
		o := &s.Objectives[i]
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n",
			s.Name, o.Name, percent(o.Goal), o.Alert, strings.Join(rateCells(o), "\t"), budgetCell(&o.Budget))
	}
}

func windowNames() []string {
	var names []string
	for _, window := range report.AlertWindows {
		names = append(names, report.WindowName(window))
	}
	return names
}

func rateCells(o *report.Objective) []string {
	var cells []string
	for i := range o.Rates {
		cells = append(cells, rateCell(&o.Rates[i]))
	}
	return cells
}

// rateCell formats a burn rate, with the mean coverage unless it is full.
func rateCell(r *report.BurnRate) string {
	if r.Count.Total() == 0 {
		return "-" + coverageNote(r.Coverage)
	}
	return fmt.Sprintf("%.4g", r.Rate) + coverageNote(r.Coverage)
}

func budgetCell(b *report.Budget) string {
	if b.Count.Total() == 0 {
		return "-"
	}
	bound := ""
	if b.Mean < fullCoverage {
		bound = "at most "
	}
	return fmt.Sprintf("%s%s of %s", bound, percent(b.Left), b.Window) + coverageNote(b.Coverage)
}

func coverageNote(c report.Coverage) string {
	if c.Mean >= fullCoverage {
		return ""
	}
	return " (" + percent(c.Mean) + ")"
}

func percent(share float64) string {
	return fmt.Sprintf("%.4g%%", share*100)
}

// notes returns the lines that explain what the figures do not include.
func notes(burn *report.Burn) []string {
	lines := []string{
		fmt.Sprintf("%d balancers answered, %d are missing.", len(burn.Answered), len(burn.Missing)),
	}
	for _, m := range burn.Missing {
		lines = append(lines, fmt.Sprintf("missing: %s: %s", m.Balancer, m.Reason))
	}
	if len(burn.Missing) > 0 {
		lines = append(lines, "Flows counted by missing balancers are in no figure.")
	}
	for i := range burn.Services {
		if burn.Services[i].ObjectivesDiffer {
			lines = append(lines, fmt.Sprintf("%s: balancers have different objectives in force; judged by the strictest.", burn.Services[i].Name))
		}
	}
	if hasPartialCoverage(burn) {
		lines = append(lines, "A share in brackets is how much of the window the answering balancers have seen on average.",
			"What a replaced or paused balancer counted before is in no figure.")
	}
	return lines
}

func hasPartialCoverage(burn *report.Burn) bool {
	for i := range burn.Services {
		for j := range burn.Services[i].Objectives {
			if burn.Services[i].Objectives[j].Budget.Mean < fullCoverage {
				return true
			}
		}
	}
	return false
}
