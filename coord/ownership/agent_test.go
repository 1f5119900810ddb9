package ownership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"gooseberrylane.example/coord/ownership"
	"gooseberrylane.example/core"
	_ "gooseberrylane.example/test/seed"
)

const settleTime = 60 * time.Second

func exactlyOneHolder(x *exchange) string {
	if !slices.ContainsFunc(x.live(), func(n *node) bool { return !n.left }) {
		return ""
	}
	for id := range x.set.Upstreams() {
		users := x.users(id)
		if len(users) != 1 || !users[0].agent.Machine().Holds(x.now, id) {
			return fmt.Sprintf("%s has %d users", id, len(users))
		}
	}
	return ""
}

// TestOwnershipIsExclusiveUnderFaults guards against two users of an upstream that are in contact with the same member,
// and against upstreams without an owner after the faults have ended.
func TestOwnershipIsExclusiveUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newExchange(rapid.Uint64().Draw(t, "seed"), 6)
		x.loss = rapid.Float64Range(0, 0.25).Draw(t, "loss")
		x.maxDelay = time.Duration(rapid.IntRange(2, 800).Draw(t, "delay_ms")) * time.Millisecond
		names := []core.VMName{"a", "b", "c", "d", "e"}[:rapid.IntRange(2, 5).Draw(t, "vms")]
		for _, name := range names {
			known := rapid.SliceOfDistinct(rapid.SampledFrom(names), func(n core.VMName) core.VMName { return n }).Draw(t, "known")
			x.start(name, known...)
		}
		for range rapid.IntRange(0, 12).Draw(t, "steps") {
			x.runFor(time.Duration(rapid.IntRange(10, 12_000).Draw(t, "wait_ms")) * time.Millisecond)
			disturb(t, x, names)
		}
		x.runFor(5 * time.Second)
		x.heal()
		x.runFor(settleTime / 2)
		x.relist()
		x.runFor(settleTime / 2)
		if x.fault != "" {
			t.Fatal(x.fault)
		}
		if problem := exactlyOneHolder(x); problem != "" {
			t.Fatal(problem)
		}
	})
}

func disturb(t *rapid.T, x *exchange, names []core.VMName) {
	name := rapid.SampledFrom(names).Draw(t, "vm")
	n := x.find(name)
	switch kind := rapid.SampledFrom([]string{"kill", "lose", "pause", "leave", "cut", "reconnect"}).Draw(t, "fault"); {
	case n.dead && kind != "cut" && kind != "reconnect":
		x.start(name, names...)
	case kind == "kill":
		n.dead, n.refuses = true, true
	case kind == "lose":
		n.dead = true
	case kind == "pause" && !n.paused:
		n.paused = true
		x.after(time.Duration(rapid.IntRange(100, 15_000).Draw(t, "pause_ms"))*time.Millisecond, func() { x.resume(n) })
	case kind == "leave" && !n.left:
		n.left = true
		x.handle(n, func() ownership.Actions { return n.agent.Leave(x.now) })
	case kind == "cut":
		x.cut[[2]core.VMName{name, rapid.SampledFrom(names).Draw(t, "peer")}] = true
	case kind == "reconnect":
		clear(x.cut)
	}
}

// TestJoinAndLeaveMoveFewUpstreams guards against a member list change that moves more than the share of one VM.
func TestJoinAndLeaveMoveFewUpstreams(t *testing.T) {
	c := qt.New(t)
	const upstreams = 40
	x := newExchange(1, upstreams)
	names := []core.VMName{"a", "b", "c", "d"}
	for _, name := range names {
		x.start(name)
	}
	x.heal()
	x.runFor(settleTime)
	c.Assert(exactlyOneHolder(x), qt.Equals, "")
	x.moves = 0
	e := x.start("e", names...)
	x.runFor(settleTime)
	c.Assert(exactlyOneHolder(x), qt.Equals, "")
	joined := len(e.agent.Machine().Held())
	c.Check(x.moves, qt.Equals, joined)
	c.Check(joined > 0 && joined < upstreams/2, qt.IsTrue)
	x.moves = 0
	e.left = true
	x.perform(e, e.agent.Leave(x.now))
	for id, owner := range e.agent.Machine().Ownership(x.now).Owner.All() {
		c.Check(owner == "e", qt.Equals, e.agent.Machine().Holds(x.now, id), qt.Commentf("a wrong hint for %s during the leave", id))
	}
	x.runFor(settleTime)
	c.Assert(e.dead, qt.IsTrue)
	c.Assert(exactlyOneHolder(x), qt.Equals, "")
	c.Check(x.moves, qt.Equals, joined)
	c.Check(x.fault, qt.Equals, "")
}

