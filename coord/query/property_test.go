package query_test

import (
	"bytes"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gooseberrylane.example/coord/query"
	"gooseberrylane.example/core"
)

// trackedAttempt is the test's own record of one attempt, independent of the machine.
type trackedAttempt struct {
	attempt core.Attempt
	result  *core.AttemptResult
	usable  bool
}

// simulation drives one machine with random events and checks the guarantees after each.
type simulation struct {
	t             *rapid.T
	f             *fixture
	m             *query.Machine
	now           time.Time
	deadline      time.Time
	sent          []*trackedAttempt
	drained       map[core.UpstreamID]bool
	refused       map[string]bool
	finished      bool
	nonIdempotent bool
}

func (w *simulation) apply(actions []query.Action) {
	for _, a := range actions {
		switch a.Kind {
		case query.ActionSend:
			w.recordSend(a.Attempt)
		case query.ActionCancel:
			if w.find(a.Attempt.ID) == nil {
				w.t.Fatalf("cancelled an attempt that was never sent: %v", a.Attempt.ID)
			}
		}
	}
}

func (w *simulation) recordSend(attempt core.Attempt) {
	switch {
	case w.drained[attempt.Upstream]:
		w.t.Fatalf("%s gets new work while it is draining", attempt.Upstream)
	case attempt.Version != pinned:
		w.t.Fatalf("a sub-request has version %d, the query is pinned to %d", attempt.Version, pinned)
	case w.find(attempt.ID) != nil:
		w.t.Fatalf("attempt ID %v is used twice", attempt.ID)
	case w.refused[refusalKey(attempt)]:
		w.t.Fatalf("shard %s is sent again to %s, which refused it", attempt.Shard, attempt.Upstream)
	case !w.now.Before(w.deadline):
		w.t.Fatalf("an attempt is sent after the cut-off")
	case !attempt.Idempotent && attempt.Hedge:
		w.t.Fatalf("a non-idempotent request is hedged")
	}
	w.sent = append(w.sent, &trackedAttempt{attempt: attempt})
}

func refusalKey(attempt core.Attempt) string { return fmt.Sprint(attempt.Shard, "/", attempt.Upstream) }

func (w *simulation) find(id core.AttemptID) *trackedAttempt {
	for _, s := range w.sent {
		if s.attempt.ID == id {
			return s
		}
	}
	return nil
}

var failures = []core.Code{
	core.CodeShed, core.CodeOverloaded, core.CodeVersionMissing, core.CodeDraining, core.CodeNotOwner,
	core.CodeConnectFailed, core.CodeUnreachable, core.CodeExpired, core.CodeConnectionLost, core.CodeCancelled,
	core.CodeUpstreamError, core.CodeDeadlineExceeded,
}

// drawResult draws a result that an upstream, a peer or a network fault can produce.
func (w *simulation) drawResult(attempt core.Attempt) core.AttemptResult {
	r := core.AttemptResult{Attempt: attempt.ID, Version: pinned, Data: []byte(fmt.Sprint(attempt.Shard, attempt.ID.Sequence))}
	switch rapid.IntRange(0, 9).Draw(w.t, "kind") {
	case 0, 1, 2:
		r.Outcome, r.Code = core.OutcomeRan, core.CodeOK
	case 3:
		r.Outcome, r.Code = core.OutcomeRan, core.CodeOK
		r.Version = rapid.SampledFrom([]core.IndexVersion{0, pinned - 1, pinned + 1}).Draw(w.t, "version")
	case 4:
		r.Outcome, r.Code = core.OutcomeNotRun, core.CodeOK
	case 5:
		r.Outcome, r.Code = core.OutcomeRan, core.CodeUpstreamError
	case 6:
		r.Outcome, r.Code = core.OutcomeUnknown, rapid.SampledFrom(failures).Draw(w.t, "code")
	default:
		r.Outcome, r.Code = core.OutcomeNotRun, rapid.SampledFrom(failures).Draw(w.t, "code")
		r.Owner = rapid.SampledFrom([]core.VMName{"", "vm-2", "vm-3"}).Draw(w.t, "owner")
	}
	return r
}

func (w *simulation) deliver(s *trackedAttempt) {
	r := w.drawResult(s.attempt)
	if s.result == nil {
		s.result = &r
		s.usable = r.Outcome == core.OutcomeRan && r.Code == core.CodeOK && r.Version == pinned && !w.finished
		switch r.Code {
		case core.CodeShed, core.CodeOverloaded, core.CodeVersionMissing, core.CodeDraining:
			w.refused[refusalKey(s.attempt)] = true
		}
	}
	w.apply(w.m.Result(w.now, r))
}

