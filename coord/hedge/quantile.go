package hedge

import (
	"math"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// warmUp is the number of observations before an estimate is given.
	warmUp = 16
	// firstFactor times the median of the first observations is where an estimate begins. The highest of them would be
	// a straggler in 15 of 100 cases, and the estimate falls slowly.
	firstFactor = 2
	// settledAfter is the number of observations after which an estimate has left its first value behind.
	settledAfter = 256
	// step is the largest relative change of the estimate by one observation.
	step = 0.1
)

// Quantile estimates one quantile of a stream of latencies in constant memory: an observation above the estimate
// raises it and one below lowers it, in steps whose sizes balance at the quantile. Steps are relative, so the estimate
// follows a change of scale in either direction. It is safe for concurrent use and takes no lock.
type Quantile struct {
	seen     atomic.Int64
	first    [warmUp]atomic.Int64
	estimate atomic.Uint64
}

// Value returns the estimate and whether enough was observed.
func (q *Quantile) Value() (time.Duration, bool) {
	estimate := q.estimate.Load()
	return time.Duration(math.Float64frombits(estimate)), estimate != 0
}

// Settled reports whether so much was observed that the first value does not matter any more.
func (q *Quantile) Settled() bool { return q.seen.Load() >= settledAfter }

// Observe adds a latency, for the quantile p between 0 and 1.
func (q *Quantile) Observe(p float64, latency time.Duration) {
	if q.seen.Load() < settledAfter {
		if n := q.seen.Add(1); n <= warmUp {
			q.begin(n, latency)
			return
		}
	}
	for {
		old := q.estimate.Load()
		if old == 0 {
			// Another observer is about to store the first value.
			return
		}
		next := advance(p, math.Float64frombits(old), float64(latency))
		if q.estimate.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// begin stores the n-th of the first observations; the last one sets the first value.
func (q *Quantile) begin(n int64, latency time.Duration) {
	q.first[n-1].Store(int64(latency))
	if n < warmUp {
		return
	}
	var sorted [warmUp]int64
	for i := range sorted {
		sorted[i] = q.first[i].Load()
	}
	slices.Sort(sorted[:])
	q.estimate.Store(math.Float64bits(max(firstFactor*float64(sorted[warmUp/2]), 1)))
}

// ObserveAtLeast adds a latency that was cut short: it counts only when it is above the estimate already, because
// below it nothing is known.
func (q *Quantile) ObserveAtLeast(p float64, latency time.Duration) {
	if value, ok := q.Value(); ok && latency > value {
		q.Observe(p, latency)
	}
}

func advance(p, current, latency float64) float64 {
	if latency > current {
		return current * (1 + step*p)
	}
	return current * (1 - step*(1-p))
}
