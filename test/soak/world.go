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

// services are the shards and the service of single requests; each has a replica in each failure domain.
var (
	services = []string{"shard1", "shard2", "shard3", "shard4", "shard5", "single"}
	domains  = []string{"zone-a", "zone-b", "zone-c"}
)

// startTimeout bounds the time until all daemons serve.
const startTimeout = 20 * time.Second

// world is everything that a run starts.
type world struct {
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
	// leftAt is when the store took the news that the upstream leaves, zero before.
	leftAt time.Time
}

// vm is one daemon process with a proxy of its own to the store.
type vm struct {
	boot  standin.SettingsFile
	store *faultproxy.Proxy
	// disturbed is held while the process is paused, or ended and not started again.
	disturbed sync.Mutex
	mu        sync.Mutex
	cmd       *exec.Cmd
	log       *os.File
	// starts counts process starts, so that callers know which incarnation answered.
	starts atomic.Int64
}

func newWorld(o options) (*world, error) {
	w := &world{options: o, random: rand.New(rand.NewPCG(o.seed, o.seed)), store: standin.NewStore(), check: newChecker()}
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

// putTable writes the next table of routes, which has a route of its own.
func (w *world) putTable() {
	version := w.version.Add(1)
	var extra []string
	for v := range version {
		extra = append(extra, versionPrefix(v+1))
	}
	w.store.PutRoutingTable(int(version), services, extra...)
}

// versionPrefix is the prefix of the route that came with a table.
func versionPrefix(version int64) string { return fmt.Sprintf("/v%d/", version) }

func (w *world) addReplica(service, domain string) error {
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

// replicas returns all upstreams so far.
func (w *world) replicas() []*replica {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*replica(nil), w.upstreams...)
}

func (w *world) addVM(i int) error {
	proxy, err := faultproxy.Listen("127.0.0.1:0", w.store.Address())
	if err != nil {
		return err
	}
	v := &vm{store: proxy}
	// Each VM has a loopback address of its own, also beside other runs, because the port of the metrics is the same
	// everywhere.
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

func (w *world) settingsPath(v *vm) string { return filepath.Join(w.dir, v.boot.Name+".toml") }

// start starts the process of a VM.
func (w *world) start(v *vm) error {
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
	// The status of a killed process is no news.
	_ = v.cmd.Wait()
}

func (w *world) waitReady() error {
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

// close ends everything that the run started.
func (w *world) close() {
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
func (w *world) keepLogs(broken bool) string {
	if !broken {
		// What stays in the temporary directory harms nobody.
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
