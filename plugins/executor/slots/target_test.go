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

// fakePool runs legs until the test ends them, and counts what the upstream would see.
type fakePool struct {
	kinds.Pool
	running, peak, began, idleClosed atomic.Int64
	entered                          chan core.Attempt
	finish                           chan core.AttemptResult
}

func newFakePool() *fakePool {
	return &fakePool{entered: make(chan core.Attempt, 1000), finish: make(chan core.AttemptResult)}
}

func (p *fakePool) Execute(_ context.Context, leg core.Attempt) core.AttemptResult {
	p.began.Add(1)
	n := p.running.Add(1)
	for peak := p.peak.Load(); n > peak && !p.peak.CompareAndSwap(peak, n); peak = p.peak.Load() {
	}
	p.entered <- leg
	result := <-p.finish
	p.running.Add(-1)
	result.Attempt = leg.ID
	return result
}
func (p *fakePool) CloseIdle() { p.idleClosed.Add(1) }
func (p *fakePool) Close()     {}

func newTestTarget(slots int) (*target, *fakePool) {
	pool := newFakePool()
	return newTarget(core.Upstream{ID: "u", Slots: slots, Connections: 10}, pool, fixedClock{}, 16), pool
}

var ok = core.AttemptResult{Outcome: core.OutcomeRan, Code: core.CodeOK}

func legWith(class core.Class, deadline time.Duration) *core.Attempt {
	return &core.Attempt{Upstream: "u", Version: 1, Class: class, NotAfter: start.Add(deadline), Idempotent: true}
}

// TestSlotsAreNeverExceeded guards against more requests at an upstream than it has slots, and against waiters that are
// never served, when many legs come and go at the same time.
func TestSlotsAreNeverExceeded(t *testing.T) {
	c := qt.New(t)
	held, pool := newTestTarget(2)
	held.queue = limit.NewQueue[*waiter](1000, limit.EarliestDeadline)
	var work sync.WaitGroup
	var done atomic.Int64
	for range 200 {
		work.Go(func() {
			if held.execute(context.Background(), legWith(0, time.Hour)).Code == core.CodeOK {
				done.Add(1)
			}
		})
	}
	// Both slots are in use before the first leg ends, whatever the order of the goroutines.
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

// TestLegThatCannotFinishIsRefusedEarly guards against work that ends after its deadline, while others wait.
func TestLegThatCannotFinishIsRefusedEarly(t *testing.T) {
	c := qt.New(t)
	held, pool := newTestTarget(1)
	held.estimate.Observe(100 * time.Millisecond)
	go held.execute(context.Background(), legWith(0, time.Hour))
	<-pool.entered
	result := held.execute(context.Background(), legWith(0, 150*time.Millisecond))
	c.Assert(result.Code, qt.Equals, core.CodeOverloaded)
	c.Assert(result.Outcome, qt.Equals, core.OutcomeNotRun)
	c.Assert(pool.began.Load(), qt.Equals, int64(1))
	pool.finish <- ok
}

// TestSlotStaysTakenWhileTheUpstreamMayWork guards against a request above the slots after a lost connection, and
// against a slot that stays taken although the upstream confirmed the end.
func TestSlotStaysTakenWhileTheUpstreamMayWork(t *testing.T) {
	c := qt.New(t)
	held, pool := newTestTarget(1)
	held.endGrace = 0
	for stopped, free := range map[bool]int64{true: 1, false: 0} {
		go func() { pool.finish <- core.AttemptResult{Code: core.CodeConnectionLost, Stopped: stopped} }()
		held.free.Store(1)
		held.execute(context.Background(), legWith(0, time.Hour))
		c.Assert(held.free.Load(), qt.Equals, free)
	}
}

// TestSlotOutlastsTheDeadline guards against a request above the slots when the upstream ends a leg a moment after the
// deadline at which the VM gave it up, or reads it only after it confirmed its cancellation.
func TestSlotOutlastsTheDeadline(t *testing.T) {
	c := qt.New(t)
	held, _ := newTestTarget(1)
	leg := legWith(0, time.Second)
	unknown := &core.AttemptResult{Code: core.CodeDeadlineExceeded}
	c.Check(held.busyFor(leg, unknown, leg.NotAfter), qt.Equals, endGrace)
	c.Check(held.busyFor(leg, unknown, start), qt.Equals, time.Second+endGrace)
	c.Check(held.busyFor(leg, &core.AttemptResult{Stopped: true}, start), qt.Equals, endGrace)
	c.Check(held.busyFor(leg, &core.AttemptResult{Outcome: core.OutcomeRan}, start), qt.Equals, time.Duration(0))
}

// waiting adds a waiter as execute does.
func waiting(t *target, class core.Class) *limit.Item[*waiter] {
	item := &limit.Item[*waiter]{Class: class, Deadline: start.Add(time.Hour), Value: &waiter{done: make(chan core.Code, 1)}}
	t.mu.Lock()
	t.enqueue(item)
	t.mu.Unlock()
	return item
}

// TestWithdrawnWaiterGivesItsSlotBack guards against a slot that is lost when a query ends while it is being served.
func TestWithdrawnWaiterGivesItsSlotBack(t *testing.T) {
	c := qt.New(t)
	held, _ := newTestTarget(1)
	held.free.Store(0)
	item := waiting(held, 0)
	held.put()
	c.Assert(held.free.Load(), qt.Equals, int64(0))
	c.Assert(held.withdraw(context.Background(), item), qt.Equals, core.CodeCancelled)
	c.Assert(held.free.Load(), qt.Equals, int64(1))
}

// TestReleaseWaitsForWorkInFlight guards against a planned stop that cuts off a request, and against new work after it.
func TestReleaseWaitsForWorkInFlight(t *testing.T) {
	c := qt.New(t)
	held, pool := newTestTarget(1)
	result := make(chan core.AttemptResult, 1)
	go func() { result <- held.execute(context.Background(), legWith(0, time.Hour)) }()
	<-pool.entered
	queued := waiting(held, 0)
	released := make(chan error, 1)
	go func() { released <- held.release(context.Background()) }()
	c.Assert(<-queued.Value.done, qt.Equals, core.CodeNotOwner)
	c.Assert(released, qt.HasLen, 0)
	pool.finish <- ok
	c.Assert(<-released, qt.IsNil)
	c.Assert((<-result).Code, qt.Equals, core.CodeOK)
	c.Assert(held.execute(context.Background(), legWith(0, time.Hour)).Code, qt.Equals, core.CodeNotOwner)
}

type fakeTransport struct{ pool kinds.Pool }

func (f fakeTransport) Open(core.Upstream, int) kinds.Pool { return f.pool }

// TestDrainingUpstreamGetsNoNewWork guards against P6 being broken by legs that wait at the owner when the first sign
// comes, and against idle connections that the upstream closes under a new request.
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
	go func() { inFlight <- e.Execute(context.Background(), *legWith(0, time.Hour)) }()
	<-pool.entered
	queued := waiting(held, 0)
	e.healthTold(held, true, false)
	c.Assert(<-queued.Value.done, qt.Equals, core.CodeDraining)
	c.Assert(pool.idleClosed.Load(), qt.Equals, int64(1))
	pool.finish <- ok
	c.Assert((<-inFlight).Code, qt.Equals, core.CodeOK)
	c.Assert(e.Execute(context.Background(), *legWith(0, time.Hour)).Code, qt.Equals, core.CodeDraining)
	c.Assert(pool.began.Load(), qt.Equals, int64(1))
	c.Assert(state.Load().State("u").DrainSince.Load() != 0, qt.IsTrue)
}
