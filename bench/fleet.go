package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"gooseberrylane.example/standins/control"
	"gooseberrylane.example/standins/deployment"
	"gooseberrylane.example/standins/platform"
	"gooseberrylane.example/test/faultproxy"
)

const (
	maxConcurrentStarts = 8
	readyPoll           = 50 * time.Millisecond
	balancerPoll        = 250 * time.Millisecond
	balancerLag         = 1000 * time.Millisecond
	listLag             = 2000 * time.Millisecond
)

// vm is one entry VM: a daemon process behind a proxy for its peers.
type vm struct {
	name   string
	domain int
	ip     string
	proxy  *faultproxy.Proxy
	proc   *process
	// serving is set while the balancer sends queries to the VM, leaving during a planned stop.
	serving, leaving atomic.Bool
}

func (v *vm) address(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }

// fleet is one side of a comparison: its VMs and its platform.
type fleet struct {
	name string
	// side is the index of the side; it selects the loopback addresses.
	side       int
	policy     policy
	binaries   *binaries
	testbed    *testbed
	deployment *deployment.Deployment
	seed       uint64

	platform        *process
	platformAddress string
	platformControl control.Client
	platformProxies []*faultproxy.Proxy
	// platformFaults are the faults of the platform that every scenario includes.
	platformFaults platform.Faults
	vms            []*vm
	plugins        map[string]string
	// replaced counts planned replacements of VMs.
	replaced int
	// cancel stops the balancer; balancer waits for its end.
	cancel   context.CancelFunc
	balancer sync.WaitGroup
}

// startFleet starts the platform and the VMs of one side and waits until all are ready.
func startFleet(ctx context.Context, t *testbed, side int, name string, p policy, b *binaries, vms int) (*fleet, error) {
	f := &fleet{name: name, side: side, policy: p, binaries: b, testbed: t, deployment: t.deployment, seed: t.options.seed}
	if err := f.startPlatform(ctx); err != nil {
		return nil, err
	}
	if err := f.choosePlugins(); err != nil {
		return nil, err
	}
	if err := f.defineVMs(vms); err != nil {
		return nil, err
	}
	if err := f.publishVMs(ctx); err != nil {
		return nil, err
	}
	if err := f.startVMs(ctx); err != nil {
		return nil, err
	}
	f.platformFaults = platform.Faults{ListLagMS: listLag.Milliseconds()}
	if err := f.platformControl.Call(ctx, "/v1/faults", f.platformFaults, nil); err != nil {
		return nil, err
	}
	var balancerCtx context.Context
	balancerCtx, f.cancel = context.WithCancel(context.WithoutCancel(ctx))
	f.balancer.Go(func() { f.balance(balancerCtx) })
	return f, nil
}

// startPlatform starts the platform stand-in and, in each failure domain, a proxy in front of it.
func (f *fleet) startPlatform(ctx context.Context) error {
	var err error
	f.platform, err = f.testbed.starter.start(f.name+"-platform", f.testbed.folder, standInEnv, f.testbed.binaries.platform, "-seed", fmt.Sprint(f.seed))
	if err != nil {
		return err
	}
	var addresses struct{ Control, Platform string }
	if err := f.platform.decodeFirstLine(ctx, &addresses); err != nil {
		return err
	}
	f.platformAddress = addresses.Platform
	f.platformControl = control.Client{Address: addresses.Control}
	for domain := range domainCount {
		listen := fmt.Sprintf("%s:%d", f.testbed.network.ip(f.side, domain, platformHost), platformPort)
		proxy, err := faultproxy.Listen(listen, addresses.Platform)
		if err != nil {
			return err
		}
		f.platformProxies = append(f.platformProxies, proxy)
	}
	return nil
}

// defineVMs spreads n VMs over the failure domains and opens a peer proxy for each, without starting them.
func (f *fleet) defineVMs(n int) error {
	for i := range n {
		domain := i % domainCount
		v := &vm{name: fmt.Sprintf("vm-%02d", i+1), domain: domain, ip: f.testbed.network.ip(f.side, domain, i/domainCount+1)}
		proxy, err := faultproxy.Listen(v.address(peerProxy), v.address(peerPort))
		if err != nil {
			return err
		}
		proxy.SetRuleFunc(func(client netip.Addr) faultproxy.Rule { return f.testbed.network.rule(client, domain) })
		v.proxy = proxy
		f.vms = append(f.vms, v)
	}
	return nil
}

