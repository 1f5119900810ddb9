package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
)

const (
	readBufferBytes = 2048
	// smallBodyBytes is the largest body that is written together with the headers before the answer is read.
	smallBodyBytes = 4 << 10
	// keepAliveMargin is subtracted from the idle timeout that an upstream announces, for the transit of the next request.
	keepAliveMargin = 300 * time.Millisecond
)

// conn is one connection to an upstream. It carries one request at a time.
type conn struct {
	client *client
	net    net.Conn
	reader *bufio.Reader
	limit  io.LimitedReader
	opened time.Time
	// lastUsed is when the last answer ended, lastSent when the last request was sent.
	lastUsed, lastSent time.Time
	maxIdle            time.Duration
	closed             atomic.Bool
	// requests holds the IDs of the last requests on the connection, the next one to replace at position sent.
	requests [rememberedRequests]core.RequestID
	sent     int
}

// rememberedRequests is the number of requests for which a connection expects second copies of their answers. Copies that
// arrive while the connection is idle are detected by their bytes.
const rememberedRequests = 4

// carried reports whether one of the last requests on the connection had the ID.
func (cn *conn) carried(id core.RequestID) bool {
	return id != "" && slices.Contains(cn.requests[:], id)
}

func newConn(c *client, nc net.Conn, opened time.Time) *conn {
	cn := &conn{client: c, net: nc, opened: opened, maxIdle: time.Duration(c.settings.MaxIdleMS) * time.Millisecond}
	cn.limit.R = nc
	cn.reader = bufio.NewReaderSize(&cn.limit, readBufferBytes)
	return cn
}

func (cn *conn) close() {
	if cn.closed.CompareAndSwap(false, true) {
		cn.client.connections.Add(-1)
	}
	// The connection is not used again, so a failed close has no effect.
	_ = cn.net.Close()
}

// usable reports whether the upstream has neither closed the connection nor sent unsolicited bytes.
func (cn *conn) usable() bool {
	if cn.reader.Buffered() > 0 {
		return false
	}
	raw, ok := cn.net.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = control.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && usable
}

// exchange sends a request and reads the whole answer. reusable is true if the connection may carry another request.
func (cn *conn) exchange(ctx context.Context, a *kinds.UpstreamRequest) (reply core.Reply, reusable bool) {
	cn.lastSent = cn.client.Clock.Now()
	r := a.Request
	cn.requests[cn.sent], cn.sent = r.ID, (cn.sent+1)%rememberedRequests
	head := requestHead(r, cn.client.Wire.EncodeRequest(r, a.To.ID, a.Deadline.Sub(cn.lastSent)))
	stopCancel := context.AfterFunc(ctx, func() { _ = cn.net.SetDeadline(time.Unix(1, 0)) })
	written := cn.write(head, r.Body)
	reply, reusable, err := cn.read(a)
	if err != nil {
		reply = core.Reply{Outcome: core.OutcomeUnknown, Code: failureCode(ctx), Responded: responded(err), Detail: err.Error()}
	}
	select {
	case writeErr := <-written:
		reusable = reusable && writeErr == nil
	default:
		// The upstream answered before it received the whole body and may read the rest later.
		reusable = false
	}
	if !stopCancel() {
		reusable = false
	}
	return reply, reusable
}

// responded reports whether an error shows that the upstream responded. An error of the network, such as a timeout, does not, unless
// the upstream refused or ended the connection.
func responded(err error) bool {
	var network *net.OpError
	if !errors.As(err, &network) {
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func failureCode(ctx context.Context) core.Code {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return core.CodeDeadlineExceeded
	case ctx.Err() != nil:
		return core.CodeCancelled
	default:
		return core.CodeConnectionLost
	}
}

// write sends a request. A large body is written concurrently with the read of the answer, because an upstream may answer
// first and stop reading.
func (cn *conn) write(head, body []byte) <-chan error {
	written := make(chan error, 1)
	if len(body) <= smallBodyBytes {
		_, err := cn.net.Write(append(head, body...))
		written <- err
		return written
	}
	go func() {
		_, err := cn.net.Write(head)
		if err == nil {
			_, err = cn.net.Write(body)
		}
		written <- err
	}()
	return written
}

// requestHead returns the request line and the headers.
func requestHead(r *core.ForwardRequest, fields []core.HeaderField) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for _, f := range fields {
		b.WriteString(f.Name + ": " + f.Value + "\r\n")
	}
	if r.HasBody {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// read reads one answer and reports whether the connection may be reused.
func (cn *conn) read(a *kinds.UpstreamRequest) (core.Reply, bool, error) {
	r, settings := a.Request, cn.client.settings
	// The limit covers any number of interim answers. The headers may be followed by buffered bytes of the body.
	cn.limit.N = settings.MaxAnswerHeaderBytes
	var response *http.Response
	for {
		var err error
		if response, err = http.ReadResponse(cn.reader, &http.Request{Method: r.Method}); err != nil {
			if cn.limit.N <= 0 {
				cn.client.oversized.Add(1)
				err = fmt.Errorf("the headers of the answer exceed %d bytes: %w", settings.MaxAnswerHeaderBytes, err)
			}
			return core.Reply{}, false, err
		}
		if !validStatus(response.Status) {
			return core.Reply{}, false, fmt.Errorf("the status %q is no status of an answer", response.Status)
		}
		if response.StatusCode >= http.StatusOK {
			break
		}
	}
	reply, err := cn.client.Wire.DecodeReply(r.ID, response.StatusCode, response.Header)
	if err != nil {
		cn.client.mismatched.Add(1)
		return core.Reply{}, false, err
	}
	// Chunks have headers, and trailers follow them.
	cn.limit.N = settings.MaxAnswerBytes + settings.MaxAnswerHeaderBytes
	reply.Body, err = cn.client.buffers.read(response.Body, response.ContentLength, settings.MaxAnswerBytes, a.Holder)
	if err != nil {
		if errors.Is(err, errBodyTooLarge) || errors.Is(err, errBuffersFull) || cn.limit.N <= 0 {
			cn.client.oversized.Add(1)
		}
		return core.Reply{}, false, fmt.Errorf("the answer is incomplete: %w", err)
	}
	cn.lastUsed = cn.client.Clock.Now()
	if idle, ok := keepAlive(response.Header); ok {
		cn.maxIdle = min(cn.maxIdle, max(idle-keepAliveMargin, 0))
	}
	reply.Responded = true
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return reply, !response.Close && framed && reply.Identified && cn.reader.Buffered() == 0, nil
}

// validStatus reports whether the status line of an answer begins with a status code that an upstream may send. net/http accepts any
// three characters that are a number. If one below 100 counted as an interim answer, the bytes of its body would pass for the answer.
func validStatus(line string) bool {
	code, _, _ := strings.Cut(line, " ")
	if len(code) != 3 || code[0] < '1' || code[0] > '5' || code[1] < '0' || code[1] > '9' || code[2] < '0' || code[2] > '9' {
		return false
	}
	// No request asks for another protocol.
	return code != strconv.Itoa(http.StatusSwitchingProtocols)
}

// keepAlive returns the idle timeout that an upstream announces.
func keepAlive(h http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}
