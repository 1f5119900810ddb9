// Package circuit decides when calls to a failing dependency may be tried again.
package circuit

import (
	"math/rand/v2"
	"time"
)

// Bounds of the back-off.
const (
	// FailuresToOpen is the number of failures in a row that open the circuit.
	FailuresToOpen = 3
	// FirstBackoff is the mean time until the first trial call.
	FirstBackoff = 200 * time.Millisecond
	// MaxBackoff bounds the mean time between trial calls.
	MaxBackoff = 5 * time.Second
)

// Breaker is the circuit for one dependency. It lets calls through while closed; after FailuresToOpen failures in a
// row it lets one trial call through after each back-off, until one succeeds. It is not safe for concurrent use.
type Breaker struct {
	failures int
	backoff  time.Duration
	retryAt  time.Time
	trial    bool
}

// Allow reports whether a call may be made now. The caller must report its end with Success or Failure.
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

// Success reports a call that the dependency answered. It closes the circuit.
func (b *Breaker) Success() { *b = Breaker{} }

// Failure reports a call that the dependency did not answer. The back-off doubles and is spread by half of itself in
// both directions, so that processes do not come back together.
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
