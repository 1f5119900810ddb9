// Command demo runs the whole query path in one process: stand-ins for the platform and for the upstreams of a
// deployment, and several daemons, each on its own loopback ports, with the same kernel and plug-ins as the real programs.
// It configures the services and sends one query over all shards with all replicas up, one after the loss of a replica,
// and one after the loss of the other replica of the same shard. Then it stops.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/zeebo/errs"
	"go.uber.org/fx"

	"gooseberrylane.example/internal/loopback"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
	_ "gooseberrylane.example/plugins/standard"
	"gooseberrylane.example/standins/deployment"
	"gooseberrylane.example/standins/platform"
	"gooseberrylane.example/standins/upstream"
)

const (
	startTimeout = 20 * time.Second
	queryTimeout = 5 * time.Second
	seed         = 1
	// replicasPerShard is the number of upstreams that hold each shard in the deployments of the stand-ins.
	replicasPerShard = 2
)

func main() {
	flags := flag.NewFlagSet("demo", flag.ContinueOnError)
	name := flags.String("deployment", "directorate", "`name` of the deployment: directorate or pukk")
	vms := flags.Int("vms", 3, "`number` of daemons")
	logs := flags.Bool("logs", false, "print the logs of the daemons")
	if err := ff.Parse(flags, os.Args[1:]); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return
		}
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(2)
	}
	if err := run(*name, *vms, *logs); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

// demo is the running set of stand-ins and daemons.
type demo struct {
	deployment *deployment.Deployment
	platform   *platform.Server
	upstreams  []*upstream.Server
	vms        []deployment.VM
	apps       []*kernel.App
	operations kinds.Operations
}

func run(name string, vms int, logs bool) error {
	d, err := deployment.New(name, seed)
	if err != nil {
		return err
	}
	dm := &demo{deployment: d, platform: platform.New("127.0.0.1:0", seed)}
	if err := dm.platform.Start(); err != nil {
		return err
	}
	defer dm.stopStandIns()
	if err := dm.startUpstreams(); err != nil {
		return err
	}
	if err := dm.startDaemons(vms, logs); err != nil {
		return err
	}
	fmt.Printf("deployment %s: %d upstreams, %d daemons\n", name, len(dm.upstreams), vms)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := dm.configure(ctx); err != nil {
		return err
	}
	service := string(d.Services[0].Name)
	if err := dm.query(ctx, "all replicas up", service, 0); err != nil {
		return err
	}
	for killed, replica := range dm.upstreams[:replicasPerShard] {
		if err := replica.Kill(); err != nil {
			return err
		}
		missing := 0
		if killed == replicasPerShard-1 {
			missing = 1
		}
		if err := dm.query(ctx, "replica "+replica.ID()+" killed", service, missing); err != nil {
			return err
		}
	}
	return dm.stopDaemons()
}

func (dm *demo) startUpstreams() error {
	addresses := make(map[string]string)
	for _, cfg := range dm.deployment.Upstreams {
		s := upstream.New(cfg)
		if err := s.Start(); err != nil {
			return err
		}
		dm.upstreams = append(dm.upstreams, s)
		addresses[s.ID()] = s.Address()
	}
	dm.deployment.SetAddresses(addresses)
	return nil
}

func (dm *demo) stopStandIns() {
	_ = dm.platform.Stop()
	for _, s := range dm.upstreams {
		// Killed upstreams are closed already; the error does not matter.
		_ = s.Kill()
	}
}

func (dm *demo) startDaemons(n int, logs bool) error {
	for i := range n {
		addresses, err := loopback.Addresses(2)
		if err != nil {
			return err
		}
		dm.vms = append(dm.vms, deployment.VM{
			Name: fmt.Sprintf("vm-%d", i+1), Domain: deployment.Domains[i%len(deployment.Domains)], Peer: addresses[0], Caller: addresses[1],
		})
	}
	for _, vm := range dm.vms {
		settings := dm.deployment.NewSettings(vm, dm.vms, dm.platform.Address())
		settings.Set("configuration", "log", nil)
		settings.Set("selection", "adaptive", nil)
		settings.Set("hedging", "learned", nil)
		settings.Set("retry", "budget", nil)
		settings.Set("admission", "classes", nil)
		if err := dm.startDaemon(settings, logs); err != nil {
			return err
		}
	}
	return nil
}

