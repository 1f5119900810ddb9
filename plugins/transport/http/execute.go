package http

import (
	"context"
	"sync/atomic"
	"time"

	"gooseberrylane.example/core"
)

// Execute implements kinds.Pool. When ctx ends, or the connection turns out to be silent, the attempt is cancelled at the
// upstream. Its connection is closed only if the attempt does not end within the grace time.
func (p *pool) Execute(ctx context.Context, leg core.Attempt) core.AttemptResult {
	c, err := p.acquire(ctx)
	if err != nil {
		return core.AttemptResult{Attempt: leg.ID, Outcome: core.OutcomeNotRun, Code: core.CodeOverloaded}
	}
	defer p.release(c)
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	w := &watch{pool: p, attempt: leg.ID, stop: stop, asked: make(chan struct{})}
	forgetCaller := context.AfterFunc(ctx, w.giveUp)
	w.keepalive = time.AfterFunc(p.keepalive(), w.check)
	result := c.execute(work, &leg)
	forgetCaller()
	if !w.end() {
		return result
	}
	if result.Outcome == core.OutcomeUnknown {
		// The answer to the cancellation tells whether the slot of the upstream is free.
		<-w.asked
		result.Stopped = w.stopped.Load()
		result.Code = giveUpCode(ctx)
		if w.silent.Load() {
			p.suspectOpenedWith(c)
		}
	}
	return result
}

// States of a watch.
const (
	watching int32 = iota
	gaveUp
	over
)

// watch follows one attempt while it runs and gives it up at most once.
type watch struct {
	pool      *pool
	attempt   core.AttemptID
	stop      context.CancelFunc
	keepalive *time.Timer
	state     atomic.Int32
	// asked is closed when the upstream was asked to cancel; stopped then tells whether it confirmed.
	asked           chan struct{}
	stopped, silent atomic.Bool
}

// end ends the watch and reports whether the attempt was given up before.
func (w *watch) end() bool {
	w.keepalive.Stop()
	return !w.state.CompareAndSwap(watching, over)
}

// check asks the upstream on another connection whether a request that has been quiet for the keepalive time still
// runs. A slow request goes on; one that the upstream does not run any more has lost its answer with its connection.
func (w *watch) check() {
	if w.pool.isRunning(w.attempt) {
		if w.state.Load() == watching {
			w.keepalive.Reset(w.pool.keepalive())
		}
		return
	}
	w.giveUp()
}

func (w *watch) giveUp() {
	if !w.state.CompareAndSwap(watching, gaveUp) {
		return
	}
	defer close(w.asked)
	time.AfterFunc(w.pool.grace(), func() {
		w.silent.Store(true)
		w.stop()
	})
	w.stopped.Store(w.pool.cancelAttempt(w.attempt) == nil)
}

// giveUpCode tells why an attempt was given up.
func giveUpCode(ctx context.Context) core.Code {
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

// cancelAttempt sends the cancellation on a connection of its own, because the attempt occupies its connection until
// it ends. Without a free connection under the limit, closing the connection of the attempt cancels it.
func (p *pool) cancelAttempt(attempt core.AttemptID) error {
	return p.aside(func(ctx context.Context, c *conn) error { return c.cancel(ctx, attempt) })
}

// isRunning reports whether the upstream says that it runs an attempt.
func (p *pool) isRunning(attempt core.AttemptID) bool {
	running := false
	err := p.aside(func(ctx context.Context, c *conn) error {
		var err error
		running, err = c.running(ctx, attempt)
		return err
	})
	return err == nil && running
}

// aside makes a call within the grace time on a connection that carries no attempt.
func (p *pool) aside(call func(context.Context, *conn) error) error {
	c := p.popTrusted()
	if c == nil {
		if !p.reserve() {
			return core.Errorf(core.CodeOverloaded, "no connection is free beside the attempts")
		}
		c = p.newConn()
	}
	defer p.release(c)
	ctx, cancel := context.WithTimeout(context.Background(), p.grace())
	defer cancel()
	return call(ctx, c)
}
