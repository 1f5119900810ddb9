// Package stopping applies the schedule of a planned stop to the requests of a front end.
package stopping

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"

	"gooseberrylane.example/coord/stop"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
)

// errStopping is the cancellation cause of requests that are still in progress near the end of the stop.
var errStopping = core.Errorf(core.CodeCancelled, "the VM is stopping")

// Phase is the stop of one front end. Create it with New.
type Phase struct {
	clock kernel.Clock
	// schedule is nil until the stop begins.
	schedule atomic.Pointer[stop.Schedule]
	// running counts the requests that have no answer yet.
	running atomic.Int64
	// end is cancelled when the requests in progress have to be answered.
	end    context.Context
	cancel context.CancelCauseFunc
}

// New returns the phase of a front end that is not stopping.
func New(clock kernel.Clock) *Phase {
	p := &Phase{clock: clock}
	p.end, p.cancel = context.WithCancelCause(context.Background())
	return p
}

// Begin starts the stop, whose end is the deadline of ctx. Without a deadline, all requests are accepted and none is ended.
func (p *Phase) Begin(ctx context.Context) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return
	}
	now := p.clock.Now()
	schedule := stop.NewSchedule(now, now.Add(time.Until(deadline)))
	p.schedule.Store(&schedule)
	time.AfterFunc(schedule.AnswerBy.Sub(now), func() { p.cancel(errStopping) })
}

// Handler returns the middleware that calls refuse for a request that comes too late in the stop, and that cancels the context of a
// request near the end of the stop, so that its handler answers.
func (p *Phase) Handler(refuse func(*gin.Context, *core.Error)) gin.HandlerFunc {
	return func(c *gin.Context) {
		if schedule := p.schedule.Load(); schedule != nil && !schedule.Accepts(p.clock.Now()) {
			refuse(c, core.Errorf(core.CodeNotReady, "the VM is stopping; nothing ran"))
			c.Abort()
			return
		}
		p.running.Add(1)
		defer p.running.Add(-1)
		ctx, cancel := context.WithCancelCause(c.Request.Context())
		defer cancel(nil)
		defer context.AfterFunc(p.end, func() { cancel(errStopping) })()
		c.Request = c.Request.WithContext(ctx)
		c.Next()
	}
}

// Result returns the error of the shutdown of a server. A server looks at its connections from time to time only, so its time may run
// out although all requests have been answered, which is no error.
func (p *Phase) Result(err error) error {
	if errors.Is(err, context.DeadlineExceeded) && p.running.Load() == 0 {
		return nil
	}
	return err
}

// Ended reports whether the context of a request was cancelled because of the stop.
func Ended(ctx context.Context) bool { return context.Cause(ctx) == errStopping }
