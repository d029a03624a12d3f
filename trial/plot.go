package trial

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot writes a plot of goodput over load, without faults, to a file. The file name's extension selects the format.
func Plot(file string, user string, results []Result) error {
	p := plot.New()
	p.Title.Text = "Goodput under both latency targets, " + user
	p.X.Label.Text, p.Y.Label.Text = "load / capacity", "goodput"
	p.Y.Min, p.Y.Max = 0, 1.05
	p.Legend.Top = false
	p.Legend.Left = true
	for i, policy := range Policies() {
		line, points, err := plotter.NewLinePoints(goodputOf(policy, user, results))
		if err != nil {
			return fmt.Errorf("plot %s: %w", policy, err)
		}
		line.Color, points.Color = plotutil.Color(i), plotutil.Color(i)
		p.Add(line, points)
		p.Legend.Add(string(policy), line, points)
	}
	bound := plotter.NewFunction(func(load float64) float64 { return min(1, 1/load) })
	bound.Color = color.Gray{Y: 128}
	bound.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
	p.Add(bound)
	p.Legend.Add("bound", bound)
	return p.Save(plotWidth, plotHeight, file)
}

func goodputOf(policy Policy, user string, results []Result) plotter.XYs {
	var points plotter.XYs
	for _, r := range results {
		if r.Policy == policy && r.User == user && r.Fault == FaultNone {
			points = append(points, plotter.XY{X: r.Load, Y: r.Goodput})
		}
	}
	return points
}
