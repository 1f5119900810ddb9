package http

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/core"
	"gooseberrylane.example/standins/upstream"
)

func newTestPool(c *qt.C, cfg upstream.Config, keepaliveMS int64) (*upstream.Server, *pool) {
	server := upstream.New(cfg)
	c.Assert(server.Start(), qt.IsNil)
	c.Cleanup(func() { _ = server.Kill() })
	settings := &Settings{
		DialTimeoutMS: 5000, MaxAnswerBytes: 1 << 20, CancelGraceMS: 200, KeepaliveMS: keepaliveMS, ProbeTimeoutMS: 200,
	}
	return server, newPool(core.Upstream{ID: "u", Address: server.Address()}, 16, settings, nil)
}

func testAttempt(sequence uint64, timeout time.Duration) core.Attempt {
	return core.Attempt{
		ID: core.AttemptID{VM: "vm-1", Incarnation: 1, Sequence: sequence}, Service: "svc", Request: "r", Shard: "s",
		Upstream: "u", Version: 1, NotAfter: time.Now().Add(timeout), Idempotent: true,
	}
}

// TestSilentConnectionIsClosedWithItsSiblings guards against requests that wait until their deadline on connections that
// no longer deliver data. One request must detect this within the keepalive time, and the next ones must use new
// connections.
func TestSilentConnectionIsClosedWithItsSiblings(t *testing.T) {
	c := qt.New(t)
	server, p := newTestPool(c, upstream.Config{ID: "u", Listen: "127.0.0.1:0", Slots: 8, ServiceUS: 100}, 500)
	defer p.Close()
	ctx := context.Background()
	p.Warm(ctx, 4)
	c.Assert(p.open.Load(), qt.Equals, int64(4))
	server.StallConnections()
	lost := p.Execute(ctx, testAttempt(1, time.Minute))
	c.Assert(lost.Outcome, qt.Equals, core.OutcomeUnknown)
	c.Assert(lost.Code, qt.Equals, core.CodeConnectionLost)
	for i := range uint64(4) {
		result := p.Execute(ctx, testAttempt(2+i, time.Minute))
		c.Assert(result.Code, qt.Equals, core.CodeOK)
	}
	c.Assert(server.Counts().Finished, qt.Equals, uint64(4))
}

// TestCancelledAttemptIsReportedAsStopped guards against a slot that stays occupied until the deadline of a request that
// the upstream has already cancelled.
func TestCancelledAttemptIsReportedAsStopped(t *testing.T) {
	c := qt.New(t)
	server, p := newTestPool(c, upstream.Config{ID: "u", Listen: "127.0.0.1:0", Slots: 8, ServiceUS: 60_000_000}, 100)
	defer p.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for server.Counts().Started == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	result := p.Execute(ctx, testAttempt(1, time.Minute))
	c.Assert(result.Outcome == core.OutcomeRan || result.Stopped, qt.IsTrue)
	c.Assert(server.Counts().Finished, qt.Equals, uint64(0))
}

// TestSlowRequestIsNotCancelled guards against requests that take longer than the keepalive time and are cancelled
// although their connection works.
func TestSlowRequestIsNotCancelled(t *testing.T) {
	c := qt.New(t)
	server, p := newTestPool(c, upstream.Config{ID: "u", Listen: "127.0.0.1:0", Slots: 8, ServiceUS: 1_000_000}, 20)
	defer p.Close()
	result := p.Execute(context.Background(), testAttempt(1, time.Minute))
	c.Assert(result.Code, qt.Equals, core.CodeOK)
	c.Assert(server.Counts().Cancelled, qt.Equals, uint64(0))
}

// TestProbeDiscardsIdleSilentConnections guards against idle connections on which the next request fails.
func TestProbeDiscardsIdleSilentConnections(t *testing.T) {
	c := qt.New(t)
	server, p := newTestPool(c, upstream.Config{ID: "u", Listen: "127.0.0.1:0", Slots: 8, ServiceUS: 100}, 500)
	defer p.Close()
	p.Warm(context.Background(), 3)
	server.StallConnections()
	for idle := p.free.head.Load(); idle != nil; idle = idle.next {
		idle.conn.used.Store(1)
	}
	_, err := p.Probe(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(p.Execute(context.Background(), testAttempt(1, time.Minute)).Code, qt.Equals, core.CodeOK)
}
