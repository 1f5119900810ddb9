// Package http is the plug-in that calls the platform's object API over HTTP.
package http

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"gooseberrylane.example/coord/circuit"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.PlatformKind, Name: "http",
		Settings: func() any { return &Settings{TimeoutMS: defaultTimeoutMS} },
		Options: func(s any) fx.Option {
			return fx.Provide(func(p params) provided {
				c := newClient(p, s.(*Settings))
				return provided{Platform: c, Metrics: c.metrics()}
			})
		},
	})
}

const (
	defaultTimeoutMS = 1000
	maxConnections   = 8
)

// Settings of the plug-in.
type Settings struct {
	// Address is the address of the platform's object API. Required.
	Address string `json:"address" validate:"required,hostname_port"`
	// TimeoutMS bounds one call, in milliseconds; a watch adds its waiting time. Default 1000.
	TimeoutMS int64 `json:"timeout_ms" validate:"gte=1,lte=60000"`
}

type params struct {
	fx.In
	Clock  kernel.Clock
	Random *kernel.Random
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
	// calls, failed and notTried count calls that were sent, that failed, and that the circuit held back.
	calls, failed, notTried atomic.Uint64

	mu      sync.Mutex
	breaker circuit.Breaker
	random  *rand.Rand
}

func newClient(p params, settings *Settings) *client {
	return &client{
		params: p, base: "http://" + settings.Address, timeout: time.Duration(settings.TimeoutMS) * time.Millisecond,
		http:   &http.Client{Transport: &http.Transport{MaxConnsPerHost: maxConnections, MaxIdleConnsPerHost: maxConnections}},
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

func (c *client) allow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.breaker.Allow(c.Clock.Now())
}

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
		{Name: "platform_calls_held_back", Value: func() any { return c.notTried.Load() }},
	}
}
