package main

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"gooseberrylane.example/platform/standin"
)

const (
	// callerTimeout bounds each request of a caller.
	callerTimeout = 1200 * time.Millisecond
	// recoveryTimeout is the time after the last fault within which every daemon must serve every kind of request again.
	recoveryTimeout = 10 * time.Second
	// maxDrainDelay is the time after an upstream is marked as draining, and after the end of all faults, in which it may
	// still receive requests: the bound of the settings plus the time in which a disturbed VM is up to date again. During
	// faults a VM may be unable to learn the state: with seed 1000, one had no link to the store for 8.3 s.
	maxDrainDelay = time.Second + 4*time.Second
	// settleTime is the time for which callers continue after the last fault.
	settleTime = maxDrainDelay + 2*time.Second
	// maxBroken bounds the broken promises that are printed.
	maxBroken = 10
)

// checker records broken promises.
type checker struct {
	mu     sync.Mutex
	broken []string
	// once holds the answers to requests that are not idempotent, by ID.
	once         map[string]standin.Answer
	sent, served int
}

func newChecker() *checker { return &checker{once: make(map[string]standin.Answer)} }

func (k *checker) recordBroken(promise, format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.broken) < maxBroken {
		k.broken = append(k.broken, promise+": "+fmt.Sprintf(format, args...))
	}
}

func (k *checker) count(served bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sent++
	if served {
		k.served++
	}
}

// caller sends requests of all kinds on persistent connections.
type caller struct {
	w      *environment
	name   string
	random *rand.Rand
	client *http.Transport
	// seen is the newest routing table from which each process has served a route. The process must not use an older
	// one later.
	seen map[string]int64
}

func (w *environment) newCaller(i int) *caller {
	return &caller{
		w: w, name: fmt.Sprintf("c%d", i), random: rand.New(rand.NewPCG(w.seed, uint64(i)+100)), client: &http.Transport{MaxIdleConnsPerHost: 2},
		seen: make(map[string]int64),
	}
}

func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		v := pick(c.random, c.w.vms)
		id := fmt.Sprintf("%s-%d", c.name, n)
		switch c.random.IntN(4) {
		case 0:
			c.once(v, id)
		case 1:
			c.table(v, id)
		default:
			c.gather(v, id)
		}
		time.Sleep(time.Duration(c.random.IntN(20)) * time.Millisecond)
	}
}

func (c *caller) send(v *vm, method, path, id, body string) (standin.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	r := standin.Request{Address: v.boot.Front, Method: method, Path: path, ID: id, Body: body, Timeout: callerTimeout}
	a, err := r.Send(ctx, c.client)
	c.w.check.count(err == nil && a.Status == http.StatusOK)
	return a, err
}

// gather sends a gathered request and checks that the answer consists of the shards whose signatures it carries and
// reports the right number of missing shards.
func (c *caller) gather(v *vm, id string) {
	a, err := c.send(v, "GET", "/all/x", id, "")
	if err != nil || a.Status != http.StatusOK {
		return
	}
	shards := len(services) - 1
	var records []string
	seen := make(map[string]bool)
	for _, signature := range a.Signatures {
		upstream, attempt, _ := strings.Cut(signature, ".")
		service, _, _ := strings.Cut(upstream, "-")
		if attempt != id || seen[service] {
			c.w.check.recordBroken("proof", "answer to %s names %q", id, signature)
		}
		seen[service] = true
		records = append(records, fmt.Sprintf("%-16.16s", upstream))
	}
	slices.SortFunc(records, func(a, b string) int { return cmp.Compare(b, a) })
	if want := strings.Join(records[:min(len(records), standin.TopRecords)], ""); a.Body != want {
		c.w.check.recordBroken("records", "answer to %s is %q, want %q", id, a.Body, want)
	}
	if len(a.Signatures)+a.Missing != shards || len(a.Signatures) < int(math.Ceil(standin.MinCoverage*float64(shards))) {
		c.w.check.recordBroken("coverage", "answer to %s covers %d shards and misses %d of %d", id, len(a.Signatures), a.Missing, shards)
	}
}

// once sends a request that must not run twice. checkRuns checks how often it ran.
func (c *caller) once(v *vm, id string) {
	a, err := c.send(v, "POST", "/once/x", id, "order")
	if err != nil {
		return
	}
	if a.Status == http.StatusOK && !strings.HasSuffix(a.Signature, "."+id) {
		c.w.check.recordBroken("proof", "answer to %s has the signature %q", id, a.Signature)
	}
	c.w.check.mu.Lock()
	defer c.w.check.mu.Unlock()
	c.w.check.once[id] = a
}

