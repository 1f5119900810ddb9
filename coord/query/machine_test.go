package query_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/coord/query"
	"gooseberrylane.example/core"
)

// TestWrongVersionThatRanIsNotSentAgain guards against running a non-idempotent request twice because its result
// belongs to another index version.
func TestWrongVersionThatRanIsNotSentAgain(t *testing.T) {
	c := qt.New(t)
	m := newFixture(1, 2).machine(false, time.Second)
	leg := sends(m.Start(epoch))[0]
	c.Assert(sends(m.Result(epoch, covered(leg, pinned-1))), qt.HasLen, 0)
	c.Assert(m.Done(), qt.IsTrue)
	c.Assert(m.Answer().Code.IsNotRun(), qt.IsFalse)
}

// TestRanWithoutDataIsNotCalledNotRun guards against a false not_run after an upstream ran a request and failed.
func TestRanWithoutDataIsNotCalledNotRun(t *testing.T) {
	c := qt.New(t)
	m := newFixture(1, 2).machine(false, time.Second)
	leg := sends(m.Start(epoch))[0]
	m.Result(epoch, core.LegResult{Attempt: leg.Attempt, Outcome: core.OutcomeRan, Code: core.CodeInternal})
	c.Assert(m.Answer().Code, qt.Equals, core.CodeUpstreamError)
}

// TestSuccessThatDidNotRunIsRefused guards against a missing shard with the reason "ok" after a contradictory result.
func TestSuccessThatDidNotRunIsRefused(t *testing.T) {
	c := qt.New(t)
	m := newFixture(1, 1).machine(false, time.Second)
	leg := sends(m.Start(epoch))[0]
	m.Result(epoch, notRun(leg, core.CodeOK))
	c.Assert(m.Answer().Code, qt.Equals, core.CodeOutcomeUnknown)
	c.Assert(m.Answer().Missing[0].Reason, qt.Equals, core.CodeUpstreamError)
}

// TestHedgeThatFailsLeavesWaitingRetry guards against a shard that is lost, or retried twice, when the second request
// fails after the first: the retry is planned once, and covers the shard.
func TestHedgeThatFailsLeavesWaitingRetry(t *testing.T) {
	c := qt.New(t)
	f := newFixture(1, 3)
	f.learnDelay(10 * time.Millisecond)
	m := f.machine(true, time.Second)
	first := sends(m.Start(epoch))[0]
	now := m.NextWake()
	hedged := sends(m.Wake(now))
	c.Assert(hedged, qt.HasLen, 1)
	c.Assert(hedged[0].Hedge, qt.IsTrue)
	c.Assert(sends(m.Result(now, core.LegResult{Attempt: first.Attempt, Code: core.CodeConnectionLost})), qt.HasLen, 0)
	c.Assert(sends(m.Result(now, core.LegResult{Attempt: hedged[0].Attempt, Code: core.CodeConnectionLost})), qt.HasLen, 0)
	c.Assert(m.Done(), qt.IsFalse)
	retried := sends(m.Wake(m.NextWake()))
	c.Assert(retried, qt.HasLen, 1)
	c.Assert(retried[0].Upstream, qt.Not(qt.Equals), first.Upstream)
	c.Assert(retried[0].Upstream, qt.Not(qt.Equals), hedged[0].Upstream)
	m.Result(now, covered(retried[0], pinned))
	c.Assert(m.Answer().Code, qt.Equals, core.CodeOK)
}

// TestRetryGetsAFullHedgeDelay guards against a second request that follows a retry at once, because the delay of the
// first attempt went on.
func TestRetryGetsAFullHedgeDelay(t *testing.T) {
	c := qt.New(t)
	f := newFixture(1, 3)
	f.learnDelay(10 * time.Millisecond)
	m := f.machine(true, time.Second)
	first := sends(m.Start(epoch))[0]
	delay, _ := f.policies.Hedger.Delay(f.service, "g0")
	failed := epoch.Add(delay - 1)
	c.Assert(sends(m.Result(failed, notRun(first, core.CodeConnectFailed))), qt.HasLen, 1)
	c.Assert(m.NextWake().Before(failed.Add(delay)), qt.IsFalse)
}

// TestRefusedHedgeIsReplaced guards against a shard that waits for a straggler because its only second request was
// shed.
func TestRefusedHedgeIsReplaced(t *testing.T) {
	c := qt.New(t)
	f := newFixture(1, 3)
	f.learnDelay(10 * time.Millisecond)
	m := f.machine(true, time.Second)
	m.Start(epoch)
	now := m.NextWake()
	hedged := sends(m.Wake(now))[0]
	m.Result(now, notRun(hedged, core.CodeShed))
	c.Assert(m.NextWake().Before(epoch.Add(time.Second)), qt.IsTrue)
	again := sends(m.Wake(m.NextWake()))
	c.Assert(again, qt.HasLen, 1)
	c.Assert(again[0].Upstream, qt.Not(qt.Equals), hedged.Upstream)
}

