package standard

import (
	"context"
	"time"

	"gooseberrylane.example/core"
)

const (
	drainPollInterval = time.Second
	drainPollTimeout  = 500 * time.Millisecond
)

// start begins polling the owners of draining upstreams. Only the owner can detect that an upstream accepts work again,
// because no other VM may send to it.
func (e *engine) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	e.background.Go(func() { e.pollDrainingLoop(ctx) })
	return nil
}

func (e *engine) shutdown(context.Context) error {
	e.stop()
	e.background.Wait()
	return nil
}

func (e *engine) pollDrainingLoop(ctx context.Context) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.pollDraining(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// pollDraining requests the state of draining upstreams from their owners, and readmits those that no longer drain.
func (e *engine) pollDraining(ctx context.Context) {
	view := e.State.Load()
	ctx, cancel := context.WithTimeout(ctx, drainPollTimeout)
	defer cancel()
	until := e.Clock.Now().Add(drainPollTimeout)
	var attempts []core.Attempt
	upstreamOf := make(map[core.AttemptID]core.UpstreamID)
	for id, state := range view.Upstreams.All() {
		if state.DrainSince.Load() == 0 || view.Ownership.Held[id] {
			continue
		}
		attempt := core.Attempt{ID: e.nextAttempt(), Upstream: id, NotAfter: until, Idempotent: true}
		attempts = append(attempts, attempt)
		upstreamOf[attempt.ID] = id
	}
	if len(attempts) == 0 {
		return
	}
	results := make(chan core.AttemptResult, len(attempts))
	e.Dispatcher.Send(ctx, attempts, func(r core.AttemptResult) { results <- r })
	for range attempts {
		select {
		case r := <-results:
			if answered := r.Code == core.CodeVersionMissing && r.Window.Newest != 0; answered && !r.Draining {
				readmit(view.State(upstreamOf[r.Attempt]))
			}
		case <-ctx.Done():
			return
		}
	}
}

// readmit lets an upstream receive work again. It may be a new process, so its latency is reset and slow start applies.
func readmit(state *core.UpstreamState) {
	state.ResetLatency()
	state.FirstUsed.Store(0)
	state.DrainSince.Store(0)
}
