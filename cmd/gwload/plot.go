package main

import (
	"fmt"
	"image/color"
	"path/filepath"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"gentianwell/io/model"
)

// Sizes of the plots.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 0.4 * vg.Centimeter
)

// legendSpace multiplies the range of the y axis to leave space for the legend above the
// bars.
const legendSpace = 1.3

// palette has one color for each policy. Lines use the colors in turn.
var palette = []color.Color{
	color.RGBA{R: 0x1b, G: 0x6c, B: 0xa8, A: 0xff},
	color.RGBA{R: 0xe0, G: 0x8e, B: 0x45, A: 0xff},
	color.RGBA{R: 0x8a, G: 0x8a, B: 0x8a, A: 0xff},
	color.RGBA{R: 0x6b, G: 0x9f, B: 0x59, A: 0xff},
}

// plotDashes are the dash patterns that distinguish lines of the same color.
var plotDashes = [][]vg.Length{nil, {vg.Points(4), vg.Points(3)}, {vg.Points(1), vg.Points(2)}}

// workloadResult holds the summaries of one workload.
type workloadResult struct {
	workload  string
	summaries model.Summaries
}

// plotResults plots the goodput and the attainment of tier 0 of a site as SVG files.
func plotResults(dir string, site model.Site, results []workloadResult) error {
	goodput := func(s model.Summary) model.Spread { return s.Goodput }
	if err := plotBars(dir, site.Name+"-goodput", "requests within their targets", results, goodput); err != nil {
		return errors.Trace(err)
	}
	attainment := func(s model.Summary) model.Spread { return s.Classes[0].Attainment.Times(100) }
	return plotBars(dir, site.Name+"-tier0", "tier 0 within its targets, %", results, attainment)
}

// plotBars plots a group of bars for each workload, with one bar for each policy.
func plotBars(dir, name, title string, results []workloadResult, value func(model.Summary) model.Spread) error {
	p := plot.New()
	p.Title.Text = title
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	p.Legend.XOffs = plotWidth / 2
	var names []string
	for _, r := range results {
		names = append(names, r.workload)
	}
	p.NominalX(names...)
	p.X.Min, p.X.Max = -0.5, float64(len(results))-0.5
	for i, policy := range model.AllPolicies() {
		var values plotter.Values
		for _, r := range results {
			values = append(values, value(r.summaries[i]).Mean)
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return errors.Annotatef(err, "plotBars: %s", policy)
		}
		bars.Color = palette[i%len(palette)]
		bars.Offset = barWidth * vg.Length(float64(i)-1.5)
		p.Add(bars)
		p.Legend.Add(string(policy), bars)
	}
	p.Y.Max *= legendSpace
	file := filepath.Join(dir, fmt.Sprintf("%s.svg", name))
	return errors.Annotate(p.Save(plotWidth, plotHeight, file), "plotBars")
}
