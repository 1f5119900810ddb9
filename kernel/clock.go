package kernel

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Clock returns the current time. Tests replace it.
type Clock interface {
	Now() time.Time
}

// SystemClock reads the wall clock once, at the start of the process, and advances by the monotonic clock from then on.
// Comparisons of its times are therefore not affected when the wall clock is set.
type SystemClock struct{}

var processStart = time.Now()

// Now implements Clock.
func (SystemClock) Now() time.Time { return processStart.Add(time.Since(processStart)) }

// Random creates independent random number generators. It is safe for concurrent use and takes no lock.
type Random struct {
	seed    uint64
	counter atomic.Uint64
}

// NewRandom returns a source with the given seed, or with a random seed for 0.
func NewRandom(seed uint64) *Random {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &Random{seed: seed}
}

// Generator returns a new generator for use by one goroutine.
func (r *Random) Generator() *rand.Rand {
	return rand.New(rand.NewPCG(r.seed, r.counter.Add(1)))
}

// Sleep waits for the given duration or until ctx ends.
func Sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
