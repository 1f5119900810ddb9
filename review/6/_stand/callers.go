package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const routeHost = "a.example"

// call is one client attempt.
type call struct {
	vm, path, attempt string
	sent, ended       time.Time
	status            int
	err               string
}

// callers send requests at a fixed rate to each VM, over connections that they keep open.
type callers struct {
	mu      sync.Mutex
	calls   map[string]*call
	counter atomic.Uint64
	stop    chan struct{}
	done    sync.WaitGroup
}

func newCallers() *callers { return &callers{calls: make(map[string]*call), stop: make(chan struct{})} }

// traffic is one kind of request at one VM.
type traffic struct {
	vm           *vm
	method, path string
	perSecond    float64
	deadline     time.Duration
}

func (c *callers) start(t traffic) {
	transport := &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}
	c.done.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / t.perSecond))
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				c.done.Go(func() { c.send(transport, t) })
			case <-c.stop:
				return
			}
		}
	})
}

func (c *callers) send(transport http.RoundTripper, t traffic) {
	one := &call{vm: t.vm.name, path: t.path, attempt: fmt.Sprintf("%s-%06d", t.vm.name, c.counter.Add(1))}
	text := "order"
	if t.method == http.MethodGet {
		text = ""
	}
	// A body that cannot be read again keeps net/http from repeating the request.
	request, err := http.NewRequest(t.method, "http://"+t.vm.front+t.path+"x", io.NopCloser(strings.NewReader(text)))
	if err != nil {
		panic(err)
	}
	request.ContentLength = int64(len(text))
	if text == "" {
		request.ContentLength = -1
	}
	request.Host = routeHost
	request.Header.Set(words.Headers.AttemptID, one.attempt)
	request.Header.Set(words.Headers.Deadline, itoa(int(t.deadline.Milliseconds())))
	one.sent = time.Now()
	c.mu.Lock()
	c.calls[one.attempt] = one
	c.mu.Unlock()
	response, err := transport.RoundTrip(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	one.ended = time.Now()
	if response != nil {
		one.status = response.StatusCode
	}
	if err != nil {
		one.err = err.Error()
	}
}

// finish stops the callers and returns all attempts.
func (c *callers) finish() map[string]*call {
	close(c.stop)
	c.done.Wait()
	return c.calls
}
