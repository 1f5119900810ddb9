package slots

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/coord/limit"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

var start = time.Unix(1_000_000, 0)

type fixedClock struct{}

func (fixedClock) Now() time.Time { return start }

// fakePool runs each attempt until the test finishes it, and counts the requests that the upstream would receive.
type fakePool struct {
	kinds.Pool
	running, peak, began, idleCloses atomic.Int64
	entered                          chan core.Attempt
	finish                           chan core.AttemptResult
}

func newFakePool() *fakePool {
	return &fakePool{entered: make(chan core.Attempt, 1000), finish: make(chan core.AttemptResult)}
}

func (p *fakePool) Execute(_ context.Context, attempt core.Attempt) core.AttemptResult {
	p.began.Add(1)
	n := p.running.Add(1)
	for peak := p.peak.Load(); n > peak && !p.peak.CompareAndSwap(peak, n); peak = p.peak.Load() {
	}
	p.entered <- attempt
	result := <-p.finish
	p.running.Add(-1)
	result.Attempt = attempt.ID
	return result
}
func (p *fakePool) CloseIdle() { p.idleCloses.Add(1) }
func (p *fakePool) Close()     {}

func newTestTarget(slots int) (*target, *fakePool) {
	pool := newFakePool()
	return newTarget(core.Upstream{ID: "u", Slots: slots, Connections: 10}, pool, fixedClock{}, 16), pool
}

var ok = core.AttemptResult{Outcome: core.OutcomeRan, Code: core.CodeOK}

func newAttempt(class core.Class, deadline time.Duration) *core.Attempt {
	return &core.Attempt{Upstream: "u", Version: 1, Class: class, NotAfter: start.Add(deadline), Idempotent: true}
}

// TestSlotsAreNeverExceeded guards against more requests at an upstream than it has slots, and against waiters that never
// get a slot, when many attempts arrive and end concurrently.
func TestSlotsAreNeverExceeded(t *testing.T) {
	c := qt.New(t)
	held, pool := newTestTarget(2)
	held.queue = limit.NewQueue[*waiter](1000, limit.EarliestDeadline)
	var work sync.WaitGroup
	var done atomic.Int64
	for range 200 {
		work.Go(func() {
			if held.execute(context.Background(), newAttempt(0, time.Hour)).Code == core.CodeOK {
				done.Add(1)
			}
		})
	}
	// Both slots are in use before the first attempt ends, in any order of the goroutines.
	<-pool.entered
	<-pool.entered
	for range 200 {
		pool.finish <- ok
	}
	work.Wait()
	c.Assert(done.Load(), qt.Equals, int64(200))
	c.Assert(pool.peak.Load(), qt.Equals, int64(2))
	c.Assert(held.free.Load(), qt.Equals, int64(2))
}

// TestAttemptThatCannotFinishIsRefusedEarly guards against attempts that occupy a slot although they cannot finish
// before their deadline.
func TestAttemptThatCannotFinishIsRefusedEarly(t *testing.T) {
	c := qt.New(t)
	held, pool := newTestTarget(1)
	held.estimate.Observe(100 * time.Millisecond)
	go held.execute(context.Background(), newAttempt(0, time.Hour))
	<-pool.entered
	result := held.execute(context.Background(), newAttempt(0, 150*time.Millisecond))
	c.Assert(result.Code, qt.Equals, core.CodeOverloaded)
	c.Assert(result.Outcome, qt.Equals, core.OutcomeNotRun)
	c.Assert(pool.began.Load(), qt.Equals, int64(1))
	pool.finish <- ok
}

// TestSlotStaysOccupiedWhileTheUpstreamMayWork guards against more requests than slots after a lost connection, and
// against a slot that stays occupied although the upstream confirmed the end.
func TestSlotStaysOccupiedWhileTheUpstreamMayWork(t *testing.T) {
	c := qt.New(t)
	held, pool := newTestTarget(1)
	held.endGrace = 0
	for stopped, free := range map[bool]int64{true: 1, false: 0} {
		go func() { pool.finish <- core.AttemptResult{Code: core.CodeConnectionLost, Stopped: stopped} }()
		held.free.Store(1)
		held.execute(context.Background(), newAttempt(0, time.Hour))
		c.Assert(held.free.Load(), qt.Equals, free)
	}
}

