package bench

import (
	"image/color"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 26 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// curve is one line of the plot with its value at a second.
type curve struct {
	name string
	at   func(*Second) float64
}

// Plot draws the run over time into a file whose name ends in .svg or .png.
func (r *Result) Plot(file string) error {
	p := plot.New()
	p.Title.Text = "Flows over time"
	p.X.Label.Text = "seconds"
	p.Y.Min = 0
	p.Legend.Top = true
	curves := []curve{
		{"open", func(s *Second) float64 { return float64(s.Open) }},
		{"refused so far", func(s *Second) float64 { return float64(s.Refused) }},
		{"given up with their zone so far", func(s *Second) float64 { return float64(s.GivenUp) }},
		{"broken so far", func(s *Second) float64 { return float64(s.Broken) }},
	}
	for i, c := range curves {
		line, err := plotter.NewLine(r.points(c.at))
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		line.Color = plotutil.Color(i)
		line.Width = vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(c.name, line)
	}
	if err := r.markFaults(p); err != nil {
		return err
	}
	// Leaves space above the curves for the legend.
	p.Y.Max *= 1.3
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "save plot")
}

func (r *Result) points(at func(*Second) float64) plotter.XYs {
	xys := make(plotter.XYs, len(r.Seconds))
	for i := range r.Seconds {
		xys[i] = plotter.XY{X: float64(r.Seconds[i].At), Y: at(&r.Seconds[i])}
	}
	return xys
}

// markFaults draws a line with a label at each fault.
func (r *Result) markFaults(p *plot.Plot) error {
	top := 1.0
	for i := range r.Seconds {
		top = max(top, float64(r.Seconds[i].Open))
	}
	labels := plotter.XYLabels{}
	for _, f := range r.Faults {
		line, err := plotter.NewLine(plotter.XYs{{X: f.At, Y: 0}, {X: f.At, Y: top}})
		if err != nil {
			return errors.Wrap(err, "plot fault")
		}
		line.Color = color.Gray{Y: 120}
		line.Dashes = plotutil.Dashes(1)
		p.Add(line)
		labels.XYs = append(labels.XYs, plotter.XY{X: f.At, Y: top})
		labels.Labels = append(labels.Labels, f.What)
	}
	names, err := plotter.NewLabels(labels)
	if err != nil {
		return errors.Wrap(err, "plot labels")
	}
	p.Add(names)
	return nil
}
