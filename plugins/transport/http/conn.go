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

// maxHeaderBytes bounds the headers of an answer.
const maxHeaderBytes = 64 << 10

// conn is one connection to an upstream: a client whose transport is bound to a single connection, so that the pool
// can open, probe and close each connection by itself.
type conn struct {
	base      string
	transport *http.Transport
	maxBody   int64
	// dialed is set once a connection was opened; before that, a failed request was certainly not sent.
	dialed atomic.Bool
	broken atomic.Bool
	// opened and used are Unix times in nanoseconds: when the TCP connection was opened and last carried an answer.
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

// execute sends one leg and reads its result.
func (c *conn) execute(ctx context.Context, leg *core.Attempt) core.AttemptResult {
	result := core.AttemptResult{Attempt: leg.ID}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/execute", bytes.NewReader(leg.Payload))
	if err != nil {
		result.Outcome, result.Code = core.OutcomeNotRun, core.CodeInternal
		return result
	}
	// GetBody would let the transport send the body a second time by itself.
	request.GetBody = nil
	setHeaders(request.Header, leg)
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

func setHeaders(h http.Header, leg *core.Attempt) {
	h[headerService] = []string{string(leg.Service)}
	h[headerRequest] = []string{string(leg.Request)}
	h[headerAttempt] = []string{attemptText(leg.ID)}
	h[headerShard] = []string{string(leg.Shard)}
	h[headerUpstream] = []string{string(leg.Upstream)}
	h[headerVersion] = []string{strconv.FormatUint(uint64(leg.Version), 10)}
	h[headerDeadline] = []string{strconv.FormatInt(leg.NotAfter.UnixMicro(), 10)}
	if !leg.Idempotent {
		h[headerIdempotent] = []string{"0"}
	}
}

func attemptText(a core.AttemptID) string {
	return fmt.Sprintf("%s.%d.%d", a.VM, a.Incarnation, a.Sequence)
}

// classify tells what a failed round trip proves.
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

// refusal maps the reason that an upstream names for a request that it did not run.
func refusal(reason string) core.Code {
	code, ok := core.CodeByName(reason)
	if ok && (code.IsNotRun() || code == core.CodeShed || code == core.CodeVersionMissing) {
		return code
	}
	// A code of another family, such as ok, would contradict the outcome.
	return core.CodeNotRun
}

func window(h http.Header) core.Window {
	w := core.Window{
		Oldest: core.IndexVersion(headerUint(h, headerOldest)),
		Newest: core.IndexVersion(headerUint(h, headerNewest)),
	}
	if w.Oldest > w.Newest {
		return core.Window{}
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

// health asks for the state of the upstream on this connection.
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

// cancel asks the upstream to cancel an attempt. A nil error proves that the attempt is not running any more, once its
// connection is closed: the upstream cancelled it, or had none.
func (c *conn) cancel(ctx context.Context, attempt core.AttemptID) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.base+"/v1/execute/"+attemptText(attempt), nil)
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

// running asks the upstream whether it runs an attempt.
func (c *conn) running(ctx context.Context, attempt core.AttemptID) (bool, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/execute/"+attemptText(attempt), nil)
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
