package capacity

import (
	"runtime"
	"slices"
	"syscall"
	"time"
)

const (
	// minSampleTime is the minimum CPU time of a sample; shorter times are below the resolution of the CPU clock.
	minSampleTime = 40 * time.Millisecond
	// samples is the number of samples from which the median is taken.
	samples = 3
	// maxRepeats bounds the operations of one sample.
	maxRepeats = 1 << 20
)

// cost is the cost of one operation.
type cost struct {
	cpuUS, bytes, allocations float64
}

// costOf measures a repeatable operation. The CPU time is that of the whole process, so it includes the garbage
// collector.
func costOf(operation func()) cost {
	operation()
	repeats := 1
	for {
		c, used := sample(operation, repeats)
		if used < minSampleTime && repeats < maxRepeats {
			repeats *= 2
			continue
		}
		all := []cost{c}
		for len(all) < samples {
			c, _ = sample(operation, repeats)
			all = append(all, c)
		}
		slices.SortFunc(all, func(a, b cost) int { return int(1000 * (a.cpuUS - b.cpuUS)) })
		return all[len(all)/2]
	}
}

func sample(operation func(), repeats int) (cost, time.Duration) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start := cpuTime()
	for range repeats {
		operation()
	}
	used := cpuTime() - start
	runtime.ReadMemStats(&after)
	n := float64(repeats)
	return cost{
		cpuUS:       float64(used.Nanoseconds()) / 1000 / n,
		bytes:       float64(after.TotalAlloc-before.TotalAlloc) / n,
		allocations: float64(after.Mallocs-before.Mallocs) / n,
	}, used
}

// cpuTime returns the CPU time of the process so far.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	// The call fails only for a bad address.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapOf returns the change of the live heap due to build, with its result kept alive.
func heapOf(build func() any) float64 {
	before := heap()
	kept := build()
	after := heap()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func heap() uint64 {
	var stats runtime.MemStats
	// The second collection frees what finalizers and pools kept alive through the first.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// put stores a cost under a name.
func (c cost) put(figures map[string]float64, name string) {
	figures[name+"_cpu_us"] = c.cpuUS
	figures[name+"_bytes"] = c.bytes
	figures[name+"_allocations"] = c.allocations
}
