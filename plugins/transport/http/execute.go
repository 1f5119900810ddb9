package http

import (
	"context"
	"sync/atomic"
	"time"

	"gooseberrylane.example/core"
)

// Execute implements kinds.Pool. When ctx ends, or the upstream no longer runs the attempt, the attempt is cancelled at
// the upstream. Its connection is closed only if the attempt does not end within the grace period.
func (p *pool) Execute(ctx context.Context, attempt core.Attempt) core.AttemptResult {
	c, err := p.acquire(ctx)
	if err != nil {
		return core.AttemptResult{Attempt: attempt.ID, Outcome: core.OutcomeNotRun, Code: core.CodeOverloaded}
	}
	defer p.release(c)
	attemptCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	w := &watch{pool: p, id: attempt.ID, stop: stop, cancelled: make(chan struct{})}
	stopWatchingCaller := context.AfterFunc(ctx, w.cancelAtUpstream)
	w.keepalive = time.AfterFunc(p.keepalive(), w.check)
	result := c.execute(attemptCtx, &attempt)
	stopWatchingCaller()
	if !w.end() {
		return result
	}
	if result.Outcome == core.OutcomeUnknown {
		// The response to the cancellation shows whether the slot of the upstream is free.
		<-w.cancelled
		result.Stopped = w.stopped.Load()
		result.Code = cancellationCode(ctx)
		if w.silent.Load() {
			p.suspectSiblings(c)
		}
	}
	return result
}

// States of a watch.
const (
	watching int32 = iota
	cancelling
	ended
)

// watch monitors one attempt while it runs, and cancels it at most once.
type watch struct {
	pool      *pool
	id        core.AttemptID
	stop      context.CancelFunc
	keepalive *time.Timer
	state     atomic.Int32
	// cancelled is closed when the cancellation request has ended.
	cancelled chan struct{}
	// stopped is set if the upstream confirmed the cancellation, and silent if the attempt did not end within the grace
	// period.
	stopped, silent atomic.Bool
}

// end ends the watch and reports whether the attempt had been cancelled.
func (w *watch) end() bool {
	w.keepalive.Stop()
	return !w.state.CompareAndSwap(watching, ended)
}

// check runs when the attempt has had no answer for the keepalive time, and verifies on another connection that the
// upstream still runs it. A slow attempt continues. If the upstream does not run it, the answer was lost with the
// connection and the attempt is cancelled.
func (w *watch) check() {
	if w.pool.isRunning(w.id) {
		if w.state.Load() == watching {
			w.keepalive.Reset(w.pool.keepalive())
		}
		return
	}
	w.cancelAtUpstream()
}

// cancelAtUpstream cancels the attempt at the upstream, and aborts its connection after the grace period.
func (w *watch) cancelAtUpstream() {
	if !w.state.CompareAndSwap(watching, cancelling) {
		return
	}
	defer close(w.cancelled)
	time.AfterFunc(w.pool.grace(), func() {
		w.silent.Store(true)
		w.stop()
	})
	w.stopped.Store(w.pool.cancelAttempt(w.id) == nil)
}

// cancellationCode returns the code of a cancelled attempt.
func cancellationCode(ctx context.Context) core.Code {
	switch ctx.Err() {
	case nil:
		return core.CodeConnectionLost
	case context.DeadlineExceeded:
		return core.CodeDeadlineExceeded
	default:
		return core.CodeCancelled
	}
}

func (p *pool) keepalive() time.Duration {
	return time.Duration(p.settings.KeepaliveMS) * time.Millisecond
}

func (p *pool) grace() time.Duration {
	return time.Duration(p.settings.CancelGraceMS) * time.Millisecond
}

// cancelAttempt sends the cancellation on another connection, because the attempt occupies its own until it ends. If the
// limit leaves no other connection, closing the connection of the attempt cancels it.
func (p *pool) cancelAttempt(id core.AttemptID) error {
	return p.callSeparately(func(ctx context.Context, c *conn) error { return c.cancel(ctx, id) })
}

// isRunning reports whether the upstream confirmed that it runs an attempt.
func (p *pool) isRunning(id core.AttemptID) bool {
	running := false
	err := p.callSeparately(func(ctx context.Context, c *conn) error {
		var err error
		running, err = c.running(ctx, id)
		return err
	})
	return err == nil && running
}

// callSeparately makes a call on a connection that carries no attempt, with the grace period as its timeout.
func (p *pool) callSeparately(call func(context.Context, *conn) error) error {
	c := p.popUsable()
	if c == nil {
		if !p.reserve() {
			return core.Errorf(core.CodeOverloaded, "connection limit reached and no other connection is free")
		}
		c = p.newConn()
	}
	defer p.release(c)
	ctx, cancel := context.WithTimeout(context.Background(), p.grace())
	defer cancel()
	return call(ctx, c)
}
