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

// SystemClock reads the wall clock once, at the start of the process, and advances by the time that has passed since then.
// Comparisons of its times are therefore not affected when the wall clock is set. Unlike the monotonic clock, it also counts
// the time during which the machine was suspended: a lease, a pause or a budget runs out meanwhile.
//
// Its times must not be compared with those of time.Now, nor passed to context.WithDeadline, which would add the suspended time
// to a time limit; use WithDeadline.
type SystemClock struct{}

var processClock = newSuspendAwareClock(time.Now(), sinceBoot)

// Now implements Clock.
func (SystemClock) Now() time.Time { return processClock.at(time.Now()) }

// driftTolerance is the difference between the wall clock and the monotonic clock from which the time since boot is read. The
// difference grows by the time of a suspension or when the wall clock is set.
const driftTolerance = 10 * time.Millisecond

// suspendAwareClock adds the time of suspensions to the monotonic clock. Reading the time since boot takes a system call, so it
// does that only when the wall clock shows that there may have been a suspension.
type suspendAwareClock struct {
	start time.Time
	// boot returns the time since boot, suspensions included.
	boot      func() (time.Duration, error)
	startBoot time.Duration
	// drift is the difference between wall clock and monotonic clock at the last read, suspended the time of all
	// suspensions, both in nanoseconds since the start.
	drift, suspended atomic.Int64
}

func newSuspendAwareClock(start time.Time, boot func() (time.Duration, error)) *suspendAwareClock {
	c := &suspendAwareClock{start: start, boot: boot}
	var err error
	if c.startBoot, err = boot(); err != nil {
		// Without that clock, suspensions are not counted.
		c.boot = nil
	}
	return c
}

// at returns the time for a reading of the monotonic and the wall clock.
func (c *suspendAwareClock) at(reading time.Time) time.Time {
	elapsed := reading.Sub(c.start)
	return c.after(elapsed, reading.Round(0).Sub(c.start.Round(0)))
}

// after returns the time when the given times have passed by the monotonic and by the wall clock since the start.
func (c *suspendAwareClock) after(elapsed, wall time.Duration) time.Time {
	if drift := wall - elapsed; (drift - time.Duration(c.drift.Load())).Abs() > driftTolerance {
		c.readBoot(drift, elapsed)
	}
	return c.start.Add(elapsed + time.Duration(c.suspended.Load()))
}

func (c *suspendAwareClock) readBoot(drift, elapsed time.Duration) {
	if c.boot == nil {
		return
	}
	boot, err := c.boot()
	if err != nil {
		return
	}
	// A concurrent reader may have stored a later value. Less than the tolerance is the time between the two readings.
	if suspended := boot - c.startBoot - elapsed; suspended-time.Duration(c.suspended.Load()) > driftTolerance {
		storeMax(&c.suspended, int64(suspended))
	}
	c.drift.Store(int64(drift))
}

func storeMax(value *atomic.Int64, next int64) {
	for old := value.Load(); old < next; old = value.Load() {
		if value.CompareAndSwap(old, next) {
			return
		}
	}
}

// WithDeadline is context.WithDeadline for a time of a Clock.
func WithDeadline(ctx context.Context, clock Clock, deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, deadline.Sub(clock.Now()))
}

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
