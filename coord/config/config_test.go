package config

import (
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"gooseberrylane.example/core"
)

// TestApplyDoesNotModifyPublishedSets guards against requests that observe a change of a published set.
func TestApplyDoesNotModifyPublishedSets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		changes, sets := drawHistory(t, 4)
		before := encode(t, sets)
		for i := range sets {
			next := Change{Revision: sets[i].Revision + 1, Plan: "other", Intent: drawIntent(t)}
			if _, err := Apply(sets[i], next); err != nil {
				t.Fatal(err)
			}
		}
		if after := encode(t, sets); after != before {
			t.Fatalf("sets changed:\n%s\n%s", before, after)
		}
		if _, err := Apply(sets[0], changes[1]); err == nil {
			t.Fatal("a change with a gap before it was applied")
		}
	})
}

// TestCheckedIntentsGiveWellFormedSets guards against an accepted change that leaves shards without a group, layouts
// out of order or an upstream with two definitions, and against problems without the path of the faulty operation.
func TestCheckedIntentsGiveWellFormedSets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, sets := drawHistory(t, 5)
		for _, p := range Check(sets[5], drawIntent(t)) {
			if !strings.HasPrefix(p.Path, "operations[") || p.Detail == "" {
				t.Fatalf("problem %+v", p)
			}
		}
		for _, set := range sets {
			if violated := violation(set); violated != "" {
				t.Fatalf("revision %d: %s", set.Revision, violated)
			}
		}
	})
}

// TestDifferencesMatchDigests guards against a plan that omits a difference or reports one that does not exist.
func TestDifferencesMatchDigests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, sets := drawHistory(t, 3)
		for i := 1; i < len(sets); i++ {
			var d digester
			equal := d.digest(sets[i-1]) == d.digest(sets[i])
			if none := len(Differences(sets[i-1], sets[i])) == 0; none != equal {
				t.Fatalf("differences empty %t, digests equal %t", none, equal)
			}
		}
	})
}

// TestCheckReportsAllProblems guards against a check that stops at the first problem.
func TestCheckReportsAllProblems(t *testing.T) {
	c := qt.New(t)
	base := baseSet(c)
	bad := serviceOf("bad name", []int{1}, []int{2, 2})
	bad.Rule = core.Rule{Class: 9, DefaultDeadlineMS: 5, MaxDeadlineMS: 4, VersionRule: "x", HedgePercent: math.NaN(), RetryPercent: -1, MaxShards: -1, PlacementBlock: -1}
	bad.Groups[0].Upstreams[0].Address = "nowhere"
	bad.Groups[0].Upstreams[0].Slots = 0
	bad.Layouts = append(bad.Layouts, core.Layout{FirstVersion: 1, Shards: []core.Shard{{Name: "a", Group: "g0"}, {Name: "a", Group: "none"}}})
	differing := core.Group{Name: "g9", Upstreams: []core.Upstream{upstreamN(0)}}
	differing.Upstreams[0].Slots = 7
	got := Check(base, Intent{Operations: []Operation{
		{PutService: bad},
		{DeleteService: "absent"},
		{PutGroup: &PutGroup{Service: "orders", Group: differing}},
		{DeleteGroup: &DeleteGroup{Service: "orders", Group: "g1"}},
		{SetDraining: &SetDraining{Upstream: "absent"}},
		{AddLayout: &AddLayout{Service: "orders", Layout: core.Layout{FirstVersion: 1}}},
		{PutRule: &PutRule{Service: "absent", Rule: validRule()}},
		{},
	}})
	want := `operator
operations[0].put_service.name
operations[0].put_service.rule.class
operations[0].put_service.rule.default_deadline_ms
operations[0].put_service.rule.version_rule
operations[0].put_service.rule.max_shards
operations[0].put_service.rule.placement_block
operations[0].put_service.rule.hedge_percent
operations[0].put_service.rule.retry_percent
operations[0].put_service.groups[0].upstreams[0].address
operations[0].put_service.groups[0].upstreams[0].slots
operations[0].put_service.groups[1].upstreams[1].id
operations[0].put_service.layouts[1].first_version
operations[0].put_service.layouts[1].shards[1].name
operations[1].delete_service
operations[4].set_draining.upstream
operations[5].add_layout.layout.first_version
operations[5].add_layout.layout.shards
operations[6].put_rule.service
operations[7]
operations[0].put_service
operations[3].delete_group.group
operations[0].put_service.groups[0].upstreams
operations[2].put_group.group.upstreams
`
	c.Assert(paths(got), qt.Equals, want, qt.Commentf("%v", got))
}

func baseSet(c *qt.C) *core.ConfigSet {
	set, err := Apply((&core.ConfigSet{}).Index(), Change{Revision: 1, Plan: "p1", Intent: Intent{
		Operations: []Operation{{PutService: serviceOf("orders", []int{0, 1}, []int{3, 4})}},
	}})
	c.Assert(err, qt.IsNil)
	return set
}