// TestSlotStaysOccupiedForTheGracePeriod guards against more requests than slots when the upstream ends an attempt
// shortly after the deadline, or reads it only after confirming its cancellation.
func TestSlotStaysOccupiedForTheGracePeriod(t *testing.T) {
	c := qt.New(t)
	held, _ := newTestTarget(1)
	attempt := newAttempt(0, time.Second)
	unknown := &core.AttemptResult{Code: core.CodeDeadlineExceeded}
	c.Check(held.occupiedFor(attempt, unknown, attempt.NotAfter), qt.Equals, endGrace)
	c.Check(held.occupiedFor(attempt, unknown, start), qt.Equals, time.Second+endGrace)
	c.Check(held.occupiedFor(attempt, &core.AttemptResult{Stopped: true}, start), qt.Equals, endGrace)
	c.Check(held.occupiedFor(attempt, &core.AttemptResult{Outcome: core.OutcomeRan}, start), qt.Equals, time.Duration(0))
}

// enqueueWaiter adds a waiter as execute does.
func enqueueWaiter(t *target, class core.Class) *limit.Item[*waiter] {
	item := &limit.Item[*waiter]{Class: class, Deadline: start.Add(time.Hour), Value: &waiter{done: make(chan core.Code, 1)}}
	t.mu.Lock()
	t.enqueue(item)
	t.mu.Unlock()
	return item
}

// TestWithdrawnWaiterReleasesItsSlot guards against a slot that is lost when a query ends while the slot is being
// assigned.
func TestWithdrawnWaiterReleasesItsSlot(t *testing.T) {
	c := qt.New(t)
	held, _ := newTestTarget(1)
	held.free.Store(0)
	item := enqueueWaiter(held, 0)
	held.releaseSlot()
	c.Assert(held.free.Load(), qt.Equals, int64(0))
	c.Assert(held.withdraw(context.Background(), item), qt.Equals, core.CodeCancelled)
	c.Assert(held.free.Load(), qt.Equals, int64(1))
}

// TestReleaseWaitsForWorkInFlight guards against a planned stop that aborts a request, and against new work after it.
func TestReleaseWaitsForWorkInFlight(t *testing.T) {
	c := qt.New(t)
	held, pool := newTestTarget(1)
	result := make(chan core.AttemptResult, 1)
	go func() { result <- held.execute(context.Background(), newAttempt(0, time.Hour)) }()
	<-pool.entered
	queued := enqueueWaiter(held, 0)
	released := make(chan error, 1)
	go func() { released <- held.release(context.Background()) }()
	c.Assert(<-queued.Value.done, qt.Equals, core.CodeNotOwner)
	c.Assert(released, qt.HasLen, 0)
	pool.finish <- ok
	c.Assert(<-released, qt.IsNil)
	c.Assert((<-result).Code, qt.Equals, core.CodeOK)
	c.Assert(held.execute(context.Background(), newAttempt(0, time.Hour)).Code, qt.Equals, core.CodeNotOwner)
}

type fakeTransport struct{ pool kinds.Pool }

func (f fakeTransport) Open(core.Upstream, int) kinds.Pool { return f.pool }

// TestDrainingUpstreamGetsNoNewWork guards against attempts that are queued at the owner and sent after the first draining
// signal, although a draining upstream must receive no new work, and against new requests on idle connections that the
// upstream closes.
func TestDrainingUpstreamGetsNoNewWork(t *testing.T) {
	c := qt.New(t)
	held, pool := newTestTarget(1)
	state := kernel.NewState()
	state.Update(func(v *core.View) {
		v.Upstreams = core.MapOf(map[core.UpstreamID]*core.UpstreamState{"u": {}})
		v.Ownership = &core.Ownership{Held: map[core.UpstreamID]bool{"u": true}}
	})
	e := &executor{params: params{
		State: state, Clock: fixedClock{}, Transport: fakeTransport{pool}, Log: slog.New(slog.NewJSONHandler(io.Discard, nil)),
	}}
	e.targets.Store(&map[core.UpstreamID]*target{"u": held})
	inFlight := make(chan core.AttemptResult, 1)
	go func() { inFlight <- e.Execute(context.Background(), *newAttempt(0, time.Hour)) }()
	<-pool.entered
	queued := enqueueWaiter(held, 0)
	e.onHealth(held, true, false)
	c.Assert(<-queued.Value.done, qt.Equals, core.CodeDraining)
	c.Assert(pool.idleCloses.Load(), qt.Equals, int64(1))
	pool.finish <- ok
	c.Assert((<-inFlight).Code, qt.Equals, core.CodeOK)
	c.Assert(e.Execute(context.Background(), *newAttempt(0, time.Hour)).Code, qt.Equals, core.CodeDraining)
	c.Assert(pool.began.Load(), qt.Equals, int64(1))
	c.Assert(state.Load().State("u").DrainSince.Load() != 0, qt.IsTrue)
}
