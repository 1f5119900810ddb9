package burn

import (
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"gooseberrylane.example/core"
	_ "gooseberrylane.example/test/seed"
)

var testTargets = Targets{LatencyMS: 100, Latency: 0.9, Coverage: 0.99, Completed: 0.999}

var testStart = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func drawEvent(t *rapid.T) Event {
	codes := []core.Code{
		core.CodeOK, core.CodePartial, core.CodeDeadlineExceeded, core.CodeCancelled, core.CodeBadRequest,
		core.CodeOverloaded, core.CodeRateLimited, core.CodeOutcomeUnknown, core.CodeAlreadyRan,
	}
	requested := rapid.IntRange(0, 30).Draw(t, "requested")
	return Event{
		Code: rapid.SampledFrom(codes).Draw(t, "code"), Latency: time.Duration(rapid.Int64Range(-1, 700_000_000_000).Draw(t, "latency")),
		Requested: requested, Covered: rapid.IntRange(0, requested).Draw(t, "covered"),
	}
}

// vm is the recorder and the series of one VM.
type vm struct {
	recorder *Recorder
	series   Series
}

func newVM() *vm {
	return &vm{recorder: NewRecorder(testTargets.LatencyMS.Duration(), 4)}
}

func (v *vm) snapshot(t rapid.TB, name core.VMName, now time.Time) Snapshot {
	total, buckets := v.recorder.Read()
	v.series.Advance(now, total, buckets)
	service, err := v.series.Snapshot("s", testTargets)
	if err != nil {
		t.Fatal(err)
	}
	return Snapshot{VM: name, Incarnation: 1, AsOf: now.Unix(), Services: []ServiceSnapshot{service}}
}

// TestMergeEqualsSingleVM guards against a fleet report that differs from that of one VM with all queries.
func TestMergeEqualsSingleVM(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := []*vm{newVM(), newVM(), newVM()}
		single := newVM()
		now := testStart
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			e := drawEvent(t)
			hint := rapid.Uint32().Draw(t, "hint")
			vms[rapid.IntRange(0, len(vms)-1).Draw(t, "vm")].recorder.Record(hint, e)
			single.recorder.Record(hint, e)
			if rapid.Bool().Draw(t, "tick") {
				now = now.Add(time.Duration(rapid.IntRange(1, 7200).Draw(t, "seconds")) * time.Second)
				for _, v := range append(vms, single) {
					v.series.Advance(advanceTo(v, now))
				}
			}
		}
		var snapshots []Snapshot
		for i, name := range []core.VMName{"a", "b", "c"} {
			snapshots = append(snapshots, vms[i].snapshot(t, name, now))
		}
		slices.Reverse(snapshots)
		merged, errMerged := Merge(append(snapshots, snapshots[0]))
		alone, errAlone := Merge([]Snapshot{single.snapshot(t, "w", now)})
		if errMerged != nil || errAlone != nil {
			t.Fatal(errMerged, errAlone)
		}
		if got, want := merged.Report(now), alone.Report(now); !reflect.DeepEqual(got, want) {
			t.Fatalf("merged %+v, alone %+v", got, want)
		}
		from, to := now.Add(-Period), now.Add(CoarseWidth)
		if !merged.Services["s"].Histogram(from, to).Equals(alone.Services["s"].Histogram(from, to)) {
			t.Fatal("the histograms differ")
		}
	})
}

func advanceTo(v *vm, now time.Time) (time.Time, Counts, Buckets) {
	total, buckets := v.recorder.Read()
	return now, total, buckets
}

// TestIdleVMKeepsTheLongestWindows guards against a VM that drops a slot that is still within a window: 360 fine slots
// cover 6 h less the open slot.
func TestIdleVMKeepsTheLongestWindows(t *testing.T) {
	c := qt.New(t)
	one := Counts{Requests: 1, Completed: 1}
	for _, window := range []time.Duration{SlowShort, SlowLong, Period} {
		var s Series
		s.Advance(testStart.Add(-window), one, nil)
		s.Advance(testStart, one.Plus(one), nil)
		service, err := s.Snapshot("s", testTargets)
		c.Assert(err, qt.IsNil)
		fleet, err := Merge([]Snapshot{{VM: "a", Services: []ServiceSnapshot{service}}})
		c.Assert(err, qt.IsNil)
		c.Check(fleet.Services["s"].Window(testStart, window).Requests, qt.Equals, uint64(2), qt.Commentf("%s", window))
	}
}

