package query_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/coord/query"
	"gooseberrylane.example/core"
)

// TestResultOfOtherVersionIsNotRetried guards against running a non-idempotent request twice because its result belongs
// to another index version.
func TestResultOfOtherVersionIsNotRetried(t *testing.T) {
	c := qt.New(t)
	m := newFixture(1, 2).machine(false, time.Second)
	attempt := sends(m.Start(epoch))[0]
	c.Assert(sends(m.Result(epoch, covered(attempt, pinned-1))), qt.HasLen, 0)
	c.Assert(m.Done(), qt.IsTrue)
	c.Assert(m.Answer().Code.IsNotRun(), qt.IsFalse)
}

// TestFailureThatRanIsNotReportedAsNotRun guards against a false not_run after an upstream ran a request and failed.
func TestFailureThatRanIsNotReportedAsNotRun(t *testing.T) {
	c := qt.New(t)
	m := newFixture(1, 2).machine(false, time.Second)
	attempt := sends(m.Start(epoch))[0]
	m.Result(epoch, core.AttemptResult{Attempt: attempt.ID, Outcome: core.OutcomeRan, Code: core.CodeInternal})
	c.Assert(m.Answer().Code, qt.Equals, core.CodeUpstreamError)
}

// TestSuccessThatDidNotRunIsRejected guards against a missing shard with the reason "ok" after a contradictory result.
func TestSuccessThatDidNotRunIsRejected(t *testing.T) {
	c := qt.New(t)
	m := newFixture(1, 1).machine(false, time.Second)
	attempt := sends(m.Start(epoch))[0]
	m.Result(epoch, notRun(attempt, core.CodeOK))
	c.Assert(m.Answer().Code, qt.Equals, core.CodeOutcomeUnknown)
	c.Assert(m.Answer().Missing[0].Reason, qt.Equals, core.CodeUpstreamError)
}

// TestFailedHedgeIsRetriedOnce guards against a shard that is missing, or retried twice, after the first attempt and then
// its hedge fail.
func TestFailedHedgeIsRetriedOnce(t *testing.T) {
	c := qt.New(t)
	f := newFixture(1, 3)
	f.warmUpHedger(10 * time.Millisecond)
	m := f.machine(true, time.Second)
	first := sends(m.Start(epoch))[0]
	now := m.NextWake()
	hedged := sends(m.Wake(now))
	c.Assert(hedged, qt.HasLen, 1)
	c.Assert(hedged[0].Hedge, qt.IsTrue)
	c.Assert(sends(m.Result(now, core.AttemptResult{Attempt: first.ID, Code: core.CodeConnectionLost})), qt.HasLen, 0)
	c.Assert(sends(m.Result(now, core.AttemptResult{Attempt: hedged[0].ID, Code: core.CodeConnectionLost})), qt.HasLen, 0)
	c.Assert(m.Done(), qt.IsFalse)
	retried := sends(m.Wake(m.NextWake()))
	c.Assert(retried, qt.HasLen, 1)
	c.Assert(retried[0].Upstream, qt.Not(qt.Equals), first.Upstream)
	c.Assert(retried[0].Upstream, qt.Not(qt.Equals), hedged[0].Upstream)
	m.Result(now, covered(retried[0], pinned))
	c.Assert(m.Answer().Code, qt.Equals, core.CodeOK)
}

// TestRetryGetsAFullHedgeDelay guards against a hedge right after a retry because the timer of the first attempt was not
// reset.
func TestRetryGetsAFullHedgeDelay(t *testing.T) {
	c := qt.New(t)
	f := newFixture(1, 3)
	f.warmUpHedger(10 * time.Millisecond)
	m := f.machine(true, time.Second)
	first := sends(m.Start(epoch))[0]
	delay, _ := f.policies.Hedger.Delay(f.service, "g0")
	failed := epoch.Add(delay - 1)
	c.Assert(sends(m.Result(failed, notRun(first, core.CodeConnectFailed))), qt.HasLen, 1)
	c.Assert(m.NextWake().Before(failed.Add(delay)), qt.IsFalse)
}

