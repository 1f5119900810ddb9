// Command demo runs the whole query path in one process: upstream stand-ins of a deployment and several daemons, each
// on its own loopback ports through the same kernel and plug-ins as the real programs. It asks one question over all
// shards, kills a replica, asks again, and stops.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3"

	"gooseberrylane.example/kernel"
	_ "gooseberrylane.example/plugins/standard"
	"gooseberrylane.example/standins/deployment"
	"gooseberrylane.example/standins/upstream"
)

const (
	startTimeout = 20 * time.Second
	queryTimeout = 5 * time.Second
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
	upstreams  []*upstream.Server
	apps       []*kernel.App
	callers    []string
}

func run(name string, vms int, logs bool) error {
	d, err := deployment.New(name, 1)
	if err != nil {
		return err
	}
	dm := &demo{deployment: d}
	defer dm.stopUpstreams()
	if err := dm.startUpstreams(); err != nil {
		return err
	}
	if err := dm.startDaemons(vms, logs); err != nil {
		return err
	}
	fmt.Printf("deployment %s: %d upstreams, %d daemons\n", name, len(dm.upstreams), vms)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	service := string(d.Services[0].Name)
	if err := dm.ask(ctx, "all replicas up", service); err != nil {
		return err
	}
	killed := dm.upstreams[0]
	if err := killed.Kill(); err != nil {
		return err
	}
	if err := dm.ask(ctx, "replica "+killed.ID()+" killed", service); err != nil {
		return err
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
	dm.deployment.Locate(addresses)
	return nil
}

func (dm *demo) stopUpstreams() {
	for _, s := range dm.upstreams {
		// A stand-in that is closed already is what the demo wants.
		_ = s.Kill()
	}
}

func (dm *demo) startDaemons(n int, logs bool) error {
	type member struct {
		Name          string `json:"name"`
		FailureDomain string `json:"failure_domain"`
		PeerAddress   string `json:"peer_address"`
	}
	members := make([]member, n)
	dm.callers = make([]string, n)
	for i := range members {
		ports, err := freeAddresses(2)
		if err != nil {
			return err
		}
		domain := deployment.Domains[i%len(deployment.Domains)]
		members[i] = member{Name: fmt.Sprintf("vm-%d", i+1), FailureDomain: string(domain), PeerAddress: ports[0]}
		dm.callers[i] = ports[1]
	}
	for i, m := range members {
		settings := map[string]any{
			"vm": map[string]any{"name": m.Name, "failure_domain": m.FailureDomain},
			"plugins": map[string]any{
				"front_end":     []any{plugin("http", map[string]any{"listen": dm.callers[i]})},
				"engine":        []any{plugin("standard", nil)},
				"dispatch":      []any{plugin("owner", nil)},
				"executor":      []any{plugin("slots", nil)},
				"transport":     []any{plugin("http", nil)},
				"peer":          []any{plugin("websocket", map[string]any{"listen": m.PeerAddress})},
				"membership":    []any{plugin("static", map[string]any{"members": members})},
				"configuration": []any{plugin("static", map[string]any{"services": dm.deployment.Services})},
				"selection":     []any{plugin("adaptive", nil)},
				"hedging":       []any{plugin("learned", nil)},
				"retry":         []any{plugin("budget", nil)},
				"admission":     []any{plugin("open", nil)},
				"records":       []any{plugin("none", nil)},
			},
		}
		if err := dm.startDaemon(settings, logs); err != nil {
			return err
		}
	}
	return nil
}

func plugin(name string, settings any) map[string]any {
	p := map[string]any{"name": name}
	if settings != nil {
		p["settings"] = settings
	}
	return p
}

func (dm *demo) startDaemon(settings any, logs bool) error {
	raw, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	loaded, err := kernel.Load(kernel.Linked(), raw)
	if err != nil {
		return err
	}
	var log io.Writer
	if logs {
		log = os.Stderr
	}
	app, err := kernel.New(loaded, kernel.Options{Log: log})
	if err != nil {
		return err
	}
	dm.apps = append(dm.apps, app)
	return app.Start(context.Background())
}

func (dm *demo) stopDaemons() error {
	var errs []error
	for _, app := range dm.apps {
		errs = append(errs, app.Stop(context.Background()))
	}
	fmt.Println("all daemons stopped")
	return errors.Join(errs...)
}

// freeAddresses returns loopback addresses that are free now.
func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, n)
	for i := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addresses[i] = l.Addr().String()
	}
	return addresses, nil
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

// ask sends one query over all shards to the first daemon and prints the answer.
func (dm *demo) ask(ctx context.Context, label, service string) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	body, err := json.Marshal(map[string]any{
		"service": service, "request_id": fmt.Sprintf("demo-%d", time.Now().UnixNano()), "caller": "demo", "idempotent": true, "timeout_ms": 2000,
	})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+dm.callers[0]+"/v1/query", bytes.NewReader(body))
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
	for _, missing := range a.Missing {
		fmt.Printf("  not covered: %s (%s)\n", missing.Shard, missing.Reason)
	}
	return nil
}
