package cli

import (
	"cmp"
	"path/filepath"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgimg" // PNG
	_ "gonum.org/v1/plot/vg/vgsvg" // SVG

	"gooseberrylane.example/coord/burn"
	"gooseberrylane.example/core"
)

const (
	plotWidth  = 25 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	// plotPadding keeps the title clear of the highest point.
	plotPadding = 0.4 * vg.Centimeter
	// tickInterval is the time between two labels of the time axis.
	tickInterval = 12 * time.Hour
	// maxPlotLines limits a plot to the services with the highest burn rates, so that it remains readable.
	maxPlotLines = 8
)

// plotOptions are the output file and the indicator of a plot.
type plotOptions struct{ path, indicator string }

func (p *plotOptions) check() error {
	extension := filepath.Ext(p.path)
	if p.path != "" && extension != ".svg" && extension != ".png" {
		return core.Errorf(core.CodeBadRequest, "-plot: want a file that ends in .svg or .png, got %q", p.path)
	}
	if !slices.Contains(burn.Indicators(), burn.Indicator(p.indicator)) {
		return core.Errorf(core.CodeBadRequest, "-indicator: want one of %s, got %q", join(burn.Indicators()), p.indicator)
	}
	return nil
}

// plotLine is the burn rate of one service over time.
type plotLine struct {
	service core.ServiceName
	points  []burn.RatePoint
	highest float64
}

// plotRates writes the hourly burn rates of the longest window as a picture.
func plotRates(options plotOptions, fleet *burn.Fleet, now time.Time) error {
	p := plot.New()
	p.Title.Text = "Burn rate of the " + options.indicator + " budget per hour"
	p.Y.Label.Text = "burn rate (1 uses up the budget in 30 days)"
	p.Title.Padding = plotPadding
	p.X.Label.Text = "time (UTC)"
	p.Y.Min = 0
	p.X.Tick.Marker = plot.ConstantTicks(halfDayTicks(now.Add(-burn.SlowLong), now))
	for i, line := range worstLines(fleet, burn.Indicator(options.indicator), now) {
		xys := make(plotter.XYs, len(line.points))
		for j, point := range line.points {
			xys[j] = plotter.XY{X: float64(point.Start), Y: point.Rate}
		}
		drawn, dots, err := plotter.NewLinePoints(xys)
		if err != nil {
			return core.Errorf(core.CodeInternal, "plot: %v", err)
		}
		drawn.Color, dots.Color = plotutil.Color(i), plotutil.Color(i)
		p.Add(drawn, dots)
		p.Legend.Add(string(line.service), drawn, dots)
	}
	limit := plotter.NewFunction(func(float64) float64 { return burn.SlowLimit })
	limit.Dashes = plotutil.Dashes(1)
	p.Add(limit)
	p.Legend.Add("limit", limit)
	p.Legend.Top = true
	p.X.Min = min(p.X.Min, float64(now.Add(-burn.SlowLong).Unix()))
	p.X.Max = max(p.X.Max, float64(now.Unix()))
	p.Y.Max = 1.1 * max(p.Y.Max, 2*burn.SlowLimit)
	if err := p.Save(plotWidth, plotHeight, options.path); err != nil {
		return core.Errorf(core.CodeBadRequest, "plot: %v", err)
	}
	return nil
}

// halfDayTicks returns labels at noon and midnight.
func halfDayTicks(from, to time.Time) []plot.Tick {
	var ticks []plot.Tick
	for at := from.UTC().Truncate(tickInterval).Add(tickInterval); at.Before(to); at = at.Add(tickInterval) {
		ticks = append(ticks, plot.Tick{Value: float64(at.Unix()), Label: at.Format("02 Jan\n15:04")})
	}
	return ticks
}

// worstLines returns the lines of the services with the highest burn rates.
func worstLines(fleet *burn.Fleet, indicator burn.Indicator, now time.Time) []plotLine {
	var lines []plotLine
	for name, totals := range fleet.Services {
		line := plotLine{service: name, points: totals.HourlyRates(indicator, now.Add(-burn.SlowLong), now)}
		for _, point := range line.points {
			line.highest = max(line.highest, point.Rate)
		}
		if len(line.points) > 0 {
			lines = append(lines, line)
		}
	}
	slices.SortFunc(lines, func(a, b plotLine) int {
		return cmp.Or(cmp.Compare(b.highest, a.highest), cmp.Compare(a.service, b.service))
	})
	return lines[:min(len(lines), maxPlotLines)]
}
