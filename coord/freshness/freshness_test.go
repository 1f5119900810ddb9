package freshness_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/coord/freshness"
)

var start = time.Unix(1000, 0)

func newTracker() (*freshness.Tracker, freshness.Settings) {
	settings := freshness.NewSettings(bound)
	return freshness.NewTracker(settings, start), settings
}

// TestDetectionLeavesTimeForTheReads guards against settings with which a change is not in force within its time limit.
func TestDetectionLeavesTimeForTheReads(t *testing.T) {
	for _, limit := range []time.Duration{300 * time.Millisecond, 3 * time.Second, time.Minute} {
		detection := freshness.NewSettings(limit).MaxDetection()
		qt.Check(t, detection <= limit*8/10, qt.IsTrue, qt.Commentf("%v of %v", detection, limit))
	}
}

// TestLostHistoryEndsTrust guards against stale reads after the store has lost its history: they may be seconds old although nothing
// has compared them yet.
func TestLostHistoryEndsTrust(t *testing.T) {
	c := qt.New(t)
	tracker, settings := newTracker()
	tracker.RecordCurrent(start, 100)
	tracker.RecordStale(100)
	c.Assert(tracker.AllowStale(), qt.IsTrue)
	tracker.RecordHistoryGone(start)
	c.Assert(tracker.AllowStale(), qt.IsFalse)
	tracker.RecordCurrent(start, 100)
	compareAt := start.Add(settings.AcceptedLag)
	action, _ := tracker.Next(compareAt, 0, 0)
	c.Assert(action, qt.Equals, freshness.ReadStale)
	tracker.RecordComparison(compareAt, 99)
	c.Assert(tracker.AllowStale(), qt.IsFalse)
	tracker.RecordCurrent(compareAt.Add(settings.RecheckAfter/2), 101)
	recheck := compareAt.Add(settings.RecheckAfter)
	action, _ = tracker.Next(recheck.Add(-time.Millisecond), 0, 0)
	c.Assert(action, qt.Equals, freshness.Wait)
	tracker.RecordCurrent(recheck, 101)
	tracker.RecordComparison(recheck.Add(settings.AcceptedLag), 101)
	c.Assert(tracker.AllowStale(), qt.IsTrue)
}

// TestReportOfAnOlderPositionIsNotRecent guards against a report that was delayed and keeps a VM from reading the position.
func TestReportOfAnOlderPositionIsNotRecent(t *testing.T) {
	c := qt.New(t)
	tracker, settings := newTracker()
	tracker.RecordCurrent(start, 100)
	tracker.RecordStale(100)
	due := start.Add(settings.Period)
	tracker.RecordReport(due, 99)
	action, _ := tracker.Next(due, 0, 0)
	c.Assert(action, qt.Equals, freshness.ReadCurrent)
}

// TestReportOfAnImpossiblePositionIsCorrected guards against a VM that reads current data for good because another VM reported a
// position that the store does not have.
func TestReportOfAnImpossiblePositionIsCorrected(t *testing.T) {
	c := qt.New(t)
	tracker, settings := newTracker()
	tracker.RecordCurrent(start, 100)
	tracker.RecordStale(100)
	tracker.RecordReport(start, 1<<60)
	tracker.RecordComparison(start.Add(settings.AcceptedLag), 100)
	c.Assert(tracker.AllowStale(), qt.IsFalse)
	recheck := start.Add(settings.AcceptedLag + settings.RecheckAfter)
	tracker.RecordCurrent(recheck, 100)
	tracker.RecordComparison(recheck.Add(settings.AcceptedLag), 100)
	c.Assert(tracker.AllowStale(), qt.IsTrue)
	c.Assert(tracker.Newest(), qt.Equals, uint64(100))
}

// TestUnavailableStoreIsNotReadInAddition guards against an outage in which each VM reads the position besides its other attempts.
func TestUnavailableStoreIsNotReadInAddition(t *testing.T) {
	c := qt.New(t)
	tracker, _ := newTracker()
	tracker.RecordCurrent(start, 100)
	tracker.RecordUnavailable()
	later := start.Add(time.Minute)
	action, _ := tracker.Next(later, 0, 0)
	c.Assert(action, qt.Equals, freshness.Wait)
	tracker.RecordStale(100)
	action, _ = tracker.Next(later, 0, 0)
	c.Assert(action, qt.Equals, freshness.ReadCurrent)
}

// TestSeveralChangesInQuickSuccession guards against a second change that is compared late because the first one is still open.
func TestSeveralChangesInQuickSuccession(t *testing.T) {
	c := qt.New(t)
	tracker, settings := newTracker()
	tracker.RecordStale(100)
	tracker.RecordReport(start, 101)
	second := start.Add(100 * time.Millisecond)
	tracker.RecordReport(second, 102)
	tracker.RecordStale(101)
	action, until := tracker.Next(second, 4, 1)
	c.Assert(action, qt.Equals, freshness.Wait)
	c.Assert(until, qt.Equals, second.Add(settings.AcceptedLag))
	tracker.RecordComparison(until, 101)
	c.Assert(tracker.AllowStale(), qt.IsFalse)
}
