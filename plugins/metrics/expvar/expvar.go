// Package expvar is the plug-in that serves metrics with expvar on a separate listener.
package expvar

import (
	"context"
	"expvar"
	"log/slog"
	"net/http"

	"go.uber.org/fx"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
	"gooseberrylane.example/kernel/tlsconf"
	"gooseberrylane.example/plugins/internal/listen"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.MetricsKind, Name: "expvar",
		Settings: func() any { return &Settings{MaxConnections: defaultMaxConnections, TLS: tlsconf.Defaults()} },
		Options: func(s any) fx.Option {
			return fx.Invoke(func(lc fx.Lifecycle, p params) { serve(lc, p, s.(*Settings)) })
		},
	})
}

// Settings of the plug-in.
type Settings struct {
	// Listen is the address that serves GET /debug/vars. Required.
	Listen string `json:"listen" validate:"required,hostname_port"`
	// MaxConnections bounds the connections of clients. Default 64.
	MaxConnections int `json:"max_connections" validate:"gte=1"`
	// TLS protects the listener; off by default.
	TLS tlsconf.Settings `json:"tls"`
}

// Check implements kernel.Checker.
func (s *Settings) Check() []kernel.Problem { return s.TLS.CheckListener() }

const defaultMaxConnections = 64

type params struct {
	fx.In
	State   *kernel.State
	Log     *slog.Logger
	Metrics []kinds.Metric `group:"metrics"`
}

func serve(lc fx.Lifecycle, p params, settings *Settings) {
	mux := http.NewServeMux()
	vars := viewVars(p.State)
	addRuntimeVars(vars)
	for _, metric := range p.Metrics {
		vars.Set(metric.Name, expvar.Func(metric.Value))
	}
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A client that disconnects while it reads the metrics is not an error.
		_, _ = w.Write([]byte(vars.String()))
	})
	files := tlsconf.New(settings.TLS, p.Log)
	server := listen.NewServer(mux, settings.Listen, settings.MaxConnections, files, p.Log)
	lc.Append(fx.Hook{OnStart: files.Start, OnStop: files.Stop})
	lc.Append(fx.Hook{OnStart: server.Start, OnStop: func(context.Context) error { return server.Close() }})
}

// viewVars returns the variables that are computed from the view. They are not published globally, because one process
// may run several applications.
func viewVars(state *kernel.State) *expvar.Map {
	vars := new(expvar.Map)
	vars.Set("config_revision", expvar.Func(func() any { return state.Load().Config.Revision }))
	vars.Set("members", expvar.Func(func() any { return len(state.Load().Members.All) }))
	vars.Set("upstreams_held", expvar.Func(func() any { return len(state.Load().Ownership.Held) }))
	vars.Set("legs_sent", expvar.Func(func() any { return sumUpstreams(state, func(s *core.UpstreamState) uint64 { return s.Sent.Load() }) }))
	vars.Set("legs_failed", expvar.Func(func() any { return sumUpstreams(state, func(s *core.UpstreamState) uint64 { return s.Failed.Load() }) }))
	vars.Set("legs_shed", expvar.Func(func() any { return sumUpstreams(state, func(s *core.UpstreamState) uint64 { return s.Shed.Load() }) }))
	return vars
}

func sumUpstreams(state *kernel.State, value func(*core.UpstreamState) uint64) uint64 {
	var total uint64
	for _, s := range state.Load().Upstreams.All() {
		total += value(s)
	}
	return total
}
