package main

import (
	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"laburnumstack.org/laburnum/pkg/admin"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	plotWidth  = 10 * vg.Inch
	plotHeight = 5 * vg.Inch
	// barWidth is the width of a bar in points.
	barWidth = 16
)

// errNoUsage means that there is nothing to plot yet.
const errNoUsage = errors.ConstError("no usage to plot yet")

// plotUsage plots the endpoint seconds of each workspace and hour as stacked
// bars. The extension of the file's name selects SVG or PNG.
func plotUsage(path string, rows []admin.UsageRow) error {
	if len(rows) == 0 {
		return errNoUsage
	}
	hours, sums := sumByHour(rows)
	p := plot.New()
	p.Title.Text = "Endpoint seconds by workspace and hour"
	p.Y.Label.Text = "endpoint seconds"
	p.Legend.Top = true
	p.NominalX(hours...)
	var below *plotter.BarChart
	for i, w := range ident.SortedKeys(sums) {
		bars, err := plotter.NewBarChart(sums[w], vg.Points(barWidth))
		if err != nil {
			return errors.Annotatef(err, "bars of %s", w)
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(string(w), bars)
	}
	return errors.Annotate(p.Save(plotWidth, plotHeight, path), "plot")
}

// sumByHour returns the hours in the order of the rows, and for each workspace
// the sum of its endpoint seconds in each of these hours.
func sumByHour(rows []admin.UsageRow) ([]string, map[ident.WorkspaceName]plotter.Values) {
	index := map[string]int{}
	var hours []string
	for _, r := range rows {
		h := r.Hour.Format("01-02 15h")
		if _, ok := index[h]; !ok {
			index[h] = len(hours)
			hours = append(hours, h)
		}
	}
	sums := map[ident.WorkspaceName]plotter.Values{}
	for _, r := range rows {
		if sums[r.Workspace] == nil {
			sums[r.Workspace] = make(plotter.Values, len(hours))
		}
		sums[r.Workspace][index[r.Hour.Format("01-02 15h")]] += r.EndpointSeconds
	}
	return hours, sums
}
