// Package eject excludes replicas that perform much worse than their group from selection, each time for longer, but never
// more than half of a group.
package eject

import (
	"slices"
	"time"

	"gooseberrylane.example/core"
)

// Settings of a Policy.
type Settings struct {
	// ConsecutiveFailures is the number of consecutive failed attempts after which a replica is ejected. Default 5.
	ConsecutiveFailures int64 `json:"failures_in_row" validate:"gte=1,lte=1000"`
	// SlowFactor is the ratio of a replica's mean latency to the median of the others above which it is ejected. Default 5.
	SlowFactor float64 `json:"slow_factor" validate:"gte=1.5,lte=1000"`
	// SlowFloorMS is the mean latency below which no replica counts as slow, in milliseconds. Default 20.
	SlowFloorMS float64 `json:"slow_floor_ms" validate:"gte=0,lte=60000"`
	// BaseMS is the duration of the first ejection, in milliseconds; each further one is twice as long. Default 2000.
	BaseMS int64 `json:"base_ms" validate:"gte=1,lte=600000"`
	// MaxMS limits the duration of an ejection, in milliseconds. Default 120000.
	MaxMS int64 `json:"max_ms" validate:"gte=1,lte=3600000"`
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{ConsecutiveFailures: 5, SlowFactor: 5, SlowFloorMS: 20, BaseMS: 2000, MaxMS: 120_000}
}

// Policy decides on ejections. It keeps its state in core.UpstreamState, whose fields are atomics, and is safe for
// concurrent use.
type Policy struct{ settings Settings }

// New returns a policy.
func New(settings Settings) *Policy { return &Policy{settings: settings} }

// IsEjected reports whether an upstream is ejected.
func IsEjected(now time.Time, state *core.UpstreamState) bool {
	return state.EjectedUntil.Load() > now.UnixNano()
}

// isFailure reports whether a result counts as a failure of the upstream. Refusals do not: the upstream is busy, draining
// or at another version. Neither does a cancelled attempt.
func isFailure(code core.Code) bool {
	switch code {
	case core.CodeUpstreamError, core.CodeConnectionLost, core.CodeConnectFailed, core.CodeDeadlineExceeded:
		return true
	default:
		return false
	}
}

// Observe records one result and ejects its upstream if that performs much worse than its group.
func (p *Policy) Observe(now time.Time, view *core.View, group *core.Group, id core.UpstreamID, code core.Code) {
	state := view.State(id)
	if state == nil || group == nil {
		return
	}
	switch {
	case code == core.CodeOK:
		p.recordSuccess(now, state)
	case isFailure(code):
		state.ConsecutiveFailures.Add(1)
	default:
		return
	}
	if p.isOutlier(view, group, id, state) && !IsEjected(now, state) {
		p.eject(now, view, group, state)
	}
}

// recordSuccess resets the count of consecutive failures. It also resets the count of ejections once the time since the
// end of the last ejection exceeds the duration of that ejection.
func (p *Policy) recordSuccess(now time.Time, state *core.UpstreamState) {
	if state.ConsecutiveFailures.Load() != 0 {
		state.ConsecutiveFailures.Store(0)
	}
	count := state.Ejections.Load()
	if count == 0 {
		return
	}
	stable := time.Unix(0, state.EjectedUntil.Load()).Add(p.duration(count))
	if now.After(stable) {
		state.Ejections.CompareAndSwap(count, 0)
	}
}

// duration returns the duration of the n-th ejection.
func (p *Policy) duration(n int64) time.Duration {
	ms := p.settings.BaseMS
	for i := int64(1); i < n && ms < p.settings.MaxMS; i++ {
		ms *= 2
	}
	return time.Duration(min(ms, p.settings.MaxMS)) * time.Millisecond
}

func (p *Policy) isOutlier(view *core.View, group *core.Group, id core.UpstreamID, state *core.UpstreamState) bool {
	return state.ConsecutiveFailures.Load() >= p.settings.ConsecutiveFailures || p.isSlow(view, group, id, state)
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

// eject ejects one replica unless more than half of the group would be ejected. If most of the group are outliers, the
// cause is not a single replica, and all ejections are cleared.
func (p *Policy) eject(now time.Time, view *core.View, group *core.Group, state *core.UpstreamState) {
	outliers := 0
	for i := range group.Upstreams {
		id := group.Upstreams[i].ID
		if other := view.State(id); other != nil && (IsEjected(now, other) || p.isOutlier(view, group, id, other)) {
			outliers++
		}
	}
	if 2*outliers > len(group.Upstreams) {
		clearEjections(view, group)
		return
	}
	old := state.EjectedUntil.Load()
	until := now.Add(p.duration(state.Ejections.Load() + 1)).UnixNano()
	if !state.EjectedUntil.CompareAndSwap(old, until) {
		return
	}
	state.Ejections.Add(1)
	// One failure after the ejection causes the next one. Latency is measured anew during a slow start.
	state.ConsecutiveFailures.Store(p.settings.ConsecutiveFailures - 1)
	state.ResetLatency()
	state.FirstUsed.Store(0)
	// Two concurrent ejections can together exceed half of the group; each of them is undone then.
	if 2*countEjected(now, view, group) > len(group.Upstreams) {
		state.EjectedUntil.CompareAndSwap(until, 0)
	}
}

func clearEjections(view *core.View, group *core.Group) {
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
