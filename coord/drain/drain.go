// Package drain determines when an upstream is draining and when it accepts work again.
package drain

import "time"

// ReturnAfter is the time after the last draining signal from which a healthy health endpoint alone ends draining. The
// health endpoint lags and may never have reported the draining.
const ReturnAfter = 60 * time.Second

// Change is the effect of a signal.
type Change int

// Changes.
const (
	Unchanged Change = iota
	// Began means that the upstream started draining: it receives no new work.
	Began
	// Ended means that the upstream accepts work again.
	Ended
)

// Tracker is the owner's drain state of an upstream. The first draining signal of any kind stops new work. A Tracker is
// not safe for concurrent use. The zero value is an upstream that accepts work.
type Tracker struct {
	draining bool
	// lastSignal is the time of the last draining signal.
	lastSignal time.Time
	// healthReported is set when the health endpoint reported the draining, processEnded when the upstream refused a
	// connection while draining.
	healthReported, processEnded bool
}

// Draining reports whether the upstream receives no new work.
func (t *Tracker) Draining() bool { return t.draining }

// Answered handles an answer of the upstream to a sub-request, or a draining signal that another VM forwarded.
func (t *Tracker) Answered(now time.Time, draining bool) Change {
	if !draining {
		// The sub-request may have begun before the draining, so its answer is no evidence that new work is accepted.
		return Unchanged
	}
	return t.begin(now)
}

// Health handles a response of the health endpoint.
func (t *Tracker) Health(now time.Time, draining bool) Change {
	if draining {
		t.healthReported = true
		return t.begin(now)
	}
	if !t.draining || (!t.healthReported && !t.processEnded && now.Sub(t.lastSignal) < ReturnAfter) {
		return Unchanged
	}
	*t = Tracker{}
	return Ended
}

// ProcessEnded handles a refused connection: the process that was draining has ended.
func (t *Tracker) ProcessEnded() { t.processEnded = t.draining }

func (t *Tracker) begin(now time.Time) Change {
	t.lastSignal = now
	if t.draining {
		return Unchanged
	}
	t.draining = true
	return Began
}