// TestBucketsAreThoseOfHDR guards against bucket indexes that differ from those of the HDR library.
func TestBucketsAreThoseOfHDR(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		direct, buckets := NewHistogram(), make(Buckets, bucketCount)
		for _, us := range rapid.SliceOf(rapid.Int64Range(0, highestUS)).Draw(t, "us") {
			if err := direct.RecordValue(us); err != nil {
				t.Fatal(err)
			}
			buckets[bucketIndex(time.Duration(us)*time.Microsecond)]++
		}
		if !buckets.Histogram().Equals(direct) {
			t.Fatal("the histograms differ")
		}
	})
	qt.Assert(t, bucketIndex(24*time.Hour) < bucketCount, qt.IsTrue)
}

// TestClassify guards against objectives that count errors of callers, or omit queries that callers cancelled as too
// slow.
func TestClassify(t *testing.T) {
	c := qt.New(t)
	fast, slow := 50*time.Millisecond, 150*time.Millisecond
	tests := []struct {
		event Event
		want  Counts
	}{
		{Event{core.CodeOK, fast, 3, 3}, Counts{Requests: 1, Completed: 1, Timely: 1, ShardsRequested: 3, ShardsCovered: 3}},
		{Event{core.CodePartial, slow, 3, 2}, Counts{Requests: 1, Completed: 1, ShardsRequested: 3, ShardsCovered: 2}},
		{Event{core.CodeOverloaded, fast, 0, 0}, Counts{Requests: 1}},
		{Event{core.CodeOutcomeUnknown, fast, 1, 0}, Counts{Requests: 1}},
		{Event{core.CodeUnknownShard, fast, 0, 0}, Counts{Excluded: 1}},
		{Event{core.CodeRateLimited, fast, 0, 0}, Counts{Excluded: 1}},
		{Event{core.CodeCancelled, fast, 3, 0}, Counts{Excluded: 1}},
		{Event{core.CodeCancelled, slow, 3, 0}, Counts{Requests: 1}},
	}
	for _, test := range tests {
		c.Check(Classify(test.event, 100*time.Millisecond), qt.Equals, test.want, qt.Commentf("%+v", test.event))
	}
}

// fleetOf returns a fleet whose fine and coarse slots hold perMinute for each of the last minutes before testStart.
func fleetOf(perMinute Counts, minutes int) *Fleet {
	var s Series
	var total Counts
	for m := range minutes {
		total = total.Plus(perMinute)
		s.Advance(testStart.Add(-time.Duration(minutes-1-m)*time.Minute), total, nil)
	}
	service, _ := s.Snapshot("s", testTargets)
	fleet, _ := Merge([]Snapshot{{VM: "a", Services: []ServiceSnapshot{service}}})
	return fleet
}

// TestRatesAndAlerts guards against burn rates that are off by a factor, and against an alert for a short loss.
func TestRatesAndAlerts(t *testing.T) {
	c := qt.New(t)
	bad := Counts{Requests: 1000, Completed: 980, Timely: 980}
	level := func(perMinute Counts, minutes int) ServiceLevel {
		return fleetOf(perMinute, minutes).Report(testStart)[0].Levels[2]
	}
	fast := level(bad, 120)
	c.Check(fast.Indicator, qt.Equals, IndicatorCompleted)
	for _, w := range fast.Windows {
		c.Check(w.Rate > 19.99 && w.Rate < 20.01, qt.IsTrue, qt.Commentf("%+v", w))
	}
	c.Check(fast.Windows[0].Total, qt.Equals, uint64(6000), qt.Commentf("5 min and the open slot"))
	c.Check(fast.BudgetLeft < -18.99 && fast.BudgetLeft > -19.01, qt.IsTrue)
	c.Check(fast.Alert, qt.Equals, AlertFast)
	slow := level(Counts{Requests: 1000, Completed: 998}, 600)
	c.Check(slow.Alert, qt.Equals, AlertSlow)
	c.Check(level(Counts{Requests: 1000, Completed: 1000}, 60).Alert, qt.Equals, AlertNone)
	c.Check(level(Counts{Excluded: 5}, 60).Alert, qt.Equals, AlertNoData)
}

