// Package web holds the parts that the HTTP front ends share: the router, bounded and strict decoding of bodies, and error
// bodies.
package web

import (
	"log/slog"

	"github.com/gin-gonic/gin"

	"gooseberrylane.example/core"
	"gooseberrylane.example/plugins/internal/receive"
)

// gin prints to standard output in its debug mode.
func init() { gin.SetMode(gin.ReleaseMode) }

// NewRouter returns a router that answers unknown paths, wrong methods and panics with an error body.
func NewRouter(log *slog.Logger) *gin.Engine {
	router := gin.New()
	router.HandleMethodNotAllowed = true
	router.Use(gin.CustomRecovery(func(c *gin.Context, cause any) {
		log.Error("request_panicked", "cause", cause)
		WriteError(c, core.Errorf(core.CodeInternal, "the request failed with an internal error"), 0)
	}))
	router.Use(receive.Admit(func(c *gin.Context, err *core.Error) { WriteError(c, err, 0) }))
	router.NoRoute(func(c *gin.Context) { WriteError(c, core.Errorf(core.CodeNotFound, "no such path"), 0) })
	router.NoMethod(func(c *gin.Context) {
		WriteError(c, core.Errorf(core.CodeMethodNotAllowed, "method %s is not allowed", c.Request.Method), 0)
	})
	return router
}