func (dm *demo) startDaemon(settings *deployment.Settings, logs bool) error {
	raw, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	loaded, err := kernel.Load(kernel.DefaultRegistry(), raw)
	if err != nil {
		return err
	}
	var log io.Writer
	if logs {
		log = os.Stderr
	}
	app, err := kernel.New(loaded, kernel.Options{Log: log, Extra: []fx.Option{fx.Populate(&dm.operations)}})
	if err != nil {
		return err
	}
	dm.apps = append(dm.apps, app)
	return app.Start(context.Background())
}

// configure plans the creation of the services, confirms the plan and waits until it is in force on all daemons.
func (dm *demo) configure(ctx context.Context) error {
	plan, err := dm.operations.Plan(ctx, dm.deployment.Intent("demo"))
	if err != nil {
		return err
	}
	change, err := dm.operations.Confirm(ctx, plan.ID, "demo")
	if err != nil {
		return err
	}
	started := time.Now()
	for _, app := range dm.apps {
		for changed := app.State.Changed(); !app.State.Load().InForce(change.Revision); changed = app.State.Changed() {
			select {
			case <-changed:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
	fmt.Printf("plan %s: %d services and %d upstreams, in force on %d daemons as revision %d after %.0f ms\n",
		plan.ID, len(plan.Services), len(plan.Upstreams), len(dm.apps), change.Revision, float64(time.Since(started).Microseconds())/1000)
	return nil
}

func (dm *demo) stopDaemons() error {
	var failures []error
	for _, app := range dm.apps {
		failures = append(failures, app.Stop(context.Background()))
	}
	fmt.Println("all daemons stopped")
	return errs.Combine(failures...)
}

// answer is the part of an answer that the demo prints.
type answer struct {
	Name     string `json:"name"`
	Snapshot uint64 `json:"snapshot"`
	Covered  []struct {
		Shard string        `json:"shard"`
		Data  upstream.Data `json:"data"`
	} `json:"covered"`
	Missing []struct {
		Shard  string `json:"shard"`
		Reason string `json:"reason"`
	} `json:"missing"`
}

// query sends one query over all shards to the first daemon and prints the answer. It returns an error unless exactly the
// given number of shards is missing.
func (dm *demo) query(ctx context.Context, label, service string, missing int) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	body, err := json.Marshal(map[string]any{
		"service": service, "request_id": fmt.Sprintf("demo-%d", time.Now().UnixNano()), "caller": "demo", "idempotent": true, "timeout_ms": 2000,
	})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+dm.vms[0].Caller+"/v1/query", bytes.NewReader(body))
	if err != nil {
		return err
	}
	started := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var a answer
	if err := json.NewDecoder(response.Body).Decode(&a); err != nil {
		return err
	}
	total := 0
	for _, shard := range a.Covered {
		total += shard.Data.Count
	}
	fmt.Printf("%s: %s, snapshot %d, %d of %d shards, count %d, %.1f ms\n",
		label, a.Name, a.Snapshot, len(a.Covered), len(a.Covered)+len(a.Missing), total, float64(time.Since(started).Microseconds())/1000)
	for _, shard := range a.Missing {
		fmt.Printf("  not covered: %s (%s)\n", shard.Shard, shard.Reason)
	}
	if len(a.Covered) == 0 || len(a.Missing) != missing {
		return fmt.Errorf("%s: the answer %s covers %d shards and lacks %d, want %d missing", label, a.Name, len(a.Covered), len(a.Missing), missing)
	}
	return nil
}
