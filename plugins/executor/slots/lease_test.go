package slots

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
)

// newTestExecutor returns an executor with one held upstream of one slot, and the lease that limits its use.
func newTestExecutor() (*executor, *fakePool, *core.Lease) {
	held, pool := newTestTarget(1)
	lease := core.NewLease(start)
	lease.Extend(start.Add(time.Hour))
	state := kernel.NewState()
	state.Update(func(v *core.View) {
		v.Upstreams = core.MapOf(map[core.UpstreamID]*core.UpstreamState{"u": {}})
		v.Ownership = &core.Ownership{
			Owner: core.MapOf(map[core.UpstreamID]core.VMName{"u": "self"}), Held: map[core.UpstreamID]bool{"u": true}, Lease: lease,
		}
	})
	e := &executor{
		params:    params{State: state, Clock: fixedClock{}, Transport: fakeTransport{pool}},
		releasing: make(map[core.UpstreamID][]*target),
	}
	e.base, e.stop = context.WithCancel(context.Background())
	held.usable = func() bool { return e.usable("u") }
	e.targets.Store(&map[core.UpstreamID]*target{"u": held})
	return e, pool, lease
}

// TestNothingIsSentAfterTheLeaseEnds guards against a VM that resumes after a pause and sends queued attempts to an
// upstream that another VM owns by then.
func TestNothingIsSentAfterTheLeaseEnds(t *testing.T) {
	c := qt.New(t)
	e, pool, lease := newTestExecutor()
	defer e.stop()
	first, second := make(chan core.AttemptResult, 1), make(chan core.AttemptResult, 1)
	go func() { first <- e.Execute(context.Background(), *newAttempt(0, time.Hour)) }()
	<-pool.entered
	held := (*e.targets.Load())["u"]
	queued := make(chan struct{})
	go func() {
		for held.queued.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		close(queued)
	}()
	go func() { second <- e.Execute(context.Background(), *newAttempt(0, time.Hour)) }()
	<-queued
	lease.Revoke()
	pool.finish <- ok
	c.Assert((<-first).Code, qt.Equals, core.CodeOK)
	refused := <-second
	c.Check(refused.Code, qt.Equals, core.CodeNotOwner)
	c.Check(refused.Outcome, qt.Equals, core.OutcomeNotRun)
	c.Check(refused.Owner, qt.Equals, core.VMName(""), qt.Commentf("a VM whose lease has expired must not name an owner"))
	c.Check(e.Execute(context.Background(), *newAttempt(0, time.Hour)).Code, qt.Equals, core.CodeNotOwner)
	c.Check(pool.began.Load(), qt.Equals, int64(1))
	c.Check(held.free.Load(), qt.Equals, int64(1))
	lease.Extend(start.Add(time.Hour))
	go func() { first <- e.Execute(context.Background(), *newAttempt(0, time.Hour)) }()
	<-pool.entered
	pool.finish <- ok
	c.Check((<-first).Code, qt.Equals, core.CodeOK)
}

// TestReleaseWaitsForTargetsRemovedFromTheView guards against an upstream that is cleared for another VM while an
// attempt is in flight, because the view removed the upstream before the release was requested.
func TestReleaseWaitsForTargetsRemovedFromTheView(t *testing.T) {
	c := qt.New(t)
	e, pool, _ := newTestExecutor()
	defer e.stop()
	inFlight := make(chan core.AttemptResult, 1)
	go func() { inFlight <- e.Execute(context.Background(), *newAttempt(0, time.Hour)) }()
	<-pool.entered
	e.State.Update(func(v *core.View) { v.Ownership = &core.Ownership{} })
	e.reconcile()
	c.Assert(*e.targets.Load(), qt.HasLen, 0)
	released := make(chan error, 1)
	go func() { released <- e.Release(context.Background(), "u") }()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(e.Release(ended, "u"), qt.Equals, context.Canceled, qt.Commentf("the release ended before the attempt"))
	pool.finish <- ok
	c.Assert(<-released, qt.IsNil)
	c.Assert((<-inFlight).Code, qt.Equals, core.CodeOK)
}
