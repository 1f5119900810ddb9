package fanout_test

import (
	"bytes"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"gooseberrylane.example/coord/fanout"
	"gooseberrylane.example/core"
	_ "gooseberrylane.example/test/seed"
)

const hedgeDelay = 10 * time.Millisecond

var start = time.Unix(1000, 0)

// policies choose the first untried replica and allow a number of extra requests.
type policies struct{ extra int }

func (p *policies) Choose(_ time.Time, group *core.Group, tried []core.UpstreamID) *core.Upstream {
	for i := range group.Upstreams {
		if !slices.Contains(tried, group.Upstreams[i].ID) {
			return &group.Upstreams[i]
		}
	}
	return nil
}

func (p *policies) HedgeDelay(*core.Route) time.Duration { return hedgeDelay }

func (p *policies) AllowExtra(time.Time, core.ServiceName) bool {
	p.extra--
	return p.extra >= 0
}

func group(replicas ...core.UpstreamID) *core.Group {
	g := &core.Group{}
	for _, id := range replicas {
		g.Upstreams = append(g.Upstreams, core.Upstream{ID: id})
	}
	return g
}

func gathered(shards int, minCoverage float64) fanout.Plan {
	route := &core.Route{
		Idempotent: true, MaxAttempts: 2, Timeout: 400 * time.Millisecond, Objective: 40 * time.Millisecond,
		Gather: &core.GatherRule{MinCoverage: minCoverage},
	}
	plan := fanout.Plan{Route: route, Times: fanout.Schedule(route, start, time.Time{}, fanout.Shares{Partial: 0.75, Settle: 0.5})}
	for range shards {
		plan.Legs = append(plan.Legs, fanout.Leg{Group: group("a", "b")})
	}
	return plan
}

func single(idempotent bool, attempts int, replicas ...core.UpstreamID) fanout.Plan {
	route := &core.Route{Idempotent: idempotent, MaxAttempts: attempts, Timeout: time.Second, Objective: 100 * time.Millisecond}
	return fanout.Plan{
		Route: route, Legs: []fanout.Leg{{Group: group(replicas...)}},
		Times: fanout.Schedule(route, start, time.Time{}, fanout.Shares{Partial: 0.75, Settle: 0.5}),
	}
}

var (
	success = &core.Reply{Outcome: core.OutcomeRan, Code: core.CodeOK, Status: 200}
	shed    = &core.Reply{Outcome: core.OutcomeNotRun, Code: core.CodeShed, Status: 503}
	failure = &core.Reply{Outcome: core.OutcomeRan, Code: core.CodeUpstreamError, Status: 500}
	lost    = &core.Reply{Outcome: core.OutcomeUnknown, Code: core.CodeConnectionLost}
)

// TestNonIdempotentRequestIsSentOnceUnlessNotRun guards against a request that runs twice.
func TestNonIdempotentRequestIsSentOnceUnlessNotRun(t *testing.T) {
	c := qt.New(t)
	for _, reply := range []*core.Reply{failure, lost} {
		m := fanout.New(single(false, 3, "a", "b"), &policies{extra: 9})
		c.Assert(m.Start(start), qt.HasLen, 1)
		c.Assert(m.Wake(start.Add(500*time.Millisecond)), qt.HasLen, 0)
		c.Assert(m.Finished(start, 0, reply), qt.HasLen, 0)
		c.Assert(m.Verdict(), qt.Equals, fanout.Failed)
	}
	m := fanout.New(single(false, 3, "a", "b"), &policies{extra: 9})
	m.Start(start)
	c.Assert(m.Finished(start, 0, shed), qt.HasLen, 1)
	m.Finished(start, 0, shed)
	c.Assert(m.Verdict(), qt.Equals, fanout.Refused)
}

