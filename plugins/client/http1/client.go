// Package http1 is the plug-in that sends requests to registered upstreams over HTTP/1.1, one request at a time on each
// connection. Unlike the client of net/http, it never repeats a request by itself.
package http1

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/fx"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.UpstreamClientKind, Name: "http1",
		Settings: func() any {
			return &Settings{
				DialTimeoutMS: defaultDialTimeoutMS, MaxIdleMS: defaultMaxIdleMS, MaxAnswerBytes: defaultMaxAnswerBytes,
				MaxAnswerHeaderBytes: defaultMaxAnswerHeaderBytes,
			}
		},
		Options: func(s any) fx.Option {
			return fx.Provide(func(lc fx.Lifecycle, p params) provided {
				c := newClient(p, s.(*Settings))
				lc.Append(fx.Hook{OnStart: c.start, OnStop: c.shutdown})
				return provided{Client: c, Metrics: c.metrics()}
			})
		},
	})
}

const (
	defaultDialTimeoutMS  = 1000
	defaultMaxIdleMS      = 4000
	defaultMaxAnswerBytes = 4 << 20
	// defaultMaxAnswerHeaderBytes is the limit that routing tables commonly set for the headers of callers.
	defaultMaxAnswerHeaderBytes = 16 << 10
	defaultMaxBufferedBytes     = 64 << 20
	// sweepPeriod is the period at which expired idle connections are closed.
	sweepPeriod = time.Second
)

// Settings of the plug-in.
type Settings struct {
	// DialTimeoutMS is the timeout for opening a connection, in milliseconds. Default 1000.
	DialTimeoutMS int64 `json:"dial_timeout_ms" validate:"gte=1,lte=60000"`
	// MaxIdleMS is how long an idle connection is kept, in milliseconds; an upstream may announce less. Default 4000.
	MaxIdleMS int64 `json:"idle_ms" validate:"gte=0,lte=600000"`
	// MaxAnswerBytes is the maximum size of the body of an answer. Default 4194304.
	MaxAnswerBytes int64 `json:"max_answer_bytes" validate:"gte=1"`
	// MaxAnswerHeaderBytes is the maximum size of the status line and the headers of an answer, interim answers included.
	// Default 16384.
	MaxAnswerHeaderBytes int64 `json:"max_answer_header_bytes" validate:"gte=1024"`
	// MaxBufferedBytes is the maximum size of the bodies of all answers that the VM holds at the same time, in bytes. Bodies up to
	// 4096 bytes do not count. 0 takes 0.2 of memory_mb, or 67108864 without it. Default 0.
	MaxBufferedBytes int64 `json:"max_buffered_bytes" validate:"gte=0"`
	// MaxConnections bounds the connections to all upstreams, those that are being opened included. At the limit, an idle one is
	// closed for a new one. 0 takes 0.4 of max_sockets, or no limit without it. Default 0.
	MaxConnections int64 `json:"max_connections" validate:"gte=0"`
}

// HeldBytes implements kernel.MemoryHolder.
func (s *Settings) HeldBytes(r kernel.Resources) int64 {
	switch {
	case s.MaxBufferedBytes > 0:
		return s.MaxBufferedBytes
	case r.MemoryBytes > 0:
		return int64(kernel.AnswerMemoryShare * float64(r.MemoryBytes))
	default:
		return defaultMaxBufferedBytes
	}
}

// maxConnections returns the limit on connections, 0 for none.
func (s *Settings) maxConnections(r kernel.Resources) int64 {
	if s.MaxConnections > 0 || r.Sockets == 0 {
		return s.MaxConnections
	}
	return max(int64(kernel.UpstreamSocketShare*float64(r.Sockets)), 1)
}

type params struct {
	fx.In
	Wire      kinds.Wire
	State     *kernel.State
	Clock     kernel.Clock
	Log       *slog.Logger
	Resources kernel.Resources
	// Intake is nil in a process without front ends.
	Intake kinds.Intake `optional:"true"`
}

type provided struct {
	fx.Out
	Client  kinds.UpstreamClient
	Metrics []kinds.Metric `group:"metrics,flatten"`
}

