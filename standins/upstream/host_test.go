package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/standins/control"
)

func newTestHost(c *qt.C, configs ...Config) (*Host, control.Client) {
	h, err := NewHost(configs)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(h.Stop(), qt.IsNil) })
	server := httptest.NewServer(h.Control())
	c.Cleanup(server.Close)
	return h, control.Client{Address: server.Listener.Addr().String()}
}

// send sends a request to an upstream and returns the status and the reason of a refusal.
func send(c *qt.C, client *http.Client, address, id string, idempotent bool) (int, string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/execute", http.NoBody)
	c.Assert(err, qt.IsNil)
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Attempt", id)
	request.Header.Set("X-Shard", "shard-00")
	request.Header.Set("X-Index-Version", "1")
	request.Header.Set("X-Deadline-Us", strconv.FormatInt(time.Now().Add(time.Minute).UnixMicro(), 10))
	if !idempotent {
		request.Header.Set("X-Idempotent", "0")
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	// Reading to the end allows the connection to be reused.
	_, err = io.Copy(io.Discard, response.Body)
	c.Assert(err, qt.IsNil)
	return response.StatusCode, response.Header.Get("X-Refused")
}

// TestWritesAreCountedOverReplicas guards against a duplicate execution that goes undetected because each one ran on
// another replica.
func TestWritesAreCountedOverReplicas(t *testing.T) {
	c := qt.New(t)
	h, client := newTestHost(c, Config{ID: "a", Listen: "127.0.0.1:0"}, Config{ID: "b", Listen: "127.0.0.1:0"})
	for _, id := range []string{"a", "b"} {
		status, _ := send(c, http.DefaultClient, h.Addresses()[id], "order-1", false)
		c.Check(status, qt.Equals, http.StatusOK)
	}
	writes := make(map[string]int)
	c.Assert(client.Call(context.Background(), "/v1/writes", nil, &writes), qt.IsNil)
	c.Check(writes, qt.DeepEquals, map[string]int{"order-1": 2})
}

// TestKillAndRestartKeepAddress guards against a restarted replica that clients cannot reach because its address changed.
func TestKillAndRestartKeepAddress(t *testing.T) {
	c := qt.New(t)
	h, client := newTestHost(c, Config{ID: "a", Listen: "127.0.0.1:0"})
	address := h.Addresses()["a"]
	target := Target{IDs: []string{"a"}}
	c.Assert(client.Call(context.Background(), "/v1/kill", target, nil), qt.IsNil)
	_, err := net.Dial("tcp", address)
	c.Check(err, qt.ErrorMatches, ".*refused.*")
	c.Assert(client.Call(context.Background(), "/v1/restart", target, nil), qt.IsNil)
	status, _ := send(c, http.DefaultClient, address, "r", true)
	c.Check(status, qt.Equals, http.StatusOK)
	c.Check(client.Call(context.Background(), "/v1/kill", Target{IDs: []string{"x"}}, nil), qt.ErrorMatches, ".*unknown upstream.*")
}

// TestConnectionsAboveTheLimitAreRefused guards against an upstream that serves connections above its limit, so that
// exceeding the limit has no effect on the query tier.
func TestConnectionsAboveTheLimitAreRefused(t *testing.T) {
	c := qt.New(t)
	h, _ := newTestHost(c, Config{ID: "a", Listen: "127.0.0.1:0", Connections: 1})
	address := h.Addresses()["a"]
	first := &http.Client{Transport: &http.Transport{}}
	second := &http.Client{Transport: &http.Transport{}}
	status, _ := send(c, first, address, "r1", true)
	c.Check(status, qt.Equals, http.StatusOK)
	_, reason := send(c, second, address, "r2", true)
	c.Check(reason, qt.Equals, "overloaded")
	c.Check(h.Counts()["a"].OverConnections, qt.Equals, uint64(1))
}

// TestReseedRepeatsDraws guards against comparing two sides of a benchmark under different random faults.
func TestReseedRepeatsDraws(t *testing.T) {
	c := qt.New(t)
	s := New(Config{ID: "a", ServiceUS: 1000, Seed: 7})
	draw := func() (times []time.Duration) {
		s.Reseed(3)
		for range 8 {
			times = append(times, s.serviceTime())
		}
		return times
	}
	c.Check(draw(), qt.DeepEquals, draw())
}

// TestHealthLags guards against testing the query tier only with health and load endpoints that are always up to date.
func TestHealthLags(t *testing.T) {
	c := qt.New(t)
	s := New(Config{ID: "a"})
	s.SetFaults(Faults{HealthLagMS: 1000})
	s.Drain()
	c.Check(s.hidesDraining(s.drainingSince.Add(999*time.Millisecond)), qt.IsTrue)
	c.Check(s.hidesDraining(s.drainingSince.Add(time.Second)), qt.IsFalse)
	now := time.Unix(1000, 0)
	c.Check(s.reportedLoad(now), qt.Equals, int64(0))
	s.counts.Running = 2
	c.Check(s.reportedLoad(now.Add(999*time.Millisecond)), qt.Equals, int64(0))
	c.Check(s.reportedLoad(now.Add(time.Second)), qt.Equals, int64(2))
}
