// Package http is the front end for callers over HTTP and JSON.
package http

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"go.uber.org/fx"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func init() {
	gin.SetMode(gin.ReleaseMode)
	kernel.Register(kernel.Plugin{
		Kind: kinds.FrontEnd, Name: "http",
		Settings: func() any {
			return &Settings{MaxBodyBytes: defaultMaxBodyBytes, MaxConnections: defaultMaxConnections, BalancerLagMS: defaultBalancerLagMS}
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
	headerTimeout         = 5 * time.Second
	bodyTimeout           = 10 * time.Second
	idleTimeout           = 2 * time.Minute
	maxHeaderBytes        = 16 << 10
)

// Settings of the plug-in.
type Settings struct {
	// Listen is the address for callers. Required.
	Listen string `json:"listen" validate:"required,hostname_port"`
	// MaxBodyBytes bounds the body of a request. Default 1048576.
	MaxBodyBytes int64 `json:"max_body_bytes" validate:"gte=1"`
	// MaxConnections bounds the connections of callers. Default 4096.
	MaxConnections int `json:"max_connections" validate:"gte=1"`
	// BalancerLagMS is how long the platform's balancer may still send work after the VM is not ready, in milliseconds.
	// The VM serves during that time and asks callers to close their connections. Default 1000.
	BalancerLagMS int64 `json:"balancer_lag_ms" validate:"gte=0,lte=600000"`
}

type params struct {
	fx.In
	State      *kernel.State
	Clock      kernel.Clock
	Log        *slog.Logger
	Engine     kinds.Engine
	Membership kinds.Membership
}

type frontEnd struct {
	params
	settings *Settings
	server   *http.Server
	stopping atomic.Bool
}

func newFrontEnd(lc fx.Lifecycle, p params, settings *Settings) *frontEnd {
	f := &frontEnd{params: p, settings: settings}
	router := gin.New()
	router.HandleMethodNotAllowed = true
	router.Use(gin.CustomRecovery(f.recovered), f.closeWhileStopping)
	router.NoRoute(func(c *gin.Context) { writeError(c, core.Errorf(core.CodeNotFound, "no such path"), 0) })
	router.NoMethod(func(c *gin.Context) {
		writeError(c, core.Errorf(core.CodeMethodNotAllowed, "method %s", c.Request.Method), 0)
	})
	router.POST("/v1/query", f.query)
	router.GET("/v1/ready", f.ready)
	f.server = &http.Server{
		Handler: router, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	lc.Append(fx.Hook{OnStart: f.start, OnStop: f.stop})
	return f
}

func (f *frontEnd) start(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", f.settings.Listen)
	if err != nil {
		return err
	}
	listener = newLimitListener(listener, f.settings.MaxConnections)
	go func() {
		if err := f.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			f.Log.Error("caller_listener_failed", "error", err.Error())
		}
	}()
	return nil
}

// stop reports not ready, serves until the balancer has noticed, and then waits for the requests in flight.
func (f *frontEnd) stop(ctx context.Context) error {
	f.stopping.Store(true)
	lag := time.NewTimer(time.Duration(f.settings.BalancerLagMS) * time.Millisecond)
	defer lag.Stop()
	select {
	case <-lag.C:
	case <-ctx.Done():
	}
	err := f.server.Shutdown(ctx)
	return errors.Join(err, f.Membership.Leave(ctx))
}

// closeWhileStopping asks the caller to close its connection after the answer. A connection that the server closes while
// it is idle could lose a request that is on its way.
func (f *frontEnd) closeWhileStopping(c *gin.Context) {
	if f.stopping.Load() {
		c.Header("Connection", "close")
	}
}

func (f *frontEnd) ready(c *gin.Context) {
	if f.stopping.Load() || !f.State.Load().Ready {
		writeError(c, core.Errorf(core.CodeNotReady, "the VM takes no new work"), 0)
		return
	}
	c.JSON(http.StatusOK, gin.H{"ready": true, "revision": f.State.Load().Config.Revision})
}

func (f *frontEnd) recovered(c *gin.Context, cause any) {
	f.Log.Error("request_panicked", "cause", cause)
	writeError(c, core.Errorf(core.CodeInternal, "the request failed inside the VM"), 0)
}

// limitListener bounds the open connections; further ones wait in the backlog of the operating system.
type limitListener struct {
	net.Listener
	tokens chan struct{}
	closed chan struct{}
	once   atomic.Bool
}

func newLimitListener(l net.Listener, limit int) *limitListener {
	return &limitListener{Listener: l, tokens: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.tokens <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.tokens
		return nil, err
	}
	return &limitedConn{Conn: c, release: func() { <-l.tokens }}, nil
}

// Close implements net.Listener.
func (l *limitListener) Close() error {
	if l.once.CompareAndSwap(false, true) {
		close(l.closed)
	}
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	once    atomic.Bool
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	if c.once.CompareAndSwap(false, true) {
		defer c.release()
	}
	return c.Conn.Close()
}
