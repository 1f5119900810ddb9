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

// tracked is what the test knows of one attempt, kept apart from the machine.
type tracked struct {
	leg    core.Leg
	result *core.LegResult
	usable bool
}

// world drives one machine with random events and checks the guarantees after each.
type world struct {
	t        *rapid.T
	f        *fixture
	m        *query.Machine
	now      time.Time
	deadline time.Time
	sent     []*tracked
	drained  map[core.UpstreamID]bool
	refused  map[string]bool
	gaveUp   bool
	single   bool
}

func (w *world) take(actions []query.Action) {
	for _, a := range actions {
		switch a.Kind {
		case query.ActionSend:
			w.sentLeg(a.Leg)
		case query.ActionCancel:
			if w.find(a.Leg.Attempt) == nil {
				w.t.Fatalf("cancelled an attempt that was never sent: %v", a.Leg.Attempt)
			}
		}
	}
}

func (w *world) sentLeg(leg core.Leg) {
	switch {
	case w.drained[leg.Upstream]:
		w.t.Fatalf("P6: %s gets new work while it is draining", leg.Upstream)
	case leg.Version != pinned:
		w.t.Fatalf("P1: a leg asks for version %d, the query is pinned to %d", leg.Version, pinned)
	case w.find(leg.Attempt) != nil:
		w.t.Fatalf("P3: attempt %v used twice", leg.Attempt)
	case w.refused[refusalKey(leg)]:
		w.t.Fatalf("shard %s goes back to %s, which refused it", leg.Shard, leg.Upstream)
	case !w.now.Before(w.deadline):
		w.t.Fatalf("a leg is sent after the cut-off")
	case !leg.Idempotent && leg.Hedge:
		w.t.Fatalf("P5: a non-idempotent request is hedged")
	}
	w.sent = append(w.sent, &tracked{leg: leg})
}

func refusalKey(leg core.Leg) string { return fmt.Sprint(leg.Shard, "/", leg.Upstream) }

