package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/fx"

	"gooseberrylane.example/coord/config"
	"gooseberrylane.example/core"
	"gooseberrylane.example/internal/loopback"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
	_ "gooseberrylane.example/plugins/standard"
	"gooseberrylane.example/standins/deployment"
	"gooseberrylane.example/standins/upstream"
)

// fakeOperations stores the last plan and confirms it as revision 1.
type fakeOperations struct {
	plan    config.Plan
	changes []config.Change
}

func (f *fakeOperations) Plan(_ context.Context, intent config.Intent) (config.Plan, error) {
	f.plan = config.Plan{ID: "plan-7", Intent: intent, Services: []core.ServiceName{"harvest-logs"}, Warnings: []string{"one replica is left"}}
	return f.plan, nil
}

func (f *fakeOperations) GetPlan(context.Context, config.PlanID) (config.Plan, error) {
	return f.plan, nil
}

func (f *fakeOperations) Confirm(_ context.Context, id config.PlanID, by string) (config.Change, error) {
	if id != f.plan.ID {
		return config.Change{}, core.Errorf(core.CodePlanNotFound, "plan %q", id)
	}
	f.changes = append(f.changes, config.Change{Revision: 1, Plan: id, Intent: f.plan.Intent, Confirmed: time.Now(), ConfirmedBy: by})
	return f.changes[0], nil
}

func (f *fakeOperations) History(_ context.Context, after core.Revision, _ int) ([]config.Change, error) {
	return f.changes[min(int(after), len(f.changes)):], nil
}

func (f *fakeOperations) Progress(_ context.Context, revision core.Revision) (config.Progress, error) {
	return config.Progress{Revision: revision, InForce: []core.VMName{"vm-1"}, Unreachable: []core.VMName{"vm-9"}}, nil
}

// testVM is one VM with its upstreams in this process.
type testVM struct{ caller, operator, metrics string }

// startVM starts the upstreams of a deployment and one VM, and stops them when the test ends.
func startVM(c *qt.C) testVM {
	d, err := deployment.New("directorate", 1)
	c.Assert(err, qt.IsNil)
	addresses := make(map[string]string)
	for _, cfg := range d.Upstreams {
		s := upstream.New(cfg)
		c.Assert(s.Start(), qt.IsNil)
		c.Cleanup(func() { _ = s.Kill() })
		addresses[s.ID()] = s.Address()
	}
	d.SetAddresses(addresses)
	free := freeAddresses(c, 4)
	vm := testVM{caller: free[0], operator: free[1], metrics: free[2]}
	loaded, err := kernel.Load(kernel.DefaultRegistry(), vmSettings(c, d, vm, free[3]))
	c.Assert(err, qt.IsNil)
	operations := &fakeOperations{}
	app, err := kernel.New(loaded, kernel.Options{Extra: []fx.Option{fx.Provide(func() kinds.Operations { return operations })}})
	c.Assert(err, qt.IsNil)
	c.Assert(app.Start(context.Background()), qt.IsNil)
	c.Cleanup(func() { c.Check(app.Stop(context.Background()), qt.IsNil) })
	return vm
}

func vmSettings(c *qt.C, d *deployment.Deployment, vm testVM, peer string) []byte {
	type m = map[string]any
	plugin := func(name string, settings any) m { return m{"name": name, "settings": settings} }
	// Only one VM runs, so all upstreams are placed in its failure domain; those in other domains would have no owner.
	for _, service := range d.Services {
		for g := range service.Groups {
			for u := range service.Groups[g].Upstreams {
				service.Groups[g].Upstreams[u].Domain = "fd-1"
			}
		}
	}
	raw, err := json.Marshal(m{
		"vm": m{"name": "vm-1", "failure_domain": "fd-1"},
		"plugins": m{
			"front_end": []m{
				plugin("http", m{"listen": vm.caller}),
				plugin("operator", m{"listen": vm.operator, "key": testKey}),
			},
			"engine": []m{{"name": "standard"}}, "dispatch": []m{{"name": "owner"}}, "executor": []m{{"name": "slots"}},
			"transport": []m{{"name": "http"}}, "selection": []m{{"name": "random"}}, "hedging": []m{{"name": "none"}},
			"retry": []m{{"name": "none"}}, "admission": []m{{"name": "open"}}, "records": []m{{"name": "none"}},
			"peer":          []m{plugin("websocket", m{"listen": peer})},
			"membership":    []m{plugin("static", m{"members": []m{{"name": "vm-1", "failure_domain": "fd-1", "peer_address": peer}}})},
			"configuration": []m{plugin("static", m{"services": d.Services})},
			"metrics":       []m{plugin("expvar", m{"listen": vm.metrics})},
			"report":        []m{{"name": "burn"}},
		},
	})
	c.Assert(err, qt.IsNil)
	return raw
}

const testKey = "0123456789abcdef"

func freeAddresses(c *qt.C, n int) []string {
	addresses, err := loopback.Addresses(n)
	c.Assert(err, qt.IsNil)
	return addresses
}

// run runs the tool and returns its exit status and both outputs.
func run(args ...string) (status int, out, errs string) {
	var stdout, stderr bytes.Buffer
	status = Run(context.Background(), args, Streams{In: strings.NewReader(""), Out: &stdout, Err: &stderr})
	return status, stdout.String(), stderr.String()
}