// table checks that a process that has served a route does not answer 404 for it later.
func (c *caller) table(v *vm, id string) {
	version := c.w.version.Load()
	start := v.starts.Load()
	a, err := c.send(v, "GET", versionPrefix(version)+"x", id, "")
	if err != nil || v.starts.Load() != start {
		return
	}
	process := fmt.Sprintf("%s/%d", v.boot.Name, start)
	switch {
	case a.Status == http.StatusOK:
		c.seen[process] = max(c.seen[process], version)
	case a.Status == http.StatusNotFound && c.seen[process] >= version:
		c.w.check.recordBroken("table", "%s answers 404 for the route of table %d after it served that of %d", process, version, c.seen[process])
	}
}

// checkRuns checks the requests that the upstreams ran. faultsEnded is the end of the last fault.
func (w *environment) checkRuns(faultsEnded time.Time) {
	runCounts := make(map[string]int)
	upstreamsOf := make(map[string]map[string]bool)
	for _, r := range w.replicas() {
		for _, run := range r.Runs() {
			if run.Method == "POST" {
				runCounts[run.AttemptID]++
			}
			key := run.AttemptID + " at " + r.service
			if upstreamsOf[key] == nil {
				upstreamsOf[key] = make(map[string]bool)
			}
			upstreamsOf[key][r.ID] = true
			if !r.drainingSince.IsZero() && run.At.Sub(r.drainingSince) > maxDrainDelay && run.At.Sub(faultsEnded) > maxDrainDelay {
				w.check.recordBroken("drain", "%s received %s %v after it was marked as draining, %v after the last fault", r.ID, run.AttemptID, run.At.Sub(r.drainingSince), run.At.Sub(faultsEnded))
			}
		}
	}
	for id, n := range runCounts {
		if n > 1 {
			w.check.recordBroken("once", "%s ran %d times", id, n)
		}
		if a, ok := w.check.once[id]; ok && (a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests) {
			w.check.recordBroken("refused", "%s ran although it was refused with %d", id, a.Status)
		}
	}
	for key, upstreams := range upstreamsOf {
		if len(upstreams) > 2 {
			w.check.recordBroken("attempts", "%s was sent to %d upstreams", key, len(upstreams))
		}
	}
}

// checkRecovery checks that each daemon serves every kind of request within recoveryTimeout of the last fault.
func (w *environment) checkRecovery() {
	c := w.newCaller(1000)
	paths := []string{"/all/x", "/one/x", versionPrefix(w.version.Load()) + "x"}
	for n, v := range w.vms {
		for p, path := range paths {
			deadline := time.Now().Add(recoveryTimeout)
			for try := 0; ; try++ {
				a, err := c.send(v, "GET", path, fmt.Sprintf("end-%d-%d-%d", n, p, try), "")
				if err == nil && a.Status == http.StatusOK && a.Missing == 0 {
					break
				}
				if time.Now().After(deadline) {
					w.check.recordBroken("recovery", "%s does not serve %s %v after the last fault: status %d, %d missing, %v", v.boot.Name, path, recoveryTimeout, a.Status, a.Missing, err)
					break
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
}

// result is the result of one seed.
type result struct {
	seed         uint64
	sent, served int
	injected     map[string]int
	broken       []string
	logs         string
}

func (r result) faults() int {
	n := 0
	for _, times := range r.injected {
		n += times
	}
	return n
}

// soak runs one seed.
func soak(o options) (result, error) {
	w, err := newEnvironment(o)
	if err != nil {
		return result{}, err
	}
	defer w.close()
	for _, v := range w.vms {
		if err := w.start(v); err != nil {
			return result{}, err
		}
	}
	if err := w.waitReady(); err != nil {
		return result{}, err
	}
	callerCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var callers sync.WaitGroup
	for i := range o.callers {
		c := w.newCaller(i)
		callers.Go(func() { c.run(callerCtx) })
	}
	ctx, cancel := context.WithTimeout(callerCtx, o.length)
	defer cancel()
	injected := w.injectFaults(ctx)
	faultsEnded := time.Now()
	w.checkRecovery()
	time.Sleep(time.Until(faultsEnded.Add(settleTime)))
	stop()
	callers.Wait()
	w.checkRuns(faultsEnded)
	r := result{seed: o.seed, sent: w.check.sent, served: w.check.served, injected: injected, broken: w.check.broken}
	r.logs = w.keepLogs(len(r.broken) > 0)
	return r, nil
}