// TestPlanShowsEffectsAndRisks guards against plans that do not warn of a loss of coverage or capacity, or of an intent
// without effect.
func TestPlanShowsEffectsAndRisks(t *testing.T) {
	c := qt.New(t)
	base := baseSet(c)
	draining := func(n int) Operation {
		return Operation{SetDraining: &SetDraining{Upstream: upstreamN(n).ID, Draining: true}}
	}
	created := time.Unix(1000, 0)
	plan, err := NewPlan("p2", base, Intent{Operator: "op", Operations: []Operation{draining(0), draining(3), draining(4)}}, created)
	c.Assert(err, qt.IsNil)
	c.Assert(plan.Base, qt.Equals, core.Revision(1))
	c.Assert(plan.Services, qt.DeepEquals, []core.ServiceName{"orders"})
	c.Assert(plan.Upstreams, qt.DeepEquals, []core.UpstreamID{"u0", "u3", "u4"})
	c.Assert(plan.Differences[0].Name, qt.Equals, "orders/g0/u0")
	c.Assert(plan.Differences[0].Action, qt.Equals, ActionChange)
	c.Assert(plan.Warnings, qt.DeepEquals, []string{
		"orders: coverage falls: 1 of 2 shards are no longer covered",
		"orders/g0: slots that take work fall from 4 to 2",
		"orders/g0: all replicas that take work are in one failure domain",
		"orders/g1: no replica is left that takes work",
	})
	c.Assert(plan.Expired(created.Add(PlanLifetime)), qt.IsFalse)
	c.Assert(plan.Expired(created.Add(PlanLifetime+1)), qt.IsTrue)
	undrain := Operation{SetDraining: &SetDraining{Upstream: "u0"}}
	plan, err = NewPlan("p2", base, Intent{Operator: "op", Operations: []Operation{undrain}}, created)
	c.Assert(err, qt.IsNil)
	c.Assert(plan.Differences, qt.HasLen, 0)
	c.Assert(plan.Warnings, qt.DeepEquals, []string{"the intent changes nothing"})
}

// TestOperationsHaveOnlyTheirEffect guards against a change whose effects differ from those in its plan.
func TestOperationsHaveOnlyTheirEffect(t *testing.T) {
	c := qt.New(t)
	rule := validRule()
	rule.Class = 2
	shared := core.Group{Name: "g2", Upstreams: []core.Upstream{upstreamN(0)}}
	layout := core.Layout{FirstVersion: 5, Shards: []core.Shard{{Name: "one", Group: "g2"}}}
	set, err := Apply(baseSet(c), Change{Revision: 2, Plan: "p2", Intent: Intent{Operations: []Operation{
		{PutGroup: &PutGroup{Service: "orders", Group: shared}},
		{PutRule: &PutRule{Service: "orders", Rule: rule}},
		{AddLayout: &AddLayout{Service: "orders", Layout: layout}},
		{SetDraining: &SetDraining{Upstream: "u0", Draining: true}},
		{PutService: serviceOf("extra", []int{5})},
		{DeleteService: "extra"},
	}}})
	c.Assert(err, qt.IsNil)
	want := serviceOf("orders", []int{0, 1}, []int{3, 4})
	want.Rule = rule
	want.Groups = append(want.Groups, shared)
	want.Layouts = append(want.Layouts, layout)
	want.Groups[0].Upstreams[0].Draining = true
	want.Groups[2].Upstreams = []core.Upstream{upstreamN(0)}
	want.Groups[2].Upstreams[0].Draining = true
	c.Assert(set.Revision, qt.Equals, core.Revision(2))
	c.Assert(set.Services, qt.DeepEquals, map[core.ServiceName]*core.Service{"orders": want})
	c.Assert(set.Upstream("u0").Draining, qt.IsTrue)
	c.Assert(shared.Upstreams[0].Draining, qt.IsFalse)
}

// TestPlanWarnsOfMovedOwners guards against a plan that moves most upstreams to other owners without a warning.
func TestPlanWarnsOfMovedOwners(t *testing.T) {
	c := qt.New(t)
	rule := validRule()
	rule.PlacementBlock = 12
	intent := Intent{Operator: "op", Operations: []Operation{{PutRule: &PutRule{Service: "orders", Rule: rule}}}}
	plan, err := NewPlan("p2", baseSet(c), intent, time.Unix(1000, 0))
	c.Assert(err, qt.IsNil)
	c.Assert(plan.Differences, qt.HasLen, 1)
	c.Check(plan.Differences[0].After, qt.Equals, "placement_block=12")
	c.Check(plan.Warnings, qt.DeepEquals, []string{
		"orders: the placement block changes from 1 to 12 groups; most upstreams of the service get another owner",
	})
}

// TestGroupsAreFoundAfterAChange guards against groups that are missing from the index after a change was applied.
func TestGroupsAreFoundAfterAChange(t *testing.T) {
	c := qt.New(t)
	log := NewLog(10)
	for i, op := range []Operation{{PutService: serviceOf("a", []int{0})}, {PutService: serviceOf("b", []int{1})}} {
		_, err := log.Add(Change{Revision: core.Revision(i + 1), Plan: "p", Intent: Intent{Operations: []Operation{op}}})
		c.Assert(err, qt.IsNil)
	}
	for _, service := range []core.ServiceName{"a", "b"} {
		c.Check(log.Set().Group(service, "g0"), qt.IsNotNil)
	}
}

// TestPlanWarnsOfDeadlinesBeyondTheFence guards against a plan that allows requests to outlast the fence without a
// warning: two VMs may then use the slots of an upstream.
func TestPlanWarnsOfDeadlinesBeyondTheFence(t *testing.T) {
	c := qt.New(t)
	set := func(maxMS core.Milliseconds) *core.ConfigSet {
		service := &core.Service{Name: "s", Rule: core.Rule{MaxDeadlineMS: maxMS}}
		return (&core.ConfigSet{Services: map[core.ServiceName]*core.Service{"s": service}}).Index()
	}
	c.Check(Warnings(set(5000), set(6000)), qt.HasLen, 0)
	c.Check(Warnings(set(5000), set(6001)), qt.HasLen, 1)
	c.Check(Warnings(set(7000), set(7000)), qt.HasLen, 0)
}
