package http1

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/core"
)

// TestCutAnswerIsNotComplete guards against an answer that an upstream cut off, in its head or its body, and that a caller gets as a whole
// one. An answer without a length ends with its connection, so only a reset shows that it was cut.
func TestCutAnswerIsNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Echo: 1\r\nContent-Type: text/plain\r\n"
	for name, answer := range map[string]string{
		"length":  head + "Content-Length: 12\r\n\r\nhello, world",
		"chunked": head + "Transfer-Encoding: chunked\r\n\r\n7\r\nhello, \r\n5\r\nworld\r\n0\r\n\r\n",
		"to EOF":  head + "Connection: close\r\n\r\nhello, world",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", name, reset), func(t *testing.T) {
				c := qt.New(t)
				var cut atomic.Int64
				u := newTestUpstream(c, func(_ int, _ *http.Request, conn net.Conn) bool {
					write(conn, answer[:cut.Load()])
					if reset {
						// The bytes arrive before the reset, which discards those that were not read.
						time.Sleep(time.Millisecond)
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
					return false
				})
				client := newTestClient()
				headEnd := strings.Index(answer, "\r\n\r\n") + 4
				for i := range len(answer) {
					cut.Store(int64(i))
					reply := send(client, u, "1", time.Second, true)
					if name == "to EOF" && !reset && i >= headEnd {
						c.Check(string(reply.Body), qt.Equals, answer[headEnd:i])
						continue
					}
					c.Check(reply.Outcome, qt.Equals, core.OutcomeUnknown, qt.Commentf("cut after %q", answer[:i]))
					c.Check(reply.HasAnswer(), qt.IsFalse)
					c.Check(reply.Body, qt.HasLen, 0)
				}
				c.Check(u.conns.Load(), qt.Equals, int64(len(answer)))
			})
		}
	}
}
