package kernel

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Clock tells the time. Tests replace it.
type Clock interface {
	Now() time.Time
}

// SystemClock is the clock of the operating system as it was at the start of the process, and from then on its steady
// clock: times that are compared do not change when the time of day is set.
type SystemClock struct{}

var processStart = time.Now()

// Now implements Clock.
func (SystemClock) Now() time.Time { return processStart.Add(time.Since(processStart)) }

// Random hands out independent random generators. It is safe for concurrent use and takes no lock.
type Random struct {
	seed    uint64
	counter atomic.Uint64
}

// NewRandom returns a source with a seed; seed 0 takes one from the operating system.
func NewRandom(seed uint64) *Random {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &Random{seed: seed}
}

// Generator returns a new generator for the use of one goroutine.
func (r *Random) Generator() *rand.Rand {
	return rand.New(rand.NewPCG(r.seed, r.counter.Add(1)))
}

// Pause waits for a time or until ctx ends.
func Pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
