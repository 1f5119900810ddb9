// Package eject takes replicas that perform much worse than their group out of selection for a growing time, but never
// more than half of a group.
package eject

import (
	"slices"
	"time"

	"gooseberrylane.example/core"
)

// Settings of a Policy.
type Settings struct {
	// FailuresInRow is the number of failed attempts in a row that eject a replica. Default 5.
	FailuresInRow int64 `json:"failures_in_row" validate:"gte=1,lte=1000"`
	// SlowFactor ejects a replica whose mean latency is this many times the median of the others. Default 5.
	SlowFactor float64 `json:"slow_factor" validate:"gte=1.5,lte=1000"`
	// SlowFloorMS is the mean latency below which no replica counts as slow, in milliseconds. Default 20.
	SlowFloorMS float64 `json:"slow_floor_ms" validate:"gte=0,lte=60000"`
	// BaseMS is the length of the first ejection, in milliseconds; each further one is twice as long. Default 2000.
	BaseMS int64 `json:"base_ms" validate:"gte=1,lte=600000"`
	// MaxMS bounds the length of an ejection, in milliseconds. Default 120000.
	MaxMS int64 `json:"max_ms" validate:"gte=1,lte=3600000"`
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{FailuresInRow: 5, SlowFactor: 5, SlowFloorMS: 20, BaseMS: 2000, MaxMS: 120_000}
}

// Policy decides on ejections. It keeps its state in the observed states of the upstreams, whose fields are atomics,
// and is safe for concurrent use.
type Policy struct{ settings Settings }

// New returns a policy.
func New(settings Settings) *Policy { return &Policy{settings: settings} }

// IsEjected reports whether an upstream is ejected.
func IsEjected(now time.Time, state *core.UpstreamState) bool {
	return state.EjectedUntil.Load() > now.UnixNano()
}

// isFailure reports whether a result counts against the upstream. Refusals say that it is busy, leaving or at another
// version, and a cancelled attempt says nothing.
func isFailure(code core.Code) bool {
	switch code {
	case core.CodeUpstreamError, core.CodeConnectionLost, core.CodeConnectFailed, core.CodeDeadlineExceeded:
		return true
	default:
		return false
	}
}

// Observe learns from one result and ejects its upstream if that performs much worse than its group.
func (p *Policy) Observe(now time.Time, view *core.View, group *core.Group, id core.UpstreamID, code core.Code) {
	state := view.State(id)
	if state == nil || group == nil {
		return
	}
	switch {
	case code == core.CodeOK:
		p.succeeded(now, state)
	case isFailure(code):
		state.FailuresInRow.Add(1)
	default:
		return
	}
	if p.looksBad(view, group, id, state) && !IsEjected(now, state) {
		p.eject(now, view, group, state)
	}
}

// succeeded ends a row of failures. The count of ejections restarts after a time without one as long as the last.
func (p *Policy) succeeded(now time.Time, state *core.UpstreamState) {
	if state.FailuresInRow.Load() != 0 {
		state.FailuresInRow.Store(0)
	}
	count := state.Ejections.Load()
	if count == 0 {
		return
	}
	stable := time.Unix(0, state.EjectedUntil.Load()).Add(p.length(count))
	if now.After(stable) {
		state.Ejections.CompareAndSwap(count, 0)
	}
}

// length returns how long the n-th ejection lasts.
func (p *Policy) length(n int64) time.Duration {
	length := p.settings.BaseMS
	for i := int64(1); i < n && length < p.settings.MaxMS; i++ {
		length *= 2
	}
	return time.Duration(min(length, p.settings.MaxMS)) * time.Millisecond
}

func (p *Policy) looksBad(view *core.View, group *core.Group, id core.UpstreamID, state *core.UpstreamState) bool {
	return state.FailuresInRow.Load() >= p.settings.FailuresInRow || p.isSlow(view, group, id, state)
}

func (p *Policy) isSlow(view *core.View, group *core.Group, id core.UpstreamID, state *core.UpstreamState) bool {
	mean := state.Latency()
	if float64(mean) < p.settings.SlowFloorMS*float64(time.Millisecond) {
		return false
	}
	others := make([]time.Duration, 0, len(group.Upstreams))
	for i := range group.Upstreams {
		if other := view.State(group.Upstreams[i].ID); group.Upstreams[i].ID != id && other != nil && other.Latency() > 0 {
			others = append(others, other.Latency())
		}
	}
	if len(others) == 0 {
		return false
	}
	slices.Sort(others)
	return float64(mean) > p.settings.SlowFactor*float64(others[len(others)/2])
}

// eject ejects one replica unless the floor forbids it. When most of the group looks bad, the cause is not a single
// replica, and all come back.
func (p *Policy) eject(now time.Time, view *core.View, group *core.Group, state *core.UpstreamState) {
	bad := 0
	for i := range group.Upstreams {
		id := group.Upstreams[i].ID
		if other := view.State(id); other != nil && (IsEjected(now, other) || p.looksBad(view, group, id, other)) {
			bad++
		}
	}
	if 2*bad > len(group.Upstreams) {
		restore(view, group)
		return
	}
	old := state.EjectedUntil.Load()
	until := now.Add(p.length(state.Ejections.Load() + 1)).UnixNano()
	if !state.EjectedUntil.CompareAndSwap(old, until) {
		return
	}
	state.Ejections.Add(1)
	// One more failure after the ejection is enough for the next; latency is learned anew from a slow start.
	state.FailuresInRow.Store(p.settings.FailuresInRow - 1)
	state.ResetLatency()
	state.FirstUsed.Store(0)
	// Two ejections at the same time can break the floor together; each takes itself back then.
	if 2*countEjected(now, view, group) > len(group.Upstreams) {
		state.EjectedUntil.CompareAndSwap(until, 0)
	}
}

func restore(view *core.View, group *core.Group) {
	for i := range group.Upstreams {
		if state := view.State(group.Upstreams[i].ID); state != nil && state.EjectedUntil.Load() != 0 {
			state.EjectedUntil.Store(0)
		}
	}
}

func countEjected(now time.Time, view *core.View, group *core.Group) int {
	n := 0
	for i := range group.Upstreams {
		if state := view.State(group.Upstreams[i].ID); state != nil && IsEjected(now, state) {
			n++
		}
	}
	return n
}
