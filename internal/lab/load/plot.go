package load

import (
	"image/color"
	"path/filepath"
	"slices"
	"time"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
	// averagingWindow is the length of the intervals over which the slowdown is
	// averaged.
	averagingWindow = time.Second
)

var palette = []color.RGBA{
	{0x1f, 0x77, 0xb4, 0xff}, {0x2c, 0xa0, 0x2c, 0xff}, {0xff, 0x7f, 0x0e, 0xff},
	{0xd6, 0x27, 0x28, 0xff}, {0x94, 0x67, 0xbd, 0xff},
}

// WritePlots writes two plots of a load into a directory: first.svg shows the
// cumulative distribution of the time to first token by class, and slowdown.svg
// shows the time to first token of the first class of the mix over time,
// relative to the 10th percentile of that class.
func WritePlots(dir string, rep Report, rs []Result) error {
	if err := plotFirstToken(filepath.Join(dir, "first.svg"), rep, rs); err != nil {
		return errors.Annotate(err, "plot of time to first token")
	}
	return errors.Annotate(plotSlowdown(filepath.Join(dir, "slowdown.svg"), rep, rs), "plot of slowdown")
}

func plotFirstToken(path string, rep Report, rs []Result) error {
	p := plot.New()
	p.Title.Text = "Time to first token by prompt length"
	p.X.Label.Text = "time to first token, ms"
	p.Y.Label.Text = "share of prompts"
	p.Legend.Top = true
	p.Legend.Left = true
	for i, c := range rep.Classes {
		xys := cumulativeDistribution(firstTokenTimes(rs, c))
		if len(xys) == 0 {
			continue
		}
		if err := addLine(p, c, xys, i); err != nil {
			return err
		}
		// A logarithmic axis panics if the plot has no values, so the scale is
		// set only after a line was added.
		p.X.Scale = plot.LogScale{}
		p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	}
	return p.Save(plotWidth, plotHeight, path)
}

func addLine(p *plot.Plot, name string, xys plotter.XYs, i int) error {
	l, err := plotter.NewLine(xys)
	if err != nil {
		return err
	}
	l.Color = palette[i%len(palette)]
	l.Width = vg.Points(1.5)
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

// firstTokenTimes returns the times to first token of a class in milliseconds,
// in ascending order.
func firstTokenTimes(rs []Result, class string) []float64 {
	var ms []float64
	for _, r := range rs {
		if r.Class == class && r.First > 0 {
			ms = append(ms, float64(r.First)/float64(time.Millisecond))
		}
	}
	slices.Sort(ms)
	return ms
}

// cumulativeDistribution returns, for each value, the fraction of the values
// that are not larger.
func cumulativeDistribution(sorted []float64) plotter.XYs {
	xys := make(plotter.XYs, len(sorted))
	for i, v := range sorted {
		xys[i].X = v
		xys[i].Y = float64(i+1) / float64(len(sorted))
	}
	return xys
}

func plotSlowdown(path string, rep Report, rs []Result) error {
	p := plot.New()
	p.Title.Text = "Slowdown of the shortest prompts over time"
	p.X.Label.Text = "time, s"
	p.Y.Label.Text = "times the fastest tenth"
	if len(rep.Classes) == 0 {
		return p.Save(plotWidth, plotHeight, path)
	}
	class := rep.Classes[0]
	all := firstTokenTimes(rs, class)
	if len(all) > 0 {
		if err := addLine(p, class, slowdown(rs, class, all[len(all)/10]), 0); err != nil {
			return err
		}
	}
	return p.Save(plotWidth, plotHeight, path)
}

// slowdown returns the mean time to first token of a class in each averaging
// window, divided by base, which is in milliseconds.
func slowdown(rs []Result, class string, base float64) plotter.XYs {
	sums, counts := map[int]float64{}, map[int]int{}
	for _, r := range rs {
		if r.Class == class && r.First > 0 {
			window := int(r.At / averagingWindow)
			sums[window] += float64(r.First) / float64(time.Millisecond)
			counts[window]++
		}
	}
	var xys plotter.XYs
	for window, n := range counts {
		xys = append(xys, plotter.XY{X: float64(window), Y: sums[window] / float64(n) / base})
	}
	slices.SortFunc(xys, func(a, b plotter.XY) int { return int(a.X - b.X) })
	return xys
}
