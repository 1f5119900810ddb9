// Package http is the plug-in that talks to upstreams over HTTP.
package http

import (
	"context"
	"time"

	"go.uber.org/fx"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.TransportKind, Name: "http",
		Settings: func() any {
			return &Settings{DialTimeoutMS: defaultDialTimeoutMS, MaxAnswerBytes: defaultMaxAnswerBytes, CancelGraceMS: defaultCancelGraceMS}
		},
		Options: func(s any) fx.Option {
			return fx.Provide(func() kinds.Transport { return &transport{settings: s.(*Settings)} })
		},
	})
}

const (
	defaultDialTimeoutMS  = 250
	defaultMaxAnswerBytes = 1 << 20
	defaultCancelGraceMS  = 50
)

// Settings of the plug-in.
type Settings struct {
	// DialTimeoutMS bounds the opening of a connection, in milliseconds. Default 250.
	DialTimeoutMS int64 `json:"dial_timeout_ms" validate:"gte=1,lte=60000"`
	// MaxAnswerBytes bounds the body of an upstream's answer. Default 1048576.
	MaxAnswerBytes int64 `json:"max_answer_bytes" validate:"gte=1"`
	// CancelGraceMS is how long a cancelled attempt may take to end before its connection is closed, in milliseconds.
	// Default 50.
	CancelGraceMS int64 `json:"cancel_grace_ms" validate:"gte=1,lte=10000"`
}

type transport struct{ settings *Settings }

// Open implements kinds.Transport.
func (t *transport) Open(upstream core.Upstream, limit int) kinds.Pool {
	return newPool(upstream, limit, t.settings)
}

// Execute implements kinds.Pool. When ctx ends, the attempt is cancelled at the upstream; the connection is closed
// only if the upstream does not end the attempt within the grace time.
func (p *pool) Execute(ctx context.Context, leg core.Leg) core.LegResult {
	c, err := p.acquire(ctx)
	if err != nil {
		return core.LegResult{Attempt: leg.Attempt, Outcome: core.OutcomeNotRun, Code: core.CodeOverloaded}
	}
	defer p.release(c)
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := context.AfterFunc(ctx, func() {
		p.cancelAttempt(leg.Attempt)
		time.AfterFunc(time.Duration(p.settings.CancelGraceMS)*time.Millisecond, stop)
	})
	defer ended()
	return c.execute(work, &leg)
}

// cancelAttempt sends the cancellation on a connection of its own, because the attempt occupies its connection until
// it ends. Without a free connection under the limit, closing the connection of the attempt cancels it.
func (p *pool) cancelAttempt(attempt core.AttemptID) {
	c := p.free.pop()
	if c == nil {
		if !p.reserve() {
			return
		}
		c = newConn(p.upstream.Address, p.settings)
	}
	defer p.release(c)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(p.settings.CancelGraceMS)*time.Millisecond)
	defer cancel()
	// A failed cancellation is not reported: the connection of the attempt is closed after the grace time.
	_ = c.cancel(ctx, attempt)
}
