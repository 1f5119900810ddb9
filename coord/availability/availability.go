// Package availability decides whether an upstream may get a request after what its own answers announced: that it is
// leaving, or that it wants no requests for some time. It answers the load of upstreams that are full or being replaced.
package availability

import (
	"time"

	"gooseberrylane.example/core"
)

// MaxPause bounds the pause that an upstream can ask for in one answer, so that one wrong number does not exclude it for long.
const MaxPause = 10 * time.Minute

// Status is whether an upstream may get a request.
type Status int

// Statuses.
const (
	// Usable means that nothing was announced.
	Usable Status = iota
	// Leaving means that the upstream announced that it is leaving. It may get a request only if no other replica can
	// serve it.
	Leaving
	// Paused means that the upstream asked for a pause that has not ended.
	Paused
	// Left means that the upstream announced that it is leaving longer than the limit ago. It gets no requests.
	Left
)

// String returns the name of the status in logs.
func (s Status) String() string { return [...]string{"usable", "leaving", "paused", "left"}[s] }

// Policy holds the limits.
type Policy struct {
	// LeavingLimit is the time after the first announcement from which a leaving upstream gets no requests.
	LeavingLimit time.Duration
}

// Status returns the status of an upstream. Call it when an upstream is chosen and again immediately before the request is
// written, because opening a connection takes time.
func (p Policy) Status(now time.Time, state *core.UpstreamState) Status {
	since := state.LeavingSince.Load()
	switch {
	case since != 0 && now.UnixNano()-since >= int64(p.LeavingLimit):
		return Left
	case now.UnixNano() < state.PausedUntil.Load():
		return Paused
	case since != 0:
		return Leaving
	default:
		return Usable
	}
}

// NextAt returns when the pause of an upstream ends: now if it may get requests, zero if it has left.
func (p Policy) NextAt(now time.Time, state *core.UpstreamState) time.Time {
	switch p.Status(now, state) {
	case Left:
		return time.Time{}
	case Paused:
		return time.Unix(0, state.PausedUntil.Load())
	default:
		return now
	}
}

// Announced says what an answer announced for the first time.
type Announced struct{ Leaving, Pause bool }

// Observe records what an answer of the upstream announced. Answers may arrive in any order: the earliest announcement of
// leaving and the latest end of a pause hold.
func Observe(now time.Time, state *core.UpstreamState, reply *core.Reply) Announced {
	var announced Announced
	if reply.Leaving {
		announced.Leaving = MarkLeaving(now, state)
	}
	if reply.Pause > 0 {
		announced.Pause = pauseUntil(state, now.Add(min(reply.Pause, MaxPause)).UnixNano())
	}
	return announced
}

// MarkLeaving records an announcement of leaving and reports whether it is the first one.
func MarkLeaving(since time.Time, state *core.UpstreamState) bool {
	for {
		old := state.LeavingSince.Load()
		if old != 0 && old <= since.UnixNano() {
			return false
		}
		if state.LeavingSince.CompareAndSwap(old, since.UnixNano()) {
			return old == 0
		}
	}
}

// pauseUntil extends the pause and reports whether it did.
func pauseUntil(state *core.UpstreamState, until int64) bool {
	for {
		old := state.PausedUntil.Load()
		if old >= until {
			return false
		}
		if state.PausedUntil.CompareAndSwap(old, until) {
			return true
		}
	}
}