// TestMergeKeepsTheLargestSlot guards against an archive that counts the same events twice or restores an old state.
func TestMergeKeepsTheLargestSlot(t *testing.T) {
	c := qt.New(t)
	v := newVM()
	v.recorder.Record(0, Event{Code: core.CodeOK})
	early := v.snapshot(c, "a", testStart)
	v.recorder.Record(1, Event{Code: core.CodeOK})
	late := v.snapshot(c, "a", testStart.Add(time.Second))
	fleet, err := Merge([]Snapshot{late, early, late})
	c.Assert(err, qt.IsNil)
	c.Check(fleet.Services["s"].Window(testStart, time.Hour).Requests, qt.Equals, uint64(2))
	restarted := late
	restarted.Incarnation = 2
	restarted.Services = slices.Clone(late.Services)
	restarted.Services[0].Targets.LatencyMS++
	fleet, err = Merge([]Snapshot{late, restarted})
	c.Assert(err, qt.IsNil)
	c.Check(fleet.Services["s"].Window(testStart, time.Hour).Requests, qt.Equals, uint64(4))
	c.Check(fleet.TargetConflicts, qt.DeepEquals, []core.ServiceName{"s"})
}

// TestRecordWithoutLossInParallel guards against events that are lost while the counters are read.
func TestRecordWithoutLossInParallel(t *testing.T) {
	c := qt.New(t)
	const workers, each = 8, 2000
	v := newVM()
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for i := range each {
				v.recorder.Record(uint32(w+i), Event{Code: core.CodeOK, Latency: time.Duration(i) * time.Microsecond})
			}
		})
	}
	for range 20 {
		v.series.Advance(advanceTo(v, testStart))
	}
	wg.Wait()
	fleet, err := Merge([]Snapshot{v.snapshot(c, "a", testStart)})
	c.Assert(err, qt.IsNil)
	report := fleet.Report(testStart)[0]
	c.Check(report.Period.Requests, qt.Equals, uint64(workers*each))
	c.Check(report.Latencies.Count, qt.Equals, int64(workers*each))
}

// TestOldHistogramsAreEncoded guards against memory that grows every hour: an open histogram takes 24 KB per service.
func TestOldHistogramsAreEncoded(t *testing.T) {
	c := qt.New(t)
	v := newVM()
	for hour := range 100 {
		v.recorder.Record(0, Event{Code: core.CodeOK, Latency: time.Duration(hour) * time.Millisecond})
		v.series.Advance(advanceTo(v, testStart.Add(time.Duration(hour)*time.Hour)))
	}
	open, encoded := 0, 0
	for i := range v.series.coarse {
		if v.series.coarse[i].open != nil {
			open++
		}
		encoded += len(v.series.coarse[i].encoded)
	}
	c.Check(open, qt.Equals, 1)
	c.Check(encoded < 100*1024, qt.IsTrue, qt.Commentf("%d bytes", encoded))
	now := testStart.Add(99 * time.Hour)
	fleet, err := Merge([]Snapshot{v.snapshot(c, "a", now)})
	c.Assert(err, qt.IsNil)
	c.Check(fleet.Report(now)[0].Latencies.Count, qt.Equals, int64(73), qt.Commentf("3 days and the open hour"))
}

// TestRecordAllocatesNothing guards against allocations on the path of every query.
func TestRecordAllocatesNothing(t *testing.T) {
	v := newVM()
	allocations := testing.AllocsPerRun(100, func() { v.recorder.Record(3, Event{Code: core.CodeOK, Latency: time.Millisecond}) })
	qt.Assert(t, allocations, qt.Equals, 0.0)
}
