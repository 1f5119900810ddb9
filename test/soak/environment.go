package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gooseberrylane.example/platform/standin"
	"gooseberrylane.example/test/faultproxy"
)

// options of a run.
type options struct {
	seed         uint64
	length       time.Duration
	vms, callers int
	daemon, logs string
}

// services are the shards and the service for single requests. Each has a replica in each failure domain.
var (
	services = []string{"shard1", "shard2", "shard3", "shard4", "shard5", "single"}
	domains  = []string{"zone-a", "zone-b", "zone-c"}
)

// startTimeout bounds the time until all daemons are ready.
const startTimeout = 20 * time.Second

// environment holds the processes, stand-ins and proxies of a run.
type environment struct {
	options
	random *rand.Rand
	dir    string
	store  *standin.Store
	vms    []*vm

	mu        sync.Mutex
	upstreams []*replica
	serial    int
	version   atomic.Int64
	check     *checker
}

// replica is an upstream behind a proxy.
type replica struct {
	*standin.Upstream
	service, domain string
	proxy           *faultproxy.Proxy
	// drainingSince is the time at which the store recorded the upstream as draining, zero before.
	drainingSince time.Time
}

// vm is one daemon process with its own proxy to the store.
type vm struct {
	boot  standin.SettingsFile
	store *faultproxy.Proxy
	// disturbed is held while the process is paused, or has ended and is not yet restarted.
	disturbed sync.Mutex
	mu        sync.Mutex
	cmd       *exec.Cmd
	log       *os.File
	// starts counts process starts, so that callers can attribute an answer to a process.
	starts atomic.Int64
}

func newEnvironment(o options) (*environment, error) {
	w := &environment{options: o, random: rand.New(rand.NewPCG(o.seed, o.seed)), store: standin.NewStore(), check: newChecker()}
	var err error
	if w.dir, err = os.MkdirTemp("", "soak"); err != nil {
		return nil, err
	}
	if w.daemon == "" {
		w.daemon = filepath.Join(w.dir, "gooseberrylaned")
		if out, err := exec.Command("go", "build", "-o", w.daemon, "gooseberrylane.example/cmd/gooseberrylaned").CombinedOutput(); err != nil {
			return nil, fmt.Errorf("build: %w: %s", err, out)
		}
	}
	for i, service := range services {
		for r := range domains {
			if err := w.addReplica(service, domains[(i+r)%len(domains)]); err != nil {
				return nil, err
			}
		}
	}
	w.putTable()
	for i := range o.vms {
		if err := w.addVM(i); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// putTable writes the next routing table, which adds a route of its own.
func (w *environment) putTable() {
	version := w.version.Add(1)
	var extra []string
	for v := range version {
		extra = append(extra, versionPrefix(v+1))
	}
	w.store.PutRoutingTable(int(version), services, extra...)
}

// versionPrefix returns the prefix of the route that a routing table adds.
func versionPrefix(version int64) string { return fmt.Sprintf("/v%d/", version) }

func (w *environment) addReplica(service, domain string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.serial++
	u, err := standin.NewUpstream(fmt.Sprintf("%s-%d", service, w.serial))
	if err != nil {
		return err
	}
	proxy, err := faultproxy.Listen("127.0.0.1:0", u.Address())
	if err != nil {
		return err
	}
	r := &replica{Upstream: u, service: service, domain: domain, proxy: proxy}
	w.upstreams = append(w.upstreams, r)
	w.store.PutEntry(r.ID, r.entry("ready"))
	return nil
}

func (r *replica) entry(state string) map[string]any {
	return r.Entry(r.service, r.domain, r.proxy.Address(), state)
}

// replicas returns all upstreams started so far.
func (w *environment) replicas() []*replica {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*replica(nil), w.upstreams...)
}

func (w *environment) addVM(i int) error {
	proxy, err := faultproxy.Listen("127.0.0.1:0", w.store.Address())
	if err != nil {
		return err
	}
	v := &vm{store: proxy}
	// Each VM has its own loopback address, also among concurrent runs, because all use the same metrics port.
	ip := fmt.Sprintf("127.1.%d.%d", os.Getpid()%256, i+1)
	var ports [3]string
	for p := range ports {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return err
		}
		defer l.Close()
		ports[p] = l.Addr().String()
	}
	_, peerPort, err := net.SplitHostPort(ports[2])
	if err != nil {
		return err
	}
	v.boot = standin.SettingsFile{
		Name: fmt.Sprintf("vm-%d", i+1), Zone: domains[i%len(domains)], IP: ip, Front: ports[0], Ready: ports[1], PeerPort: peerPort,
		Store: proxy.Address(), RetryRatio: 1, RetrySlack: 100,
	}
	path := w.settingsPath(v)
	if err := os.WriteFile(path, []byte(v.boot.Text()), 0o600); err != nil {
		return err
	}
	if v.log, err = os.Create(filepath.Join(w.dir, v.boot.Name+".log")); err != nil {
		return err
	}
	w.vms = append(w.vms, v)
	return nil
}

func (w *environment) settingsPath(v *vm) string { return filepath.Join(w.dir, v.boot.Name+".toml") }

// start starts the process of a VM.
func (w *environment) start(v *vm) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	cmd := exec.Command(w.daemon, "-source", "machines", "-settings", w.settingsPath(v))
	cmd.Stdout, cmd.Stderr = v.log, v.log
	if err := cmd.Start(); err != nil {
		return err
	}
	v.cmd = cmd
	v.starts.Add(1)
	return nil
}

// signal sends a signal to the process of a VM.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	// A process that has just ended needs no signal.
	_ = v.cmd.Process.Signal(s)
}

// wait waits until the process of a VM has ended.
func (v *vm) wait() {
	v.mu.Lock()
	defer v.mu.Unlock()
	// The exit status of a killed process is not needed.
	_ = v.cmd.Wait()
}

func (w *environment) waitReady() error {
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, v := range w.vms {
			if standin.IsReady(v.boot.Ready) {
				ready++
			}
		}
		if ready == len(w.vms) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d daemons are ready after %v", ready, len(w.vms), startTimeout)
		}
	}
}

// close stops everything that the run started.
func (w *environment) close() {
	for _, v := range w.vms {
		if v.cmd != nil {
			v.signal(syscall.SIGCONT)
			v.signal(syscall.SIGKILL)
			v.wait()
		}
		_ = v.store.Close()
		_ = v.log.Close()
	}
	for _, r := range w.replicas() {
		_ = r.proxy.Close()
		r.Close()
	}
	w.store.Close()
}

// keepLogs keeps the logs of the daemons when a promise was broken, and returns where they are.
func (w *environment) keepLogs(broken bool) string {
	if !broken {
		// Files left in the temporary directory do no harm.
		_ = os.RemoveAll(w.dir)
		return ""
	}
	if w.logs == "" {
		return w.dir
	}
	target := filepath.Join(w.logs, fmt.Sprintf("seed-%d", w.seed))
	if err := os.MkdirAll(w.logs, 0o700); err == nil && os.Rename(w.dir, target) == nil {
		return target
	}
	return w.dir
}
