package http

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/core"
)

// rawUpstream answers each attempt by a function that writes on the connection, which is then closed. It returns its address and the
// number of attempts that it received.
func rawUpstream(c *qt.C, answer func(net.Conn)) (address string, attempts *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	attempts = new(atomic.Int64)
	serve := func(conn net.Conn) {
		defer conn.Close()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		// The transport also asks whether an attempt still runs, and cancels attempts.
		if r.URL.Path != "/v1/execute" {
			_, _ = io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			return
		}
		attempts.Add(1)
		_, _ = io.ReadAll(r.Body)
		answer(conn)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String(), attempts
}

func rawPool(c *qt.C, address string) *pool {
	p := newPool(core.Upstream{ID: "u", Address: address}, 16, &Settings{
		DialTimeoutMS: 5000, MaxAnswerBytes: 1 << 20, CancelGraceMS: 200, KeepaliveMS: 5000, ProbeTimeoutMS: 200,
	}, nil)
	c.Cleanup(p.Close)
	return p
}

// TestCutAnswerIsNotComplete guards against an answer that an upstream cut off, in its head or its body, and that counts as a whole one.
// An answer without a length ends with its connection, so only a reset shows that it was cut. No attempt is sent twice.
func TestCutAnswerIsNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Index-Version: 1\r\n"
	for name, answer := range map[string]string{
		"length":  head + "Content-Length: 12\r\n\r\nhello, world",
		"chunked": head + "Transfer-Encoding: chunked\r\n\r\n7\r\nhello, \r\n5\r\nworld\r\n0\r\n\r\n",
		"to EOF":  head + "Connection: close\r\n\r\nhello, world",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", name, reset), func(t *testing.T) {
				c := qt.New(t)
				var cut atomic.Int64
				address, attempts := rawUpstream(c, func(conn net.Conn) {
					_, _ = io.WriteString(conn, answer[:cut.Load()])
					if reset {
						// The bytes arrive before the reset, which discards those that were not read.
						time.Sleep(time.Millisecond)
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
				})
				p := rawPool(c, address)
				headEnd := strings.Index(answer, "\r\n\r\n") + 4
				for i := range len(answer) {
					cut.Store(int64(i))
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					result := p.Execute(ctx, testAttempt(uint64(i+1), time.Second))
					cancel()
					if name == "to EOF" && !reset && i >= headEnd {
						c.Check(string(result.Data), qt.Equals, answer[headEnd:i])
						continue
					}
					c.Check(result.Outcome, qt.Equals, core.OutcomeUnknown, qt.Commentf("cut after %q", answer[:i]))
					c.Check(result.Data, qt.HasLen, 0)
				}
				c.Check(attempts.Load(), qt.Equals, int64(len(answer)))
			})
		}
	}
}

// TestEndlessAnswersAreBounded guards against an upstream that sends bytes without end, in a head or a body, and thereby takes memory
// beyond the limits or keeps its connection.
func TestEndlessAnswersAreBounded(t *testing.T) {
	for name, test := range map[string]struct{ head, rest string }{
		"no HTTP":       {"", "x"},
		"header":        {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"headers":       {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"interim heads": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"body to EOF":   {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"chunks":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"chunk length":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"trailer":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			closed := make(chan int64, 1)
			address, _ := rawUpstream(c, func(conn net.Conn) {
				sent := int64(0)
				rest := strings.Repeat(test.rest, 100)
				for text := test.head; ; text = rest {
					n, err := io.WriteString(conn, text)
					sent += int64(n)
					if err != nil {
						closed <- sent
						return
					}
				}
			})
			p := rawPool(c, address)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			result := p.Execute(ctx, testAttempt(1, 5*time.Second))
			c.Check(result.Outcome, qt.Equals, core.OutcomeUnknown)
			c.Check(result.Data, qt.HasLen, 0)
			select {
			case sent := <-closed:
				c.Logf("%d bytes sent", sent)
			case <-time.After(3 * time.Second):
				c.Fatal("the connection is still open")
			}
		})
	}
}
