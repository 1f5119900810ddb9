// Package freshness decides whether reads of the platform's store may be stale. Stale reads are cheap and usually as new as current
// reads, but may begin to lag at any moment while all calls succeed. So the VMs compare what their stale reads show with the
// position of the store: one VM of the fleet reads it in a fixed rhythm and passes it on, and each VM that is not told about it in
// time reads it itself.
//
// The types have no I/O and are not safe for concurrent use. Positions are those of the history of the store; 0 is none.
package freshness

import "time"

// Settings are durations, all derived from the time within which a change of the store must be in force.
type Settings struct {
	// Period is the time after which the first VM of the fleet reads the position of the store again.
	Period time.Duration
	// Takeover is the additional time after which the next VM in the order reads it if it was not told.
	Takeover time.Duration
	// Spread is the range of a random delay of the VMs behind the first ones in the order.
	Spread time.Duration
	// AcceptedLag is the time after which stale reads must show a position that was current before.
	AcceptedLag time.Duration
	// RecheckAfter is the time after which stale reads that lagged are compared again.
	RecheckAfter time.Duration
	// CurrentWatch bounds a watch with current reads, so that a stale one follows soon after stale reads have caught up.
	CurrentWatch time.Duration
	// CallTimeout bounds one read of a position.
	CallTimeout time.Duration
}

// Parts of the time within which a change must be in force. A lag is found after at most
// 1/period + maxSteps/takeover + 1/spread + 1/acceptedLag = 0.78 of it; the rest covers the reads that follow.
const (
	periodsPerBound      = 3
	takeoversPerBound    = 30
	spreadsPerBound      = 15
	acceptedLagsPerBound = 4
	callTimeoutsPerBound = 5
	// rechecksPerBound is for the time between two comparisons of stale reads that lag. A comparison costs a tenth of the current
	// watch that it may save.
	rechecksPerBound = 2
	// boundsPerCurrentWatch is for the duration of a watch with current reads.
	boundsPerCurrentWatch = 4.0 / 3
)

// maxSteps is the number of Takeover periods that the last VMs in the order wait.
const maxSteps = 4

// NewSettings returns the settings for a time within which a change must be in force.
func NewSettings(bound time.Duration) Settings {
	return Settings{
		Period: bound / periodsPerBound, Takeover: bound / takeoversPerBound, Spread: bound / spreadsPerBound,
		AcceptedLag: bound / acceptedLagsPerBound, CallTimeout: bound / callTimeoutsPerBound,
		RecheckAfter: bound / rechecksPerBound, CurrentWatch: time.Duration(boundsPerCurrentWatch * float64(bound)),
	}
}

// MaxDetection is the longest time between a change of the store and the discovery that stale reads do not show it, without the
// duration of the reads.
func (s Settings) MaxDetection() time.Duration {
	return s.Period + maxSteps*s.Takeover + s.Spread + s.AcceptedLag
}

// Action is what a VM has to do next.
type Action int

// Actions.
const (
	// Wait until the returned time.
	Wait Action = iota
	// ReadCurrent reads the current position of the store and passes it on.
	ReadCurrent
	// ReadStale does a stale read of the position and records the result with RecordComparison.
	ReadStale
)

// Tracker is what one VM knows of the position of the store and of the lag of its stale reads.
type Tracker struct {
	settings Settings
	// current is the newest known position of the store, and currentAt the time at which it was still the newest.
	current   uint64
	currentAt time.Time
	// attemptedAt is the time of the last read of the position by this VM.
	attemptedAt time.Time
	// stale is the newest position that a stale read has shown.
	stale uint64
	// target is the position that stale reads must show at deadline; 0 while there is nothing to compare.
	target   uint64
	deadline time.Time
	// newerAt is the time at which a position after target became known, zero if there is none.
	newerAt time.Time
	// lagging is true while stale reads are known or expected to lag. No comparison is made before recheckAt.
	lagging   bool
	recheckAt time.Time
	// suspended is true from a read without an answer to the next one with an answer.
	suspended bool
}

// NewTracker returns a tracker that starts now and trusts stale reads. They are compared with the first position that it records.
func NewTracker(settings Settings, now time.Time) *Tracker {
	return &Tracker{settings: settings, currentAt: now}
}

// AllowStale reports whether stale reads may be used.
func (t *Tracker) AllowStale() bool { return !t.lagging }

