package http

import (
	"context"
	"time"

	"gooseberrylane.example/core"
)

const (
	// openedTogether is the distance in time within which connections count as opened at the same time: what loses
	// track of one of them, such as a restarted device on the way, has lost track of all.
	openedTogether = time.Second
	// idleBeforeProbe is how long a connection may be unused before a probe checks it.
	idleBeforeProbe = time.Second
)

// popTrusted returns a free connection that may carry a request, or nil. Suspect connections are probed in the
// background.
func (p *pool) popTrusted() *conn {
	for {
		c := p.free.pop()
		if c == nil || !c.suspect.Load() {
			return c
		}
		go p.verify(c)
	}
}

// suspectOpenedWith marks the free connections that were opened together with a silent one. Those in use have a
// request that finds out by itself; they are marked through the list of all connections.
func (p *pool) suspectOpenedWith(silent *conn) {
	opened := silent.opened.Load()
	p.all.Range(func(key, _ any) bool {
		c := key.(*conn)
		distance := time.Duration(c.opened.Load() - opened)
		if c != silent && c.used.Load() < time.Now().Add(-p.grace()).UnixNano() && distance.Abs() <= openedTogether {
			c.suspect.Store(true)
		}
		return true
	})
	p.probeIdle(func(c *conn) bool { return c.suspect.Load() })
}

// probeIdle takes the free connections that pass a test out of use and probes each of them.
func (p *pool) probeIdle(test func(*conn) bool) {
	var keep []*conn
	for c := p.free.pop(); c != nil; c = p.free.pop() {
		if test(c) {
			go p.verify(c)
		} else {
			keep = append(keep, c)
		}
	}
	for i := len(keep) - 1; i >= 0; i-- {
		p.free.push(keep[i])
	}
	p.wakeNext()
}

// verify probes one connection that is out of use, and gives it back or retires it.
func (p *pool) verify(c *conn) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(p.settings.ProbeTimeoutMS)*time.Millisecond)
	defer cancel()
	if _, err := c.health(ctx); err == nil {
		c.suspect.Store(false)
	}
	p.release(c)
}

// Probe implements kinds.Pool. It also probes connections that were not used for a while.
func (p *pool) Probe(ctx context.Context) (core.AttemptResult, error) {
	limit := time.Now().Add(-idleBeforeProbe).UnixNano()
	p.probeIdle(func(c *conn) bool { return c.used.Load() < limit })
	c, err := p.acquire(ctx)
	if err != nil {
		return core.AttemptResult{}, err
	}
	defer p.release(c)
	return c.health(ctx)
}
