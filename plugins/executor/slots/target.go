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

// endGrace covers a request that is still in transit when the upstream confirms its cancellation, and the difference
// between the timers of both sides at a deadline. Without it, upstreams received more requests than they have slots under
// overload.
const endGrace = 100 * time.Millisecond

// waiter is an attempt that waits for a slot. done receives CodeOK with a slot, or the code of the refusal.
type waiter struct{ done chan core.Code }

// target is one held upstream with its slots, its bounded queue and its connections. If a slot is free and the queue is
// empty, an attempt takes no lock.
type target struct {
	upstream core.Upstream
	pool     kinds.Pool
	clock    kernel.Clock
	// endGrace is the time allowed for the upstream to end work after a deadline or a confirmed cancellation.
	endGrace time.Duration
	// free is the number of free slots.
	free atomic.Int64
	// queued is the length of queue, for reads without mu.
	queued  atomic.Int64
	closing atomic.Bool
	// drained is closed when the release is complete.
	drained chan struct{}
	// usable is checked right before each send, because the VM may have lost the upstream or been paused during the wait;
	// nil means always usable.
	usable   func() bool
	estimate limit.Estimate
	drain    drainState
	// slotFreed signals freed slots to release.
	slotFreed chan struct{}

	mu    sync.Mutex
	queue *limit.Queue[*waiter]
}

func newTarget(upstream core.Upstream, pool kinds.Pool, clock kernel.Clock, queuePerSlot int) *target {
	t := &target{
		upstream: upstream, pool: pool, clock: clock, endGrace: endGrace, slotFreed: make(chan struct{}, 1), drained: make(chan struct{}),
		queue: limit.NewQueue[*waiter](queuePerSlot*upstream.Slots, limit.EarliestDeadline),
	}
	t.free.Store(int64(upstream.Slots))
	return t
}

// execute waits for a slot and runs an attempt. The slot stays occupied while the upstream may still work on it.
func (t *target) execute(ctx context.Context, attempt *core.Attempt) core.AttemptResult {
	arrived := t.clock.Now()
	if code := t.acquireSlot(ctx, attempt); code != core.CodeOK {
		return core.AttemptResult{Attempt: attempt.ID, Outcome: core.OutcomeNotRun, Code: code, Draining: code == core.CodeDraining}
	}
	if t.usable != nil && !t.usable() {
		t.releaseSlot()
		return core.AttemptResult{Attempt: attempt.ID, Outcome: core.OutcomeNotRun, Code: core.CodeNotOwner}
	}
	started := t.clock.Now()
	result := t.pool.Execute(ctx, *attempt)
	ended := t.clock.Now()
	result.Took = ended.Sub(arrived)
	if result.Code == core.CodeOK {
		t.estimate.Observe(ended.Sub(started))
	}
	if occupied := t.occupiedFor(attempt, &result, ended); occupied > 0 {
		time.AfterFunc(occupied, t.releaseSlot)
	} else {
		t.releaseSlot()
	}
	return result
}

// occupiedFor returns how long the upstream may still work on an attempt that has ended on this VM: until its deadline,
// or until a confirmed cancellation has taken effect.
func (t *target) occupiedFor(attempt *core.Attempt, result *core.AttemptResult, ended time.Time) time.Duration {
	switch {
	case result.Outcome != core.OutcomeUnknown:
		return 0
	case result.Stopped:
		return t.endGrace
	default:
		return attempt.NotAfter.Sub(ended) + t.endGrace
	}
}

// acquireSlot returns CodeOK with a slot, or the code of the refusal.
func (t *target) acquireSlot(ctx context.Context, attempt *core.Attempt) core.Code {
	if t.queued.Load() > 0 || !t.tryAcquireSlot() {
		return t.awaitSlot(ctx, attempt)
	}
	if code := t.refusal(); code != core.CodeOK {
		t.releaseSlot()
		return code
	}
	return core.CodeOK
}

// refusal returns why the target accepts no new work, or CodeOK. The fast path checks it after it has acquired a slot,
// because release and the start of draining set these flags before they check the slots.
func (t *target) refusal() core.Code {
	switch {
	case t.closing.Load():
		return core.CodeNotOwner
	case t.drain.active():
		return core.CodeDraining
	default:
		return core.CodeOK
	}
}

func (t *target) tryAcquireSlot() bool {
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

func (t *target) releaseSlot() {
	t.free.Add(1)
	if t.queued.Load() > 0 {
		t.mu.Lock()
		t.assignSlots()
		t.mu.Unlock()
	}
	if t.closing.Load() {
		select {
		case t.slotFreed <- struct{}{}:
		default:
		}
	}
}

func (t *target) awaitSlot(ctx context.Context, attempt *core.Attempt) core.Code {
	item := &limit.Item[*waiter]{
		Class: attempt.Class, Flow: string(attempt.Caller), Deadline: attempt.NotAfter, Value: &waiter{done: make(chan core.Code, 1)},
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

// enqueue adds a waiter or refuses it. The caller holds mu.
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
	// A slot may have become free before this waiter was visible to releaseSlot.
	t.assignSlots()
}

// assignSlots assigns free slots to waiters, and refuses waiters that cannot finish before their deadline. The caller
// holds mu.
func (t *target) assignSlots() {
	for t.queue.Len() > 0 && t.tryAcquireSlot() {
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

// withdraw removes a waiter whose context has ended. A slot that was assigned to it in the meantime is released.
func (t *target) withdraw(ctx context.Context, item *limit.Item[*waiter]) core.Code {
	t.mu.Lock()
	queued := t.queue.Remove(item)
	t.queued.Store(int64(t.queue.Len()))
	t.mu.Unlock()
	if !queued && <-item.Value.done == core.CodeOK {
		t.releaseSlot()
	}
	if ctx.Err() == context.DeadlineExceeded {
		return core.CodeExpired
	}
	return core.CodeCancelled
}

// refuseWaiting refuses all waiters with a code.
func (t *target) refuseWaiting(code core.Code) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for item := t.queue.Pop(); item != nil; item = t.queue.Pop() {
		item.Value.done <- code
	}
	t.queued.Store(0)
}

// release refuses new and waiting attempts, waits for those in flight, and then closes the connections.
func (t *target) release(ctx context.Context) error {
	t.closing.Store(true)
	t.refuseWaiting(core.CodeNotOwner)
	t.pool.CloseIdle()
	defer t.pool.Close()
	for t.free.Load() < int64(t.upstream.Slots) {
		select {
		case <-t.slotFreed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
