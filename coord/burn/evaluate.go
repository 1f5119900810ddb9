package burn

import (
	"maps"
	"slices"
	"time"

	"gooseberrylane.example/core"
)

// Indicator names one measured service level.
type Indicator string

// Indicators.
const (
	IndicatorLatency   Indicator = "latency"
	IndicatorCoverage  Indicator = "coverage"
	IndicatorCompleted Indicator = "completed"
)

// Indicators returns all indicators in the order of reports.
func Indicators() []Indicator {
	return []Indicator{IndicatorLatency, IndicatorCoverage, IndicatorCompleted}
}

// Good returns the numbers of good events and of all events of an indicator.
func (c Counts) Good(i Indicator) (good, total uint64) {
	switch i {
	case IndicatorLatency:
		return c.Timely, c.Completed
	case IndicatorCoverage:
		return c.ShardsCovered, c.ShardsRequested
	default:
		return c.Completed, c.Requests
	}
}

// Target returns the fraction that an indicator should reach.
func (t Targets) Target(i Indicator) float64 {
	switch i {
	case IndicatorLatency:
		return t.Latency
	case IndicatorCoverage:
		return t.Coverage
	default:
		return t.Completed
	}
}

// Windows of the burn rates. Two windows form a pair: the long one shows that the loss is significant, the short one
// that it is still occurring.
const (
	FastShort = 5 * time.Minute
	FastLong  = time.Hour
	SlowShort = 6 * time.Hour
	SlowLong  = 3 * 24 * time.Hour
	// Period is the time over which the error budget is spent.
	Period = 30 * 24 * time.Hour
)

// Windows returns the windows of the burn rates in ascending order.
func Windows() []time.Duration {
	return []time.Duration{FastShort, FastLong, SlowShort, SlowLong}
}

// Limits of the burn rates.
const (
	// FastLimit uses up 2% of the budget of the period in FastLong.
	FastLimit = 14.4
	// SlowLimit uses up the budget exactly in the period.
	SlowLimit = 1
)

// Alert reports whether the burn rate of an indicator is above a limit.
type Alert string

// Alerts.
const (
	AlertNoData Alert = "no_data"
	AlertNone   Alert = "ok"
	AlertSlow   Alert = "slow_burn"
	AlertFast   Alert = "fast_burn"
)

// Rate returns the burn rate: 1 uses up the budget exactly in the period. It is 0 without events.
func Rate(good, total uint64, target float64) float64 {
	return badFraction(good, total) / (1 - target)
}

// badFraction returns the fraction of bad events. Counts that were read during updates may contain more good events than
// the total.
func badFraction(good, total uint64) float64 {
	if good >= total {
		return 0
	}
	return float64(total-good) / float64(total)
}

// WindowRate is the burn rate over one window.
type WindowRate struct {
	WindowSeconds int64   `json:"window_s"`
	Good          uint64  `json:"good"`
	Total         uint64  `json:"total"`
	Rate          float64 `json:"rate"`
}

// ServiceLevel is one service level of one service over the fleet.
type ServiceLevel struct {
	Indicator Indicator    `json:"indicator"`
	Target    float64      `json:"target"`
	Windows   []WindowRate `json:"windows"`
	// Reached is the fraction over the period; 1 without events.
	Reached float64 `json:"reached"`
	// BudgetLeft is the remaining fraction of the error budget of the period; negative when it is overspent.
	BudgetLeft float64 `json:"budget_left"`
	Alert      Alert   `json:"alert"`
}

// ServiceReport is the state of all service levels of one service.
type ServiceReport struct {
	Service core.ServiceName `json:"service"`
	Targets Targets          `json:"targets"`
	// Period holds the counts of the last 30 days, as far as they were recorded.
	Period Counts         `json:"period"`
	Levels []ServiceLevel `json:"levels"`
	// Latencies are over the longest window of the burn rates.
	Latencies Latencies `json:"latencies"`
}

// Latencies are quantiles of the latencies of completed queries in microseconds, with an error of at most 1%.
type Latencies struct {
	Count  int64 `json:"count"`
	P50US  int64 `json:"p50_us"`
	P99US  int64 `json:"p99_us"`
	P999US int64 `json:"p999_us"`
	MaxUS  int64 `json:"max_us"`
}

// Report evaluates all services of the fleet at a time, ordered by name.
func (f *Fleet) Report(now time.Time) []ServiceReport {
	reports := make([]ServiceReport, 0, len(f.Services))
	for _, name := range slices.Sorted(maps.Keys(f.Services)) {
		totals := f.Services[name]
		report := ServiceReport{Service: name, Targets: totals.Targets, Period: totals.Window(now, Period)}
		for _, indicator := range Indicators() {
			report.Levels = append(report.Levels, totals.level(indicator, now, report.Period))
		}
		report.Latencies = totals.Latencies(now.Add(-SlowLong).Truncate(CoarseWidth), now.Add(CoarseWidth))
		reports = append(reports, report)
	}
	return reports
}

// Latencies returns the quantiles of the coarse slots that start at or after from and before to.
func (t *ServiceTotals) Latencies(from, to time.Time) Latencies {
	h := t.Histogram(from, to)
	return Latencies{
		Count: h.TotalCount(), P50US: h.ValueAtQuantile(50), P99US: h.ValueAtQuantile(99), P999US: h.ValueAtQuantile(99.9), MaxUS: h.Max(),
	}
}

func (t *ServiceTotals) level(i Indicator, now time.Time, period Counts) ServiceLevel {
	target := t.Targets.Target(i)
	level := ServiceLevel{Indicator: i, Target: target}
	rates := make(map[time.Duration]float64, len(Windows()))
	for _, window := range Windows() {
		good, total := t.Window(now, window).Good(i)
		rates[window] = Rate(good, total, target)
		level.Windows = append(level.Windows, WindowRate{WindowSeconds: int64(window / time.Second), Good: good, Total: total, Rate: rates[window]})
	}
	good, total := period.Good(i)
	level.Reached = 1 - badFraction(good, total)
	level.BudgetLeft = 1 - Rate(good, total, target)
	level.Alert = alertOf(rates, total)
	return level
}

func alertOf(rates map[time.Duration]float64, total uint64) Alert {
	switch {
	case total == 0:
		return AlertNoData
	case rates[FastShort] >= FastLimit && rates[FastLong] >= FastLimit:
		return AlertFast
	case rates[SlowShort] >= SlowLimit && rates[SlowLong] >= SlowLimit:
		return AlertSlow
	default:
		return AlertNone
	}
}
