// Package slots is the plug-in that runs attempts on the upstreams that this VM holds, within the limits on their slots
// and connections.
package slots

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.ExecutorKind, Name: "slots",
		Settings: func() any {
			return &Settings{QueuePerSlot: defaultQueuePerSlot, ProbeIntervalMS: defaultProbeIntervalMS}
		},
		Options: func(s any) fx.Option {
			return fx.Provide(func(lc fx.Lifecycle, p params) kinds.Executor { return newExecutor(lc, p, s.(*Settings)) })
		},
	})
}

const (
	defaultQueuePerSlot    = 16
	defaultProbeIntervalMS = 1000
	// connectionShare is the fraction of an upstream's connection limit that one owner uses. The rest is left for
	// connections of the previous owner that the upstream has not closed yet.
	connectionShare = 0.5
	// controlConnections is the number of connections for cancellations and probes, in addition to one per slot.
	controlConnections = 2
	probeTimeout       = 500 * time.Millisecond
)

// Settings of the plug-in.
type Settings struct {
	// QueuePerSlot is the maximum number of requests waiting for an upstream, per slot. Default 16.
	QueuePerSlot int `json:"queue_per_slot" validate:"gte=0,lte=10000"`
	// ProbeIntervalMS is the time between probes of the index window of a held upstream, in milliseconds. Default 1000.
	ProbeIntervalMS int64 `json:"probe_interval_ms" validate:"gte=10,lte=60000"`
}

type params struct {
	fx.In
	State     *kernel.State
	Transport kinds.Transport
	Clock     kernel.Clock
	Log       *slog.Logger
}

type executor struct {
	params
	settings *Settings
	// targets is copied on write under mu; requests load it without a lock.
	targets atomic.Pointer[map[core.UpstreamID]*target]
	mu      sync.Mutex
	// releasing holds the released targets with work in flight; mu guards it.
	releasing map[core.UpstreamID][]*target
	// base is cancelled when the executor stops.
	base       context.Context
	stop       context.CancelFunc
	background sync.WaitGroup
}

func newExecutor(lc fx.Lifecycle, p params, settings *Settings) *executor {
	e := &executor{params: p, settings: settings, releasing: make(map[core.UpstreamID][]*target)}
	e.base, e.stop = context.WithCancel(context.Background())
	e.targets.Store(&map[core.UpstreamID]*target{})
	lc.Append(fx.Hook{OnStart: e.start, OnStop: e.shutdown})
	return e
}

func (e *executor) start(context.Context) error {
	e.background.Go(func() { e.reconcileLoop(e.base) })
	return nil
}

func (e *executor) shutdown(context.Context) error {
	e.stop()
	e.background.Wait()
	for _, t := range *e.targets.Load() {
		t.pool.Close()
	}
	return nil
}

