package burn

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/core"
)

// TestMonthJoinsBurnWithChanges guards against a report that puts a change on the wrong day, counts events of another
// month, or attributes an earlier loss to a change.
func TestMonthJoinsBurnWithChanges(t *testing.T) {
	c := qt.New(t)
	march := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	good, bad := Counts{Requests: 1000, Completed: 1000}, Counts{Requests: 1000, Completed: 990}
	var s Series
	var total Counts
	at := func(when time.Time, counts Counts) {
		total = total.Plus(counts)
		s.Advance(when, total, nil)
	}
	at(march.Add(-time.Hour), bad)
	for hour := range 48 {
		at(march.Add(time.Duration(hour)*time.Hour), good)
	}
	change := march.Add(48*time.Hour + 10*time.Minute)
	at(change, bad)
	at(change.Add(time.Hour), bad)
	service, err := s.Snapshot("s", testTargets)
	c.Assert(err, qt.IsNil)
	fleet, err := Merge([]Snapshot{{VM: "a", Services: []ServiceSnapshot{service}}})
	c.Assert(err, qt.IsNil)
	report := fleet.Month(march, []Change{
		{Revision: 1, At: march.Add(-time.Second)},
		{Revision: 2, At: march.Add(12 * time.Hour)},
		{Revision: 3, At: change},
		{Revision: 4, At: march.AddDate(0, 1, 0)},
	})
	c.Check(report.Month, qt.Equals, "2026-03")
	c.Check(report.Services[0].Counts, qt.Equals, Counts{Requests: 50_000, Completed: 49_980})
	c.Check(report.Services[0].Spent[2].Budget > 0.399 && report.Services[0].Spent[2].Budget < 0.401, qt.IsTrue)
	days := report.Services[0].Days
	c.Assert(days, qt.HasLen, 3)
	c.Check(days[0].Changes, qt.DeepEquals, []core.Revision{2})
	c.Check(days[1].Changes, qt.HasLen, 0)
	c.Check(days[2].Changes, qt.DeepEquals, []core.Revision{3})
	c.Check(days[2].Counts.Requests, qt.Equals, uint64(2000))
	c.Assert(report.Changes, qt.HasLen, 2)
	c.Check(report.Changes[0].Services, qt.HasLen, 0)
	effect := report.Changes[1].Services
	c.Assert(effect, qt.HasLen, 1)
	c.Check(effect[0].Indicator, qt.Equals, IndicatorCompleted)
	c.Check(effect[0].Before, qt.Equals, 0.0)
	c.Check(effect[0].After > 9.99 && effect[0].After < 10.01, qt.IsTrue)
}
