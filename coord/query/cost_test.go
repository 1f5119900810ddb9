package query_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/core"
)

// Bounds on the cost of one sub-request in the machine. At the load planned for in two years, a VM handles about 196,000
// sub-requests per second (2.1 million queries of 700 shards on 7,500 VMs). At 1 KB each, the machine produces 200 MB/s
// of garbage, which the garbage collector handles with a fraction of a core.
const (
	costShards     = 700
	maxAllocations = 4
	maxBytes       = 1024
)

// runQuery runs one query over all shards until it is answered.
func runQuery(f *fixture) {
	m := f.machine(true, time.Second)
	for _, action := range m.Start(epoch) {
		m.Result(epoch, core.AttemptResult{Attempt: action.Attempt.ID, Outcome: core.OutcomeRan, Code: core.CodeOK, Version: pinned})
	}
	if answer := m.Answer(); answer.Code != core.CodeOK {
		panic(fmt.Sprint("the query was not answered: ", answer.Code))
	}
}

// bytesPerRun returns the mean number of bytes that a call of f allocates.
func bytesPerRun(runs int, f func()) float64 {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	f()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range runs {
		f()
	}
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc-before.TotalAlloc) / float64(runs)
}

// TestCostPerSubRequestIsBounded guards against a query path that allocates more and more per shard.
func TestCostPerSubRequestIsBounded(t *testing.T) {
	c := qt.New(t)
	f := newFixture(costShards, 3)
	f.warmUpHedger(10 * time.Millisecond)
	allocations := testing.AllocsPerRun(20, func() { runQuery(f) }) / costShards
	bytes := bytesPerRun(20, func() { runQuery(f) }) / costShards
	t.Logf("%.2f allocations and %.0f bytes per sub-request", allocations, bytes)
	c.Assert(allocations <= maxAllocations, qt.IsTrue, qt.Commentf("%.2f allocations per sub-request", allocations))
	c.Assert(bytes <= maxBytes, qt.IsTrue, qt.Commentf("%.0f bytes per sub-request", bytes))
}

// BenchmarkSubRequest reports the cost of one sub-request of a query over 700 shards.
func BenchmarkSubRequest(b *testing.B) {
	f := newFixture(costShards, 3)
	f.warmUpHedger(10 * time.Millisecond)
	b.ReportAllocs()
	for range b.N {
		runQuery(f)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/costShards, "ns/sub-request")
}