// TestNotRunAfterLostAttemptIsNotARefusal guards against a promise that nothing ran after an attempt with an unknown outcome.
func TestNotRunAfterLostAttemptIsNotARefusal(t *testing.T) {
	c := qt.New(t)
	m := fanout.New(single(true, 2, "a", "b"), &policies{extra: 9})
	m.Start(start)
	c.Assert(m.Finished(start, 0, lost), qt.HasLen, 1)
	m.Finished(start, 0, shed)
	c.Assert(m.Verdict(), qt.Equals, fanout.Failed)
}

// TestLostAnswersAreAskedForAgain guards against a part that is missing although an upstream that had the leg before may
// answer it, and against sending without end.
func TestLostAnswersAreAskedForAgain(t *testing.T) {
	c := qt.New(t)
	m := fanout.New(single(true, 2, "a", "b", "c"), &policies{extra: 9})
	m.Start(start)
	m.Finished(start, 0, lost)
	sends := m.Finished(start, 0, lost)
	c.Assert(sends, qt.HasLen, 1)
	c.Assert(sends[0].Upstream.ID, qt.Equals, core.UpstreamID("a"))
	c.Assert(m.Finished(start, 0, lost), qt.HasLen, 1)
	c.Assert(m.Finished(start, 0, lost), qt.HasLen, 0)
	c.Assert(m.Verdict(), qt.Equals, fanout.Failed)
}

// TestPausedReplicaIsHedged guards against a query that waits for one paused replica while another could answer.
func TestPausedReplicaIsHedged(t *testing.T) {
	c := qt.New(t)
	m := fanout.New(gathered(2, 0.5), &policies{extra: 9})
	c.Assert(m.Start(start), qt.HasLen, 2)
	m.Finished(start.Add(time.Millisecond), 0, success)
	c.Assert(m.Next(start), qt.Equals, start.Add(hedgeDelay))
	sends := m.Wake(start.Add(hedgeDelay))
	c.Assert(sends, qt.HasLen, 1)
	c.Assert(sends[0].Reason, qt.Equals, fanout.Hedge)
	c.Assert(sends[0].Upstream.ID, qt.Equals, core.UpstreamID("b"))
	m.Finished(start.Add(12*time.Millisecond), 1, success)
	c.Assert(m.Verdict(), qt.Equals, fanout.Complete)
}

// TestPartialAnswerWithinTheObjective guards against a query that misses its latency objective for one part that it need
// not have, and against one that gives up on parts once the objective is missed anyway.
func TestPartialAnswerWithinTheObjective(t *testing.T) {
	c := qt.New(t)
	m := fanout.New(gathered(4, 0.75), &policies{})
	m.Start(start)
	for leg := range 3 {
		m.Finished(start.Add(time.Millisecond), leg, success)
	}
	m.Wake(start.Add(29 * time.Millisecond))
	c.Assert(m.Verdict(), qt.Equals, fanout.Pending)
	m.Wake(start.Add(30 * time.Millisecond))
	c.Assert(m.Verdict(), qt.Equals, fanout.Partial)

	late := fanout.New(gathered(4, 0.75), &policies{})
	late.Start(start)
	for leg := range 3 {
		late.Finished(start.Add(50*time.Millisecond), leg, success)
	}
	c.Assert(late.Verdict(), qt.Equals, fanout.Pending)
	late.Wake(start.Add(200 * time.Millisecond))
	c.Assert(late.Verdict(), qt.Equals, fanout.Partial)
}

// TestNextIsLater guards against a driver that spins because the machine asks to be woken at a time that has passed.
func TestNextIsLater(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := fanout.New(gathered(4, 0.75), &policies{extra: rapid.IntRange(0, 4).Draw(rt, "extra")})
		now := start
		open := make([]int, 4)
		note := func(sends []fanout.Send) {
			for _, s := range sends {
				open[s.Leg]++
			}
		}
		note(m.Start(now))
		for m.Verdict() == fanout.Pending {
			if next := m.Next(now); !next.After(now) {
				rt.Fatalf("at %v the machine wants to be woken at %v", now.Sub(start), next.Sub(start))
			}
			leg := rapid.IntRange(0, 3).Draw(rt, "leg")
			if open[leg] > 0 && rapid.Bool().Draw(rt, "reply") {
				open[leg]--
				note(m.Finished(now, leg, rapid.SampledFrom([]*core.Reply{success, lost}).Draw(rt, "kind")))
				continue
			}
			now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(rt, "ms")) * time.Millisecond)
			note(m.Wake(now))
		}
	})
}

