package policies

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/core"
	"gooseberrylane.example/standins/upstream"
)

// patient is a deadline that no answer of these tests misses on a busy machine.
const patient = 10 * time.Second

// checkCounts asserts what must hold under any fault.
func checkCounts(c *qt.C, t *tier, o *outcome) {
	counts := t.counts()
	c.Check(o.wrong, qt.Equals, 0)
	c.Check(counts.OverConnections, qt.Equals, uint64(0))
	c.Check(counts.ReceivedAfterDrainGrace, qt.Equals, uint64(0))
	c.Check(counts.DuplicateExecutions, qt.Equals, uint64(0))
}

// TestFaultsOfOneReplicaLoseNoShard guards against missing shards while each group has a replica left: lost, draining and
// silent replicas, and replicas that shed, at the same time in different groups.
func TestFaultsOfOneReplicaLoseNoShard(t *testing.T) {
	c := qt.New(t)
	tier := startTier(t, smallTier(current))
	tier.offer(load{50, time.Second, patient})
	c.Assert(tier.upstreams[0].Kill(), qt.IsNil)
	tier.upstreams[2].SetFaults(upstream.Faults{Draining: true})
	tier.upstreams[4].SetFaults(upstream.Faults{Draining: true, HealthAlwaysOK: true})
	tier.upstreams[6].SetFaults(upstream.Faults{ShedShare: 0.3, HealthAlwaysOK: true})
	tier.upstreams[8].StallConnections()
	o := tier.offer(load{50, 2 * time.Second, patient})
	c.Assert(o.complete, qt.Equals, o.queries, qt.Commentf("reasons %v", o.reasons))
	checkCounts(c, tier, o)
}

// TestLostGroupIsNamed guards against an answer that hides which shard it lacks, or that lacks more than that one.
func TestLostGroupIsNamed(t *testing.T) {
	c := qt.New(t)
	tier := startTier(t, smallTier(current))
	tier.offer(load{50, time.Second, patient})
	c.Assert(tier.upstreams[0].Kill(), qt.IsNil)
	c.Assert(tier.upstreams[1].Kill(), qt.IsNil)
	answer := tier.engines[0].Run(context.Background(), core.Query{
		Service: service, RequestID: "lost", Idempotent: true, Deadline: time.Now().Add(patient),
	})
	c.Assert(answer.Code, qt.Equals, core.CodePartial)
	c.Assert(answer.Missing, qt.HasLen, 1)
	c.Assert(answer.Missing[0].Shard, qt.Equals, core.ShardName("s0"))
	c.Assert(answer.Covered, qt.HasLen, tier.shards-1)
}

// TestRefusedQueryReachesNoUpstream guards against refusals that cost the upstreams work.
func TestRefusedQueryReachesNoUpstream(t *testing.T) {
	c := qt.New(t)
	cfg := smallTier(current)
	cfg.rule.RatePerCaller = 0.001
	tier := startTier(t, cfg)
	ask := func() core.Answer {
		return tier.engines[0].Run(context.Background(), core.Query{
			Service: service, RequestID: "r", Caller: "c", Idempotent: true, Deadline: time.Now().Add(patient),
		})
	}
	c.Assert(ask().Code, qt.Equals, core.CodeOK)
	before := tier.counts().Received
	refused := ask()
	c.Assert(refused.Code, qt.Equals, core.CodeRateLimited)
	c.Assert(refused.RetryAfter > 0, qt.IsTrue)
	c.Assert(tier.counts().Received, qt.Equals, before)
}

// TestDrainedUpstreamTakesWorkAgain guards against an upstream that stays out after it came back, at its owner or at the
// VMs that do not own it.
func TestDrainedUpstreamTakesWorkAgain(t *testing.T) {
	c := qt.New(t)
	tier := startTier(t, smallTier(current))
	waitMarks(c, tier, false)
	tier.upstreams[0].SetFaults(upstream.Faults{Draining: true})
	waitMarks(c, tier, true)
	before := tier.upstreams[0].Counts().Started
	tier.offer(load{50, time.Second, patient})
	c.Assert(tier.upstreams[0].Counts().Started, qt.Equals, before)
	tier.upstreams[0].SetFaults(upstream.Faults{})
	waitMarks(c, tier, false)
}

// waitMarks asks queries until the first upstream is marked, or not marked, on each VM.
func waitMarks(c *qt.C, t *tier, want bool) {
	for i := range t.states {
		for marked := !want; marked != want; {
			t.engines[i].Run(context.Background(), core.Query{
				Service: service, RequestID: "wait", Idempotent: true, Deadline: time.Now().Add(patient),
			})
			marked = t.states[i].Load().State("u0-0").DrainSince.Load() != 0
		}
	}
}
