package expvar

import (
	"expvar"
	"runtime/metrics"
)

// runtimeMetrics maps variables to metrics of the Go runtime. Reading them does not stop the world.
var runtimeMetrics = map[string]string{
	"go_allocations":      "/gc/heap/allocs:objects",
	"go_allocated_bytes":  "/gc/heap/allocs:bytes",
	"go_heap_live_bytes":  "/gc/heap/live:bytes",
	"go_total_bytes":      "/memory/classes/total:bytes",
	"go_goroutines":       "/sched/goroutines:goroutines",
	"go_collector_cycles": "/gc/cycles/total:gc-cycles",
}

func addRuntimeVars(vars *expvar.Map) {
	for name, source := range runtimeMetrics {
		vars.Set(name, expvar.Func(func() any { return readRuntimeMetric(source) }))
	}
}

func readRuntimeMetric(source string) uint64 {
	samples := []metrics.Sample{{Name: source}}
	metrics.Read(samples)
	if samples[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return samples[0].Value.Uint64()
}
