// Package integration tests the path of a request end to end, with daemons as processes.
package integration

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/core"
	"gooseberrylane.example/standins/deployment"
	"gooseberrylane.example/standins/upstream"
	"gooseberrylane.example/test/harness"
)

func TestMain(m *testing.M) { harness.Main(m) }

const (
	logs      = "harvest-logs"
	logShards = 30
)

func query(id string) map[string]any {
	return map[string]any{"service": logs, "request_id": id, "idempotent": true, "timeout_ms": 5000}
}

// TestAnswerCoversAllShards guards against answers that lack a shard, mix snapshots or carry another shard's data.
func TestAnswerCoversAllShards(t *testing.T) {
	c := qt.New(t)
	cl := harness.Start(c, "directorate", 3, nil)
	for i, vm := range cl.VMs {
		answer := cl.MustPostQuery(vm, query(fmt.Sprintf("all-%d", i)))
		c.Assert(answer.Name, qt.Equals, "ok")
		c.Assert(answer.Covered, qt.HasLen, logShards)
		for _, shard := range answer.Covered {
			c.Check(shard.Data.Shard, qt.Equals, shard.Shard)
			c.Check(shard.Data.Version, qt.Equals, answer.Snapshot)
			c.Check(shard.Data.Count, qt.Equals, upstream.CountOf(shard.Shard, answer.Snapshot))
		}
	}
}

// TestLostShardIsReported guards against an answer that omits a lost shard without reporting it.
func TestLostShardIsReported(t *testing.T) {
	c := qt.New(t)
	cl := harness.Start(c, "directorate", 3, nil)
	for _, replica := range []string{"harvest-logs-07-0", "harvest-logs-07-1"} {
		c.Assert(cl.Upstreams[replica].Kill(), qt.IsNil)
	}
	answer := cl.MustPostQuery(cl.VMs[0], query("dead"))
	c.Assert(answer.Name, qt.Equals, "partial")
	c.Assert(answer.Covered, qt.HasLen, logShards-1)
	c.Assert(answer.Missing, qt.HasLen, 1)
	c.Assert(answer.Missing[0].Shard, qt.Equals, "shard-07")
	c.Assert(answer.Missing[0].Reason, qt.Not(qt.Equals), "")
}

// TestGracefulStopCompletesRequests guards against a graceful stop that aborts requests in flight. Callers send to the
// VM while it reports ready, as the balancer does; every such request must get a complete answer.
func TestGracefulStopCompletesRequests(t *testing.T) {
	c := qt.New(t)
	cl := harness.Start(c, "directorate", 3, func(vm *harness.VM, settings *deployment.Settings) {
		// Far longer than the time between a readiness check and the following request.
		settings.Set("front_end", "http", map[string]any{"listen": vm.Caller, "balancer_lag_ms": 3000})
	})
	stopping := cl.VMs[0]
	var answered, failed atomic.Int64
	var callers sync.WaitGroup
	const parallel = 8
	for caller := range parallel {
		callers.Go(func() {
			for i := 0; harness.IsReady(stopping); i++ {
				answer, err := harness.PostQuery(context.Background(), stopping, query(fmt.Sprintf("stop-%d-%d", caller, i)))
				if err != nil || answer.Name != "ok" {
					failed.Add(1)
					c.Logf("answer %+v, error %v", answer, err)
					return
				}
				answered.Add(1)
			}
		})
	}
	cl.WaitFor("queries in progress", func() bool { return answered.Load() > 3*parallel })
	c.Assert(stopping.Signal(syscall.SIGTERM), qt.IsNil)
	callers.Wait()
	c.Assert(stopping.WaitExit(), qt.Equals, 0)
	c.Assert(failed.Load(), qt.Equals, int64(0))
}