// TestNothingIsSentAfterTheCutOff guards against work that no answer can contain: a query that starts too late, and a
// retry after a failure that arrives after the cut-off.
func TestNothingIsSentAfterTheCutOff(t *testing.T) {
	c := qt.New(t)
	m := newFixture(1, 2).machine(false, 0)
	c.Assert(m.Start(epoch), qt.HasLen, 0)
	c.Assert(m.Answer().Code, qt.Equals, core.CodeExpired)

	m = newFixture(1, 2).machine(true, time.Second)
	leg := sends(m.Start(epoch))[0]
	c.Assert(m.Result(epoch.Add(time.Second), notRun(leg, core.CodeConnectFailed)), qt.HasLen, 0)
	c.Assert(m.Answer().Missing[0].Reason, qt.Equals, core.CodeConnectFailed)
}

// TestReasonOutlivesACancelledAttempt guards against a coverage reason that hides why a shard is missing.
func TestReasonOutlivesACancelledAttempt(t *testing.T) {
	c := qt.New(t)
	m := newFixture(1, 2).machine(true, time.Second)
	first := sends(m.Start(epoch))[0]
	m.Result(epoch, core.LegResult{Attempt: first.Attempt, Outcome: core.OutcomeRan, Code: core.CodeUpstreamError})
	for !m.Done() {
		for _, leg := range sends(m.Wake(m.NextWake())) {
			m.Result(epoch, core.LegResult{Attempt: leg.Attempt, Code: core.CodeCancelled})
		}
	}
	c.Assert(m.Answer().Missing[0].Reason, qt.Equals, core.CodeUpstreamError)
}

// TestVersionMissingIsNotClaimedForReplicasThatShed guards against a reason that covers replicas that said
// something else, in either order.
func TestVersionMissingIsNotClaimedForReplicasThatShed(t *testing.T) {
	c := qt.New(t)
	for _, codes := range [][]core.Code{{core.CodeVersionMissing, core.CodeShed}, {core.CodeShed, core.CodeVersionMissing}} {
		m := newFixture(1, 2).machine(true, time.Second)
		legs := sends(m.Start(epoch))
		for _, code := range codes {
			legs = sends(m.Result(epoch, notRun(legs[0], code)))
			if len(legs) == 0 && !m.Done() {
				legs = sends(m.Wake(m.NextWake()))
			}
		}
		c.Assert(m.Done(), qt.IsTrue)
		c.Assert(m.Answer().Missing[0].Reason, qt.Equals, core.CodeShed)
	}
}

// countingRetrier counts what a machine asks and allows everything at once.
type countingRetrier struct {
	query.Retrier
	asked []query.Failure
}

func (r *countingRetrier) Allow(_ time.Time, _ *rand.Rand, _ *core.Service, f query.Failure) (time.Duration, bool, bool) {
	r.asked = append(r.asked, f)
	return 0, f.Code == core.CodeNotOwner, true
}

// TestNotOwnerGoesToTheNamedOwner guards against a leg that is lost while its upstream changes hands.
func TestNotOwnerGoesToTheNamedOwner(t *testing.T) {
	c := qt.New(t)
	m := newFixture(1, 2).machine(true, time.Second)
	first := sends(m.Start(epoch))[0]
	result := notRun(first, core.CodeNotOwner)
	result.Owner = "vm-9"
	again := sends(m.Result(epoch, result))
	c.Assert(again, qt.HasLen, 1)
	c.Assert(again[0].Upstream, qt.Equals, first.Upstream)
	c.Assert(again[0].Via, qt.Equals, core.VMName("vm-9"))
}

// plainRetrier is the policy of a service without retries.
type plainRetrier struct{ query.Retrier }

func (plainRetrier) Allow(time.Time, *rand.Rand, *core.Service, query.Failure) (time.Duration, bool, bool) {
	return 0, false, false
}

// TestRefusalByFormerOwnerTriesOtherReplicas guards against a shard that counts as missing because a VM that gave up the
// upstream refused the leg, while another replica could have answered. Each replica is tried once.
func TestRefusalByFormerOwnerTriesOtherReplicas(t *testing.T) {
	c := qt.New(t)
	for _, idempotent := range []bool{true, false} {
		f := newFixture(1, 3)
		f.policies.Retrier = plainRetrier{f.policies.Retrier}
		m := f.machine(idempotent, time.Second)
		asked := map[core.UpstreamID]bool{}
		for legs := sends(m.Start(epoch)); len(legs) > 0; {
			c.Assert(legs, qt.HasLen, 1)
			c.Assert(asked[legs[0].Upstream], qt.IsFalse)
			asked[legs[0].Upstream] = true
			legs = sends(m.Result(epoch, notRun(legs[0], core.CodeNotOwner)))
		}
		c.Assert(asked, qt.HasLen, 3)
		c.Assert(m.Done(), qt.IsTrue)
		c.Assert(m.Answer().Missing[0].Reason, qt.Equals, core.CodeNotOwner)
	}
}