// publishVMs sends the list of VMs to the platform.
func (f *fleet) publishVMs(ctx context.Context) error {
	listed := make([]platform.VM, len(f.vms))
	for i, v := range f.vms {
		listed[i] = platform.VM{Name: v.name, Domain: domainName(v.domain), PeerAddress: v.proxy.Address(), Leaving: v.leaving.Load()}
	}
	return f.platformControl.Call(ctx, "/v1/vms", listed, nil)
}

// startVMs starts the VMs, publishes the configuration and waits until all are ready.
func (f *fleet) startVMs(ctx context.Context) error {
	limit := make(chan struct{}, maxConcurrentStarts)
	results := make(chan error, len(f.vms))
	for _, v := range f.vms {
		go func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			results <- f.startVM(ctx, v)
		}()
	}
	var errs []error
	for range f.vms {
		errs = append(errs, <-results)
	}
	if err := errors.Join(errs...); err != nil {
		return err
	}
	if err := f.publishConfiguration(ctx); err != nil {
		return err
	}
	for _, v := range f.vms {
		if err := f.awaitReady(ctx, v); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startVM(ctx context.Context, v *vm) error {
	settings, err := f.settings(v)
	if err != nil {
		return err
	}
	name := f.name + "-" + v.name
	path := filepath.Join(f.testbed.folder, name+".json")
	if err := os.WriteFile(path, settings, 0o644); err != nil {
		return err
	}
	if err := v.proxy.Open(); err != nil {
		return err
	}
	v.proc, err = f.testbed.starter.start(name, f.testbed.folder, daemonEnv, f.binaries.daemon, "-settings", path)
	if err != nil {
		return err
	}
	v.leaving.Store(false)
	return ctx.Err()
}

// awaitReady waits until a VM reports that it is ready.
func (f *fleet) awaitReady(ctx context.Context, v *vm) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for !f.isReady(ctx, v) {
		select {
		case <-ticker.C:
		case <-v.proc.ended:
			return fmt.Errorf("%s exited during startup: %w; see its log", v.proc.name, v.proc.err)
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w", v.proc.name, ctx.Err())
		}
	}
	v.serving.Store(true)
	return nil
}

func (f *fleet) isReady(ctx context.Context, v *vm) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.address(callerPort)+"/v1/ready", nil)
	if err != nil {
		return false
	}
	response, err := f.testbed.probes.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// balance acts as the platform's balancer: it polls the readiness of each VM and marks the ready ones as serving.
func (f *fleet) balance(ctx context.Context) {
	ticker := time.NewTicker(balancerPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		var work sync.WaitGroup
		for _, v := range f.vms {
			work.Go(func() { v.serving.Store(f.isReady(ctx, v)) })
		}
		work.Wait()
	}
}

// choose selects a VM by the number of the query, one further for each earlier send, and returns the first serving VM from
// there on. If none is serving, it returns the selected one.
func (f *fleet) choose(number uint64, sends int) *vm {
	n := uint64(len(f.vms))
	start := (number + uint64(sends)) % n
	for i := range n {
		if v := f.vms[(start+i)%n]; v.serving.Load() {
			return v
		}
	}
	return f.vms[start]
}

// replace performs a planned stop of a VM and starts its successor under the same name.
func (f *fleet) replace(ctx context.Context, v *vm) error {
	v.leaving.Store(true)
	if err := f.publishVMs(ctx); err != nil {
		return err
	}
	v.proc.stop()
	if err := v.proxy.Refuse(); err != nil {
		return err
	}
	if err := f.startVM(ctx, v); err != nil {
		return err
	}
	if err := f.publishVMs(ctx); err != nil {
		return err
	}
	return f.awaitReady(ctx, v)
}

// stop ends the processes of the side, closes its proxies and joins the errors, one for each VM that did not exit
// cleanly.
func (f *fleet) stop() error {
	if f.cancel != nil {
		f.cancel()
	}
	f.balancer.Wait()
	var work sync.WaitGroup
	errs := make([]error, len(f.vms))
	for i, v := range f.vms {
		if v.proc == nil {
			continue
		}
		work.Go(func() {
			v.proc.stop()
			if v.proc.err != nil {
				errs[i] = fmt.Errorf("%s: %w", v.proc.name, v.proc.err)
			}
		})
	}
	work.Wait()
	if f.platform != nil {
		f.platform.stop()
	}
	for _, v := range f.vms {
		errs = append(errs, v.proxy.Close())
	}
	for _, proxy := range f.platformProxies {
		errs = append(errs, proxy.Close())
	}
	return errors.Join(errs...)
}
