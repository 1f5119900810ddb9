package http

import (
	"context"
	"time"

	"gooseberrylane.example/core"
)

const (
	// openedTogether is the time difference within which connections count as opened at the same time. A fault that
	// breaks one of them, such as the restart of a stateful network device, usually breaks all.
	openedTogether = time.Second
	// idleBeforeProbe is the idle time after which a connection is probed.
	idleBeforeProbe = time.Second
)

// popUsable returns a free connection that may carry a request, or nil. Suspect connections are probed in the
// background.
func (p *pool) popUsable() *conn {
	for {
		c := p.free.pop()
		if c == nil || !c.suspect.Load() {
			return c
		}
		go p.verify(c)
	}
}

// suspectSiblings marks the connections that were opened together with a silent one as suspect, except those that
// received an answer within the grace period. It probes the free ones at once. Those in use are probed before
// their next request; the keepalive check of their current request detects silence.
func (p *pool) suspectSiblings(silent *conn) {
	opened := silent.opened.Load()
	p.all.Range(func(key, _ any) bool {
		c := key.(*conn)
		distance := time.Duration(c.opened.Load() - opened)
		if c != silent && c.used.Load() < time.Now().Add(-p.grace()).UnixNano() && distance.Abs() <= openedTogether {
			c.suspect.Store(true)
		}
		return true
	})
	p.probeFree(func(c *conn) bool { return c.suspect.Load() })
}

// probeFree removes the free connections that match a condition from the stack and probes each of them.
func (p *pool) probeFree(matches func(*conn) bool) {
	var keep []*conn
	for c := p.free.pop(); c != nil; c = p.free.pop() {
		if matches(c) {
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

// verify probes one connection that was removed from the stack, and releases or discards it.
func (p *pool) verify(c *conn) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(p.settings.ProbeTimeoutMS)*time.Millisecond)
	defer cancel()
	if _, err := c.health(ctx); err == nil {
		c.suspect.Store(false)
	}
	p.release(c)
}

// Probe implements kinds.Pool. It also probes connections that have been idle for idleBeforeProbe.
func (p *pool) Probe(ctx context.Context) (core.AttemptResult, error) {
	limit := time.Now().Add(-idleBeforeProbe).UnixNano()
	p.probeFree(func(c *conn) bool { return c.used.Load() < limit })
	c, err := p.acquire(ctx)
	if err != nil {
		return core.AttemptResult{}, err
	}
	defer p.release(c)
	return c.health(ctx)
}
