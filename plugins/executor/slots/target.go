package slots

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"gooseberrylane.example/coord/limit"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

// waiter is a leg that waits for a slot. done receives CodeOK with a slot, or the code of the refusal.
// endGrace covers the way of a request that the upstream has not read yet when it confirms a cancellation, and the
// difference between the timers of both sides at a deadline. Without it upstreams saw a request above their slots under
// overload.
const endGrace = 100 * time.Millisecond

type waiter struct{ done chan core.Code }

// target is one held upstream: its slots, its bounded queue and its connections. A leg that finds a free slot and an
// empty queue takes no lock.
type target struct {
	upstream core.Upstream
	pool     kinds.Pool
	clock    kernel.Clock
	// endGrace is the time that the upstream needs to end work after its deadline or its cancellation.
	endGrace time.Duration
	free     atomic.Int64
	queued   atomic.Int64
	closing  atomic.Bool
	// drained is closed when the release has ended.
	drained chan struct{}
	// usable is asked right before each send, because the VM may have lost the upstream or been paused during the wait;
	// nil means always.
	usable   func() bool
	estimate limit.Estimate
	leaving  leaving
	// returned wakes the release of the target when a slot comes back.
	returned chan struct{}

	mu    sync.Mutex
	queue *limit.Queue[*waiter]
}

func newTarget(upstream core.Upstream, pool kinds.Pool, clock kernel.Clock, queuePerSlot int) *target {
	t := &target{
		upstream: upstream, pool: pool, clock: clock, endGrace: endGrace, returned: make(chan struct{}, 1), drained: make(chan struct{}),
		queue: limit.NewQueue[*waiter](queuePerSlot*upstream.Slots, limit.EarliestDeadline),
	}
	t.free.Store(int64(upstream.Slots))
	return t
}

// execute waits for a slot and runs the leg. The slot stays taken while the upstream may still work on the leg.
func (t *target) execute(ctx context.Context, leg *core.Attempt) core.AttemptResult {
	arrived := t.clock.Now()
	if code := t.take(ctx, leg); code != core.CodeOK {
		return core.AttemptResult{Attempt: leg.ID, Outcome: core.OutcomeNotRun, Code: code, Draining: code == core.CodeDraining}
	}
	if t.usable != nil && !t.usable() {
		t.put()
		return core.AttemptResult{Attempt: leg.ID, Outcome: core.OutcomeNotRun, Code: core.CodeNotOwner}
	}
	started := t.clock.Now()
	result := t.pool.Execute(ctx, *leg)
	ended := t.clock.Now()
	result.Took = ended.Sub(arrived)
	if result.Code == core.CodeOK {
		t.estimate.Observe(ended.Sub(started))
	}
	if wait := t.busyFor(leg, &result, ended); wait > 0 {
		time.AfterFunc(wait, t.put)
	} else {
		t.put()
	}
	return result
}

// busyFor returns how long the upstream may still work on a leg that has ended here: until its deadline, or only until a
// cancellation that it confirmed has taken effect.
func (t *target) busyFor(leg *core.Attempt, result *core.AttemptResult, ended time.Time) time.Duration {
	switch {
	case result.Outcome != core.OutcomeUnknown:
		return 0
	case result.Stopped:
		return t.endGrace
	default:
		return leg.NotAfter.Sub(ended) + t.endGrace
	}
}

// take returns CodeOK with a slot, or the code of the refusal.
func (t *target) take(ctx context.Context, leg *core.Attempt) core.Code {
	if t.queued.Load() > 0 || !t.takeFree() {
		return t.wait(ctx, leg)
	}
	if code := t.refusal(); code != core.CodeOK {
		t.put()
		return code
	}
	return core.CodeOK
}

// refusal returns why the target takes no new work, or CodeOK. It is asked after a slot is held, because release and
// drain look at the slots after they changed what it reads.
func (t *target) refusal() core.Code {
	switch {
	case t.closing.Load():
		return core.CodeNotOwner
	case t.leaving.now():
		return core.CodeDraining
	default:
		return core.CodeOK
	}
}

func (t *target) takeFree() bool {
	for {
		n := t.free.Load()
		if n <= 0 {
			return false
		}
		if t.free.CompareAndSwap(n, n-1) {
			return true
		}
	}
}

func (t *target) put() {
	t.free.Add(1)
	if t.queued.Load() > 0 {
		t.mu.Lock()
		t.serve()
		t.mu.Unlock()
	}
	if t.closing.Load() {
		select {
		case t.returned <- struct{}{}:
		default:
		}
	}
}

func (t *target) wait(ctx context.Context, leg *core.Attempt) core.Code {
	item := &limit.Item[*waiter]{
		Class: leg.Class, Flow: string(leg.Caller), Deadline: leg.NotAfter, Value: &waiter{done: make(chan core.Code, 1)},
	}
	t.mu.Lock()
	t.enqueue(item)
	t.mu.Unlock()
	select {
	case code := <-item.Value.done:
		return code
	case <-ctx.Done():
		return t.withdraw(ctx, item)
	}
}

// enqueue adds a waiter or refuses it. The caller holds the lock.
func (t *target) enqueue(item *limit.Item[*waiter]) {
	if code := t.refusal(); code != core.CodeOK {
		item.Value.done <- code
		return
	}
	if t.free.Load() <= 0 && !t.estimate.CanFinish(t.clock.Now(), item.Deadline, t.queue.Ahead(item.Class), t.upstream.Slots) {
		item.Value.done <- core.CodeOverloaded
		return
	}
	refused := t.queue.Push(item)
	if refused != nil {
		refused.Value.done <- core.CodeOverloaded
	}
	if refused != item {
		t.queued.Store(int64(t.queue.Len()))
	}
	// A slot may have become free before this waiter was visible to put.
	t.serve()
}

// serve hands free slots to waiters. Waiters that cannot finish any more are refused. The caller holds the lock.
func (t *target) serve() {
	for t.queue.Len() > 0 && t.takeFree() {
		item := t.queue.Pop()
		t.queued.Store(int64(t.queue.Len()))
		if t.clock.Now().Add(t.estimate.Mean()).After(item.Deadline) {
			t.free.Add(1)
			item.Value.done <- core.CodeOverloaded
			continue
		}
		item.Value.done <- core.CodeOK
	}
}

// withdraw ends the wait of a leg whose context ended. A slot that it got meanwhile goes back.
func (t *target) withdraw(ctx context.Context, item *limit.Item[*waiter]) core.Code {
	t.mu.Lock()
	waiting := t.queue.Remove(item)
	t.queued.Store(int64(t.queue.Len()))
	t.mu.Unlock()
	if !waiting && <-item.Value.done == core.CodeOK {
		t.put()
	}
	if ctx.Err() == context.DeadlineExceeded {
		return core.CodeExpired
	}
	return core.CodeCancelled
}

// refuseWaiting ends the wait of all legs with a code.
func (t *target) refuseWaiting(code core.Code) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for item := t.queue.Pop(); item != nil; item = t.queue.Pop() {
		item.Value.done <- code
	}
	t.queued.Store(0)
}

// release lets legs in flight finish, then closes the connections.
func (t *target) release(ctx context.Context) error {
	t.closing.Store(true)
	t.refuseWaiting(core.CodeNotOwner)
	t.pool.CloseIdle()
	defer t.pool.Close()
	for t.free.Load() < int64(t.upstream.Slots) {
		select {
		case <-t.returned:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