// TestAllSettingsProblemsAreReported guards against a daemon that starts with invalid settings, and against problems
// that are reported one at a time.
func TestAllSettingsProblemsAreReported(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "bad.json")
	bad := `{"vm": {"name": "vm-1", "failure_domain": "fd-1", "zone": "x"},
	  "plugins": {"hedging": [{"name": "psychic"}], "front_end": [{"name": "http", "settings": {"listen": "nowhere", "max_bodies": 1}}]}}`
	c.Assert(os.WriteFile(path, []byte(bad), 0o600), qt.IsNil)
	cmd := exec.Command(harness.Daemon(c), "-settings", path)
	out, err := cmd.CombinedOutput()
	c.Assert(err, qt.IsNotNil)
	c.Assert(cmd.ProcessState.ExitCode(), qt.Equals, 2)
	for _, want := range []string{
		"bad_settings (6000)", "vm.zone: unknown field", `plugins.hedging[0].name: unknown plug-in "psychic"`,
		"plugins.front_end[0].settings.max_bodies: unknown field",
	} {
		c.Check(string(out), qt.Contains, want)
	}
}

// TestBadRequestsAreRefused guards against malformed requests that run or that are answered without a code.
func TestBadRequestsAreRefused(t *testing.T) {
	c := qt.New(t)
	cl := harness.Start(c, "directorate", 1, nil)
	tests := []struct {
		about string
		body  any
		want  string
	}{
		{"not JSON", []byte("{"), "bad_request"},
		{"unknown field", []byte(`{"servis": "x"}`), "bad_request"},
		{"missing fields", map[string]any{}, "bad_request"},
		{"unknown service", map[string]any{"service": "nope", "request_id": "r", "idempotent": true}, "unknown_service"},
		{"unknown shard", map[string]any{"service": logs, "request_id": "r", "idempotent": true, "shards": []string{"s"}}, "unknown_shard"},
		{"deadline above the limit", map[string]any{"service": logs, "request_id": "r", "idempotent": true, "timeout_ms": 1 << 30}, "bad_deadline"},
		{"write to many shards", map[string]any{"service": logs, "request_id": "r", "idempotent": false}, "bad_write_target"},
		{"body too large", []byte(`{"service": "` + strings.Repeat("x", 2<<20) + `"}`), "body_too_large"},
	}
	for _, test := range tests {
		c.Run(test.about, func(c *qt.C) {
			answer := cl.MustPostQuery(cl.VMs[0], test.body)
			c.Check(answer.Name, qt.Equals, test.want)
			c.Check(answer.Code, qt.Not(qt.Equals), 0)
		})
	}
	for id, s := range cl.Upstreams {
		c.Check(s.Counts().Received, qt.Equals, uint64(0), qt.Commentf("upstream %s", id))
	}
}

// TestCallerCancellationCancelsSubRequests guards against upstreams that keep working on a query whose caller has
// disconnected.
func TestCallerCancellationCancelsSubRequests(t *testing.T) {
	c := qt.New(t)
	const deadlineMS = 600_000
	cl := harness.Start(c, "directorate", 3, func(_ *harness.VM, settings *deployment.Settings) {
		services := settings.Plugins["configuration"][0].Settings.(map[string]any)["services"].([]*core.Service)
		for _, service := range services {
			service.Rule.MaxDeadlineMS = deadlineMS
		}
	})
	for _, s := range cl.Upstreams {
		// Each request takes hours, far longer than the deadline of the query.
		s.SetFaults(upstream.Faults{StragglerShare: 1, StragglerFactor: 1e7})
	}
	ctx, cancel := context.WithCancel(context.Background())
	callEnded := make(chan struct{})
	go func() {
		// The caller's own cancellation ends the call.
		slow := query("gone")
		slow["timeout_ms"] = deadlineMS
		_, _ = harness.PostQuery(ctx, cl.VMs[0], slow)
		close(callEnded)
	}()
	started := func(n upstream.Counts) uint64 { return n.Started }
	cancelled := func(n upstream.Counts) uint64 { return n.Cancelled }
	cl.WaitFor("all sub-requests to run", func() bool { return total(cl, started) == logShards })
	cancel()
	<-callEnded
	cl.WaitFor("all sub-requests to be cancelled", func() bool { return total(cl, cancelled) == logShards })
	// The caller must have cancelled them, not the deadline, which would have ended them as well.
	for id, s := range cl.Upstreams {
		c.Check(s.Counts().CancelledByDeadline, qt.Equals, uint64(0), qt.Commentf("upstream %s", id))
	}
}