// Newest returns the newest position of the store that this VM knows.
func (t *Tracker) Newest() uint64 { return max(t.current, t.stale) }

// Positions returns the newest known position of the store and the newest one that stale reads have shown.
func (t *Tracker) Positions() (current, stale uint64) { return t.current, t.stale }

// RecordCurrent records the position that a current read of this VM showed. For a single call, now is the time of its start.
func (t *Tracker) RecordCurrent(now time.Time, position uint64) {
	t.suspended = false
	if position < t.current {
		// Another VM passed on a position that the store does not have.
		t.current, t.target = position, min(t.target, position)
	}
	t.observe(now, position)
}

// RecordReport records the position that another VM has read. A report of an older position than the known one was delayed and
// shows nothing about the store as it is now.
func (t *Tracker) RecordReport(now time.Time, position uint64) {
	if position >= t.current {
		t.observe(now, position)
	}
}

func (t *Tracker) observe(now time.Time, position uint64) {
	t.current = position
	if now.After(t.currentAt) {
		t.currentAt = now
	}
	switch {
	case t.target != 0:
		if position > t.target && t.newerAt.IsZero() {
			t.newerAt = now
		}
	case t.lagging && now.Before(t.recheckAt):
	case t.lagging || position > t.stale:
		t.target, t.deadline, t.newerAt = position, now.Add(t.settings.AcceptedLag), time.Time{}
	}
}

// RecordStale records the position that a stale read showed. A watch that returned no position after the one that it started
// from shows nothing and must not be recorded.
func (t *Tracker) RecordStale(position uint64) {
	t.suspended = false
	t.stale = max(t.stale, position)
	if t.target == 0 || t.stale < t.target {
		return
	}
	t.lagging, t.target = false, 0
	if !t.newerAt.IsZero() && t.current > t.stale {
		t.target, t.deadline = t.current, t.newerAt.Add(t.settings.AcceptedLag)
	}
	t.newerAt = time.Time{}
}

// RecordComparison records the result of ReadStale: the position that the stale read showed.
func (t *Tracker) RecordComparison(now time.Time, stale uint64) {
	target := t.target
	if t.RecordStale(stale); target != 0 && t.stale < target {
		t.distrust(now.Add(t.settings.RecheckAfter))
	}
}

// RecordFailedComparison records that the store did not answer ReadStale. The comparison is repeated.
func (t *Tracker) RecordFailedComparison(now time.Time) { t.deadline = now.Add(t.settings.AcceptedLag) }

// RecordHistoryGone records that the store lost its history. Its stale reads then lag until a comparison shows otherwise.
func (t *Tracker) RecordHistoryGone(now time.Time) {
	t.stale = 0
	t.distrust(now)
}

func (t *Tracker) distrust(recheckAt time.Time) {
	t.lagging, t.recheckAt = true, recheckAt
	t.target, t.newerAt = 0, time.Time{}
}

// RecordUnavailable records that the store did not answer a read of this VM. The VM reads no position until the store has answered
// another read, and compares its stale reads again.
func (t *Tracker) RecordUnavailable() {
	t.suspended = true
	t.stale = 0
}

// RecordAttempt records that this VM starts to read the current position.
func (t *Tracker) RecordAttempt(now time.Time) { t.attemptedAt = now }

// Next returns what has to be done now, and for Wait until when. step is the place of this VM in the order (see Roles), and random
// a number from 0 to 1 that differs between VMs.
func (t *Tracker) Next(now time.Time, step int, random float64) (Action, time.Time) {
	if t.suspended {
		return Wait, now.Add(t.settings.RecheckAfter)
	}
	until := t.readAt(step, random)
	switch {
	case t.target != 0 && !now.Before(t.deadline):
		return ReadStale, now
	case !now.Before(until):
		return ReadCurrent, now
	}
	if t.target != 0 && t.deadline.Before(until) {
		until = t.deadline
	}
	return Wait, until
}

func (t *Tracker) readAt(step int, random float64) time.Time {
	delay := t.settings.Period + time.Duration(min(step, maxSteps))*t.settings.Takeover
	if step >= maxSteps {
		delay += time.Duration(random * float64(t.settings.Spread))
	}
	last := t.currentAt
	if t.attemptedAt.After(last) {
		last = t.attemptedAt
	}
	return last.Add(delay)
}
