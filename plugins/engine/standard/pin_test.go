package standard

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/core"
)

// TestPinPrefersWindowsOfReplicasThatAreNotDraining guards against refused queries when the only replica with a known
// window starts draining, and against pinning a version that only a draining replica holds.
func TestPinPrefersWindowsOfReplicasThatAreNotDraining(t *testing.T) {
	c := qt.New(t)
	a, b := &core.UpstreamState{}, &core.UpstreamState{}
	view := &core.View{Upstreams: core.MapOf(map[core.UpstreamID]*core.UpstreamState{"a": a, "b": b})}
	service := &core.Service{
		Rule:   core.Rule{VersionRule: core.VersionNewest},
		Groups: []core.Group{{Name: "g", Upstreams: []core.Upstream{{ID: "a"}, {ID: "b"}}}},
	}
	a.SetWindow(core.VersionWindow{Oldest: 1, Newest: 9})
	a.DrainSince.Store(1)
	c.Assert(chooseVersion(view, service), qt.Equals, core.IndexVersion(9))
	b.SetWindow(core.VersionWindow{Oldest: 1, Newest: 8})
	c.Assert(chooseVersion(view, service), qt.Equals, core.IndexVersion(8))
}
