package eject_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"gooseberrylane.example/coord/eject"
	"gooseberrylane.example/core"
)

var epoch = time.Unix(1_000_000, 0)

func newGroup(n int) (*core.View, *core.Group) {
	group := &core.Group{Name: "g"}
	states := make(map[core.UpstreamID]*core.UpstreamState)
	for i := range n {
		id := core.UpstreamID(fmt.Sprint("u", i))
		group.Upstreams = append(group.Upstreams, core.Upstream{ID: id})
		states[id] = &core.UpstreamState{}
	}
	return &core.View{Upstreams: core.MapOf(states)}, group
}

func ejected(now time.Time, view *core.View) int {
	n := 0
	for _, state := range view.Upstreams.All() {
		if eject.IsEjected(now, state) {
			n++
		}
	}
	return n
}

// TestNeverMoreThanHalfOfAGroup guards against ejecting most replicas of a group after faults that affect many of them.
func TestNeverMoreThanHalfOfAGroup(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(rt, "replicas")
		view, group := newGroup(n)
		p := eject.New(eject.Defaults())
		now := epoch
		codes := []core.Code{core.CodeOK, core.CodeUpstreamError, core.CodeConnectionLost, core.CodeConnectFailed, core.CodeShed}
		for range rapid.IntRange(1, 200).Draw(rt, "results") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(rt, "ms")) * time.Millisecond)
			id := group.Upstreams[rapid.IntRange(0, n-1).Draw(rt, "upstream")].ID
			view.State(id).ObserveLatency(time.Duration(rapid.IntRange(1, 1000).Draw(rt, "latency")) * time.Millisecond)
			p.Observe(now, view, group, id, rapid.SampledFrom(codes).Draw(rt, "code"))
			if got := ejected(now, view); 2*got > n {
				rt.Fatalf("%d of %d replicas are ejected", got, n)
			}
		}
	})
}

func fail(p *eject.Policy, now time.Time, view *core.View, group *core.Group, id core.UpstreamID) {
	for range eject.Defaults().ConsecutiveFailures {
		p.Observe(now, view, group, id, core.CodeConnectFailed)
	}
}

// TestNothingIsEjectedWhenMostAreOutliers guards against ejecting replicas for a fault of the network or of this VM.
func TestNothingIsEjectedWhenMostAreOutliers(t *testing.T) {
	c := qt.New(t)
	view, group := newGroup(4)
	p := eject.New(eject.Defaults())
	fail(p, epoch, view, group, "u0")
	fail(p, epoch, view, group, "u1")
	c.Assert(ejected(epoch, view), qt.Equals, 2)
	fail(p, epoch, view, group, "u2")
	c.Assert(ejected(epoch, view), qt.Equals, 0)
}

// TestEjectionsGrowAndReset guards against ejections of a failing replica that do not get longer, and against long
// ejections of a replica that has recovered.
func TestEjectionsGrowAndReset(t *testing.T) {
	c := qt.New(t)
	view, group := newGroup(2)
	p := eject.New(eject.Defaults())
	state := view.State("u0")
	now, last := epoch, time.Duration(0)
	for range 4 {
		fail(p, now, view, group, "u0")
		duration := time.Unix(0, state.EjectedUntil.Load()).Sub(now)
		c.Assert(duration > last, qt.IsTrue)
		last, now = duration, now.Add(duration)
	}
	now = now.Add(2 * last)
	p.Observe(now, view, group, "u0", core.CodeOK)
	fail(p, now, view, group, "u0")
	c.Assert(time.Unix(0, state.EjectedUntil.Load()).Sub(now) < last, qt.IsTrue)
}

// TestSlowReplicaIsEjected guards against a replica that answers, but much slower than its group.
func TestSlowReplicaIsEjected(t *testing.T) {
	c := qt.New(t)
	view, group := newGroup(3)
	p := eject.New(eject.Defaults())
	view.State("u0").ObserveLatency(400 * time.Millisecond)
	view.State("u1").ObserveLatency(5 * time.Millisecond)
	view.State("u2").ObserveLatency(5 * time.Millisecond)
	p.Observe(epoch, view, group, "u1", core.CodeOK)
	c.Assert(ejected(epoch, view), qt.Equals, 0)
	p.Observe(epoch, view, group, "u0", core.CodeOK)
	c.Assert(eject.IsEjected(epoch, view.State("u0")), qt.IsTrue)
}
