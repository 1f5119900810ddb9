package hedge

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// minObservations is the number of observations before an estimate is returned. The first estimate is initialFactor
	// times their geometric mean, which one straggler hardly changes; their maximum would keep the estimate too high for
	// thousands of observations.
	minObservations = 16
	initialFactor   = 2
	// settledObservations is the number of observations after which the steps have their final size.
	settledObservations = 160
	// initialStep and finalStep are the maximum relative change of the estimate per observation, initially and once settled.
	initialStep = 0.5
	finalStep   = 0.1
)

// Quantile estimates one quantile of a stream of latencies in constant memory: an observation above the estimate raises
// it and one below lowers it, in steps whose sizes balance at the quantile. The steps are relative, so the estimate
// follows latency changes of any scale in either direction. It is safe for concurrent use and lock-free.
type Quantile struct {
	seen     atomic.Int64
	estimate atomic.Uint64
}

// Observations returns the number of observations, counted up to settledObservations.
func (q *Quantile) Observations() int { return int(q.seen.Load()) }

// Value returns the estimate and whether there were enough observations for one.
func (q *Quantile) Value() (time.Duration, bool) {
	if q.seen.Load() < minObservations {
		return 0, false
	}
	return time.Duration(math.Float64frombits(q.estimate.Load())), true
}

// Observe adds one latency to the estimate of quantile p, between 0 and 1.
func (q *Quantile) Observe(p float64, latency time.Duration) {
	seen := q.seen.Load()
	x := math.Max(float64(latency), 1)
	for {
		old := q.estimate.Load()
		next := math.Float64bits(advance(p, math.Float64frombits(old), x, seen))
		if q.estimate.CompareAndSwap(old, next) {
			break
		}
	}
	if seen < settledObservations {
		q.seen.Add(1)
	}
}

// ObserveAtLeast adds a lower bound of a latency. It is ignored below the estimate, because the latency itself may be above
// or below it.
func (q *Quantile) ObserveAtLeast(p float64, latency time.Duration) {
	if value, ok := q.Value(); ok && latency > value {
		q.Observe(p, latency)
	}
}

func advance(p, current, latency float64, seen int64) float64 {
	if current == 0 {
		return initialFactor * latency
	}
	if seen < minObservations {
		// This is the running geometric mean times initialFactor.
		return current * math.Pow(initialFactor*latency/current, 1/float64(seen+1))
	}
	size := finalStep
	if seen < settledObservations {
		size += (initialStep - finalStep) * float64(settledObservations-seen) / settledObservations
	}
	if latency > current {
		return current * (1 + size*p)
	}
	return current * (1 - size*(1-p))
}
