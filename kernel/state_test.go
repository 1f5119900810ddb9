package kernel

import (
	"maps"
	"testing"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/core"
)

// TestSetConfigKeepsObservedStates guards against a configuration change that loses the observed states of the remaining
// upstreams, and against an upstream without a state.
func TestSetConfigKeepsObservedStates(t *testing.T) {
	c := qt.New(t)
	state := NewState()
	set := func(revision core.Revision, ids ...core.UpstreamID) map[core.UpstreamID]*core.UpstreamState {
		group := core.Group{Name: "g"}
		for _, id := range ids {
			group.Upstreams = append(group.Upstreams, core.Upstream{ID: id})
		}
		services := map[core.ServiceName]*core.Service{"s": {Name: "s", Groups: []core.Group{group}}}
		state.SetConfig((&core.ConfigSet{Revision: revision, Services: services}).Index())
		return maps.Collect(state.Load().Upstreams.All())
	}
	first := set(1, "a", "b")
	for i, ids := range [][]core.UpstreamID{{"a", "b"}, {"a", "c"}, {"a"}, {"a", "b", "c"}} {
		got := set(core.Revision(i+2), ids...)
		c.Assert(got, qt.HasLen, len(ids))
		for _, id := range ids {
			c.Assert(got[id], qt.IsNotNil)
		}
		c.Assert(got["a"] == first["a"], qt.IsTrue)
	}
	c.Assert(set(1, "z")["z"], qt.IsNil)
}
