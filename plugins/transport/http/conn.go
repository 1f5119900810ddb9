package http

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/tlsconf"
)

// Headers of the upstream protocol.
const (
	headerService    = "X-Service"
	headerRequest    = "X-Request-Id"
	headerAttempt    = "X-Attempt"
	headerShard      = "X-Shard"
	headerUpstream   = "X-Upstream"
	headerVersion    = "X-Index-Version"
	headerDeadline   = "X-Deadline-Us"
	headerIdempotent = "X-Idempotent"
	headerOldest     = "X-Window-Oldest"
	headerNewest     = "X-Window-Newest"
	headerDraining   = "X-Draining"
	headerRefused    = "X-Refused"
)

// maxHeaderBytes is the maximum size of the headers of an answer.
const maxHeaderBytes = 64 << 10

// conn is one connection to an upstream: an HTTP transport limited to a single connection, so that the pool can open,
// probe and close each connection separately.
type conn struct {
	base      string
	transport *http.Transport
	maxBody   int64
	// dialed is set once a connection has been opened. A request that failed before then was not sent.
	dialed atomic.Bool
	// broken connections are closed when they are released.
	broken atomic.Bool
	// opened and used are the Unix times in nanoseconds at which the connection was opened and last received an answer.
	opened, used atomic.Int64
	// suspect connections must answer a probe before they carry a request again.
	suspect atomic.Bool
}

func newConn(address string, settings *Settings, files *tlsconf.Files) *conn {
	c := &conn{base: files.Scheme() + "://" + address, maxBody: settings.MaxAnswerBytes}
	timeout := time.Duration(settings.DialTimeoutMS) * time.Millisecond
	open := files.Dial((&net.Dialer{Timeout: timeout}).DialContext, settings.TLSServerName, timeout)
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := open(ctx, network, addr)
		if err == nil {
			c.dialed.Store(true)
			c.opened.Store(time.Now().UnixNano())
		}
		return nc, err
	}
	c.transport = &http.Transport{
		DialContext: dial, DialTLSContext: dial, MaxResponseHeaderBytes: maxHeaderBytes,
		MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, DisableCompression: true,
	}
	return c
}

func (c *conn) close() { c.transport.CloseIdleConnections() }

// execute sends one attempt and reads its result.
func (c *conn) execute(ctx context.Context, attempt *core.Attempt) core.AttemptResult {
	result := core.AttemptResult{Attempt: attempt.ID}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/execute", bytes.NewReader(attempt.Payload))
	if err != nil {
		result.Outcome, result.Code = core.OutcomeNotRun, core.CodeInternal
		return result
	}
	// With GetBody, the transport could resend the request on its own.
	request.GetBody = nil
	setHeaders(request.Header, attempt)
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		c.broken.Store(true)
		result.Outcome, result.Code = c.classify(ctx, err)
		return result
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, c.maxBody+1))
	if err != nil || int64(len(data)) > c.maxBody {
		c.broken.Store(true)
		result.Code = core.CodeConnectionLost
		return result
	}
	c.used.Store(time.Now().UnixNano())
	readResult(response, data, &result)
	return result
}

func setHeaders(h http.Header, attempt *core.Attempt) {
	h[headerService] = []string{string(attempt.Service)}
	h[headerRequest] = []string{string(attempt.Request)}
	h[headerAttempt] = []string{formatAttemptID(attempt.ID)}
	h[headerShard] = []string{string(attempt.Shard)}
	h[headerUpstream] = []string{string(attempt.Upstream)}
	h[headerVersion] = []string{strconv.FormatUint(uint64(attempt.Version), 10)}
	h[headerDeadline] = []string{strconv.FormatInt(attempt.NotAfter.UnixMicro(), 10)}
	if !attempt.Idempotent {
		h[headerIdempotent] = []string{"0"}
	}
}

func formatAttemptID(id core.AttemptID) string {
	return fmt.Sprintf("%s.%d.%d", id.VM, id.Incarnation, id.Sequence)
}

// classify returns the outcome and code of a failed round trip.
func (c *conn) classify(ctx context.Context, err error) (core.Outcome, core.Code) {
	var op *net.OpError
	if !c.dialed.Load() || (errors.As(err, &op) && op.Op == "dial") {
		return core.OutcomeNotRun, core.CodeConnectFailed
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return core.OutcomeUnknown, core.CodeDeadlineExceeded
	case ctx.Err() != nil:
		return core.OutcomeUnknown, core.CodeCancelled
	default:
		return core.OutcomeUnknown, core.CodeConnectionLost
	}
}

func readResult(response *http.Response, data []byte, result *core.AttemptResult) {
	h := response.Header
	result.Version = core.IndexVersion(headerUint(h, headerVersion))
	result.Window = window(h)
	result.Draining = h.Get(headerDraining) != ""
	switch {
	case response.StatusCode == http.StatusOK:
		result.Outcome, result.Code, result.Data = core.OutcomeRan, core.CodeOK, data
	case h.Get(headerRefused) != "":
		result.Outcome, result.Code = core.OutcomeNotRun, refusal(h.Get(headerRefused))
	default:
		result.Outcome, result.Code = core.OutcomeRan, core.CodeUpstreamError
	}
}

// refusal returns the code for the reason that an upstream gives for not running a request.
func refusal(reason string) core.Code {
	code, ok := core.CodeByName(reason)
	if ok && (code.IsNotRun() || code == core.CodeShed || code == core.CodeVersionMissing) {
		return code
	}
	// Any other code, such as ok, would contradict the outcome.
	return core.CodeNotRun
}

func window(h http.Header) core.VersionWindow {
	w := core.VersionWindow{
		Oldest: core.IndexVersion(headerUint(h, headerOldest)),
		Newest: core.IndexVersion(headerUint(h, headerNewest)),
	}
	if w.Oldest > w.Newest {
		return core.VersionWindow{}
	}
	return w
}

func headerUint(h http.Header, name string) uint64 {
	n, err := strconv.ParseUint(h.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// health requests the index window and the draining state of the upstream on this connection.
func (c *conn) health(ctx context.Context) (core.AttemptResult, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/health", nil)
	if err != nil {
		return core.AttemptResult{}, err
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		c.broken.Store(true)
		outcome, code := c.classify(ctx, err)
		return core.AttemptResult{Outcome: outcome, Code: code}, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, c.maxBody)); err != nil {
		c.broken.Store(true)
		return core.AttemptResult{}, err
	}
	c.used.Store(time.Now().UnixNano())
	return core.AttemptResult{Window: window(response.Header), Draining: response.Header.Get(headerDraining) != ""}, nil
}

// cancel requests the cancellation of an attempt. A nil error means that the upstream cancelled the attempt or did not
// run it, so that it is not running once its connection is closed.
func (c *conn) cancel(ctx context.Context, id core.AttemptID) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.base+"/v1/execute/"+formatAttemptID(id), nil)
	if err != nil {
		return err
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		c.broken.Store(true)
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNoContent && response.StatusCode != http.StatusNotFound {
		return fmt.Errorf("cancellation answered with status %d", response.StatusCode)
	}
	c.used.Store(time.Now().UnixNano())
	return nil
}

// running reports whether the upstream confirms that it runs an attempt.
func (c *conn) running(ctx context.Context, id core.AttemptID) (bool, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/execute/"+formatAttemptID(id), nil)
	if err != nil {
		return false, err
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		c.broken.Store(true)
		return false, err
	}
	_ = response.Body.Close()
	c.used.Store(time.Now().UnixNano())
	return response.StatusCode == http.StatusNoContent, nil
}
