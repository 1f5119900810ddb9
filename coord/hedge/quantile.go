package hedge

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// warmUp is the number of observations before an estimate is given. It begins at startFactor times their geometric
	// mean, which one straggler among them hardly changes; the highest of them would keep the estimate too high for
	// thousands of observations.
	warmUp      = 16
	startFactor = 2
	// settled is the number of observations after which the steps are at their final size.
	settled = 160
	// firstStep and step are the largest relative changes of the estimate by one observation, at first and finally.
	firstStep = 0.5
	step      = 0.1
)

// Quantile estimates one quantile of a stream of latencies in constant memory: an observation above the estimate
// raises it and one below lowers it, in steps whose sizes balance at the quantile. Steps are relative, so the estimate
// follows a change of scale in either direction. It is safe for concurrent use and takes no lock.
type Quantile struct {
	seen     atomic.Int64
	estimate atomic.Uint64
}

// Seen returns the number of observations, up to the number at which the estimate has settled.
func (q *Quantile) Seen() int { return int(q.seen.Load()) }

// Value returns the estimate and whether enough was observed.
func (q *Quantile) Value() (time.Duration, bool) {
	if q.seen.Load() < warmUp {
		return 0, false
	}
	return time.Duration(math.Float64frombits(q.estimate.Load())), true
}

// Observe adds a latency, for the quantile p between 0 and 1.
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
	if seen < settled {
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

func advance(p, current, latency float64, seen int64) float64 {
	if current == 0 {
		return startFactor * latency
	}
	if seen < warmUp {
		// The running geometric mean, times startFactor.
		return current * math.Pow(startFactor*latency/current, 1/float64(seen+1))
	}
	size := step
	if seen < settled {
		size += (firstStep - step) * float64(settled-seen) / settled
	}
	if latency > current {
		return current * (1 + size*p)
	}
	return current * (1 - size*(1-p))
}
