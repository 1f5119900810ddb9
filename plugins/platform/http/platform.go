// Package http is the plug-in that calls the platform's object API over HTTP.
package http

import (
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"gooseberrylane.example/coord/circuit"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
	"gooseberrylane.example/kernel/tlsconf"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.PlatformKind, Name: "http",
		Settings: func() any { return &Settings{TimeoutMS: defaultTimeoutMS, TLS: tlsconf.Defaults()} },
		Options: func(s any) fx.Option {
			return fx.Provide(func(lc fx.Lifecycle, p params) provided {
				c := newClient(lc, p, s.(*Settings))
				return provided{Platform: c, Metrics: c.metrics()}
			})
		},
	})
}

const (
	defaultTimeoutMS = 1000
	maxConnections   = 8
	maxHeaderBytes   = 64 << 10
)

// Settings of the plug-in.
type Settings struct {
	// Address is the address of the platform's object API. Required.
	Address string `json:"address" validate:"required,hostname_port"`
	// TimeoutMS bounds one call, in milliseconds; a watch adds its waiting time. Default 1000.
	TimeoutMS int64 `json:"timeout_ms" validate:"gte=1,lte=60000"`
	// TLS protects the calls; off by default.
	TLS tlsconf.Settings `json:"tls"`
	// TLSServerName is the name that the platform's certificate must carry; empty means the host of Address. Default
	// empty.
	TLSServerName string `json:"tls_server_name" validate:"omitempty,max=255,hostname_rfc1123"`
}

// Check implements kernel.Checker.
func (s *Settings) Check() []kernel.Problem { return s.TLS.CheckClient() }

type params struct {
	fx.In
	Clock  kernel.Clock
	Random *kernel.Random
	Log    *slog.Logger
}

type provided struct {
	fx.Out
	Platform kinds.Platform
	Metrics  []kinds.Metric `group:"metrics,flatten"`
}

type client struct {
	params
	base        string
	timeout     time.Duration
	http        *http.Client
	lastContact atomic.Int64
	// calls, failed and rejected count calls that were sent, that failed, and that the circuit breaker rejected.
	calls, failed, rejected atomic.Uint64

	mu      sync.Mutex
	breaker circuit.Breaker
	random  *rand.Rand
}

func newClient(lc fx.Lifecycle, p params, settings *Settings) *client {
	files := tlsconf.New(settings.TLS, p.Log)
	lc.Append(fx.Hook{OnStart: files.Start, OnStop: files.Stop})
	dial := files.Dial((&net.Dialer{}).DialContext, settings.TLSServerName, 0)
	return &client{
		params: p, base: files.Scheme() + "://" + settings.Address, timeout: time.Duration(settings.TimeoutMS) * time.Millisecond,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext: dial, DialTLSContext: dial, MaxConnsPerHost: maxConnections, MaxIdleConnsPerHost: maxConnections,
				MaxResponseHeaderBytes: maxHeaderBytes,
			},
			// Redirects are not followed: calls go only to the address of the settings.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		random: p.Random.Generator(),
	}
}

// LastContact implements kinds.Platform.
func (c *client) LastContact() time.Time {
	nanos := c.lastContact.Load()
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

// allow reports whether the circuit breaker permits a call.
func (c *client) allow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.breaker.Allow(c.Clock.Now())
}

// reportAbandoned records a call that its caller cancelled. It indicates neither a fault of the platform nor a contact with it.
func (c *client) reportAbandoned() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaker.Abandoned()
}

// report records the result of a call in the circuit breaker; ok also counts as a contact with the platform.
func (c *client) report(ok bool) {
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ok {
		c.failed.Add(1)
		c.breaker.Failure(now, c.random)
		return
	}
	c.breaker.Success()
	c.lastContact.Store(now.UnixNano())
}

func (c *client) metrics() []kinds.Metric {
	return []kinds.Metric{
		{Name: "platform_calls", Value: func() any { return c.calls.Load() }},
		{Name: "platform_calls_failed", Value: func() any { return c.failed.Load() }},
		{Name: "platform_calls_held_back", Value: func() any { return c.rejected.Load() }},
	}
}
