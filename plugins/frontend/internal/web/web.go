// Package web holds what the HTTP front ends share: the router, the server, bounded and strict bodies, and the body of
// a refused request.
package web

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"gooseberrylane.example/core"
)

// gin prints to standard output in its debug mode.
func init() { gin.SetMode(gin.ReleaseMode) }

// Limits that every HTTP listener has.
const (
	headerTimeout  = 5 * time.Second
	bodyTimeout    = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
)

// NewRouter returns a router that answers unknown paths, wrong methods and panics with an error body.
func NewRouter(log *slog.Logger) *gin.Engine {
	router := gin.New()
	router.HandleMethodNotAllowed = true
	router.Use(gin.CustomRecovery(func(c *gin.Context, cause any) {
		log.Error("request_panicked", "cause", cause)
		WriteError(c, core.Errorf(core.CodeInternal, "the request failed inside the VM"), 0)
	}))
	router.NoRoute(func(c *gin.Context) { WriteError(c, core.Errorf(core.CodeNotFound, "no such path"), 0) })
	router.NoMethod(func(c *gin.Context) {
		WriteError(c, core.Errorf(core.CodeMethodNotAllowed, "method %s", c.Request.Method), 0)
	})
	return router
}

// Server is one HTTP listener of a front end.
type Server struct {
	server         *http.Server
	address        string
	maxConnections int
	log            *slog.Logger
}

// NewServer returns a server that listens on address once started and holds at most maxConnections.
func NewServer(handler http.Handler, address string, maxConnections int, log *slog.Logger) *Server {
	return &Server{
		server: &http.Server{
			Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		},
		address: address, maxConnections: maxConnections, log: log,
	}
}

// Start opens the listener and serves in the background. The error is that of the listener.
func (s *Server) Start(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.address)
	if err != nil {
		return err
	}
	listener = newLimitListener(listener, s.maxConnections)
	go func() {
		if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("listener_failed", "address", s.address, "error", err.Error())
		}
	}()
	return nil
}

// Stop closes the listener and waits for the requests in flight until ctx ends.
func (s *Server) Stop(ctx context.Context) error { return s.server.Shutdown(ctx) }
