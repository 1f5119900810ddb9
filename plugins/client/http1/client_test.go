package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

// echoWire refuses answers whose header X-Echo is not the ID of the request.
type echoWire struct{ plainWire }

func (echoWire) DecodeReply(id core.RequestID, status int, h http.Header) (core.Reply, error) {
	if echo := h.Get("X-Echo"); echo != "" && echo != string(id) {
		return core.Reply{}, errors.New("the answer belongs to another request")
	}
	return core.Reply{Outcome: core.OutcomeRan, Code: core.CodeOK, Status: status}, nil
}

// peer is an upstream that answers by a script.
type peer struct {
	listener net.Listener
	conns    atomic.Int64
}

// newPeer starts an upstream that calls script for each request on a connection. A script returns false to end the
// connection.
func newPeer(c *qt.C, script func(n int, r *http.Request, conn net.Conn) bool) *peer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	p := &peer{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.conns.Add(1)
			go serve(conn, script)
		}
	}()
	return p
}

func serve(conn net.Conn, script func(n int, r *http.Request, conn net.Conn) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil || !script(n, r, conn) {
			return
		}
	}
}

func write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// send sends one request to a peer within a time.
func send(c *client, p *peer, id string, within time.Duration, once bool) core.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return c.Send(ctx, kinds.UpstreamRequest{
		Request: &core.ForwardRequest{ID: core.RequestID(id), Method: "GET", Host: "a.example", Target: "/x"},
		To:      &core.Upstream{ID: "u", Address: p.listener.Addr().String()}, Deadline: time.Now().Add(within), AtMostOnce: once,
	})
}

func newTestClient() *client {
	return newClient(params{Wire: echoWire{}, State: kernel.NewState()}, &Settings{DialTimeoutMS: 1000, IdleMS: 4000, MaxAnswerBytes: 1000})
}

// TestConnectionsAreKeptOnlyWhenSound guards against a request on a connection that carries bytes of an earlier answer, or
// that the upstream closes.
func TestConnectionsAreKeptOnlyWhenSound(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		conns  int64
	}{
		"whole":          {whole, 1},
		"chunked":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 1},
		"with close":     {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 3},
		"with more":      {whole + whole, 3},
		"with keepalive": {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", 3},
	} {
		c := qt.New(t)
		p := newPeer(c, func(_ int, _ *http.Request, conn net.Conn) bool { return write(conn, test.answer) })
		client := newTestClient()
		for range 3 {
			reply := send(client, p, "1", 5*time.Second, false)
			c.Assert(reply.Code, qt.Equals, core.CodeOK, qt.Commentf("%s: %s", name, reply.Detail))
			c.Assert(string(reply.Body), qt.Equals, "ok")
		}
		c.Assert(p.conns.Load(), qt.Equals, test.conns, qt.Commentf("%s", name))
	}
}

// TestDamagedAnswersAreUnknown guards against a cut, foreign or endless answer that counts as an answer.
func TestDamagedAnswersAreUnknown(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", "HTTP/1.1 200 OK\r\nX-Echo: other\r\nContent-Length: 2\r\n\r\nok", "nonsense\r\n\r\n", "",
		"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000),
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	} {
		c := qt.New(t)
		p := newPeer(c, func(_ int, _ *http.Request, conn net.Conn) bool {
			write(conn, answer)
			return false
		})
		reply := send(newTestClient(), p, "1", 5*time.Second, false)
		c.Assert(reply.Outcome, qt.Equals, core.OutcomeUnknown)
		c.Assert(reply.HasAnswer(), qt.IsFalse)
	}
}

// TestRequestIsNeverRepeated guards against a client that sends a request again by itself after a kept connection broke.
func TestRequestIsNeverRepeated(t *testing.T) {
	c := qt.New(t)
	var requests atomic.Int64
	p := newPeer(c, func(n int, _ *http.Request, conn net.Conn) bool {
		requests.Add(1)
		return n == 0 && write(conn, whole)
	})
	client := newTestClient()
	c.Assert(send(client, p, "1", 5*time.Second, false).Code, qt.Equals, core.CodeOK)
	reply := send(client, p, "2", 5*time.Second, false)
	c.Assert(reply.Code, qt.Equals, core.CodeConnectionLost)
	c.Assert(requests.Load(), qt.Equals, int64(2))
}

// TestOnceUsesFreshConnections guards against a request with an unknown outcome because an idle connection had ended.
func TestOnceUsesFreshConnections(t *testing.T) {
	c := qt.New(t)
	p := newPeer(c, func(_ int, _ *http.Request, conn net.Conn) bool { return write(conn, whole) })
	client := newTestClient()
	send(client, p, "1", 5*time.Second, true)
	time.Sleep(freshFor + 50*time.Millisecond)
	send(client, p, "2", 5*time.Second, true)
	c.Assert(p.conns.Load(), qt.Equals, int64(2))
	send(client, p, "3", 5*time.Second, false)
	c.Assert(p.conns.Load(), qt.Equals, int64(2))
}

// TestSilentConnectionTaintsItsGeneration guards against requests on other connections that something between the two
// ends has lost track of too.
func TestSilentConnectionTaintsItsGeneration(t *testing.T) {
	c := qt.New(t)
	silent := make(chan struct{})
	var open atomic.Int64
	p := newPeer(c, func(n int, r *http.Request, conn net.Conn) bool {
		if n == 0 {
			// Both connections are open before either answers.
			for open.Add(1); open.Load() < 2; time.Sleep(time.Millisecond) {
			}
			return write(conn, whole)
		}
		<-silent
		return false
	})
	defer close(silent)
	client := newTestClient()
	done := make(chan core.Reply, 2)
	for range 2 {
		go func() { done <- send(client, p, "1", 5*time.Second, false) }()
	}
	<-done
	<-done
	reply := send(client, p, "2", 100*time.Millisecond, false)
	c.Assert(reply.Code, qt.Equals, core.CodeDeadlineExceeded)
	open.Store(2)
	c.Assert(send(client, p, "3", 5*time.Second, false).Code, qt.Equals, core.CodeOK)
	c.Assert(p.conns.Load(), qt.Equals, int64(3))
}

// TestNothingListens guards against a refused connection that counts as a request that may have run.
func TestNothingListens(t *testing.T) {
	c := qt.New(t)
	p := newPeer(c, nil)
	c.Assert(p.listener.Close(), qt.IsNil)
	reply := send(newTestClient(), p, "1", time.Second, true)
	c.Assert(reply.Outcome, qt.Equals, core.OutcomeNotRun)
	c.Assert(reply.Code, qt.Equals, core.CodeConnectFailed)
}
