package gatherers_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/coord/gatherers"
	"gooseberrylane.example/core"
)

// fleet returns members of failure domains a, b and c. The first VMs of each domain, strong in number, have six times the
// capacity of the others.
func fleet(self core.VMName, perDomain, strong int) *core.Members {
	m := &core.Members{Capacity: map[core.VMName]float64{}}
	for _, domain := range []core.FailureDomain{"a", "b", "c"} {
		for i := range perDomain {
			name := core.VMName(fmt.Sprintf("%s-%02d", domain, i))
			vm := core.VM{Name: name, Domain: domain}
			m.All = append(m.All, vm)
			m.Capacity[name] = 0.134
			if i < strong {
				m.Capacity[name] = 0.8
			}
			if name == self {
				m.Self = vm
			}
		}
	}
	return m
}

func all(core.VMName) bool { return true }

// TestSmallFleetGathersWhereTheShardsAre guards against sub-requests that cross the boundary of a failure domain one by
// one, and against a needless hop where every VM may hold connections.
func TestSmallFleetGathersWhereTheShardsAre(t *testing.T) {
	c := qt.New(t)
	settings := gatherers.Defaults()
	request := gatherers.Request{Key: "k", Coverage: map[core.FailureDomain]float64{"a": 1, "b": 1}, ConnectionLimit: 58}
	c.Assert(settings.Choose(fleet("a-03", 7, 0), request, all), qt.HasLen, 0)
	chosen := settings.Choose(fleet("c-03", 7, 0), request, all)
	c.Assert(chosen, qt.HasLen, 14)
	for _, vm := range chosen {
		c.Assert(vm.Domain == "c", qt.IsFalse)
	}
}

// TestLargeFleetGathersOnStrongVMs guards against more connections than an upstream allows, and against a weak VM that
// gathers while strong ones are live.
func TestLargeFleetGathersOnStrongVMs(t *testing.T) {
	c := qt.New(t)
	settings := gatherers.Defaults()
	request := gatherers.Request{Key: "k", Coverage: map[core.FailureDomain]float64{"a": 1, "b": 1, "c": 1}, ConnectionLimit: 107}
	chosen := settings.Choose(fleet("a-20", 48, 2), request, all)
	c.Assert(chosen, qt.HasLen, 2)
	c.Assert([]core.VMName{min(chosen[0].Name, chosen[1].Name), max(chosen[0].Name, chosen[1].Name)}, qt.DeepEquals, []core.VMName{"a-00", "a-01"})
	c.Assert(settings.Choose(fleet("a-01", 48, 2), request, all), qt.HasLen, 0)
	c.Assert(settings.Choose(fleet("a-20", 48, 2), request, func(vm core.VMName) bool { return vm != "a-00" && vm != "a-01" }), qt.HasLen, 4)
}

// TestKeysSpreadByCapacity guards against one VM that gathers all requests.
func TestKeysSpreadByCapacity(t *testing.T) {
	c := qt.New(t)
	settings := gatherers.Defaults()
	first := map[core.VMName]int{}
	for i := range 4000 {
		request := gatherers.Request{Key: core.RequestID(fmt.Sprint(i)), Coverage: map[core.FailureDomain]float64{"b": 1}, ConnectionLimit: 107}
		first[settings.Choose(fleet("a-20", 48, 2), request, all)[0].Name]++
	}
	c.Assert(first, qt.HasLen, 2)
	c.Assert(first["b-00"] > 1800 && first["b-01"] > 1800, qt.IsTrue)
}

// TestCoverage guards against a failure domain that counts shards of which it has no replica.
func TestCoverage(t *testing.T) {
	c := qt.New(t)
	registered := &core.RegisteredUpstreams{Groups: map[core.ServiceName]*core.Group{
		"s1": {Upstreams: []core.Upstream{{ID: "1", Domain: "a"}, {ID: "2", Domain: "a"}, {ID: "3", Domain: "b"}}},
		"s2": {Upstreams: []core.Upstream{{ID: "4", Domain: "a"}}},
	}}
	got := gatherers.Coverage(&core.GatherRule{Shards: []core.ServiceName{"s1", "s2"}}, registered)
	c.Assert(got, qt.DeepEquals, map[core.FailureDomain]float64{"a": 1, "b": 0.5})
}

// TestSharesDoNotExceedTheWhole guards against VMs that together use more than the whole allowance.
func TestSharesDoNotExceedTheWhole(t *testing.T) {
	c := qt.New(t)
	settings := gatherers.Defaults()
	for _, limit := range []int{58, 107, 960} {
		total := 0.0
		for _, vm := range fleet("", 48, 2).All {
			total += settings.Share(fleet(vm.Name, 48, 2), limit)
		}
		c.Assert(total > 0.85 && total <= 1, qt.IsTrue, qt.Commentf("limit %d: %f", limit, total))
	}
}