func (w *world) find(id core.AttemptID) *tracked {
	for _, s := range w.sent {
		if s.leg.Attempt == id {
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

// drawResult draws a result that an upstream, a peer or a fault on the way can produce.
func (w *world) drawResult(leg core.Leg) core.LegResult {
	r := core.LegResult{Attempt: leg.Attempt, Version: pinned, Data: []byte(fmt.Sprint(leg.Shard, leg.Attempt.Sequence))}
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

func (w *world) deliver(s *tracked) {
	r := w.drawResult(s.leg)
	if s.result == nil {
		s.result = &r
		s.usable = r.Outcome == core.OutcomeRan && r.Code == core.CodeOK && r.Version == pinned && !w.gaveUp
		switch r.Code {
		case core.CodeShed, core.CodeOverloaded, core.CodeVersionMissing, core.CodeDraining:
			w.refused[refusalKey(s.leg)] = true
		}
	}
	w.take(w.m.Result(w.now, r))
}

func (w *world) step() {
	switch rapid.IntRange(0, 11).Draw(w.t, "step") {
	case 0, 1, 2, 3, 4, 5:
		if len(w.sent) > 0 {
			w.deliver(rapid.SampledFrom(w.sent).Draw(w.t, "attempt"))
		}
	case 6:
		foreign := core.Leg{Shard: "s0", Attempt: core.AttemptID{VM: "vm-1", Incarnation: 99, Sequence: 1}}
		w.take(w.m.Result(w.now, w.drawResult(foreign)))
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
			w.gaveUp = true
			w.take(w.m.Abort(w.now, core.CodeCancelled))
		}
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (w *world) wake(now time.Time) {
	w.now = now
	if !now.Before(w.deadline) {
		w.gaveUp = true
	}
	w.take(w.m.Wake(now))
}

func (w *world) service() *core.Service { return w.f.service }

// repartition publishes what a running query must not see: another layout, and windows that moved on.
func (w *world) repartition() {
	id := rapid.SampledFrom(w.service().Groups).Draw(w.t, "moved").Upstreams[0].ID
	w.f.view.State(id).SetWindow(core.Window{Oldest: pinned - 1, Newest: pinned + 1})
	next := core.Layout{FirstVersion: pinned + 1, Shards: []core.Shard{{Name: "other", Group: "g0"}}}
	w.service().Layouts = append(w.service().Layouts, next)
}

func (w *world) check() {
	answer := w.m.Answer()
	w.checkCoverage(&answer)
	if w.single {
		w.checkOnce(&answer)
	}
}

func (w *world) checkCoverage(answer *core.Answer) {
	names := make(map[core.ShardName]int)
	for _, got := range answer.Covered {
		names[got.Shard]++
		ok := slices.ContainsFunc(w.sent, func(s *tracked) bool {
			return s.leg.Shard == got.Shard && s.usable && bytes.Equal(s.result.Data, got.Data)
		})
		if !ok {
			w.t.Fatalf("P1, P3: shard %s has data %q that no usable result of it carried", got.Shard, got.Data)
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
			w.t.Fatalf("P2: shard %s is listed %d times", shard.Name, names[shard.Name])
		}
	}
	if answer.Version != pinned || len(names) != len(w.service().Layouts[0].Shards) {
		w.t.Fatalf("P1: the answer lists %d shards at version %d", len(names), answer.Version)
	}
}

// checkReason accepts a reason that an attempt of the shard gave, or one that says why there was none.
func (w *world) checkReason(miss core.MissingShard) {
	attempts, failed := 0, false
	for _, s := range w.sent {
		if s.leg.Shard != miss.Shard {
			continue
		}
		attempts++
		if s.usable {
			w.t.Fatalf("P2: shard %s is missing although it was answered", miss.Shard)
		}
		failed = failed || (s.result != nil && reasonOf(s.result) == miss.Reason)
	}
	switch {
	case failed:
	case attempts == 0 && (miss.Reason == core.CodeNoReplica || miss.Reason == core.CodeExpired):
	case w.gaveUp && (miss.Reason == core.CodeDeadlineExceeded || miss.Reason == core.CodeCancelled):
	default:
		w.t.Fatalf("P2: shard %s is missing with reason %v, which nothing gave", miss.Shard, miss.Reason)
	}
}

func reasonOf(r *core.LegResult) core.Code {
	switch {
	case r.Code != core.CodeOK:
		return r.Code
	case r.Outcome != core.OutcomeRan:
		return core.CodeUpstreamError
	default:
		return core.CodeVersionMissing
	}
}

func (w *world) checkOnce(answer *core.Answer) {
	mayHaveRun := 0
	for _, s := range w.sent {
		proof := s.result != nil && s.result.Outcome == core.OutcomeNotRun && s.result.Code != core.CodeOK
		if !proof {
			mayHaveRun++
		}
	}
	if mayHaveRun > 1 {
		w.t.Fatalf("P5: %d attempts of a non-idempotent request may have run", mayHaveRun)
	}
	if w.m.Done() && mayHaveRun > 0 && (answer.Code.IsNotRun() || answer.Code == core.CodePartial) {
		w.t.Fatalf("P4: the answer says %v although an attempt may have run", answer.Code)
	}
}

// TestGuaranteesHoldForAnyInterleaving guards against answers that break P1 to P6 when results come late, twice, out of
// order or not at all, while upstreams drain, shards move and the clock steps.
func TestGuaranteesHoldForAnyInterleaving(t *testing.T) {
	t.Logf("seed %s", flag.Lookup("rapid.seed").Value)
	rapid.Check(t, func(rt *rapid.T) {
		single := rapid.Bool().Draw(rt, "non_idempotent")
		shards := 1
		if !single {
			shards = rapid.IntRange(1, 4).Draw(rt, "shards")
		}
		f := newFixture(shards, rapid.IntRange(1, 4).Draw(rt, "replicas"))
		f.explain = true
		f.learnDelay(20 * time.Millisecond)
		w := &world{
			t: rt, f: f, now: epoch, deadline: epoch.Add(time.Second), single: single,
			drained: make(map[core.UpstreamID]bool), refused: make(map[string]bool),
		}
		w.m = f.machine(!single, time.Second)
		w.take(w.m.Start(w.now))
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
