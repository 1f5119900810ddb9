package coord_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gooseberrylane.example/coord/circuit"
	"gooseberrylane.example/coord/hedge"
	"gooseberrylane.example/coord/idempotency"
	"gooseberrylane.example/coord/limit"
	"gooseberrylane.example/coord/query"
	"gooseberrylane.example/coord/retry"
	"gooseberrylane.example/coord/selection"
	"gooseberrylane.example/coord/snapshot"
	"gooseberrylane.example/core"
)

// exampleView returns a view with one service of two shards, each with one replica.
func exampleView() *core.View {
	service := &core.Service{
		Name: "stock",
		Groups: []core.Group{
			{Name: "north", Upstreams: []core.Upstream{{ID: "north-1", Domain: "fd-1"}}},
			{Name: "south", Upstreams: []core.Upstream{{ID: "south-1", Domain: "fd-1"}}},
		},
		Layouts: []core.Layout{{FirstVersion: 1, Shards: []core.Shard{{Name: "n", Group: "north"}, {Name: "s", Group: "south"}}}},
	}
	set := (&core.ConfigSet{Revision: 1, Services: map[core.ServiceName]*core.Service{"stock": service}}).Index()
	return &core.View{
		Config: set, Members: &core.Members{Self: core.VM{Domain: "fd-1"}},
		Upstreams: core.MapOf(map[core.UpstreamID]*core.UpstreamState{"north-1": {}, "south-1": {}}),
	}
}

// A Machine is driven with results. Here one shard answers, and the other does not hold the index version.
func Example_query() {
	now := time.Unix(1000, 0)
	view := exampleView()
	q := core.Query{Service: "stock", RequestID: "r1", Idempotent: true, Deadline: now.Add(time.Second)}
	service, shards, err := query.Resolve(view, &q, 7)
	if err != nil {
		fmt.Println(err)
		return
	}
	var sequence uint64
	machine := query.New(query.Config{
		Query: q, Service: service, View: view, Version: 7, Shards: shards,
		Policies: query.Policies{
			Selector: selection.New(selection.Defaults()), Hedger: hedge.New(hedge.Defaults()), Retrier: retry.New(retry.Defaults()),
		},
		Random: rand.New(rand.NewPCG(1, 1)),
		NextAttempt: func() core.AttemptID {
			sequence++
			return core.AttemptID{VM: "vm-1", Incarnation: 1, Sequence: sequence}
		},
	})
	for _, action := range machine.Start(now) {
		result := core.AttemptResult{Attempt: action.Attempt.ID, Outcome: core.OutcomeRan, Version: 7, Data: []byte("12")}
		if action.Attempt.Shard == "s" {
			result = core.AttemptResult{Attempt: action.Attempt.ID, Outcome: core.OutcomeNotRun, Code: core.CodeVersionMissing}
		}
		machine.Result(now.Add(3*time.Millisecond), result)
	}
	answer := machine.Answer()
	fmt.Println(answer.Code, "version", answer.Version, "covered", answer.Covered[0].Shard, "missing", answer.Missing[0].Shard, answer.Missing[0].Reason)
	// Output: partial version 7 covered n missing s version_missing
}

// While a new version is being loaded, the version that most groups hold is older than the newest one.
func Example_snapshot() {
	groups := [][]core.VersionWindow{
		{{Oldest: 3, Newest: 5}},
		{{Oldest: 3, Newest: 4}},
		{{Oldest: 2, Newest: 4}},
	}
	fmt.Println(snapshot.Choose(core.VersionNewest, groups), snapshot.Choose(core.VersionBestCovered, groups))
	// Output: 5 4
}

// A second VM that finds the record of a running request must not send the request.
func Example_idempotency() {
	now := time.Unix(1000, 0)
	first := idempotency.Claim{VM: "vm-1", Incarnation: 1, Nonce: 1}
	second := idempotency.Claim{VM: "vm-2", Incarnation: 4, Nonce: 1}
	record := idempotency.Begin(nil, first, now.Add(time.Second))
	fmt.Println(idempotency.Decide(&record, second, now, 0) == idempotency.Running)
	record = idempotency.Finish(record, core.OutcomeNotRun, nil)
	fmt.Println(idempotency.Decide(&record, second, now, 0) == idempotency.Reclaim)
	// Output:
	// true
	// true
}

// Work of a higher class leaves the queue before work that was queued earlier.
func Example_limit() {
	queue := limit.NewQueue[string](10, limit.EarliestDeadline)
	queue.Push(&limit.Item[string]{Class: 2, Value: "dealer look-up"})
	queue.Push(&limit.Item[string]{Class: 0, Value: "depot count"})
	fmt.Println(queue.Pop().Value)
	// Output: depot count
}

// A circuit opens after consecutive failures and allows one trial call after its back-off.
func Example_circuit() {
	now, random := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 1))
	var breaker circuit.Breaker
	for range circuit.FailuresToOpen {
		breaker.Failure(now, random)
	}
	later := now.Add(circuit.MaxBackoff)
	fmt.Println(breaker.Allow(now), breaker.Allow(later), breaker.Allow(later))
	// Output: false true false
}
