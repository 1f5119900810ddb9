package slots

import (
	"context"
	"sync/atomic"
	"time"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

// target is one held upstream: its slots, its bounded queue and its connections.
type target struct {
	upstream core.Upstream
	pool     kinds.Pool
	slots    chan struct{}
	waiting  atomic.Int64
	maxQueue int64
	closing  atomic.Bool
}

func newTarget(upstream core.Upstream, pool kinds.Pool, queuePerSlot int) *target {
	return &target{
		upstream: upstream, pool: pool, slots: make(chan struct{}, upstream.Slots),
		maxQueue: int64(queuePerSlot * upstream.Slots),
	}
}

// execute waits for a slot and runs the leg. The slot stays taken while the upstream may still work on the leg.
func (t *target) execute(ctx context.Context, clock kernel.Clock, leg core.Leg) core.LegResult {
	if code := t.take(ctx); code != core.CodeOK {
		return core.LegResult{Attempt: leg.Attempt, Outcome: core.OutcomeNotRun, Code: code}
	}
	started := clock.Now()
	result := t.pool.Execute(ctx, leg)
	result.Took = clock.Now().Sub(started)
	if left := leg.NotAfter.Sub(clock.Now()); result.Outcome == core.OutcomeUnknown && left > 0 {
		// The upstream may still work on the leg until its deadline.
		time.AfterFunc(left, t.put)
	} else {
		t.put()
	}
	return result
}

func (t *target) take(ctx context.Context) core.Code {
	if t.closing.Load() {
		return core.CodeNotOwner
	}
	select {
	case t.slots <- struct{}{}:
		return core.CodeOK
	default:
	}
	if t.waiting.Add(1) > t.maxQueue {
		t.waiting.Add(-1)
		return core.CodeOverloaded
	}
	defer t.waiting.Add(-1)
	select {
	case t.slots <- struct{}{}:
		return core.CodeOK
	case <-ctx.Done():
		return core.CodeExpired
	}
}

func (t *target) put() { <-t.slots }

// release lets legs in flight finish, then closes the connections.
func (t *target) release(ctx context.Context) error {
	t.closing.Store(true)
	t.pool.CloseIdle()
	defer t.pool.Close()
	for range cap(t.slots) {
		select {
		case t.slots <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
