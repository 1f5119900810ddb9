package burn

import (
	"maps"
	"slices"
	"time"

	"gooseberrylane.example/core"
)

// Change holds the fields of a configuration change that a report contains.
type Change struct {
	Revision core.Revision `json:"revision"`
	At       time.Time     `json:"at"`
	By       string        `json:"by"`
	What     string        `json:"what"`
	Reason   string        `json:"reason,omitempty"`
}

// BudgetUse is the use of one error budget by the events of a period: 1 is the whole budget.
type BudgetUse struct {
	Indicator Indicator `json:"indicator"`
	Target    float64   `json:"target"`
	Reached   float64   `json:"reached"`
	// Budget is the fraction of the budget that was used.
	Budget float64 `json:"budget"`
}

// Day is one day of a monthly report, in UTC.
type Day struct {
	Date   string `json:"date"`
	Counts Counts `json:"counts"`
	// Spent holds the burn rates of the day.
	Spent []BudgetUse `json:"spent"`
	// Changes are the revisions that were confirmed on the day.
	Changes []core.Revision `json:"changes"`
}

// MonthService is one service in a monthly report.
type MonthService struct {
	Service   core.ServiceName `json:"service"`
	Targets   Targets          `json:"targets"`
	Counts    Counts           `json:"counts"`
	Spent     []BudgetUse      `json:"spent"`
	Latencies Latencies        `json:"latencies"`
	Days      []Day            `json:"days"`
}

// ChangeEffect holds the service levels before and after a change. It shows a coincidence in time, not a cause.
type ChangeEffect struct {
	Change
	Services []ServiceEffect `json:"services"`
}

// ServiceEffect holds the burn rates of one indicator around a change.
type ServiceEffect struct {
	Service   core.ServiceName `json:"service"`
	Indicator Indicator        `json:"indicator"`
	// Before is the burn rate of the hours before the change, After that of the hour of the change and the hours after.
	Before float64 `json:"before"`
	After  float64 `json:"after"`
}

// MonthReport joins the burn rates of a month with its configuration changes.
type MonthReport struct {
	// Month has the form 2026-03.
	Month    string         `json:"month"`
	Services []MonthService `json:"services"`
	Changes  []ChangeEffect `json:"changes"`
}

// Hours before and after a change that ServiceEffect compares.
const (
	effectHoursBefore = 24
	effectHoursAfter  = 2
)

// MonthLayout is the layout of a month for time.Parse.
const MonthLayout = "2006-01"

const dateLayout = "2006-01-02"

// Month returns the report of the month, in UTC, that starts at start. Changes of other months are omitted.
func (f *Fleet) Month(start time.Time, changes []Change) MonthReport {
	end := start.AddDate(0, 1, 0)
	report := MonthReport{Month: start.Format(MonthLayout), Services: []MonthService{}, Changes: []ChangeEffect{}}
	var inMonth []Change
	for _, change := range changes {
		if !change.At.Before(start) && change.At.Before(end) {
			inMonth = append(inMonth, change)
			report.Changes = append(report.Changes, ChangeEffect{Change: change, Services: f.effects(change.At)})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(f.Services)) {
		totals := f.Services[name]
		counts := totals.Hours(start, end)
		if counts == (Counts{}) {
			continue
		}
		report.Services = append(report.Services, MonthService{
			Service: name, Targets: totals.Targets, Counts: counts, Spent: totals.Targets.spent(counts),
			Latencies: totals.Latencies(start, end), Days: totals.days(start, end, inMonth),
		})
	}
	return report
}

// spent returns how much of each error budget the counts used.
func (t Targets) spent(counts Counts) []BudgetUse {
	all := make([]BudgetUse, 0, len(Indicators()))
	for _, i := range Indicators() {
		good, total := counts.Good(i)
		all = append(all, BudgetUse{Indicator: i, Target: t.Target(i), Reached: 1 - badFraction(good, total), Budget: Rate(good, total, t.Target(i))})
	}
	return all
}

// days returns the days that have events or changes.
func (t *ServiceTotals) days(start, end time.Time, changes []Change) []Day {
	days := []Day{}
	for from := start; from.Before(end); from = from.AddDate(0, 0, 1) {
		day := Day{Date: from.Format(dateLayout), Counts: t.Hours(from, from.AddDate(0, 0, 1)), Changes: []core.Revision{}}
		day.Spent = t.Targets.spent(day.Counts)
		for _, change := range changes {
			if change.At.UTC().Format(dateLayout) == day.Date {
				day.Changes = append(day.Changes, change.Revision)
			}
		}
		if day.Counts != (Counts{}) || len(day.Changes) > 0 {
			days = append(days, day)
		}
	}
	return days
}

// effects returns the burn rates around a time, for the indicators whose rate rose and then exceeds the rate that
// the budget allows.
func (f *Fleet) effects(at time.Time) []ServiceEffect {
	hour := at.Truncate(CoarseWidth)
	effects := []ServiceEffect{}
	for _, name := range slices.Sorted(maps.Keys(f.Services)) {
		totals := f.Services[name]
		before := totals.Hours(hour.Add(-effectHoursBefore*CoarseWidth), hour)
		after := totals.Hours(hour, hour.Add(effectHoursAfter*CoarseWidth))
		for _, i := range Indicators() {
			rateBefore, rateAfter := totals.rate(before, i), totals.rate(after, i)
			if rateAfter > max(rateBefore, SlowLimit) {
				effects = append(effects, ServiceEffect{Service: name, Indicator: i, Before: rateBefore, After: rateAfter})
			}
		}
	}
	return effects
}

func (t *ServiceTotals) rate(counts Counts, i Indicator) float64 {
	good, total := counts.Good(i)
	return Rate(good, total, t.Targets.Target(i))
}

// RatePoint is a burn rate in one slot of time.
type RatePoint struct {
	// Start is the Unix time in seconds at which the slot starts.
	Start int64
	Rate  float64
}

// HourlyRates returns the burn rates of the coarse slots with events that start at or after from and before to, in order.
func (t *ServiceTotals) HourlyRates(i Indicator, from, to time.Time) []RatePoint {
	var points []RatePoint
	for _, start := range slices.Sorted(maps.Keys(t.coarse)) {
		if _, total := t.coarse[start].Good(i); total > 0 && start >= from.Unix() && start < to.Unix() {
			points = append(points, RatePoint{Start: start, Rate: t.rate(t.coarse[start], i)})
		}
	}
	return points
}
