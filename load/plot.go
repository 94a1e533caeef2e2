package load

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot writes the latency distribution of complete answers to a file. The file's extension, such as
// .svg or .png, selects the format.
func (r *Report) Plot(file string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("mix %s at %.0f requests/s", r.Mix, r.Rate)
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "milliseconds"
	firstByte := make(plotter.XYs, 0, 100)
	total := make(plotter.XYs, 0, 100)
	for percentile := 1.0; percentile <= 100; percentile++ {
		firstByte = append(firstByte, plotter.XY{X: percentile, Y: float64(r.firstByte.ValueAtQuantile(percentile)) / 1000})
		total = append(total, plotter.XY{X: percentile, Y: float64(r.total.ValueAtQuantile(percentile)) / 1000})
	}
	if err := plotutil.AddLines(p, "first byte", firstByte, "whole answer", total); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("plot %s: %w", file, err)
	}
	return nil
}
