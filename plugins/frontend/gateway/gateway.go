// Package gateway is the front end that forwards the requests of callers according to the routing table. It also serves the
// readiness check of the platform's balancer.
package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/zeebo/errs"
	"go.uber.org/fx"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
	"gooseberrylane.example/plugins/internal/receive"
	"gooseberrylane.example/plugins/internal/stopping"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.FrontEnd, Name: "gateway",
		Settings: func() any {
			return &Settings{BalancerLagMS: defaultBalancerLagMS, StopMarginMS: defaultStopMarginMS}
		},
		Options: func(s any) fx.Option {
			return fx.Invoke(func(lc fx.Lifecycle, p params) { newGateway(lc, p, s.(*Settings)) })
		},
	})
}

const (
	// defaultBalancerLagMS covers two checks of the balancer, one second apart, and the transit time of their answers.
	defaultBalancerLagMS = 2300
	defaultStopMarginMS  = 400
)

// Settings of the plug-in.
type Settings struct {
	// Listen is the address for callers. Required.
	Listen string `json:"listen" validate:"required,hostname_port"`
	// ListenReady is the address for readiness checks of the balancer. Required.
	ListenReady string `json:"listen_ready" validate:"required,hostname_port"`
	// ReadyPath is the path of the readiness checks. Required.
	ReadyPath string `json:"ready_path" validate:"required,startswith=/"`
	// BalancerLagMS is how long the balancer may still send connections after the VM reports not ready, in milliseconds.
	// Default 2300.
	BalancerLagMS int64 `json:"balancer_lag_ms" validate:"gte=0,lte=600000"`
	// StopMarginMS is the part of the stop timeout that is reserved for the other plug-ins, in milliseconds. The gateway
	// stops waiting for requests in flight before it. Default 400.
	StopMarginMS int64 `json:"stop_margin_ms" validate:"gte=0,lte=60000"`
}

type params struct {
	fx.In
	State  *kernel.State
	Clock  kernel.Clock
	Log    *slog.Logger
	Wire   kinds.Wire
	Router kinds.Router
	Reach  kinds.Reach
	Intake kinds.Intake
	Random *kernel.Random
}

type gateway struct {
	params
	settings *Settings
	callers  *server
	ready    *http.Server
	phase    *stopping.Phase
	// stopping is true once the stop has begun; readiness checks then fail.
	stopping atomic.Bool
	// closing is true while answers carry Connection: close.
	closing atomic.Bool
	// stopFollowing ends followLimits.
	stopFollowing context.CancelFunc
}

func newGateway(lc fx.Lifecycle, p params, settings *Settings) *gateway {
	gin.SetMode(gin.ReleaseMode)
	g := &gateway{params: p, settings: settings, phase: stopping.New(p.Clock)}
	callers := gin.New()
	callers.Use(gin.CustomRecoveryWithWriter(nil, func(c *gin.Context, cause any) {
		g.Log.Error("request_panicked", "cause", fmt.Sprint(cause))
		write(c, true, kinds.RoutedAnswer{Status: http.StatusInternalServerError, Error: core.Errorf(core.CodeInternal, "the request failed with an internal error")})
	}))
	callers.NoRoute(receive.Admit(g.reject), g.phase.Handler(g.reject), g.handle)
	g.callers = newServer(callers, p.Intake, p.Log)
	ready := gin.New()
	ready.GET(settings.ReadyPath, g.serveReady)
	g.ready = &http.Server{Handler: ready, ReadHeaderTimeout: defaultLimits.HeaderTimeout}
	lc.Append(fx.Hook{OnStart: g.start, OnStop: g.shutdown})
	return g
}

func (g *gateway) start(ctx context.Context) error {
	var config net.ListenConfig
	ready, err := config.Listen(ctx, "tcp", g.settings.ListenReady)
	if err != nil {
		return err
	}
	g.fit(defaultLimits)
	if err := g.callers.listen(ctx, g.settings.Listen); err != nil {
		return errs.Combine(err, ready.Close())
	}
	go func() {
		if err := g.ready.Serve(ready); err != http.ErrServerClosed {
			g.Log.Error("listener_failed", "address", g.settings.ListenReady, "error", err.Error())
		}
	}()
	followCtx, cancel := context.WithCancel(context.Background())
	g.stopFollowing = cancel
	go g.followLimits(followCtx)
	return nil
}

// fit makes sure that the largest legal request fits.
func (g *gateway) fit(limits core.CallerLimits) {
	g.Intake.Fit(limits.BodyBytes, int64(limits.HeaderBytes))
}

// followLimits applies the limits of the routing table in force to new connections.
func (g *gateway) followLimits(ctx context.Context) {
	for {
		changed := g.State.Changed()
		if table := g.State.Load().Routes; table != nil {
			g.fit(table.Limits)
			g.callers.setLimits(table.Limits)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// shutdown reports not ready, keeps serving for BalancerLagMS, and then waits for the requests in flight. Requests on connections that
// are still open then are refused when little time is left, and those that are in flight near the end are answered.
func (g *gateway) shutdown(ctx context.Context) error {
	g.stopping.Store(true)
	g.phase.Begin(ctx)
	g.Log.Info("not_ready", "reason", "stopping")
	kernel.Sleep(ctx, time.Duration(g.settings.BalancerLagMS)*time.Millisecond)
	g.closing.Store(true)
	g.stopFollowing()
	limited := ctx
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		limited, cancel = context.WithDeadline(ctx, deadline.Add(-time.Duration(g.settings.StopMarginMS)*time.Millisecond))
		defer cancel()
	}
	err := g.phase.Result(g.callers.shutdown(limited))
	return errs.Combine(err, g.ready.Close())
}

func (g *gateway) serveReady(c *gin.Context) {
	// A VM that is isolated from all other failure domains cannot answer for their shards, but VMs of other domains can.
	if g.stopping.Load() || !g.State.Load().Ready || g.Reach.Isolated() {
		c.Status(http.StatusServiceUnavailable)
		return
	}
	c.Status(http.StatusOK)
}

// defaultLimits apply until a routing table is in force.
var defaultLimits = core.CallerLimits{HeaderBytes: 16 << 10, BodyBytes: 256 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