// TestRefusalByAnUpstreamIsNotRerouted guards against retries that no policy allowed.
func TestRefusalByAnUpstreamIsNotRerouted(t *testing.T) {
	c := qt.New(t)
	f := newFixture(1, 3)
	f.policies.Retrier = plainRetrier{f.policies.Retrier}
	m := f.machine(true, time.Second)
	first := sends(m.Start(epoch))[0]
	c.Assert(sends(m.Result(epoch, notRun(first, core.CodeShed))), qt.HasLen, 0)
	c.Assert(m.Done(), qt.IsTrue)
}

// TestRetryWithoutReplicaSpendsNoBudget guards against a budget that is used up by retries that cannot be sent.
func TestRetryWithoutReplicaSpendsNoBudget(t *testing.T) {
	c := qt.New(t)
	f := newFixture(1, 1)
	counting := &countingRetrier{Retrier: f.policies.Retrier}
	f.policies.Retrier = counting
	m := f.machine(true, time.Second)
	leg := sends(m.Start(epoch))[0]
	m.Result(epoch, notRun(leg, core.CodeShed))
	c.Assert(m.Done(), qt.IsTrue)
	c.Assert(counting.asked, qt.HasLen, 0)
}

// TestReplicaWithoutTheVersionIsTriedLast guards against attempts at replicas that are known to lack the version.
func TestReplicaWithoutTheVersionIsTriedLast(t *testing.T) {
	c := qt.New(t)
	f := newFixture(1, 3)
	f.view.State("u0-0").SetWindow(core.Window{Oldest: pinned + 1, Newest: pinned + 2})
	f.view.State("u0-2").SetWindow(core.Window{Oldest: 1, Newest: pinned - 1})
	c.Assert(sends(f.machine(true, time.Second).Start(epoch))[0].Upstream, qt.Equals, core.UpstreamID("u0-1"))
}

// TestRestartedReplicaIsBelieved guards against trying a replica for ever that came back with older index versions.
func TestRestartedReplicaIsBelieved(t *testing.T) {
	c := qt.New(t)
	state := &core.UpstreamState{}
	state.SetWindow(core.Window{Oldest: 5, Newest: 9})
	state.SetWindow(core.Window{Oldest: 3, Newest: 9})
	c.Assert(state.Window(), qt.Equals, core.Window{Oldest: 5, Newest: 9})
	state.SetMissing(9, core.Window{Oldest: 3, Newest: 8})
	c.Assert(state.Window(), qt.Equals, core.Window{Oldest: 3, Newest: 8})
}

// stingyHedger knows a delay but has no budget.
type stingyHedger struct{ query.Hedger }

func (stingyHedger) Allow(time.Time, *core.Service) bool { return false }

// TestOverdueAttemptIsCoveredByARetry guards against shards that wait for their deadline when many connections go silent
// at once and the hedging budget is used up.
func TestOverdueAttemptIsCoveredByARetry(t *testing.T) {
	c := qt.New(t)
	f := newFixture(1, 2)
	f.learnDelay(10 * time.Millisecond)
	f.policies.Hedger = stingyHedger{f.policies.Hedger}
	m := f.machine(true, time.Second)
	first := sends(m.Start(epoch))[0]
	c.Assert(sends(m.Wake(m.NextWake())), qt.HasLen, 0)
	second := sends(m.Wake(m.NextWake()))
	c.Assert(second, qt.HasLen, 1)
	c.Assert(second[0].Upstream, qt.Not(qt.Equals), first.Upstream)
}

// TestLostAttemptIsReplacedWhileTheOtherIsSilent guards against a shard that waits for its deadline because one attempt was
// lost with its link and the other one is on a silent connection.
func TestLostAttemptIsReplacedWhileTheOtherIsSilent(t *testing.T) {
	c := qt.New(t)
	f := newFixture(1, 2)
	f.learnDelay(10 * time.Millisecond)
	m := f.machine(true, time.Second)
	first := sends(m.Start(epoch))[0]
	now := m.NextWake()
	c.Assert(sends(m.Wake(now)), qt.HasLen, 1)
	m.Result(now, core.LegResult{Attempt: first.Attempt, Code: core.CodeConnectionLost})
	again := sends(m.Wake(m.NextWake()))
	c.Assert(again, qt.HasLen, 1)
	c.Assert(again[0].Upstream, qt.Equals, first.Upstream)
}