// TestPausedOwnerHoldsNothingOnResume guards against a VM that resumes after the fence and sends to upstreams that
// another VM has taken.
func TestPausedOwnerHoldsNothingOnResume(t *testing.T) {
	c := qt.New(t)
	x := newExchange(2, 12)
	for _, name := range []core.VMName{"a", "b", "c"} {
		x.start(name)
	}
	x.heal()
	x.runFor(settleTime)
	a := x.find("a")
	held := a.agent.Machine().Held()
	before := a.agent.Table().Self().Incarnation
	c.Assert(len(held) > 0, qt.IsTrue)
	a.paused = true
	x.runFor(settleTime)
	for id := range held {
		c.Check(x.users(id), qt.HasLen, 1, qt.Commentf("no successor took %s", id))
		c.Check(a.agent.Machine().Holds(x.now, id), qt.IsFalse, qt.Commentf("the paused VM may still use %s", id))
	}
	x.resume(a)
	x.runFor(settleTime)
	c.Check(a.agent.Table().Self().Incarnation > before, qt.IsTrue)
	c.Check(exactlyOneHolder(x), qt.Equals, "")
	c.Check(x.fault, qt.Equals, "")
}

// TestIsolatedVMClaimsNothing guards against a VM that takes upstreams while it has no contact with its failure domain.
func TestIsolatedVMClaimsNothing(t *testing.T) {
	c := qt.New(t)
	x := newExchange(3, 6)
	a := x.start("a")
	b := x.start("b")
	b.dead = true
	x.perform(a, a.agent.ReplaceList(x.now, x.listed([]core.VMName{"a", "b"})))
	x.runFor(settleTime)
	c.Check(a.agent.Machine().Held(), qt.HasLen, 0)
	b.refuses = true
	x.runFor(settleTime)
	c.Check(exactlyOneHolder(x), qt.Equals, "", qt.Commentf("the last VM of the domain owns everything"))
}

// TestClearedClaimIsReportedToLaterClaimants guards against two owners: two VMs with different member lists claim the
// same upstream from the same member, one after the other.
func TestClearedClaimIsReportedToLaterClaimants(t *testing.T) {
	c := qt.New(t)
	x := newExchange(4, 1)
	x.start("silent").dead = true
	common := x.start("common", "silent")
	first := core.VM{Name: "first", Incarnation: 1, Domain: domain, PeerAddress: "first"}
	second := core.VM{Name: "second", Incarnation: 1, Domain: domain, PeerAddress: "second"}
	claimed := []ownership.ClaimedUpstream{{Upstream: "u-0", Round: 1}}
	common.agent.Receive(x.now, ownership.Claim{From: first, Upstreams: claimed})
	a := common.agent.Receive(x.now, ownership.Claim{From: second, Upstreams: claimed})
	var others []core.VM
	for _, out := range a.Send {
		if clear, ok := out.Message.(ownership.Clear); ok && out.To.Name == "second" {
			others = clear.Answers[0].Others
		}
	}
	c.Assert(others, qt.HasLen, 1)
	c.Check(others[0].Name, qt.Equals, first.Name)
}

// TestProcessWithEarlierClockRejoins guards against a VM that is ignored permanently because the clock of its machine
// was set back before its process restarted.
func TestProcessWithEarlierClockRejoins(t *testing.T) {
	c := qt.New(t)
	x := newExchange(5, 6)
	for _, name := range []core.VMName{"a", "b", "c"} {
		x.start(name)
	}
	x.heal()
	x.runFor(settleTime)
	known := x.find("a").agent.Table().Self().Incarnation
	x.find("a").dead = true
	x.clockLag = time.Hour
	a := x.start("a", "b", "c")
	c.Assert(a.agent.Table().Self().Incarnation < known, qt.IsTrue)
	x.relist()
	x.runFor(settleTime)
	c.Check(a.agent.Table().Self().Incarnation > known, qt.IsTrue)
	c.Check(exactlyOneHolder(x), qt.Equals, "")
	c.Check(x.fault, qt.Equals, "")
}
