package integration

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/standins/platform"
	"gooseberrylane.example/standins/upstream"
	"gooseberrylane.example/test/harness"
)

// order returns a non-idempotent request.
func order(id string) map[string]any {
	return map[string]any{
		"service": "farm-contacts", "request_id": id, "idempotent": false, "shards": []string{"shard-00"},
		"payload": map[string]any{"loads": 1}, "timeout_ms": 5000,
	}
}

// total sums a counter over all upstreams.
func total(cl *harness.Cluster, count func(upstream.Counts) uint64) uint64 {
	var sum uint64
	for _, s := range cl.Upstreams {
		sum += count(s.Counts())
	}
	return sum
}

func nonIdempotentRuns(c upstream.Counts) uint64   { return c.NonIdempotentRun }
func duplicateExecutions(c upstream.Counts) uint64 { return c.DuplicateExecutions }

// TestResendAtAnotherVMRunsOnce guards against an order that runs twice because the caller resends it at another
// VM, sequentially or concurrently, while the platform loses answers.
func TestResendAtAnotherVMRunsOnce(t *testing.T) {
	c := qt.New(t)
	cl := harness.Start(c, "directorate", 3, nil)
	cl.Platform.SetFaults(platform.Faults{LostAnswerShare: 0.3, StaleShare: 0.3})
	const orders = 40
	var callers sync.WaitGroup
	for i := range orders {
		for _, vm := range cl.VMs {
			callers.Go(func() {
				_, err := harness.PostQuery(context.Background(), vm, order(fmt.Sprintf("order-%d", i)))
				c.Check(err, qt.IsNil)
			})
		}
	}
	callers.Wait()
	c.Assert(total(cl, duplicateExecutions), qt.Equals, uint64(0))
	c.Assert(total(cl, nonIdempotentRuns) <= orders, qt.IsTrue)
	c.Assert(total(cl, nonIdempotentRuns) > 0, qt.IsTrue)
	// The tier must not report more orders as run than ran, and a resend must not run an order again.
	cl.Platform.SetFaults(platform.Faults{})
	before := total(cl, nonIdempotentRuns)
	var reportedRun uint64
	for i := range orders {
		answer := cl.MustPostQuery(cl.VMs[i%len(cl.VMs)], order(fmt.Sprintf("order-%d", i)))
		if answer.Name == "ok" {
			reportedRun++
		}
	}
	c.Assert(total(cl, duplicateExecutions), qt.Equals, uint64(0))
	c.Assert(reportedRun <= total(cl, nonIdempotentRuns), qt.IsTrue, qt.Commentf("%d orders reported as run, %d ran, %d before", reportedRun, total(cl, nonIdempotentRuns), before))
}

// TestPlatformDownRefusesOrders guards against orders that are sent although a resend could not be detected.
func TestPlatformDownRefusesOrders(t *testing.T) {
	c := qt.New(t)
	cl := harness.Start(c, "directorate", 3, nil)
	cl.Platform.SetFaults(platform.Faults{Down: true})
	answer := cl.MustPostQuery(cl.VMs[0], order("down"))
	c.Assert(answer.Name, qt.Equals, "platform_unavailable")
	c.Assert(total(cl, nonIdempotentRuns), qt.Equals, uint64(0))
	// Queries are still answered.
	c.Assert(cl.MustPostQuery(cl.VMs[0], query("down-query")).Name, qt.Equals, "ok")
	cl.Platform.SetFaults(platform.Faults{})
	cl.WaitFor("orders to be accepted again", func() bool { return cl.MustPostQuery(cl.VMs[0], order("down")).Name == "ok" })
	c.Assert(total(cl, nonIdempotentRuns), qt.Equals, uint64(1))
}

// TestKilledEntryVMLeavesOutcomeUnknown guards against a second run when the VM that sent an order is killed before it
// could record the outcome.
func TestKilledEntryVMLeavesOutcomeUnknown(t *testing.T) {
	c := qt.New(t)
	cl := harness.Start(c, "directorate", 3, nil)
	for _, s := range cl.Upstreams {
		// Every order takes ten seconds, so that it is still running when the VM is killed.
		s.SetFaults(upstream.Faults{StragglerShare: 1, StragglerFactor: 5000})
	}
	go func() {
		// The answer never arrives: the VM is killed.
		_, _ = harness.PostQuery(context.Background(), cl.VMs[0], order("killed"))
	}()
	cl.WaitFor("the order to run", func() bool { return total(cl, nonIdempotentRuns) == 1 })
	c.Assert(cl.VMs[0].Signal(syscall.SIGKILL), qt.IsNil)
	cl.VMs[0].WaitExit()
	for range 3 {
		answer := cl.MustPostQuery(cl.VMs[1], order("killed"))
		c.Assert(answer.Name == "in_progress" || answer.Name == "outcome_unknown", qt.IsTrue, qt.Commentf("%+v", answer))
	}
	c.Assert(total(cl, nonIdempotentRuns), qt.Equals, uint64(1))
}

// TestReusedRequestIDIsRefused guards against returning the answer of one order for another.
func TestReusedRequestIDIsRefused(t *testing.T) {
	c := qt.New(t)
	cl := harness.Start(c, "directorate", 3, nil)
	c.Assert(cl.MustPostQuery(cl.VMs[0], order("same")).Name, qt.Equals, "ok")
	other := order("same")
	other["payload"] = map[string]any{"loads": 2}
	c.Assert(cl.MustPostQuery(cl.VMs[1], other).Name, qt.Equals, "request_id_reused")
	c.Assert(cl.MustPostQuery(cl.VMs[1], order("same")).Name, qt.Equals, "ok")
	c.Assert(total(cl, nonIdempotentRuns), qt.Equals, uint64(1))
}