// TestShortObjectiveLeavesTheWay guards against partial answers that are late at a caller on a new connection, whose ways to
// the VM take a large part of a short objective.
func TestShortObjectiveLeavesTheWay(t *testing.T) {
	c := qt.New(t)
	shares := fanout.Shares{Partial: 0.7, Margin: 15 * time.Millisecond}
	for objective, want := range map[time.Duration]time.Duration{
		40 * time.Millisecond: 25 * time.Millisecond, 100 * time.Millisecond: 70 * time.Millisecond, 10 * time.Millisecond: 0,
	} {
		route := &core.Route{Objective: objective, Timeout: time.Second}
		c.Check(fanout.Schedule(route, start, time.Time{}, shares).PartialAt.Sub(start), qt.Equals, want)
	}
}

// TestHopelessQueryEndsAtOnce guards against a query that waits for its deadline though too many shards are lost.
func TestHopelessQueryEndsAtOnce(t *testing.T) {
	c := qt.New(t)
	plan := gathered(4, 0.75)
	plan.Legs[0].Group, plan.Legs[1].Group = nil, nil
	m := fanout.New(plan, &policies{extra: 9})
	c.Assert(m.Start(start), qt.HasLen, 0)
	c.Assert(m.Verdict(), qt.Equals, fanout.Refused)
}

// TestExpiry guards against an answer that claims that a request did not run while an upstream works on it.
func TestExpiry(t *testing.T) {
	c := qt.New(t)
	m := fanout.New(single(false, 1, "a"), &policies{})
	m.Start(start)
	c.Assert(m.Next(start), qt.Equals, start.Add(time.Second))
	m.Wake(start.Add(time.Second))
	c.Assert(m.Verdict(), qt.Equals, fanout.Expired)
}

// TestAttemptsAreBounded guards against more upstreams than the route allows, and against a non-idempotent request at two
// upstreams of which one may run it, for any order of replies.
func TestAttemptsAreBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		attempts, idempotent := rapid.IntRange(1, 4).Draw(rt, "attempts"), rapid.Bool().Draw(rt, "idempotent")
		m := fanout.New(single(idempotent, attempts, "a", "b", "c", "d", "e"), &policies{extra: 99})
		now, sent, mayHaveRun := start, 1, 0
		first := m.Start(now)
		open := len(first)
		upstreams := map[core.UpstreamID]bool{first[0].Upstream.ID: true}
		for m.Verdict() == fanout.Pending {
			var sends []fanout.Send
			if open > 0 && rapid.Bool().Draw(rt, "reply") {
				open--
				reply := rapid.SampledFrom([]*core.Reply{success, shed, failure, lost}).Draw(rt, "kind")
				if reply.Outcome != core.OutcomeNotRun {
					mayHaveRun++
				}
				sends = m.Finished(now, 0, reply)
			} else {
				now = now.Add(hedgeDelay)
				sends = m.Wake(now)
			}
			open, sent = open+len(sends), sent+len(sends)
			for _, s := range sends {
				upstreams[s.Upstream.ID] = true
			}
		}
		if len(upstreams) > attempts || sent > attempts+fanout.MaxRepeats || (!idempotent && mayHaveRun+open > 1) {
			rt.Fatalf("%d sends to %d upstreams, at most %d allowed; %d may have run, %d open", sent, len(upstreams), attempts, mayHaveRun, open)
		}
		if m.Verdict() == fanout.Refused && mayHaveRun+open > 0 {
			rt.Fatalf("refused as not run although %d may have run", mayHaveRun+open)
		}
	})
}

