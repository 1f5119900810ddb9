package limit

import (
	"math"
	"sync/atomic"
	"time"
)

// estimateWeight is the weight of a new observation in the mean.
const estimateWeight = 0.1

// Estimate is a moving average of the time that one request takes. It is safe for concurrent use and lock-free.
type Estimate struct{ mean atomic.Uint64 }

// Observe adds one observed time.
func (e *Estimate) Observe(took time.Duration) {
	for {
		old := e.mean.Load()
		next := float64(took)
		if mean := math.Float64frombits(old); mean != 0 {
			next = mean + estimateWeight*(next-mean)
		}
		if e.mean.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// Mean returns the mean time, 0 if nothing was observed.
func (e *Estimate) Mean() time.Duration { return time.Duration(math.Float64frombits(e.mean.Load())) }

// CanFinish reports whether an item that is queued behind a number of items is expected to finish before its deadline, given
// that all slots are busy.
func (e *Estimate) CanFinish(now, deadline time.Time, ahead, slots int) bool {
	mean := e.Mean()
	wait := time.Duration(float64(mean) * float64(ahead+1) / float64(max(slots, 1)))
	return !now.Add(wait + mean).After(deadline)
}
