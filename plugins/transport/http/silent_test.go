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

func testLeg(sequence uint64, timeout time.Duration) core.Attempt {
	return core.Attempt{
		ID: core.AttemptID{VM: "vm-1", Incarnation: 1, Sequence: sequence}, Service: "svc", Request: "r", Shard: "s",
		Upstream: "u", Version: 1, NotAfter: time.Now().Add(timeout), Idempotent: true,
	}
}

// TestSilentConnectionIsRetiredWithItsSiblings guards against requests that wait for their whole deadline on connections
// that carry nothing any more: one request finds out within the keepalive time, and the next ones use new connections.
func TestSilentConnectionIsRetiredWithItsSiblings(t *testing.T) {
	c := qt.New(t)
	server, p := newTestPool(c, upstream.Config{ID: "u", Listen: "127.0.0.1:0", Slots: 8, ServiceUS: 100}, 500)
	defer p.Close()
	ctx := context.Background()
	p.Warm(ctx, 4)
	c.Assert(p.open.Load(), qt.Equals, int64(4))
	server.StallConnections()
	lost := p.Execute(ctx, testLeg(1, time.Minute))
	c.Assert(lost.Outcome, qt.Equals, core.OutcomeUnknown)
	c.Assert(lost.Code, qt.Equals, core.CodeConnectionLost)
	for i := range uint64(4) {
		result := p.Execute(ctx, testLeg(2+i, time.Minute))
		c.Assert(result.Code, qt.Equals, core.CodeOK)
	}
	c.Assert(server.Counts().Finished, qt.Equals, uint64(4))
}

// TestGivenUpAttemptIsConfirmedToBeStopped guards against a slot that stays taken until the deadline of a request that
// the upstream has cancelled already.
func TestGivenUpAttemptIsConfirmedToBeStopped(t *testing.T) {
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
	result := p.Execute(ctx, testLeg(1, time.Minute))
	c.Assert(result.Outcome == core.OutcomeRan || result.Stopped, qt.IsTrue)
	c.Assert(server.Counts().Finished, qt.Equals, uint64(0))
}

// TestSlowRequestIsNotTakenForSilent guards against requests above the keepalive time that never get an answer although
// their connection works.
func TestSlowRequestIsNotTakenForSilent(t *testing.T) {
	c := qt.New(t)
	server, p := newTestPool(c, upstream.Config{ID: "u", Listen: "127.0.0.1:0", Slots: 8, ServiceUS: 1_000_000}, 20)
	defer p.Close()
	result := p.Execute(context.Background(), testLeg(1, time.Minute))
	c.Assert(result.Code, qt.Equals, core.CodeOK)
	c.Assert(server.Counts().Cancelled, qt.Equals, uint64(0))
}

// TestIdleSilentConnectionIsFoundByAProbe guards against idle connections that fail the next request that takes them.
func TestIdleSilentConnectionIsFoundByAProbe(t *testing.T) {
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
	c.Assert(p.Execute(context.Background(), testLeg(1, time.Minute)).Code, qt.Equals, core.CodeOK)
}
