package burn

import (
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/fx/fxtest"

	"gooseberrylane.example/coord/burn"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
)

type fixedClock struct{ now time.Time }

func (f fixedClock) Now() time.Time { return f.now }

// TestSnapshotOfFinishedQueries guards against a snapshot that misses queries, mixes up the targets of services, or
// contains service names that are not in the configuration.
func TestSnapshotOfFinishedQueries(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	state := kernel.NewState()
	state.SetConfig((&core.ConfigSet{Services: map[core.ServiceName]*core.Service{"orders": {}, "stock": {}}}).Index())
	custom := burn.Targets{LatencyMS: 10, Latency: 0.5, Coverage: 0.5, Completed: 0.5}
	settings := &Settings{Default: burn.DefaultTargets, Services: []burn.Objective{{Service: "orders", Targets: custom}}, ReadoutMS: 60_000}
	lc := fxtest.NewLifecycle(t)
	r := newRecorder(lc, params{
		Identity: kernel.Identity{VM: "vm-1", Incarnation: 3, Domain: "fd-1"}, State: state, Clock: fixedClock{now}, Log: slog.New(slog.DiscardHandler),
	}, settings)
	lc.RequireStart()
	answer := &core.Answer{Covered: make([]core.ShardResult, 2), Missing: make([]core.MissingShard, 1), Code: core.CodePartial}
	for _, name := range []core.ServiceName{"orders", "stock", "orders", "made-up"} {
		r.QueryFinished(&core.Query{Service: name}, answer, 20*time.Millisecond)
	}
	raw, err := json.Marshal(r.value())
	c.Assert(err, qt.IsNil)
	var snapshot burn.Snapshot
	c.Assert(json.Unmarshal(raw, &snapshot), qt.IsNil)
	c.Check(snapshot.VM, qt.Equals, core.VMName("vm-1"))
	c.Check(snapshot.Services, qt.HasLen, 2)
	fleet, err := burn.Merge([]burn.Snapshot{snapshot})
	c.Assert(err, qt.IsNil)
	reports := fleet.Report(now)
	c.Check(reports[0].Period, qt.Equals, burn.Counts{Requests: 2, Completed: 2, ShardsRequested: 6, ShardsCovered: 4})
	c.Check(reports[0].Targets, qt.Equals, custom)
	c.Check(reports[1].Period, qt.Equals, burn.Counts{Requests: 1, Completed: 1, Timely: 1, ShardsRequested: 3, ShardsCovered: 2})
	c.Check(reports[0].Latencies.Count, qt.Equals, int64(2))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c.Assert(lc.Stop(ctx), qt.IsNil)
}

// BenchmarkQueryFinished measures the cost on the request path, with all processors in parallel.
func BenchmarkQueryFinished(b *testing.B) {
	state := kernel.NewState()
	state.SetConfig((&core.ConfigSet{Services: map[core.ServiceName]*core.Service{"orders": {}}}).Index())
	r := newRecorder(fxtest.NewLifecycle(b), params{State: state, Clock: kernel.SystemClock{}, Log: slog.New(slog.DiscardHandler)}, &Settings{Default: burn.DefaultTargets, ReadoutMS: 60_000})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		q, answer := &core.Query{Service: "orders"}, &core.Answer{}
		for pb.Next() {
			r.QueryFinished(q, answer, time.Millisecond)
		}
	})
}
