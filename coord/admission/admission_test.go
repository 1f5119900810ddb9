package admission_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"gooseberrylane.example/coord/admission"
	"gooseberrylane.example/core"
)

var now = time.Unix(1_000_000, 0)

// TestGateKeepsItsBoundAndLosesNoQuery guards against more running queries than the bound, and against queued queries that
// are neither admitted nor withdrawn, for any order of events.
func TestGateKeepsItsBoundAndLosesNoQuery(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		start := rapid.IntRange(1, 4).Draw(rt, "start")
		g := admission.NewGate[int](admission.GateSettings{Start: start, Min: 1, Max: 6, Queue: 3})
		running := 0
		waiting := make(map[*admission.Ticket[int]]bool)
		admitted := func(tickets []*admission.Ticket[int]) {
			for _, ticket := range tickets {
				if !waiting[ticket] {
					rt.Fatalf("a query was admitted that was not queued")
				}
				delete(waiting, ticket)
				running++
			}
		}
		at := now
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			at = at.Add(30 * time.Millisecond)
			before := g.Running()
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0, 1:
				if g.TryEnter() {
					running++
				} else if ticket, in, ok := g.Enqueue(at, core.Class(rapid.IntRange(0, 3).Draw(rt, "class")), "c", at.Add(time.Hour), 0); ok {
					waiting[ticket] = true
					admitted(in)
				}
			case 2:
				if running > 0 {
					running--
					admitted(g.Leave(at, time.Millisecond, rapid.Bool().Draw(rt, "overloaded")))
				}
			case 3:
				for ticket := range waiting {
					if !g.Withdraw(ticket) {
						rt.Fatalf("a queued query could not be withdrawn")
					}
					delete(waiting, ticket)
					break
				}
			}
			if g.Running() != running || (running > g.Bound() && running > before) {
				rt.Fatalf("%d running, the gate counts %d, the bound is %d", running, g.Running(), g.Bound())
			}
			if len(waiting) > 0 && running < g.Bound() {
				rt.Fatalf("%d queries are queued although only %d of %d run", len(waiting), running, g.Bound())
			}
		}
	})
}

// TestHighestClassIsAdmittedFirst guards against a look-up of a low class that starts before a queued audit of a higher class.
func TestHighestClassIsAdmittedFirst(t *testing.T) {
	c := qt.New(t)
	g := admission.NewGate[string](admission.GateSettings{Start: 1, Min: 1, Max: 1, Queue: 9})
	c.Assert(g.TryEnter(), qt.IsTrue)
	deadline := now.Add(time.Hour)
	for _, q := range []struct {
		class  core.Class
		caller core.CallerName
		value  string
	}{{2, "busy", "b1"}, {2, "busy", "b2"}, {2, "quiet", "q"}, {0, "busy", "audit"}} {
		_, _, ok := g.Enqueue(now, q.class, q.caller, deadline, q.value)
		c.Assert(ok, qt.IsTrue)
	}
	var order []string
	for range 4 {
		order = append(order, g.Leave(now, time.Millisecond, false)[0].Value)
	}
	c.Assert(order, qt.DeepEquals, []string{"audit", "b1", "q", "b2"})
}

// TestBoundFollowsOverload guards against a bound that stays high while upstreams refuse work, and one that never
// recovers.
func TestBoundFollowsOverload(t *testing.T) {
	c := qt.New(t)
	g := admission.NewGate[int](admission.GateSettings{Start: 20, Min: 1, Max: 40, Queue: 0})
	at := now
	for range 200 {
		at = at.Add(time.Second)
		g.TryEnter()
		g.Leave(at, time.Millisecond, true)
	}
	c.Assert(g.Bound(), qt.Equals, 1)
	for range 2000 {
		for g.TryEnter() {
		}
		g.Leave(at, time.Millisecond, false)
	}
	c.Assert(g.Bound(), qt.Equals, 40)
}

// TestQueryThatCannotFinishIsRefusedAtOnce guards against queueing a query that is bound to miss its deadline.
func TestQueryThatCannotFinishIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	g := admission.NewGate[int](admission.GateSettings{Start: 1, Min: 1, Max: 1, Queue: 9})
	g.TryEnter()
	g.Leave(now, 100*time.Millisecond, false)
	g.TryEnter()
	_, _, ok := g.Enqueue(now, 0, "c", now.Add(150*time.Millisecond), 0)
	c.Assert(ok, qt.IsFalse)
	_, _, ok = g.Enqueue(now, 0, "c", now.Add(250*time.Millisecond), 0)
	c.Assert(ok, qt.IsTrue)
}

// TestRateIsSharedByLiveVMs guards against a caller that gets its full rate on each VM.
func TestRateIsSharedByLiveVMs(t *testing.T) {
	c := qt.New(t)
	members := &core.Members{All: []core.VM{{Name: "a"}, {Name: "b"}, {Name: "c", State: core.VMGone}}}
	rate := admission.RatePerVM(100, members)
	c.Assert(rate, qt.Equals, 50.0)
	var r admission.Rates
	allowed := 0
	for i := range 10_000 {
		if _, ok := r.Allow(now.Add(time.Duration(i)*time.Millisecond), "svc", "caller", rate); ok {
			allowed++
		}
	}
	// This is 10 s at 50/s and a burst of 1 s.
	c.Assert(allowed >= 500 && allowed <= 550, qt.IsTrue, qt.Commentf("%d", allowed))
	_, ok := r.Allow(now, "svc", "other", rate)
	c.Assert(ok, qt.IsTrue)
}