type client struct {
	params
	settings *Settings
	// pools maps poolKey to *pool.
	pools   sync.Map
	stop    chan struct{}
	done    sync.WaitGroup
	buffers buffers
	// connections counts the open connections, whose limit is maxConnections, 0 for none.
	connections    atomic.Int64
	maxConnections int64
	// opened counts connections, mismatched counts answers that belonged to another request, oversized those that exceeded
	// a limit.
	opened, mismatched, oversized atomic.Uint64
}

// poolKey identifies an upstream. Both fields are needed, because another upstream may reuse an ID or an address.
type poolKey struct {
	id      core.UpstreamID
	address string
}

func newClient(p params, settings *Settings) *client {
	c := &client{
		params: p, settings: settings, stop: make(chan struct{}), buffers: buffers{limit: settings.HeldBytes(p.Resources)},
		maxConnections: settings.maxConnections(p.Resources),
	}
	if p.Intake != nil {
		c.buffers.makeRoom = p.Intake.EndUnreadAnswers
	}
	return c
}

func (c *client) pool(to *core.Upstream) *pool {
	key := poolKey{to.ID, to.Address}
	if p, ok := c.pools.Load(key); ok {
		return p.(*pool)
	}
	p, _ := c.pools.LoadOrStore(key, &pool{client: c, key: key})
	return p.(*pool)
}

// Send implements kinds.UpstreamClient.
func (c *client) Send(ctx context.Context, a kinds.UpstreamRequest) core.Reply {
	p := c.pool(a.To)
	cn, err := p.get(ctx, a.Request.ID, a.AtMostOnce)
	if err == errNoConnection {
		return core.Reply{Outcome: core.OutcomeNotRun, Code: core.CodeOverloaded, Detail: err.Error()}
	}
	if err != nil {
		return core.Reply{Outcome: core.OutcomeNotRun, Code: core.CodeConnectFailed, Responded: responded(err), Detail: err.Error()}
	}
	if a.Admit != nil {
		if code := a.Admit(); code != core.CodeOK {
			p.put(cn)
			return core.Reply{Outcome: core.OutcomeNotRun, Code: code}
		}
	}
	reply, reusable := cn.exchange(ctx, &a)
	if reusable {
		p.put(cn)
	} else {
		cn.close()
		p.invalidate(cn, &reply)
	}
	return reply
}

// errNoConnection means that all connections that the VM may have to upstreams are in use.
var errNoConnection = errs.New("all connections to upstreams are in use")

// reserve takes the place of a new connection and closes an idle one if there is none.
func (c *client) reserve() bool {
	if c.connections.Add(1) <= c.maxConnections || c.maxConnections == 0 || c.closeIdle() {
		return true
	}
	c.connections.Add(-1)
	return false
}

// closeIdle closes one idle connection to any upstream.
func (c *client) closeIdle() (closed bool) {
	c.pools.Range(func(_, value any) bool {
		closed = value.(*pool).closeOldest()
		return !closed
	})
	return closed
}

func (c *client) start(context.Context) error {
	c.done.Go(c.sweep)
	return nil
}

// sweep closes expired idle connections and those to upstreams that are no longer registered.
func (c *client) sweep() {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-c.stop:
			return
		}
		view := c.State.Load()
		c.pools.Range(func(key, value any) bool {
			registered := view.State(key.(poolKey).id) != nil
			if value.(*pool).closeExpired(c.Clock.Now(), !registered) && !registered {
				c.pools.Delete(key)
			}
			return true
		})
	}
}

func (c *client) shutdown(context.Context) error {
	close(c.stop)
	c.done.Wait()
	c.pools.Range(func(_, value any) bool {
		value.(*pool).closeExpired(c.Clock.Now(), true)
		return true
	})
	return nil
}

func (c *client) metrics() []kinds.Metric {
	return []kinds.Metric{
		{Name: "upstream_connections_opened", Value: func() any { return c.opened.Load() }},
		{Name: "upstream_connections", Value: func() any { return c.connections.Load() }},
		{Name: "upstream_foreign_answers", Value: func() any { return c.mismatched.Load() }},
		{Name: "upstream_oversized_answers", Value: func() any { return c.oversized.Load() }},
		{Name: "upstream_buffered_bytes", Value: func() any { return c.buffers.used.Load() }},
	}
}
