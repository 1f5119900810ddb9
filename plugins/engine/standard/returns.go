package standard

import (
	"context"
	"time"

	"gooseberrylane.example/core"
)

const (
	// askReturnsEvery is how often the owners of draining upstreams are asked whether they take work again.
	askReturnsEvery = time.Second
	// returnsTimeout bounds the answer.
	returnsTimeout = 500 * time.Millisecond
)

// start begins to ask for upstreams that are back. Only their owners can see it, because nobody else may send to them.
func (e *engine) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	e.done.Go(func() { e.followReturns(ctx) })
	return nil
}

func (e *engine) shutdown(context.Context) error {
	e.stop()
	e.done.Wait()
	return nil
}

func (e *engine) followReturns(ctx context.Context) {
	ticker := time.NewTicker(askReturnsEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.askReturns(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// askReturns asks the owners of marked upstreams, and clears the marks of those that are back.
func (e *engine) askReturns(ctx context.Context) {
	view := e.State.Load()
	ctx, cancel := context.WithTimeout(ctx, returnsTimeout)
	defer cancel()
	until := e.Clock.Now().Add(returnsTimeout)
	var legs []core.Attempt
	upstreamOf := make(map[core.AttemptID]core.UpstreamID)
	for id, state := range view.Upstreams.All() {
		if state.DrainSince.Load() == 0 || view.Ownership.Held[id] {
			continue
		}
		leg := core.Attempt{ID: e.nextAttempt(), Upstream: id, NotAfter: until, Idempotent: true}
		legs = append(legs, leg)
		upstreamOf[leg.ID] = id
	}
	if len(legs) == 0 {
		return
	}
	results := make(chan core.AttemptResult, len(legs))
	e.Dispatcher.Send(ctx, legs, func(r core.AttemptResult) { results <- r })
	for range legs {
		select {
		case r := <-results:
			if told := r.Code == core.CodeVersionMissing && r.Window.Newest != 0; told && !r.Draining {
				takeBack(view.State(upstreamOf[r.Attempt]))
			}
		case <-ctx.Done():
			return
		}
	}
}

// takeBack lets an upstream take work again. It may be another process, so it starts slowly.
func takeBack(state *core.UpstreamState) {
	state.ResetLatency()
	state.FirstUsed.Store(0)
	state.DrainSince.Store(0)
}
