package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"gooseberrylane.example/platform/standin"
	"gooseberrylane.example/test/faultproxy"
)

const (
	// meanGap is the mean time between the starts of two faults. Faults last up to maxFault, so many overlap.
	meanGap  = 120 * time.Millisecond
	minFault = 200 * time.Millisecond
	maxFault = 2500 * time.Millisecond
	// maxCut is about the size of an answer of an upstream, in bytes.
	maxCut = 200
	// drainTime is the time for which a draining upstream continues to serve: long enough to record the
	// requests that arrive later than maxDrainDelay after the last fault.
	drainTime = maxFault + settleTime
)

// fault is a kind of disruption. inject starts it, calls hold, which waits for the duration of the fault, and ends it.
type fault struct {
	name   string
	inject func(e *environment, random *rand.Rand, hold func())
}

var faults = []fault{
	{"kill a daemon", func(e *environment, random *rand.Rand, hold func()) { e.restart(random, syscall.SIGKILL, hold) }},
	{"stop a daemon", func(e *environment, random *rand.Rand, hold func()) { e.restart(random, syscall.SIGTERM, hold) }},
	{"pause a daemon", func(e *environment, random *rand.Rand, hold func()) {
		v := pick(random, e.vms)
		if !v.disturbed.TryLock() {
			return
		}
		defer v.disturbed.Unlock()
		v.signal(syscall.SIGSTOP)
		hold()
		v.signal(syscall.SIGCONT)
	}},
	{"hang up a daemon", func(e *environment, random *rand.Rand, _ func()) { pick(random, e.vms).hangUp() }},
	{"upstream misbehaves", func(e *environment, random *rand.Rand, hold func()) {
		chosen := pick(random, e.replicas())
		wholeService := random.IntN(2) == 0
		share := 0.2 + 0.8*random.Float64()
		b := pick(random, []standin.Behavior{
			{Silent: true},
			{DropAnswer: true},
			{Truncated: true},
			{Extra: true},
			{NotExecuted: true},
			{NotExecuted: true, RetryAfter: "0.5"},
			{Endless: "head"},
			{Endless: "body"},
			{Delay: 100 * time.Millisecond},
			{Status: 500},
			{Status: http.StatusServiceUnavailable},
			{Unsigned: true},
			{Cut: true, CutAfter: random.IntN(maxCut)},
			{Cut: true, CutAfter: random.IntN(maxCut), Reset: true},
		})
		for _, u := range e.replicas() {
			if u != chosen && (!wholeService || u.service != chosen.service) {
				continue
			}
			u.SetBehavior(func(*http.Request) standin.Behavior {
				if rand.Float64() < share {
					return b
				}
				return standin.Behavior{}
			})
			defer u.SetBehavior(nil)
		}
		hold()
	}},
	{"upstream link", func(e *environment, random *rand.Rand, hold func()) {
		disturb(pick(random, e.replicas()).proxy, random, hold)
	}},
	{"store link of a daemon", func(e *environment, random *rand.Rand, hold func()) { disturb(pick(random, e.vms).store, random, hold) }},
	{"store refuses", func(e *environment, random *rand.Rand, hold func()) {
		status := pick(random, []int{http.StatusServiceUnavailable, http.StatusTooManyRequests})
		e.store.SetFault(func(*http.Request) int { return status })
		hold()
		e.store.SetFault(nil)
	}},
	{"stale reads lag", func(e *environment, _ *rand.Rand, hold func()) {
		e.store.FreezeStale()
		hold()
		e.store.ThawStale()
	}},
	{"store drops its history", func(e *environment, _ *rand.Rand, hold func()) {
		e.store.FreezeStale()
		e.store.DropHistory()
		hold()
		e.store.ThawStale()
	}},
	{"new table", func(e *environment, _ *rand.Rand, _ func()) { e.putTable() }},
	{"upstream is replaced", func(e *environment, random *rand.Rand, _ func()) { e.replace(pick(random, e.replicas())) }},
}

func pick[T any](random *rand.Rand, from []T) T { return from[random.IntN(len(from))] }

// disturb stalls the open connections of a proxy permanently, or resets, delays or drops its traffic until hold returns.
func disturb(p *faultproxy.Proxy, random *rand.Rand, hold func()) {
	switch random.IntN(3) {
	case 0:
		p.StallConnections()
	case 1:
		p.SetRule(faultproxy.Rule{Reset: true})
	default:
		p.SetRule(pick(random, []faultproxy.Rule{{Delay: 60 * time.Millisecond}, {DropUp: true}, {DropDown: true}, {DropUp: true, DropDown: true}}))
	}
	hold()
	p.SetRule(faultproxy.Rule{})
}

// restart ends the process of a VM by a signal and starts it again after hold.
func (e *environment) restart(random *rand.Rand, signal syscall.Signal, hold func()) {
	v := pick(random, e.vms)
	if !v.disturbed.TryLock() {
		return
	}
	defer v.disturbed.Unlock()
	v.signal(signal)
	v.wait()
	hold()
	if err := e.start(v); err != nil {
		e.check.recordBroken("start", "%s did not start again: %v", v.settings.Name, err)
	}
}

// replace replaces an upstream: a new one starts, the old one is marked as draining and ends after drainTime.
func (e *environment) replace(old *replica) {
	e.mu.Lock()
	draining := !old.drainingSince.IsZero()
	if !draining {
		old.drainingSince = time.Now()
	}
	e.mu.Unlock()
	if draining {
		return
	}
	if err := e.addReplica(old.service, old.domain); err != nil {
		e.check.recordBroken("start", "no replacement for an upstream: %v", err)
		return
	}
	e.store.PutEntry(old.ID, old.entry("draining"))
	e.mu.Lock()
	old.drainingSince = time.Now()
	e.mu.Unlock()
	time.AfterFunc(drainTime, func() {
		e.store.RemoveEntry(old.ID)
		old.Close()
	})
}

// injectFaults starts faults until ctx ends and waits until all have ended. It returns how often each was injected.
func (e *environment) injectFaults(ctx context.Context) (injected map[string]int) {
	injected = make(map[string]int)
	var running sync.WaitGroup
	defer running.Wait()
	for {
		gap := time.Duration(e.random.ExpFloat64() * float64(meanGap))
		select {
		case <-time.After(gap):
		case <-ctx.Done():
			return injected
		}
		f := pick(e.random, faults)
		faultRandom := rand.New(rand.NewPCG(e.random.Uint64(), e.random.Uint64()))
		length := minFault + time.Duration(e.random.Int64N(int64(maxFault-minFault)))
		injected[f.name]++
		running.Go(func() { f.inject(e, faultRandom, func() { time.Sleep(length) }) })
	}
}

// String returns the counts of a run and its broken promises.
func (r result) String() string {
	text := fmt.Sprintf("seed %d: %d requests, %d served, %d faults %v", r.seed, r.sent, r.served, r.faults(), r.injected)
	for _, b := range r.broken {
		text += "\n  BROKEN " + b
	}
	if len(r.broken) > 0 {
		text += "\n  logs: " + r.logs
	}
	return text
}
