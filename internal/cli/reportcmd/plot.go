package reportcmd

import (
	"bytes"
	"image/color"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/jujubehaven/jujubehaven/protocol/report"
)

const (
	// maxPlotServices limits the services in a plot to those that burn fastest.
	maxPlotServices = 12
	// maxPlotRate is the burn rate at which bars are cut off, so that one high
	// rate does not flatten the others.
	maxPlotRate = 20
	plotWidth   = 26 * vg.Centimeter
	plotHeight  = 9 * vg.Centimeter
	barWidth    = vg.Length(7)
)

// plotBurn returns a plot of one objective's burn rates as an image. The format
// is one of gonum's plot package: "svg" or "png".
func plotBurn(burn *report.Burn, objective int, format string) ([]byte, error) {
	services := fastestBurning(burn, objective)
	p := plot.New()
	p.Title.Text = "Burn rate: " + objectiveName(burn, objective)
	p.Y.Label.Text = "times the even rate"
	p.Y.Min, p.Y.Max = 0, maxPlotRate
	p.Legend.Top = true
	if err := addBars(p, services, objective); err != nil {
		return nil, err
	}
	if err := addThresholds(p, services, objective); err != nil {
		return nil, err
	}
	return render(p, format)
}

func objectiveName(burn *report.Burn, objective int) string {
	if len(burn.Services) == 0 {
		return "no service"
	}
	return burn.Services[0].Objectives[objective].Name
}

// fastestBurning returns the services with the highest burn rates, highest first.
func fastestBurning(burn *report.Burn, objective int) []report.ServiceBurn {
	services := append([]report.ServiceBurn(nil), burn.Services...)
	sort.SliceStable(services, func(i, j int) bool {
		return maxRate(&services[i].Objectives[objective]) > maxRate(&services[j].Objectives[objective])
	})
	return services[:min(len(services), maxPlotServices)]
}

func maxRate(o *report.Objective) float64 {
	rate := 0.0
	for i := range o.Rates {
		rate = max(rate, o.Rates[i].Rate)
	}
	return rate
}

// addBars draws a group of bars for each service, with one bar per alert window.
func addBars(p *plot.Plot, services []report.ServiceBurn, objective int) error {
	var names []string
	for i := range services {
		names = append(names, services[i].Name)
	}
	p.NominalX(names...)
	for w, window := range report.AlertWindows {
		if len(services) == 0 {
			return nil
		}
		values := make(plotter.Values, len(services))
		for i := range services {
			values[i] = min(services[i].Objectives[objective].Rates[w].Rate, maxPlotRate)
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return errors.Wrap(err, "plot bars")
		}
		bars.Color = plotutil.Color(w)
		bars.LineStyle.Width = 0
		bars.Offset = barWidth * vg.Length(w-len(report.AlertWindows)/2)
		p.Add(bars)
		p.Legend.Add(report.WindowName(window), bars)
	}
	return nil
}

// addThresholds draws the alert thresholds for the budget window of the first
// service.
func addThresholds(p *plot.Plot, services []report.ServiceBurn, objective int) error {
	budget := 30 * 24 * time.Hour
	if len(services) > 0 {
		budget = services[0].Objectives[objective].BudgetWindow()
	}
	for _, rate := range report.Thresholds(budget) {
		edge := max(float64(len(services)), 1) - 0.5
		line, err := plotter.NewLine(plotter.XYs{{X: -0.5, Y: rate}, {X: edge, Y: rate}})
		if err != nil {
			return errors.Wrap(err, "plot threshold")
		}
		line.Color = color.Gray{Y: 90}
		line.Dashes = plotutil.Dashes(1)
		p.Add(line)
	}
	p.Y.Max = maxPlotRate
	return nil
}

func render(p *plot.Plot, format string) ([]byte, error) {
	to, err := p.WriterTo(plotWidth, plotHeight, format)
	if err != nil {
		return nil, errors.Wrap(err, "draw plot")
	}
	var buf bytes.Buffer
	if _, err := to.WriteTo(&buf); err != nil {
		return nil, errors.Wrap(err, "write plot")
	}
	return buf.Bytes(), nil
}
