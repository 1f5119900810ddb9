// Package policies runs the tier in one process against upstream stand-ins, with the baseline and with the current policies,
// while faults are injected.
package policies

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"go.uber.org/fx"

	"gooseberrylane.example/core"
	"gooseberrylane.example/internal/loopback"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
	_ "gooseberrylane.example/plugins/standard"
	"gooseberrylane.example/standins/upstream"
)

const (
	service = "svc"
	vms     = 3
)

// tierConfig describes a tier of vms daemons and one service.
type tierConfig struct {
	groups, replicas, slots int
	serviceUS               int64
	policies                map[string]string
	rule                    core.Rule
}

var (
	baseline = map[string]string{"selection": "random", "hedging": "none", "retry": "none", "admission": "open"}
	current  = map[string]string{"selection": "adaptive", "hedging": "learned", "retry": "budget", "admission": "classes"}
)

// smallTier describes ten groups of two replicas.
func smallTier(policies map[string]string) tierConfig {
	return tierConfig{
		groups: 10, replicas: 2, slots: 2, serviceUS: 4000, policies: policies,
		rule: core.Rule{DefaultDeadlineMS: 1000, MaxDeadlineMS: 10_000, VersionRule: core.VersionBestCovered, HedgePercent: 2, RetryPercent: 10},
	}
}

// tier holds the running stand-ins and daemons.
type tier struct {
	upstreams []*upstream.Server
	engines   []kinds.Engine
	states    []*kernel.State
	shards    int
}

func startTier(tb testing.TB, cfg tierConfig) *tier {
	t := &tier{shards: cfg.groups}
	svc := t.startUpstreams(tb, cfg)
	members := make([]map[string]any, vms)
	peerAddresses, err := loopback.Addresses(vms)
	if err != nil {
		tb.Fatal(err)
	}
	for i := range members {
		members[i] = map[string]any{"name": fmt.Sprint("vm-", i), "failure_domain": domain(i), "peer_address": peerAddresses[i]}
	}
	for i := range members {
		t.startDaemon(tb, cfg, svc, members, i)
	}
	return t
}

func domain(i int) string { return fmt.Sprint("fd-", i%3) }

func (t *tier) startUpstreams(tb testing.TB, cfg tierConfig) *core.Service {
	svc := &core.Service{Name: service, Rule: cfg.rule}
	layout := core.Layout{FirstVersion: 1}
	for g := range cfg.groups {
		group := core.Group{Name: core.GroupName(fmt.Sprint("g", g))}
		for r := range cfg.replicas {
			id := fmt.Sprintf("u%d-%d", g, r)
			server := upstream.New(upstream.Config{
				ID: id, Listen: "127.0.0.1:0", Slots: cfg.slots, Connections: 60, OpenCostMS: 6, ServiceUS: cfg.serviceUS,
				Seed: uint64(100*g + r + 1), Oldest: 1, Newest: 1,
			})
			if err := server.Start(); err != nil {
				tb.Fatal(err)
			}
			tb.Cleanup(func() { _ = server.Kill() })
			t.upstreams = append(t.upstreams, server)
			group.Upstreams = append(group.Upstreams, core.Upstream{
				ID: core.UpstreamID(id), Address: server.Address(), Domain: core.FailureDomain(domain(g + r)), Slots: cfg.slots,
				Connections: 60, OpenCostMS: 6,
			})
		}
		svc.Groups = append(svc.Groups, group)
		layout.Shards = append(layout.Shards, core.Shard{Name: core.ShardName(fmt.Sprint("s", g)), Group: group.Name})
	}
	svc.Layouts = []core.Layout{layout}
	return svc
}

func (t *tier) startDaemon(tb testing.TB, cfg tierConfig, svc *core.Service, members []map[string]any, i int) {
	plugin := func(name string, settings any) []any {
		choice := map[string]any{"name": name}
		if settings != nil {
			choice["settings"] = settings
		}
		return []any{choice}
	}
	plugins := map[string]any{
		"engine": plugin("standard", nil), "dispatch": plugin("owner", nil), "executor": plugin("slots", nil),
		"transport": plugin("http", nil), "peer": plugin("websocket", map[string]any{"listen": members[i]["peer_address"]}),
		"membership":    plugin("static", map[string]any{"members": members}),
		"configuration": plugin("static", map[string]any{"services": []any{svc}}),
		"records":       plugin("none", nil),
	}
	for kind, name := range cfg.policies {
		plugins[kind] = plugin(name, nil)
	}
	raw, err := json.Marshal(map[string]any{
		"vm":   map[string]any{"name": members[i]["name"], "failure_domain": members[i]["failure_domain"]},
		"seed": i + 1, "plugins": plugins,
	})
	if err != nil {
		tb.Fatal(err)
	}
	loaded, err := kernel.Load(kernel.DefaultRegistry(), raw)
	if err != nil {
		tb.Fatal(err)
	}
	var engine kinds.Engine
	// Without a front end, no other plug-in depends on the membership.
	var membership kinds.Membership
	app, err := kernel.New(loaded, kernel.Options{Extra: []fx.Option{fx.Populate(&engine, &membership)}})
	if err != nil {
		tb.Fatal(err)
	}
	if err := app.Start(context.Background()); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = app.Stop(context.Background()) })
	t.engines = append(t.engines, engine)
	t.states = append(t.states, app.State)
}

// counts sums the counters of all upstreams.
func (t *tier) counts() upstream.Counts {
	var sum upstream.Counts
	for _, server := range t.upstreams {
		c := server.Counts()
		sum.Received += c.Received
		sum.Started += c.Started
		sum.OverSlots += c.OverSlots
		sum.OverConnections += c.OverConnections
		sum.ReceivedAfterDrainGrace += c.ReceivedAfterDrainGrace
		sum.DuplicateExecutions += c.DuplicateExecutions
	}
	return sum
}

func (t *tier) setFaults(f upstream.Faults, matches func(i int) bool) {
	for i, server := range t.upstreams {
		if matches(i) {
			server.SetFaults(f)
		}
	}
}

func all(int) bool { return true }

func firstReplica(i int) bool { return i%2 == 0 }
