// Package http is the plug-in that communicates with upstreams over HTTP.
package http

import (
	"log/slog"

	"go.uber.org/fx"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
	"gooseberrylane.example/kernel/tlsconf"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.TransportKind, Name: "http",
		Settings: func() any {
			return &Settings{
				DialTimeoutMS: defaultDialTimeoutMS, MaxAnswerBytes: defaultMaxAnswerBytes, CancelGraceMS: defaultCancelGraceMS,
				KeepaliveMS: defaultKeepaliveMS, ProbeTimeoutMS: defaultProbeTimeoutMS, TLS: tlsconf.Defaults(),
			}
		},
		Options: func(s any) fx.Option {
			return fx.Provide(func(lc fx.Lifecycle, log *slog.Logger) kinds.Transport {
				settings := s.(*Settings)
				files := tlsconf.New(settings.TLS, log)
				lc.Append(fx.Hook{OnStart: files.Start, OnStop: files.Stop})
				return &transport{settings: settings, files: files}
			})
		},
	})
}

const (
	defaultDialTimeoutMS  = 250
	defaultMaxAnswerBytes = 1 << 20
	defaultCancelGraceMS  = 50
	defaultKeepaliveMS    = 1000
	defaultProbeTimeoutMS = 250
)

// Settings of the plug-in.
type Settings struct {
	// DialTimeoutMS is the timeout for opening a connection, in milliseconds. Default 250.
	DialTimeoutMS int64 `json:"dial_timeout_ms" validate:"gte=1,lte=60000"`
	// MaxAnswerBytes is the maximum size of the body of an upstream's answer, in bytes. Default 1048576.
	MaxAnswerBytes int64 `json:"max_answer_bytes" validate:"gte=1"`
	// CancelGraceMS is how long a cancelled attempt may take to end before its connection is closed, in milliseconds.
	// Default 50.
	CancelGraceMS int64 `json:"cancel_grace_ms" validate:"gte=1,lte=10000"`
	// KeepaliveMS is how long a connection may be silent while a request waits on it, in milliseconds. After that, another
	// connection is used to check that the upstream still runs the request; if not, the silent one is closed. Default 1000.
	KeepaliveMS int64 `json:"keepalive_ms" validate:"gte=10,lte=600000"`
	// ProbeTimeoutMS is the timeout for the probe of an idle or suspect connection, in milliseconds. Default 250.
	ProbeTimeoutMS int64 `json:"probe_timeout_ms" validate:"gte=10,lte=60000"`
	// TLS protects the connections to upstreams; off by default.
	TLS tlsconf.Settings `json:"tls"`
	// TLSServerName is the name that the certificates of all upstreams must carry; empty means the host of the address
	// of each upstream. Default empty.
	TLSServerName string `json:"tls_server_name" validate:"omitempty,max=255,hostname_rfc1123"`
}

// Check implements kernel.Checker.
func (s *Settings) Check() []kernel.Problem { return s.TLS.CheckClient() }

type transport struct {
	settings *Settings
	files    *tlsconf.Files
}

// Open implements kinds.Transport.
func (t *transport) Open(upstream core.Upstream, limit int) kinds.Pool {
	return newPool(upstream, limit, t.settings, t.files)
}