func (w *simulation) step() {
	switch rapid.IntRange(0, 11).Draw(w.t, "step") {
	case 0, 1, 2, 3, 4, 5:
		if len(w.sent) > 0 {
			w.deliver(rapid.SampledFrom(w.sent).Draw(w.t, "attempt"))
		}
	case 6:
		foreign := core.Attempt{Shard: "s0", ID: core.AttemptID{VM: "vm-1", Incarnation: 99, Sequence: 1}}
		w.apply(w.m.Result(w.now, w.drawResult(foreign)))
	case 7:
		id := rapid.SampledFrom(w.service().Groups).Draw(w.t, "group").Upstreams[0].ID
		w.drained[id] = true
		w.f.view.State(id).DrainSince.Store(1)
	case 8:
		w.repartition()
	case 9:
		w.now = w.now.Add(time.Duration(rapid.Int64Range(-50, 400).Draw(w.t, "clock")) * time.Millisecond)
	case 10:
		w.wake(maxTime(w.now, w.m.NextWake()))
	case 11:
		if rapid.IntRange(0, 9).Draw(w.t, "abort") == 0 {
			w.finished = true
			w.apply(w.m.Abort(w.now, core.CodeCancelled))
		}
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (w *simulation) wake(now time.Time) {
	w.now = now
	if !now.Before(w.deadline) {
		w.finished = true
	}
	w.apply(w.m.Wake(now))
}

func (w *simulation) service() *core.Service { return w.f.service }

// repartition publishes changes that must not affect a running query: another layout and newer version windows.
func (w *simulation) repartition() {
	id := rapid.SampledFrom(w.service().Groups).Draw(w.t, "moved").Upstreams[0].ID
	w.f.view.State(id).SetWindow(core.VersionWindow{Oldest: pinned - 1, Newest: pinned + 1})
	next := core.Layout{FirstVersion: pinned + 1, Shards: []core.Shard{{Name: "other", Group: "g0"}}}
	w.service().Layouts = append(w.service().Layouts, next)
}

func (w *simulation) check() {
	answer := w.m.Answer()
	w.checkCoverage(&answer)
	if w.nonIdempotent {
		w.checkRunsAtMostOnce(&answer)
	}
}

func (w *simulation) checkCoverage(answer *core.Answer) {
	names := make(map[core.ShardName]int)
	for _, got := range answer.Covered {
		names[got.Shard]++
		ok := slices.ContainsFunc(w.sent, func(s *trackedAttempt) bool {
			return s.attempt.Shard == got.Shard && s.usable && bytes.Equal(s.result.Data, got.Data)
		})
		if !ok {
			w.t.Fatalf("shard %s has data %q that no usable result of it carried", got.Shard, got.Data)
		}
	}
	for _, miss := range answer.Missing {
		names[miss.Shard]++
		if w.m.Done() {
			w.checkReason(miss)
		}
	}
	for _, shard := range w.service().Layouts[0].Shards {
		if names[shard.Name] != 1 {
			w.t.Fatalf("shard %s is listed %d times", shard.Name, names[shard.Name])
		}
	}
	if answer.Version != pinned || len(names) != len(w.service().Layouts[0].Shards) {
		w.t.Fatalf("the answer lists %d shards at version %d", len(names), answer.Version)
	}
}

// checkReason checks that the reason came from an attempt of the shard or states why there was none.
func (w *simulation) checkReason(miss core.MissingShard) {
	attempts, failed := 0, false
	for _, s := range w.sent {
		if s.attempt.Shard != miss.Shard {
			continue
		}
		attempts++
		if s.usable {
			w.t.Fatalf("shard %s is missing although it has a usable result", miss.Shard)
		}
		failed = failed || (s.result != nil && reasonOf(s.result) == miss.Reason)
	}
	switch {
	case failed:
	case attempts == 0 && (miss.Reason == core.CodeNoReplica || miss.Reason == core.CodeExpired):
	case w.finished && (miss.Reason == core.CodeDeadlineExceeded || miss.Reason == core.CodeCancelled):
	default:
		w.t.Fatalf("shard %s is missing with reason %v, which no attempt or event gave", miss.Shard, miss.Reason)
	}
}

func reasonOf(r *core.AttemptResult) core.Code {
	switch {
	case r.Code != core.CodeOK:
		return r.Code
	case r.Outcome != core.OutcomeRan:
		return core.CodeUpstreamError
	default:
		return core.CodeVersionMissing
	}
}

func (w *simulation) checkRunsAtMostOnce(answer *core.Answer) {
	mayHaveRun := 0
	for _, s := range w.sent {
		provenNotRun := s.result != nil && s.result.Outcome == core.OutcomeNotRun && s.result.Code != core.CodeOK
		if !provenNotRun {
			mayHaveRun++
		}
	}
	if mayHaveRun > 1 {
		w.t.Fatalf("%d attempts of a non-idempotent request may have run", mayHaveRun)
	}
	if w.m.Done() && mayHaveRun > 0 && (answer.Code.IsNotRun() || answer.Code == core.CodePartial) {
		w.t.Fatalf("the answer has code %v although an attempt may have run", answer.Code)
	}
}

// TestGuaranteesHoldForAnyInterleaving guards against wrong answers when results arrive late, twice, out of order or not at
// all, while upstreams drain, shards move and the clock steps. An answer lists each shard of the pinned version once, with
// the data of one of its own attempts or the reason of its failure. A non-idempotent request runs at most once and is not
// reported as not run if it may have run. Draining upstreams get no new work.
func TestGuaranteesHoldForAnyInterleaving(t *testing.T) {
	t.Logf("seed %s", flag.Lookup("rapid.seed").Value)
	rapid.Check(t, func(rt *rapid.T) {
		nonIdempotent := rapid.Bool().Draw(rt, "non_idempotent")
		shards := 1
		if !nonIdempotent {
			shards = rapid.IntRange(1, 4).Draw(rt, "shards")
		}
		f := newFixture(shards, rapid.IntRange(1, 4).Draw(rt, "replicas"))
		f.explain = true
		f.warmUpHedger(20 * time.Millisecond)
		w := &simulation{
			t: rt, f: f, now: epoch, deadline: epoch.Add(time.Second), nonIdempotent: nonIdempotent,
			drained: make(map[core.UpstreamID]bool), refused: make(map[string]bool),
		}
		w.m = f.machine(!nonIdempotent, time.Second)
		w.apply(w.m.Start(w.now))
		w.check()
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			w.step()
			w.check()
		}
		w.wake(maxTime(w.now, w.deadline))
		if !w.m.Done() {
			rt.Fatalf("the query has no answer at its cut-off")
		}
		w.check()
	})
}
