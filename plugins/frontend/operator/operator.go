// Package operator is the front end for operators over HTTP and JSON, on a listener of its own.
package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"log/slog"
	"net/http"
	"strings"

	"github.com/gin-gonic/gin"
	"go.uber.org/fx"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
	"gooseberrylane.example/kernel/tlsconf"
	"gooseberrylane.example/plugins/frontend/internal/web"
	"gooseberrylane.example/plugins/internal/listen"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.FrontEnd, Name: "operator",
		Settings: func() any {
			return &Settings{MaxBodyBytes: defaultMaxBodyBytes, MaxConnections: defaultMaxConnections, TLS: tlsconf.Defaults()}
		},
		Options: func(s any) fx.Option {
			return fx.Invoke(func(lc fx.Lifecycle, p params) { newFrontEnd(lc, p, s.(*Settings)) })
		},
	})
}

const (
	// An intent may hold a whole service, and the store accepts values of at most 1 MB.
	defaultMaxBodyBytes   = 1 << 20
	defaultMaxConnections = 64
)

// Settings of the plug-in.
type Settings struct {
	// Listen is the address for operators. Required.
	Listen string `json:"listen" validate:"required,hostname_port"`
	// Key is the operator key that requests carry in the header Authorization: Bearer. Empty turns the check off.
	// Default empty.
	Key string `json:"key" validate:"omitempty,min=16,max=512,printascii"`
	// MaxBodyBytes bounds the body of a request, in bytes. Default 1048576.
	MaxBodyBytes int64 `json:"max_body_bytes" validate:"gte=1"`
	// MaxConnections bounds the connections of operators. Default 64.
	MaxConnections int `json:"max_connections" validate:"gte=1"`
	// TLS protects the listener; off by default.
	TLS tlsconf.Settings `json:"tls"`
}

// Check implements kernel.Checker.
func (s *Settings) Check() []kernel.Problem { return s.TLS.CheckListener() }

type params struct {
	fx.In
	State    *kernel.State
	Identity kernel.Identity
	Clock    kernel.Clock
	Log      *slog.Logger
	Intake   kinds.Intake
	// Operations is nil when the chosen configuration plug-in does not accept changes.
	Operations kinds.Operations `optional:"true"`
}

type frontEnd struct {
	params
	settings *Settings
	// key is the hash of the operator key, so that the comparison takes the same time for keys of every length.
	key     [sha256.Size]byte
	handler http.Handler
}

func newFrontEnd(lc fx.Lifecycle, p params, settings *Settings) *frontEnd {
	f := &frontEnd{params: p, settings: settings, key: sha256.Sum256([]byte(settings.Key))}
	f.handler = f.router()
	files := tlsconf.New(settings.TLS, p.Log)
	server := listen.NewServer(f.handler, settings.Listen, settings.MaxConnections, files, p.Log)
	server.Admit(p.Intake, settings.MaxBodyBytes)
	lc.Append(fx.Hook{OnStart: files.Start, OnStop: files.Stop})
	lc.Append(fx.Hook{OnStart: server.Start, OnStop: server.Stop})
	return f
}

func (f *frontEnd) router() *gin.Engine {
	router := web.NewRouter(f.Log)
	router.Use(f.authorize)
	router.POST("/v1/plans", f.withOperations(f.plan))
	router.GET("/v1/plans/:id", f.withOperations(f.getPlan))
	router.POST("/v1/plans/:id/confirm", f.withOperations(f.confirm))
	router.GET("/v1/history", f.withOperations(f.history))
	router.GET("/v1/progress", f.withOperations(f.progress))
	router.GET("/v1/status", f.status)
	return router
}

// authorize refuses requests without the operator key.
func (f *frontEnd) authorize(c *gin.Context) {
	if f.settings.Key == "" {
		return
	}
	given, _ := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(given))
	if subtle.ConstantTimeCompare(sum[:], f.key[:]) != 1 {
		web.WriteError(c, core.Errorf(core.CodeUnauthorized, "the header Authorization: Bearer must carry the operator key"), 0)
	}
}