// TestRefusedHedgeIsReplaced guards against a shard that waits for a straggler because its only hedge was shed.
func TestRefusedHedgeIsReplaced(t *testing.T) {
	c := qt.New(t)
	f := newFixture(1, 3)
	f.warmUpHedger(10 * time.Millisecond)
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

// TestNothingIsSentAfterTheCutOff guards against work whose result is too late for the answer: a query that starts after
// its cut-off, and a retry of a failure that arrives after it.
func TestNothingIsSentAfterTheCutOff(t *testing.T) {
	c := qt.New(t)
	m := newFixture(1, 2).machine(false, 0)
	c.Assert(m.Start(epoch), qt.HasLen, 0)
	c.Assert(m.Answer().Code, qt.Equals, core.CodeExpired)

	m = newFixture(1, 2).machine(true, time.Second)
	attempt := sends(m.Start(epoch))[0]
	c.Assert(m.Result(epoch.Add(time.Second), notRun(attempt, core.CodeConnectFailed)), qt.HasLen, 0)
	c.Assert(m.Answer().Missing[0].Reason, qt.Equals, core.CodeConnectFailed)
}

// TestCancelledAttemptKeepsTheReason guards against a cancelled attempt that replaces the reason why a shard is missing.
func TestCancelledAttemptKeepsTheReason(t *testing.T) {
	c := qt.New(t)
	m := newFixture(1, 2).machine(true, time.Second)
	first := sends(m.Start(epoch))[0]
	m.Result(epoch, core.AttemptResult{Attempt: first.ID, Outcome: core.OutcomeRan, Code: core.CodeUpstreamError})
	for !m.Done() {
		for _, attempt := range sends(m.Wake(m.NextWake())) {
			m.Result(epoch, core.AttemptResult{Attempt: attempt.ID, Code: core.CodeCancelled})
		}
	}
	c.Assert(m.Answer().Missing[0].Reason, qt.Equals, core.CodeUpstreamError)
}

// TestVersionMissingIsNotReportedIfAReplicaShed guards against the reason version_missing when one of the replicas
// refused for another reason, in either order.
func TestVersionMissingIsNotReportedIfAReplicaShed(t *testing.T) {
	c := qt.New(t)
	for _, codes := range [][]core.Code{{core.CodeVersionMissing, core.CodeShed}, {core.CodeShed, core.CodeVersionMissing}} {
		m := newFixture(1, 2).machine(true, time.Second)
		attempts := sends(m.Start(epoch))
		for _, code := range codes {
			attempts = sends(m.Result(epoch, notRun(attempts[0], code)))
			if len(attempts) == 0 && !m.Done() {
				attempts = sends(m.Wake(m.NextWake()))
			}
		}
		c.Assert(m.Done(), qt.IsTrue)
		c.Assert(m.Answer().Missing[0].Reason, qt.Equals, core.CodeShed)
	}
}

// recordingRetrier records the failures it is called with and allows every retry without delay.
type recordingRetrier struct {
	query.Retrier
	failures []query.Failure
}

func (r *recordingRetrier) Allow(_ time.Time, _ *rand.Rand, _ *core.Service, f query.Failure) (time.Duration, bool, bool) {
	r.failures = append(r.failures, f)
	return 0, f.Code == core.CodeNotOwner, true
}

// TestNotOwnerIsRetriedAtTheNamedOwner guards against a sub-request that fails because its upstream changes owners.
func TestNotOwnerIsRetriedAtTheNamedOwner(t *testing.T) {
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

// noRetries is the policy of a service without retries.
type noRetries struct{ query.Retrier }

func (noRetries) Allow(time.Time, *rand.Rand, *core.Service, query.Failure) (time.Duration, bool, bool) {
	return 0, false, false
}

// TestRefusalByFormerOwnerTriesOtherReplicas guards against a missing shard because the former owner of an upstream
// refused the sub-request, although another replica could have answered. Each replica is tried once.
func TestRefusalByFormerOwnerTriesOtherReplicas(t *testing.T) {
	c := qt.New(t)
	for _, idempotent := range []bool{true, false} {
		f := newFixture(1, 3)
		f.policies.Retrier = noRetries{f.policies.Retrier}
		m := f.machine(idempotent, time.Second)
		tried := map[core.UpstreamID]bool{}
		for attempts := sends(m.Start(epoch)); len(attempts) > 0; {
			c.Assert(attempts, qt.HasLen, 1)
			c.Assert(tried[attempts[0].Upstream], qt.IsFalse)
			tried[attempts[0].Upstream] = true
			attempts = sends(m.Result(epoch, notRun(attempts[0], core.CodeNotOwner)))
		}
		c.Assert(tried, qt.HasLen, 3)
		c.Assert(m.Done(), qt.IsTrue)
		c.Assert(m.Answer().Missing[0].Reason, qt.Equals, core.CodeNotOwner)
	}
}

// TestRefusalByAnUpstreamIsNotRerouted guards against retries that the policy does not allow.
func TestRefusalByAnUpstreamIsNotRerouted(t *testing.T) {
	c := qt.New(t)
	f := newFixture(1, 3)
	f.policies.Retrier = noRetries{f.policies.Retrier}
	m := f.machine(true, time.Second)
	first := sends(m.Start(epoch))[0]
	c.Assert(sends(m.Result(epoch, notRun(first, core.CodeShed))), qt.HasLen, 0)
	c.Assert(m.Done(), qt.IsTrue)
}

// TestRetryWithoutReplicaSpendsNoBudget guards against a budget that is used up by retries that cannot be sent.
func TestRetryWithoutReplicaSpendsNoBudget(t *testing.T) {
	c := qt.New(t)
	f := newFixture(1, 1)
	recorder := &recordingRetrier{Retrier: f.policies.Retrier}
	f.policies.Retrier = recorder
	m := f.machine(true, time.Second)
	attempt := sends(m.Start(epoch))[0]
	m.Result(epoch, notRun(attempt, core.CodeShed))
	c.Assert(m.Done(), qt.IsTrue)
	c.Assert(recorder.failures, qt.HasLen, 0)
}

// TestReplicaWithoutTheVersionIsTriedLast guards against attempts at replicas that are known not to hold the version.
func TestReplicaWithoutTheVersionIsTriedLast(t *testing.T) {
	c := qt.New(t)
	f := newFixture(1, 3)
	f.view.State("u0-0").SetWindow(core.VersionWindow{Oldest: pinned + 1, Newest: pinned + 2})
	f.view.State("u0-2").SetWindow(core.VersionWindow{Oldest: 1, Newest: pinned - 1})
	c.Assert(sends(f.machine(true, time.Second).Start(epoch))[0].Upstream, qt.Equals, core.UpstreamID("u0-1"))
}

// TestRestartedReplicaMayReportOlderVersions guards against endless attempts at a replica that restarted with older index
// versions.
func TestRestartedReplicaMayReportOlderVersions(t *testing.T) {
	c := qt.New(t)
	state := &core.UpstreamState{}
	state.SetWindow(core.VersionWindow{Oldest: 5, Newest: 9})
	state.SetWindow(core.VersionWindow{Oldest: 3, Newest: 9})
	c.Assert(state.Window(), qt.Equals, core.VersionWindow{Oldest: 5, Newest: 9})
	state.SetWindowAfterMiss(9, core.VersionWindow{Oldest: 3, Newest: 8})
	c.Assert(state.Window(), qt.Equals, core.VersionWindow{Oldest: 3, Newest: 8})
}

// exhaustedHedger has a delay but no budget.
type exhaustedHedger struct{ query.Hedger }

func (exhaustedHedger) Allow(time.Time, *core.Service) bool { return false }

// TestOverdueAttemptIsCoveredByARetry guards against shards that wait until the deadline when many connections stall at
// once and the hedging budget is used up.
func TestOverdueAttemptIsCoveredByARetry(t *testing.T) {
	c := qt.New(t)
	f := newFixture(1, 2)
	f.warmUpHedger(10 * time.Millisecond)
	f.policies.Hedger = exhaustedHedger{f.policies.Hedger}
	m := f.machine(true, time.Second)
	first := sends(m.Start(epoch))[0]
	c.Assert(sends(m.Wake(m.NextWake())), qt.HasLen, 0)
	second := sends(m.Wake(m.NextWake()))
	c.Assert(second, qt.HasLen, 1)
	c.Assert(second[0].Upstream, qt.Not(qt.Equals), first.Upstream)
}

// TestLostAttemptIsReplacedWhileTheOtherIsOpen guards against a shard that waits until the deadline because the connection
// of one attempt was lost and that of the other one stalls.
func TestLostAttemptIsReplacedWhileTheOtherIsOpen(t *testing.T) {
	c := qt.New(t)
	f := newFixture(1, 2)
	f.warmUpHedger(10 * time.Millisecond)
	m := f.machine(true, time.Second)
	first := sends(m.Start(epoch))[0]
	now := m.NextWake()
	c.Assert(sends(m.Wake(now)), qt.HasLen, 1)
	m.Result(now, core.AttemptResult{Attempt: first.ID, Code: core.CodeConnectionLost})
	again := sends(m.Wake(m.NextWake()))
	c.Assert(again, qt.HasLen, 1)
	c.Assert(again[0].Upstream, qt.Equals, first.Upstream)
}
