package http

import (
	"context"
	"sync/atomic"
	"time"

	"gooseberrylane.example/core"
)

// Execute implements kinds.Pool. When ctx ends, or nothing arrives within the keepalive time, the attempt is cancelled
// at the upstream. Its connection is closed only if the attempt does not end within the grace time.
func (p *pool) Execute(ctx context.Context, leg core.Leg) core.LegResult {
	c, err := p.acquire(ctx)
	if err != nil {
		return core.LegResult{Attempt: leg.Attempt, Outcome: core.OutcomeNotRun, Code: core.CodeOverloaded}
	}
	defer p.release(c)
	limited, cancelLimit := context.WithTimeout(ctx, p.keepalive())
	defer cancelLimit()
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var stopped, silent atomic.Bool
	asked := make(chan struct{})
	ended := context.AfterFunc(limited, func() {
		defer close(asked)
		time.AfterFunc(p.grace(), func() {
			silent.Store(true)
			stop()
		})
		stopped.Store(p.cancelAttempt(leg.Attempt) == nil)
	})
	result := c.execute(work, &leg)
	if ended() {
		return result
	}
	if result.Outcome == core.OutcomeUnknown {
		// The answer to the cancellation tells whether the slot of the upstream is free.
		<-asked
		result.Stopped = stopped.Load()
		result.Code = giveUpCode(ctx)
		if silent.Load() {
			p.suspectOpenedWith(c)
		}
	}
	return result
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
	c := p.popTrusted()
	if c == nil {
		if !p.reserve() {
			return core.Errorf(core.CodeOverloaded, "no connection is free for a cancellation")
		}
		c = p.newConn()
	}
	defer p.release(c)
	ctx, cancel := context.WithTimeout(context.Background(), p.grace())
	defer cancel()
	return c.cancel(ctx, attempt)
}