// TestTop guards against a merged answer that is not the greatest records of its parts.
func TestTop(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(1, 6).Draw(rt, "limit")
		top := fanout.NewTop(limit)
		var all [][]byte
		for range rapid.IntRange(0, 12).Draw(rt, "parts") {
			part := rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 20*fanout.RecordBytes).Draw(rt, "part")
			top.Add(part)
			for rest := part; len(rest) >= fanout.RecordBytes; rest = rest[fanout.RecordBytes:] {
				all = append(all, rest[:fanout.RecordBytes])
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(all[:min(limit, len(all))], nil)
		if got := top.Bytes(); !bytes.Equal(got, want) {
			rt.Fatalf("got %x, want %x", got, want)
		}
	})
}

// TestNoHedgesWhileMostLegsWait guards against second requests that add to the load of upstreams that are all too slow
// because of their load.
func TestNoHedgesWhileMostLegsWait(t *testing.T) {
	c := qt.New(t)
	m := fanout.New(gathered(4, 0.5), &policies{extra: 9})
	m.Start(start)
	at := start.Add(hedgeDelay)
	m.Finished(start, 0, success)
	c.Assert(m.Wake(at), qt.HasLen, 0)
	m.Finished(at, 1, success)
	at = m.Next(at)
	c.Assert(m.Wake(at), qt.HasLen, 2)
}

// TestSilentUpstreamsAreNotTakenForBusyOnes guards against a query that gets no answer because all or most of the replicas
// that were asked first are silent.
func TestSilentUpstreamsAreNotTakenForBusyOnes(t *testing.T) {
	c := qt.New(t)
	m := fanout.New(gathered(3, 0.5), &policies{extra: 9})
	m.Start(start)
	c.Assert(m.Wake(start.Add(hedgeDelay)), qt.HasLen, 3)
	m = fanout.New(gathered(4, 0.5), &policies{extra: 9})
	m.Start(start)
	m.Finished(start, 0, success)
	sent := 0
	for at := m.Next(start); m.Verdict() == fanout.Pending && sent == 0; at = m.Next(at) {
		sent = len(m.Wake(at))
	}
	c.Assert(sent, qt.Equals, 3)
}

// TestSignsOfOverload guards against a few slow or full shards that hold back all requests, and against an overload that
// nobody notices.
func TestSignsOfOverload(t *testing.T) {
	c := qt.New(t)
	partial := start.Add(30 * time.Millisecond)
	run := func(plan fanout.Plan, end time.Time, replies ...*core.Reply) bool {
		m := fanout.New(plan, &policies{})
		m.Start(start)
		for leg, reply := range replies {
			if reply != nil {
				m.Finished(end, leg, reply)
			}
		}
		m.Wake(end)
		return m.Overloaded(end)
	}
	c.Check(run(gathered(4, 0.5), start, success, shed, success, shed), qt.IsFalse)
	c.Check(run(gathered(4, 0.5), start, success, shed, shed, shed), qt.IsTrue)
	c.Check(run(gathered(4, 0.25), partial, success, nil, nil, nil), qt.IsTrue)
	c.Check(run(gathered(4, 0.5), start, success, failure, failure, failure), qt.IsFalse)
	c.Check(run(single(true, 2, "a"), start, shed), qt.IsTrue)
	other := fanout.New(single(true, 2, "a", "b"), &policies{extra: 9})
	other.Start(start)
	other.Finished(start, 0, shed)
	c.Check(other.Overloaded(start), qt.IsFalse, qt.Commentf("one of several upstreams is full"))
	other.Finished(start, 0, shed)
	c.Check(other.Overloaded(start), qt.IsTrue)
	c.Check(run(single(true, 2, "a"), start.Add(time.Second)), qt.IsFalse)
	m := fanout.New(gathered(4, 0.5), &policies{})
	m.Start(start)
	m.Finished(start, 0, success)
	m.Finished(start, 1, success)
	m.Wake(partial)
	c.Check(m.Verdict(), qt.Equals, fanout.Partial)
	c.Check(m.Overloaded(partial), qt.IsFalse)
}
