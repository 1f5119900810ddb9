package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
	"gooseberrylane.example/plugins/internal/receive"
	"gooseberrylane.example/plugins/internal/stopping"
)

// meanRetryAfter is the mean time after which a caller that found no room may come back. Within it, unfinished requests that stall can
// be closed for others.
const meanRetryAfter = 300 * time.Millisecond

// handle serves one request of a caller.
func (g *gateway) handle(c *gin.Context) {
	request, err := g.read(c)
	if err != nil {
		g.reject(c, err)
		return
	}
	var answer kinds.RoutedAnswer
	if err := kernel.Protect(g.Log, "request", func() { answer = g.Router.Route(c.Request.Context(), request) }); err != nil {
		// Attempts may have been sent before the panic.
		g.Log.Error("request_panicked", "request", string(request.ID))
		answer = kinds.RoutedAnswer{Status: http.StatusInternalServerError, Error: core.Errorf(core.CodeInternal, "the request may have run")}
	}
	if stopping.Ended(c.Request.Context()) && answer.Error != nil && answer.Error.Code == core.CodeCancelled {
		g.Log.Warn("request_ended_by_stop", "request", string(request.ID), "status", answer.Status)
		answer.Error = core.Errorf(core.CodeOutcomeUnknown, "the VM is stopping; the request may have run")
	}
	// With a new connection, a refused caller may reach a VM of another failure domain.
	reconnect := answer.Status == http.StatusServiceUnavailable && g.Reach.Isolated()
	write(c, g.closing.Load() || reconnect, answer)
}

// reject answers a request that does not reach the router.
func (g *gateway) reject(c *gin.Context, err *core.Error) {
	g.Log.Info("request_rejected", "code", err.Code.String(), "detail", err.Detail, "target", c.Request.RequestURI)
	receive.Conn(c).Refuse()
	answer := kinds.RoutedAnswer{Status: statusOf(err.Code), Error: err}
	if err.Code == core.CodeOverloaded {
		answer.RetryAfter = g.retryAfter()
	}
	write(c, g.closing.Load() || err.Code == core.CodeNotReady, answer)
}

// retryAfter returns the time after which a caller that found no room may come back. It is random, so that callers do not come back at
// the same time.
func (g *gateway) retryAfter() time.Duration {
	return time.Duration((0.5 + g.Random.Generator().Float64()) * float64(meanRetryAfter))
}

func statusOf(code core.Code) int {
	switch code {
	case core.CodeBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case core.CodeNotReady, core.CodeOverloaded:
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadRequest
	}
}

// read reads the whole request.
func (g *gateway) read(c *gin.Context) (*core.ForwardRequest, *core.Error) {
	r := c.Request
	request := &core.ForwardRequest{Method: r.Method, Host: r.Host, Target: target(r), Path: r.URL.Path, Arrived: g.Clock.Now()}
	if err := g.Wire.DecodeRequest(r.Header, request); err != nil {
		var coded *core.Error
		if errors.As(err, &coded) {
			return nil, coded
		}
		return nil, core.Errorf(core.CodeBadRequest, "%v", err)
	}
	limit := defaultLimits.BodyBytes
	if table := g.State.Load().Routes; table != nil {
		limit = table.Limits.BodyBytes
	}
	body, err := receive.Body(c, limit)
	if err != nil {
		return nil, err
	}
	request.Body, request.HasBody = body, r.ContentLength != 0 || r.Header.Get("Content-Length") != ""
	return request, nil
}

// target returns the path and the query as the caller wrote them.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// write sends the answer. With closeConnection, the caller must not reuse the connection.
func write(c *gin.Context, closeConnection bool, answer kinds.RoutedAnswer) {
	h := c.Writer.Header()
	for _, f := range answer.Header {
		h[f.Name] = append(h[f.Name], f.Value)
	}
	if answer.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(answer.RetryAfter.Seconds(), 'f', 3, 64))
	}
	body := answer.Body
	if answer.Error != nil {
		body = errorBody(answer)
		h.Set("Content-Type", "application/json")
	} else if _, ok := h["Content-Type"]; !ok {
		// Without an entry, net/http would guess a type.
		h["Content-Type"] = nil
	}
	receive.Conn(c).Answer(int64(len(body)))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if closeConnection {
		h.Set("Connection", "close")
	}
	c.Writer.WriteHeader(answer.Status)
	c.Writer.WriteHeaderNow()
	// A write fails only if the caller has disconnected, which needs no handling.
	_, _ = c.Writer.Write(body)
}

// errorBody encodes an error that this VM, not an upstream, produced.
func errorBody(answer kinds.RoutedAnswer) []byte {
	body, err := json.Marshal(struct {
		Code         int     `json:"code"`
		Name         string  `json:"name"`
		Detail       string  `json:"detail"`
		RetryAfterMS float64 `json:"retry_after_ms,omitempty"`
	}{int(answer.Error.Code), answer.Error.Code.String(), answer.Error.Detail, float64(answer.RetryAfter) / float64(time.Millisecond)})
	if err != nil {
		return []byte(`{"code":9000,"name":"internal"}`)
	}
	return body
}
