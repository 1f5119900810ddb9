package query_test

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"time"

	"gooseberrylane.example/coord/hedge"
	"gooseberrylane.example/coord/query"
	"gooseberrylane.example/coord/retry"
	"gooseberrylane.example/coord/selection"
	"gooseberrylane.example/core"
)

const pinned core.IndexVersion = 7

var epoch = time.Unix(1_000_000, 0)

// fixture is a service whose shards each have their own group.
type fixture struct {
	view     *core.View
	service  *core.Service
	policies query.Policies
	sequence uint64
	explain  bool
}

func newFixture(shards, replicas int) *fixture {
	service := &core.Service{Name: "svc", Rule: core.Rule{HedgePercent: 100, RetryPercent: 100}}
	layout := core.Layout{FirstVersion: 1}
	states := make(map[core.UpstreamID]*core.UpstreamState)
	for s := range shards {
		group := core.Group{Name: core.GroupName(fmt.Sprintf("g%d", s))}
		for r := range replicas {
			id := core.UpstreamID(fmt.Sprintf("u%d-%d", s, r))
			group.Upstreams = append(group.Upstreams, core.Upstream{ID: id, Domain: "fd-1", Slots: 2})
			states[id] = &core.UpstreamState{}
		}
		service.Groups = append(service.Groups, group)
		layout.Shards = append(layout.Shards, core.Shard{Name: core.ShardName(fmt.Sprintf("s%d", s)), Group: group.Name})
	}
	service.Layouts = []core.Layout{layout}
	set := (&core.ConfigSet{Revision: 1, Services: map[core.ServiceName]*core.Service{"svc": service}}).Index()
	self := core.VM{Name: "vm-1", Domain: "fd-1"}
	return &fixture{
		view:    &core.View{Config: set, Members: &core.Members{Self: self, All: []core.VM{self}}, Upstreams: core.MapOf(states), Ready: true},
		service: service,
		policies: query.Policies{
			Selector: selection.New(selection.Defaults()), Hedger: hedge.New(hedge.Defaults()), Retrier: retry.New(retry.Defaults()),
		},
	}
}

// warmUpHedger gives the hedging policy a latency estimate for each group and a budget.
func (f *fixture) warmUpHedger(d time.Duration) {
	for g := range f.service.Groups {
		for range 32 {
			f.policies.Hedger.ObserveLatency(f.service, f.service.Groups[g].Name, d)
			f.policies.Hedger.ObserveFirstAttempt(epoch, f.service)
		}
	}
}

func (f *fixture) machine(idempotent bool, deadline time.Duration) *query.Machine {
	return query.New(query.Config{
		Query:   core.Query{Service: "svc", RequestID: "r", Idempotent: idempotent, Deadline: epoch.Add(deadline), Explain: f.explain},
		Service: f.service, View: f.view, Version: pinned, Shards: f.service.Layouts[0].Shards, Policies: f.policies,
		Random: rand.New(rand.NewPCG(1, 1)),
		NextAttempt: func() core.AttemptID {
			f.sequence++
			return core.AttemptID{VM: "vm-1", Incarnation: 1, Sequence: f.sequence}
		},
	})
}

func sends(actions []query.Action) []core.Attempt {
	var attempts []core.Attempt
	for _, a := range actions {
		if a.Kind == query.ActionSend {
			attempts = append(attempts, a.Attempt)
		}
	}
	return attempts
}

func notRun(attempt core.Attempt, code core.Code) core.AttemptResult {
	return core.AttemptResult{Attempt: attempt.ID, Outcome: core.OutcomeNotRun, Code: code}
}

func covered(attempt core.Attempt, version core.IndexVersion) core.AttemptResult {
	return core.AttemptResult{
		Attempt: attempt.ID, Outcome: core.OutcomeRan, Code: core.CodeOK, Version: version, Data: []byte(attempt.Shard),
	}
}

// Default seed and number of cases of the property tests. Flags on the command line override them.
const (
	propertySeed  = "20261204"
	propertyCases = "3000"
)

func init() {
	if err := errors.Join(flag.Set("rapid.seed", propertySeed), flag.Set("rapid.checks", propertyCases)); err != nil {
		panic(err)
	}
}