// reconcileLoop opens and releases targets when the view changes, and probes the upstreams periodically.
func (e *executor) reconcileLoop(ctx context.Context) {
	probe := time.NewTicker(time.Duration(e.settings.ProbeIntervalMS) * time.Millisecond)
	defer probe.Stop()
	for {
		changed := e.State.Changed()
		e.reconcile()
		select {
		case <-changed:
		case <-probe.C:
			e.probeAll(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// reconcile opens a target for each upstream that this VM holds according to the view, and releases all others.
func (e *executor) reconcile() {
	e.mu.Lock()
	defer e.mu.Unlock()
	// A view loaded before taking the lock could be older than a release.
	view := e.State.Load()
	current := *e.targets.Load()
	next := make(map[core.UpstreamID]*target, len(view.Ownership.Held))
	changed := false
	for id := range view.Ownership.Held {
		upstream := view.Config.Upstream(id)
		if upstream == nil {
			continue
		}
		if t := current[id]; t != nil && t.upstream.Address == upstream.Address && t.upstream.Slots == upstream.Slots && t.upstream.Connections == upstream.Connections {
			next[id] = t
			continue
		}
		t := e.open(*upstream)
		next[id] = t
		changed = true
		e.background.Go(func() { e.warm(e.base, t) })
	}
	if !changed && len(next) == len(current) {
		return
	}
	e.targets.Store(&next)
	for id, t := range current {
		if next[id] != t {
			e.release(t)
		}
	}
}

// release drains a target in the background. The caller holds mu.
func (e *executor) release(t *target) {
	id := t.upstream.ID
	e.releasing[id] = append(e.releasing[id], t)
	e.background.Go(func() {
		// The wait ends early only when the executor shuts down.
		_ = t.release(e.base)
		close(t.drained)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.releasing[id] = slices.DeleteFunc(e.releasing[id], func(other *target) bool { return other == t })
		if len(e.releasing[id]) == 0 {
			delete(e.releasing, id)
		}
	})
}

func (e *executor) open(upstream core.Upstream) *target {
	limit := max(int(float64(upstream.Connections)*connectionShare), 1)
	t := newTarget(upstream, e.Transport.Open(upstream, limit), e.Clock, e.settings.QueuePerSlot)
	t.usable = func() bool { return e.usable(upstream.ID) }
	if state := e.State.Load().State(upstream.ID); state != nil && state.DrainSince.Load() != 0 {
		// The draining was reported by another VM before this one held the upstream.
		e.onDrainingAnswer(t)
	}
	return t
}

// warm opens connections in advance and fetches the index window.
func (e *executor) warm(ctx context.Context, t *target) {
	t.pool.Warm(ctx, e.warmConnections(t))
	e.probe(ctx, t)
}

func (e *executor) warmConnections(t *target) int {
	return min(t.upstream.Slots+controlConnections, t.upstream.Connections)
}

func (e *executor) probeAll(ctx context.Context) {
	for _, t := range *e.targets.Load() {
		e.background.Go(func() { e.probe(ctx, t) })
	}
}

func (e *executor) probe(ctx context.Context, t *target) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	result, err := t.pool.Probe(ctx)
	if err != nil {
		e.onHealth(t, false, result.Code == core.CodeConnectFailed)
		return
	}
	e.onHealth(t, result.Draining, false)
	if t.drain.active() {
		t.pool.CloseIdle()
	}
	if state := e.State.Load().State(t.upstream.ID); state != nil {
		state.SetWindow(result.Window)
	}
}

// Execute implements kinds.Executor.
func (e *executor) Execute(ctx context.Context, attempt core.Attempt) core.AttemptResult {
	t := e.target(attempt.Upstream)
	if t == nil {
		return e.notOwner(attempt)
	}
	if attempt.Version == 0 {
		return e.reportWindow(ctx, t, attempt)
	}
	if upstream := e.State.Load().Config.Upstream(attempt.Upstream); upstream != nil && upstream.Draining {
		return core.AttemptResult{Attempt: attempt.ID, Outcome: core.OutcomeNotRun, Code: core.CodeDraining}
	}
	result := t.execute(ctx, &attempt)
	if result.Code == core.CodeNotOwner {
		return e.notOwner(attempt)
	}
	if result.Draining || result.Code == core.CodeDraining {
		e.onDrainingAnswer(t)
	}
	if state := e.State.Load().State(attempt.Upstream); state != nil {
		observeWindow(state, &attempt, &result)
	}
	return result
}

func observeWindow(state *core.UpstreamState, attempt *core.Attempt, result *core.AttemptResult) {
	if result.Code == core.CodeVersionMissing {
		state.SetWindowAfterMiss(attempt.Version, result.Window)
		return
	}
	state.SetWindow(result.Window)
}

func (e *executor) usable(id core.UpstreamID) bool {
	return e.State.Load().Ownership.MaySend(id, e.Clock.Now())
}

// target returns the target of an upstream that this VM may use now, or nil.
func (e *executor) target(id core.UpstreamID) *target {
	if !e.usable(id) {
		return nil
	}
	if t := (*e.targets.Load())[id]; t != nil {
		return t
	}
	// The reconcile loop may not have opened the target of a newly held upstream yet.
	e.reconcile()
	return (*e.targets.Load())[id]
}

// notOwner refuses an attempt and names the assumed owner. A VM that holds the upstream but must not use it now names
// no owner.
func (e *executor) notOwner(attempt core.Attempt) core.AttemptResult {
	result := core.AttemptResult{Attempt: attempt.ID, Outcome: core.OutcomeNotRun, Code: core.CodeNotOwner}
	if ownership := e.State.Load().Ownership; !ownership.Held[attempt.Upstream] {
		result.Owner = ownership.Owner.Value(attempt.Upstream)
	}
	return result
}

// reportWindow answers an attempt without a version: it returns the window of index versions and the draining state,
// and runs nothing. It probes the upstream if its window is unknown.
func (e *executor) reportWindow(ctx context.Context, t *target, attempt core.Attempt) core.AttemptResult {
	result := core.AttemptResult{Attempt: attempt.ID, Outcome: core.OutcomeNotRun, Code: core.CodeVersionMissing}
	state := e.State.Load().State(attempt.Upstream)
	if state == nil {
		return result
	}
	if state.Window().Newest == 0 {
		e.probe(ctx, t)
	}
	result.Window = state.Window()
	result.Draining = t.drain.active()
	return result
}

// Release implements kinds.Executor.
func (e *executor) Release(ctx context.Context, id core.UpstreamID) error {
	e.mu.Lock()
	current := *e.targets.Load()
	if t := current[id]; t != nil {
		next := maps.Clone(current)
		delete(next, id)
		e.targets.Store(&next)
		e.release(t)
	}
	releasing := slices.Clone(e.releasing[id])
	e.mu.Unlock()
	for _, t := range releasing {
		select {
		case <-t.drained:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
