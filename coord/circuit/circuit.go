// Package circuit implements a circuit breaker with exponential back-off.
package circuit

import (
	"math/rand/v2"
	"time"
)

// Bounds of the back-off.
const (
	// FailuresToOpen is the number of consecutive failures that open the circuit.
	FailuresToOpen = 3
	// FirstBackoff is the mean time until the first trial call.
	FirstBackoff = 200 * time.Millisecond
	// MaxBackoff is the maximum of the mean time between trial calls.
	MaxBackoff = 5 * time.Second
)

// Breaker is the circuit breaker for one dependency. While closed it allows all calls; after FailuresToOpen consecutive
// failures it allows one trial call after each back-off, until one succeeds. It is not safe for concurrent use.
type Breaker struct {
	failures int
	backoff  time.Duration
	retryAt  time.Time
	// trial is set while a trial call is running.
	trial bool
}

// Allow reports whether a call may be made now. The caller must report its result with Success or Failure.
func (b *Breaker) Allow(now time.Time) bool {
	if b.failures < FailuresToOpen {
		return true
	}
	if b.trial || now.Before(b.retryAt) {
		return false
	}
	b.trial = true
	return true
}

// Success records a call that the dependency answered. It closes the circuit.
func (b *Breaker) Success() { *b = Breaker{} }

// Abandoned records a call whose caller did not wait for its result, which says nothing about the dependency.
func (b *Breaker) Abandoned() { b.trial = false }

// Failure records a call that the dependency did not answer. While the circuit is open, each failure doubles the
// back-off. A jitter of ±50 % keeps processes from retrying at the same time.
func (b *Breaker) Failure(now time.Time, random *rand.Rand) {
	b.trial = false
	b.failures++
	if b.failures < FailuresToOpen {
		return
	}
	b.backoff = min(max(2*b.backoff, FirstBackoff), MaxBackoff)
	b.retryAt = now.Add(time.Duration((0.5 + random.Float64()) * float64(b.backoff)))
}

// Open reports whether calls are being refused.
func (b *Breaker) Open() bool { return b.failures >= FailuresToOpen }
