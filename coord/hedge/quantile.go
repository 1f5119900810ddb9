package hedge

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// warmUp is the number of observations before an estimate is given; it begins at the highest of them.
	warmUp = 16
	// step is the largest relative change of the estimate by one observation.
	step = 0.1
)

// Quantile estimates one quantile of a stream of latencies in constant memory: an observation above the estimate
// raises it and one below lowers it, in steps whose sizes balance at the quantile. Steps are relative, so the estimate
// follows a change of scale in either direction. It is safe for concurrent use and takes no lock.
type Quantile struct {
	seen     atomic.Int64
	estimate atomic.Uint64
}

// Value returns the estimate and whether enough was observed.
func (q *Quantile) Value() (time.Duration, bool) {
	if q.seen.Load() < warmUp {
		return 0, false
	}
	return time.Duration(math.Float64frombits(q.estimate.Load())), true
}

// Observe adds a latency, for the quantile p between 0 and 1.
func (q *Quantile) Observe(p float64, latency time.Duration) {
	warm := q.seen.Load() >= warmUp
	for {
		old := q.estimate.Load()
		current := math.Float64frombits(old)
		next := advance(p, current, float64(latency), warm)
		if next == current || q.estimate.CompareAndSwap(old, math.Float64bits(next)) {
			break
		}
	}
	if !warm {
		q.seen.Add(1)
	}
}

// ObserveAtLeast adds a latency that was cut short: it counts only when it is above the estimate already, because
// below it nothing is known.
func (q *Quantile) ObserveAtLeast(p float64, latency time.Duration) {
	if value, ok := q.Value(); ok && latency > value {
		q.Observe(p, latency)
	}
}

func advance(p, current, latency float64, warm bool) float64 {
	switch {
	case !warm:
		return max(current, latency)
	case latency > current:
		return current * (1 + step*p)
	default:
		return current * (1 - step*(1-p))
	}
}
