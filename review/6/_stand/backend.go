package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that reached a backend at arrived and on which it began to work at started.
type run struct {
	backend, service, attempt string
	arrived, started          time.Time
}

// journal collects what the backends ran.
type journal struct {
	mu   sync.Mutex
	runs []run
}

func (j *journal) add(r run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs = append(j.runs, r)
}

func (j *journal) all() []run {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]run(nil), j.runs...)
}

// backend is a stand-in for one backend. It runs slots requests at a time and queues some more.
type backend struct {
	id, service, zone string
	slots             int
	work              time.Duration
	journal           *journal
	address           string
	server            *http.Server
	tokens            chan struct{}
	// failures is how many of 100 requests run and fail.
	failures atomic.Int64
	// waiting is the number of requests in the queue. While it is maxWaiting or more, a backend with limited set accepts no further
	// connections: they are reset.
	waiting atomic.Int64
	limited bool
	stopped chan struct{}
	refused atomic.Int64
}

// maxWaiting is the length of a queue that is long.
const maxWaiting = 2

const queuedRequests = 24

func (b *backend) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b.address = listener.Addr().String()
	b.tokens = make(chan struct{}, b.slots+queuedRequests)
	slots := make(chan struct{}, b.slots)
	b.stopped = make(chan struct{})
	b.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { b.serve(w, r, slots) })}
	go func() { _ = b.server.Serve(listener) }()
	if b.limited {
		go b.limitConnections(listener)
	}
	return nil
}

// limitConnections closes the listener while the queue is long, so that further connections are reset.
func (b *backend) limitConnections(listener net.Listener) {
	const period = 2 * time.Millisecond
	for open := true; ; time.Sleep(period) {
		select {
		case <-b.stopped:
			return
		default:
		}
		switch long := b.waiting.Load() >= maxWaiting; {
		case open && long:
			_ = listener.Close()
			open = false
			b.refused.Add(1)
		case !open && !long:
			next, err := net.Listen("tcp", b.address)
			if err != nil {
				continue
			}
			listener, open = next, true
			go func() { _ = b.server.Serve(next) }()
		}
	}
}

// stop ends the backend as a process that exits: all its connections are closed.
func (b *backend) stop() {
	select {
	case <-b.stopped:
	default:
		close(b.stopped)
	}
	_ = b.server.Close()
}

// entry is what the backend writes to the store about itself.
func (b *backend) entry(state string, seq int, born int64) map[string]any {
	return map[string]any{
		"service": b.service, "addr": b.address, "zone": b.zone, "version": "v1", "max_concurrency": b.slots, "state": state,
		words.Fields.WarmupLeft: 0, "seq": seq, "born": born,
	}
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request, slots chan struct{}) {
	h := w.Header()
	if r.URL.Path == "/healthz" {
		h.Set(words.Headers.InstanceID, b.id)
		return
	}
	id := r.Header.Get(words.Headers.AttemptID)
	h.Set(words.Headers.AttemptID, id)
	if target := r.Header.Get(words.Headers.TargetInstance); target != "" && target != b.id {
		h.Set(words.Headers.InstanceID, b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	arrived := time.Now()
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case b.tokens <- struct{}{}:
		defer func() { <-b.tokens }()
	default:
		h.Set(words.Headers.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.waiting.Add(1)
	select {
	case slots <- struct{}{}:
		b.waiting.Add(-1)
		defer func() { <-slots }()
	case <-r.Context().Done():
		b.waiting.Add(-1)
		return
	}
	b.journal.add(run{backend: b.id, service: b.service, attempt: id, arrived: arrived, started: time.Now()})
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		return
	}
	h.Set(words.Headers.Signature, b.id+"."+id)
	h.Set("Keep-Alive", "timeout=5")
	if rand.Int64N(100) < b.failures.Load() {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	fmt.Fprintf(w, "%-16.16s", b.id)
}
