package ownership_test

import (
	"fmt"
	"maps"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"gooseberrylane.example/coord/ownership"
	"gooseberrylane.example/core"
	_ "gooseberrylane.example/test/seed"
)

// TestAssignmentIsIndependentOfHistory guards against two VMs with the same configuration and members that compute
// different candidates because they applied different changes before.
func TestAssignmentIsIndependentOfHistory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var incremental ownership.Assignment
		reported := make(map[core.UpstreamID]core.VMName)
		set, members := (&core.ConfigSet{}).Index(), &core.Members{}
		for step := range rapid.IntRange(1, 20).Draw(rt, "steps") {
			if rapid.Bool().Draw(rt, "configuration") {
				set = drawSet(rt, set, core.Revision(step+1))
			} else {
				members = drawMembers(rt)
			}
			for _, id := range incremental.Update(set, members) {
				reported[id] = incremental.Candidate(id)
			}
			var fresh ownership.Assignment
			fresh.Update(set, members)
			for id := range set.Upstreams() {
				if got, want := incremental.Candidate(id), fresh.Candidate(id); got != want || reported[id] != want {
					rt.Fatalf("candidate of %s: got %q, reported %q, want %q", id, got, reported[id], want)
				}
			}
		}
	})
}

// drawSet replaces or removes one service. Services may list the same upstream.
func drawSet(rt *rapid.T, previous *core.ConfigSet, revision core.Revision) *core.ConfigSet {
	next := &core.ConfigSet{Revision: revision, Services: maps.Clone(previous.Services)}
	if next.Services == nil {
		next.Services = make(map[core.ServiceName]*core.Service)
	}
	name := core.ServiceName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "service"))
	if rapid.IntRange(0, 4).Draw(rt, "remove") == 0 {
		delete(next.Services, name)
		return next.IndexAfter(previous)
	}
	service := &core.Service{Name: name, Rule: core.Rule{PlacementBlock: rapid.IntRange(0, 3).Draw(rt, "block")}}
	for g := range rapid.IntRange(0, 6).Draw(rt, "groups") {
		group := core.Group{Name: core.GroupName(fmt.Sprint(g))}
		for range rapid.IntRange(0, 2).Draw(rt, "replicas") {
			n := rapid.IntRange(0, 12).Draw(rt, "upstream")
			group.Upstreams = append(group.Upstreams, core.Upstream{
				ID: core.UpstreamID(fmt.Sprintf("u-%d", n)), Domain: core.FailureDomain(fmt.Sprintf("fd-%d", n%2)),
			})
		}
		service.Groups = append(service.Groups, group)
	}
	next.Services[name] = service
	return next.IndexAfter(previous)
}

func drawMembers(rt *rapid.T) *core.Members {
	members := &core.Members{}
	for i := range 8 {
		if state := rapid.SampledFrom([]core.VMState{core.VMLive, core.VMLive, core.VMSuspect, core.VMGone}).Draw(rt, "state"); state != core.VMGone {
			members.All = append(members.All, core.VM{
				Name: core.VMName(fmt.Sprintf("vm-%d", i)), Domain: core.FailureDomain(fmt.Sprintf("fd-%d", i%2)), State: state,
			})
		}
	}
	return members
}

// TestNeighbouringGroupsShareAnOwner guards against a query that needs a VM for each group although the service has a
// placement block size, and against blocks that mix failure domains.
func TestNeighbouringGroupsShareAnOwner(t *testing.T) {
	c := qt.New(t)
	service := &core.Service{Name: "s", Rule: core.Rule{PlacementBlock: 4}}
	for g := range 16 {
		group := core.Group{Name: core.GroupName(fmt.Sprint(g))}
		for r := range 2 {
			group.Upstreams = append(group.Upstreams, core.Upstream{
				ID: core.UpstreamID(fmt.Sprintf("u-%02d-%d", g, r)), Domain: core.FailureDomain(fmt.Sprintf("fd-%d", r)),
			})
		}
		service.Groups = append(service.Groups, group)
	}
	blocks := ownership.Blocks(service)
	c.Assert(blocks, qt.HasLen, 8)
	for _, block := range blocks {
		c.Check(block, qt.HasLen, 4)
	}
	var want []core.UpstreamID
	for g := 4; g < 8; g++ {
		want = append(want, core.UpstreamID(fmt.Sprintf("u-%02d-0", g)))
	}
	c.Check(blocks[2], qt.DeepEquals, want)
}
