// Package http is the front end for callers over HTTP and JSON.
package http

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/zeebo/errs"
	"go.uber.org/fx"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
	"gooseberrylane.example/kernel/tlsconf"
	"gooseberrylane.example/plugins/frontend/internal/web"
	"gooseberrylane.example/plugins/internal/listen"
	"gooseberrylane.example/plugins/internal/stopping"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.FrontEnd, Name: "http",
		Settings: func() any {
			return &Settings{
				MaxBodyBytes: defaultMaxBodyBytes, MaxConnections: defaultMaxConnections, BalancerLagMS: defaultBalancerLagMS,
				TLS: tlsconf.Defaults(),
			}
		},
		Options: func(s any) fx.Option {
			return fx.Invoke(func(lc fx.Lifecycle, p params) { newFrontEnd(lc, p, s.(*Settings)) })
		},
	})
}

const (
	defaultMaxBodyBytes   = 1 << 20
	defaultMaxConnections = 4096
	defaultBalancerLagMS  = 1000
)

// Settings of the plug-in.
type Settings struct {
	// Listen is the address for callers. Required.
	Listen string `json:"listen" validate:"required,hostname_port"`
	// MaxBodyBytes bounds the body of a request. Default 1048576.
	MaxBodyBytes int64 `json:"max_body_bytes" validate:"gte=1"`
	// MaxConnections bounds the connections of callers. Default 4096.
	MaxConnections int `json:"max_connections" validate:"gte=1"`
	// BalancerLagMS is how long the platform's balancer may still send work after the VM reports not ready, in
	// milliseconds. The VM serves during that time and answers with Connection: close. Default 1000.
	BalancerLagMS int64 `json:"balancer_lag_ms" validate:"gte=0,lte=600000"`
	// TLS protects the listener; off by default.
	TLS tlsconf.Settings `json:"tls"`
}

// Check implements kernel.Checker.
func (s *Settings) Check() []kernel.Problem { return s.TLS.CheckListener() }

type params struct {
	fx.In
	State      *kernel.State
	Clock      kernel.Clock
	Log        *slog.Logger
	Engine     kinds.Engine
	Membership kinds.Membership
	Intake     kinds.Intake
}

type frontEnd struct {
	params
	settings *Settings
	handler  http.Handler
	files    *tlsconf.Files
	server   *listen.Server
	phase    *stopping.Phase
	stopping atomic.Bool
}

func newFrontEnd(lc fx.Lifecycle, p params, settings *Settings) *frontEnd {
	f := &frontEnd{params: p, settings: settings, phase: stopping.New(p.Clock)}
	router := web.NewRouter(p.Log)
	router.Use(f.closeWhileStopping)
	router.POST("/v1/query", f.phase.Handler(func(c *gin.Context, err *core.Error) { web.WriteError(c, err, 0) }), f.query)
	router.GET("/v1/ready", f.ready)
	f.handler = router
	files := tlsconf.New(settings.TLS, p.Log)
	f.files = files
	f.server = f.newServer(settings.Listen)
	lc.Append(fx.Hook{OnStart: files.Start, OnStop: files.Stop})
	lc.Append(fx.Hook{OnStart: f.server.Start, OnStop: f.stop})
	return f
}

func (f *frontEnd) newServer(address string) *listen.Server {
	server := listen.NewServer(f.handler, address, f.settings.MaxConnections, f.files, f.Log)
	server.Admit(f.Intake, f.settings.MaxBodyBytes)
	return server
}

// stop reports not ready, keeps serving for BalancerLagMS, and then waits for the requests in flight. Requests on connections that are
// still open then are refused when little time is left, and those that are in flight near the end are answered. It leaves the membership
// last.
func (f *frontEnd) stop(ctx context.Context) error {
	f.stopping.Store(true)
	f.phase.Begin(ctx)
	lag := time.NewTimer(time.Duration(f.settings.BalancerLagMS) * time.Millisecond)
	defer lag.Stop()
	select {
	case <-lag.C:
	case <-ctx.Done():
	}
	err := f.phase.Result(f.server.Stop(ctx))
	return errs.Combine(err, f.Membership.Leave(ctx))
}

// closeWhileStopping makes the caller close its connection after the answer. If the server closed idle connections
// instead, a request in transit could be lost.
func (f *frontEnd) closeWhileStopping(c *gin.Context) {
	if f.stopping.Load() {
		c.Header("Connection", "close")
	}
}

func (f *frontEnd) ready(c *gin.Context) {
	if f.stopping.Load() || !f.State.Load().Ready {
		web.WriteError(c, core.Errorf(core.CodeNotReady, "the VM accepts no new work"), 0)
		return
	}
	c.JSON(http.StatusOK, gin.H{"ready": true, "revision": f.State.Load().Config.Revision})
}
