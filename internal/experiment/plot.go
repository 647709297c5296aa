package experiment

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// The size of a plot, which has one row per comparison.
const (
	plotWidth  = 18 * vg.Centimeter
	rowHeight  = 0.55 * vg.Centimeter
	plotMargin = 2.5 * vg.Centimeter
)

// intervals adapts comparisons to points with errors along x.
type intervals []Comparison

// Len, XY and XError implement plotter.XYer and plotter.XErrorer.
func (v intervals) Len() int                { return len(v) }
func (v intervals) XY(i int) (x, y float64) { return v[i].Difference, float64(len(v) - 1 - i) }
func (v intervals) XError(i int) (low, high float64) {
	return v[i].Difference - v[i].Low, v[i].High - v[i].Difference
}

// Plot draws the interval of each comparison into a file. The extension selects the format.
func Plot(path string, comparisons []Comparison) error {
	p := plot.New()
	p.Title.Text = "Worth with a mechanism switched off, less worth with it"
	p.X.Label.Text = "difference, with its 95 % interval"
	points := intervals(comparisons)
	bars, err := plotter.NewXErrorBars(points)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	marks, err := plotter.NewScatter(points)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	p.Add(plotter.NewGrid(), bars, marks)
	names := make([]string, len(comparisons))
	for i, c := range comparisons {
		names[len(names)-1-i] = c.Policy + ", " + c.siteName()
	}
	p.NominalY(names...)
	return p.Save(plotWidth, plotMargin+rowHeight*vg.Length(len(names)), path)
}
