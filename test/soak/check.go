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
	// patience is how long callers wait.
	patience = 1200 * time.Millisecond
	// recovery is how long after the last fault everything is served again.
	recovery = 10 * time.Second
	// lateDrain is how long after an upstream said that it leaves, and after the end of all faults, it may still get requests:
	// the bound of the settings and the time in which a VM that was disturbed is up to date again. While faults go on, a VM
	// may have no way to learn of it: with seed 1000, one had lost the store for 8.3 s.
	lateDrain = time.Second + 4*time.Second
	// calm is how long callers go on after the last fault.
	calm = lateDrain + 2*time.Second
	// mostBroken bounds the broken promises that are printed.
	mostBroken = 10
)

// checker collects broken promises.
type checker struct {
	mu     sync.Mutex
	broken []string
	// once holds the answers to requests that are not idempotent, by ID.
	once         map[string]standin.Answer
	sent, served int
}

func newChecker() *checker { return &checker{once: make(map[string]standin.Answer)} }

func (k *checker) broke(promise, format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.broken) < mostBroken {
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

// caller sends requests of all kinds on kept connections.
type caller struct {
	w      *world
	name   string
	random *rand.Rand
	client *http.Transport
	// seen is the newest table whose route a process served, by the process; an older one must not come after it.
	seen map[string]int64
}

func (w *world) newCaller(i int) *caller {
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
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r := standin.Request{Address: v.boot.Front, Method: method, Path: path, ID: id, Body: body, Timeout: patience}
	a, err := r.Send(ctx, c.client)
	c.w.check.count(err == nil && a.Status == http.StatusOK)
	return a, err
}

// gather checks that a gathered answer consists of the parts that it names and says truly how many are missing.
func (c *caller) gather(v *vm, id string) {
	a, err := c.send(v, "GET", "/all/x", id, "")
	if err != nil || a.Status != http.StatusOK {
		return
	}
	shards := len(services) - 1
	var records []string
	seen := make(map[string]bool)
	for _, proof := range a.Signatures {
		upstream, attempt, _ := strings.Cut(proof, ".")
		service, _, _ := strings.Cut(upstream, "-")
		if attempt != id || seen[service] {
			c.w.check.broke("proof", "answer to %s names %q", id, proof)
		}
		seen[service] = true
		records = append(records, fmt.Sprintf("%-16.16s", upstream))
	}
	slices.SortFunc(records, func(a, b string) int { return cmp.Compare(b, a) })
	if want := strings.Join(records[:min(len(records), standin.TopRecords)], ""); a.Body != want {
		c.w.check.broke("records", "answer to %s is %q, want %q", id, a.Body, want)
	}
	if len(a.Signatures)+a.Missing != shards || len(a.Signatures) < int(math.Ceil(standin.MinCoverage*float64(shards))) {
		c.w.check.broke("coverage", "answer to %s has %d parts and misses %d of %d", id, len(a.Signatures), a.Missing, shards)
	}
}

// once sends a request that must not run twice. How often it ran is checked at the end.
func (c *caller) once(v *vm, id string) {
	a, err := c.send(v, "POST", "/once/x", id, "order")
	if err != nil {
		return
	}
	if a.Status == http.StatusOK && !strings.HasSuffix(a.Signature, "."+id) {
		c.w.check.broke("proof", "answer to %s has the proof %q", id, a.Signature)
	}
	c.w.check.mu.Lock()
	defer c.w.check.mu.Unlock()
	c.w.check.once[id] = a
}

// table checks that a process that served a route does not deny it later.
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
		c.w.check.broke("table", "%s denies the route of table %d after it served that of %d", process, version, c.seen[process])
	}
}

// checkRuns checks what the upstreams saw. calmFrom is the end of the last fault.
func (w *world) checkRuns(calmFrom time.Time) {
	ran := make(map[string]int)
	asked := make(map[string]map[string]bool)
	for _, r := range w.replicas() {
		for _, run := range r.Runs() {
			if run.Method == "POST" {
				ran[run.AttemptID]++
			}
			key := run.AttemptID + " at " + r.service
			if asked[key] == nil {
				asked[key] = make(map[string]bool)
			}
			asked[key][r.ID] = true
			if !r.leftAt.IsZero() && run.At.Sub(r.leftAt) > lateDrain && run.At.Sub(calmFrom) > lateDrain {
				w.check.broke("drain", "%s got %s %v after it said that it leaves, %v after the last fault", r.ID, run.AttemptID, run.At.Sub(r.leftAt), run.At.Sub(calmFrom))
			}
		}
	}
	for id, n := range ran {
		if n > 1 {
			w.check.broke("once", "%s ran %d times", id, n)
		}
		if a, ok := w.check.once[id]; ok && (a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests) {
			w.check.broke("refused", "%s ran although it was refused with %d", id, a.Status)
		}
	}
	for key, upstreams := range asked {
		if len(upstreams) > 2 {
			w.check.broke("attempts", "%s went to %d upstreams", key, len(upstreams))
		}
	}
}

// checkRecovery checks that each daemon serves every kind of request some time after the last fault.
func (w *world) checkRecovery() {
	c := w.newCaller(1000)
	paths := []string{"/all/x", "/one/x", versionPrefix(w.version.Load()) + "x"}
	for n, v := range w.vms {
		for p, path := range paths {
			deadline := time.Now().Add(recovery)
			for try := 0; ; try++ {
				a, err := c.send(v, "GET", path, fmt.Sprintf("end-%d-%d-%d", n, p, try), "")
				if err == nil && a.Status == http.StatusOK && a.Missing == 0 {
					break
				}
				if time.Now().After(deadline) {
					w.check.broke("recovery", "%s does not serve %s %v after the last fault: status %d, %d missing, %v", v.boot.Name, path, recovery, a.Status, a.Missing, err)
					break
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
}

// result is what came of one seed.
type result struct {
	seed         uint64
	sent, served int
	played       map[string]int
	broken       []string
	logs         string
}

func (r result) faults() int {
	n := 0
	for _, times := range r.played {
		n += times
	}
	return n
}

// soak plays one seed.
func soak(o options) (result, error) {
	w, err := newWorld(o)
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
	calling, stop := context.WithCancel(context.Background())
	defer stop()
	var callers sync.WaitGroup
	for i := range o.callers {
		c := w.newCaller(i)
		callers.Go(func() { c.run(calling) })
	}
	ctx, cancel := context.WithTimeout(calling, o.length)
	defer cancel()
	played := w.play(ctx)
	calmFrom := time.Now()
	w.checkRecovery()
	time.Sleep(time.Until(calmFrom.Add(calm)))
	stop()
	callers.Wait()
	w.checkRuns(calmFrom)
	r := result{seed: o.seed, sent: w.check.sent, served: w.check.served, played: played, broken: w.check.broken}
	r.logs = w.keepLogs(len(r.broken) > 0)
	return r, nil
}
