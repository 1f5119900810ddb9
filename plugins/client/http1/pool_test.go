package http1

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
)

// sendBounded sends one request with a bound on the connections.
func sendBounded(ctx context.Context, c *client, p *peer, most int) core.Reply {
	return c.Send(ctx, kinds.Attempt{
		Request:  &core.ForwardRequest{ID: "1", Method: "GET", Host: "a.example", Target: "/x"},
		To:       &core.Upstream{ID: "u", Address: p.listener.Addr().String()},
		Deadline: time.Now().Add(time.Minute), MaxConnections: most,
	})
}

// TestConnectionsStayWithinTheBound guards against a burst that opens so many connections that the upstream resets them.
func TestConnectionsStayWithinTheBound(t *testing.T) {
	c := qt.New(t)
	p := newPeer(c, func(_ int, _ *http.Request, conn net.Conn) bool {
		time.Sleep(2 * time.Millisecond)
		return write(conn, whole)
	})
	client := newTestClient()
	client.settings.ConnectionWaitMS = 60_000
	var requests sync.WaitGroup
	for range 40 {
		requests.Go(func() { c.Check(sendBounded(context.Background(), client, p, 3).Code, qt.Equals, core.CodeOK) })
	}
	requests.Wait()
	c.Assert(p.conns.Load(), qt.Equals, int64(3))
}

// TestBrokenConnectionsMakeRoom guards against a pool that waits for connections that ended.
func TestBrokenConnectionsMakeRoom(t *testing.T) {
	c := qt.New(t)
	p := newPeer(c, func(_ int, _ *http.Request, conn net.Conn) bool { return false })
	client := newTestClient()
	client.settings.ConnectionWaitMS = 60_000
	var requests sync.WaitGroup
	for range 10 {
		requests.Go(func() {
			c.Check(sendBounded(context.Background(), client, p, 1).Code, qt.Equals, core.CodeConnectionLost)
		})
	}
	requests.Wait()
	c.Assert(p.conns.Load(), qt.Equals, int64(10))
	c.Assert(p.listener.Close(), qt.IsNil)
	for range 2 {
		c.Assert(sendBounded(context.Background(), client, p, 1).Code, qt.Equals, core.CodeConnectFailed)
	}
}

// TestSilentConnectionsBlockNobodyForLong guards against requests that wait behind connections that are silent for good.
func TestSilentConnectionsBlockNobodyForLong(t *testing.T) {
	c := qt.New(t)
	asked := make(chan struct{}, 2)
	p := newPeer(c, func(_ int, r *http.Request, conn net.Conn) bool {
		asked <- struct{}{}
		if len(asked) == 1 {
			<-r.Context().Done()
		}
		return write(conn, whole)
	})
	client := newTestClient()
	client.settings.ConnectionWaitMS = 20
	ctx, cancel := context.WithCancel(context.Background())
	var silent sync.WaitGroup
	silent.Go(func() { sendBounded(ctx, client, p, 1) })
	for len(asked) == 0 {
		time.Sleep(time.Millisecond)
	}
	c.Assert(sendBounded(context.Background(), client, p, 1).Code, qt.Equals, core.CodeOK)
	cancel()
	silent.Wait()
}

// TestWaitEndsWithTheRequest guards against a turn that is lost with the request that gave up waiting for it.
func TestWaitEndsWithTheRequest(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	p := newPeer(c, func(_ int, _ *http.Request, conn net.Conn) bool {
		<-release
		return write(conn, whole)
	})
	client := newTestClient()
	client.settings.ConnectionWaitMS = 60_000
	var requests sync.WaitGroup
	first := func() { c.Check(sendBounded(context.Background(), client, p, 1).Code, qt.Equals, core.CodeOK) }
	requests.Go(first)
	for p.conns.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	reply := sendBounded(ctx, client, p, 1)
	c.Assert(reply.Outcome, qt.Equals, core.OutcomeNotRun)
	requests.Go(first)
	close(release)
	requests.Wait()
}
