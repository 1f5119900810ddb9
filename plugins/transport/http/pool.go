package http

import (
	"context"
	"sync"
	"sync/atomic"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/tlsconf"
)

// pool holds the connections to one upstream. Free connections form a lock-free stack: the most recently used one is
// reused first, so surplus connections stay idle.
type pool struct {
	upstream core.Upstream
	settings *Settings
	files    *tlsconf.Files
	limit    int64
	// open is the number of connections that are open or reserved.
	open   atomic.Int64
	free   stack
	closed atomic.Bool
	// all is the set of all open *conn, for finding connections that were opened together.
	all sync.Map
	// available wakes one waiter when a connection is released or discarded.
	available chan struct{}
}

type node struct {
	conn *conn
	next *node
}

// stack is a lock-free stack. Each push allocates a node, so the garbage collector rules out the ABA problem.
type stack struct{ head atomic.Pointer[node] }

func (s *stack) push(c *conn) {
	n := &node{conn: c}
	for {
		n.next = s.head.Load()
		if s.head.CompareAndSwap(n.next, n) {
			return
		}
	}
}

func (s *stack) pop() *conn {
	for {
		n := s.head.Load()
		if n == nil {
			return nil
		}
		if s.head.CompareAndSwap(n, n.next) {
			return n.conn
		}
	}
}

func newPool(upstream core.Upstream, limit int, settings *Settings, files *tlsconf.Files) *pool {
	return &pool{upstream: upstream, settings: settings, files: files, limit: int64(limit), available: make(chan struct{}, 1)}
}

// acquire returns a free connection, or a new one if the limit allows, or waits for one until ctx ends.
func (p *pool) acquire(ctx context.Context) (*conn, error) {
	for {
		if c := p.popUsable(); c != nil {
			p.wakeNext()
			return c, nil
		}
		if p.reserve() {
			return p.newConn(), nil
		}
		select {
		case <-p.available:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// reserve counts one more connection unless the limit is reached.
func (p *pool) reserve() bool {
	for {
		n := p.open.Load()
		if n >= p.limit {
			return false
		}
		if p.open.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

func (p *pool) release(c *conn) {
	if p.closed.Load() || c.broken.Load() {
		p.discard(c)
		return
	}
	p.free.push(c)
	p.wake()
}

// newConn returns a connection that is opened by its first request. The caller must have reserved it.
func (p *pool) newConn() *conn {
	c := newConn(p.upstream.Address, p.settings, p.files)
	p.all.Store(c, struct{}{})
	return c
}

func (p *pool) discard(c *conn) {
	p.all.Delete(c)
	c.close()
	p.open.Add(-1)
	p.wake()
}

// wakeNext wakes another waiter if more connections are free, because one buffered wake-up may stand for several
// releases.
func (p *pool) wakeNext() {
	if p.free.head.Load() != nil {
		p.wake()
	}
}

func (p *pool) wake() {
	select {
	case p.available <- struct{}{}:
	default:
	}
}

// Warm implements kinds.Pool.
func (p *pool) Warm(ctx context.Context, n int) {
	for p.open.Load() < int64(n) && p.reserve() {
		c := p.newConn()
		if _, err := c.health(ctx); err != nil {
			p.discard(c)
			return
		}
		p.release(c)
	}
}

// CloseIdle implements kinds.Pool.
func (p *pool) CloseIdle() {
	for c := p.free.pop(); c != nil; c = p.free.pop() {
		p.discard(c)
	}
}

// Close implements kinds.Pool.
func (p *pool) Close() {
	p.closed.Store(true)
	p.CloseIdle()
}
