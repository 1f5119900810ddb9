package http1

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"gooseberrylane.example/core"
)

// pool holds the connections to one upstream.
type pool struct {
	client *client
	key    poolKey

	mu sync.Mutex
	// idle holds the connections without a request, the one used last at the end; all counts the others too.
	idle []*conn
	all  int
	// waiting are requests that may use the next connection that becomes free, the first one first.
	waiting []chan struct{}
	// distrusted is the time of the last sign that open connections went silent. Connections opened before are not used.
	distrusted time.Time
}

// freshFor is how long after its last answer a connection is trusted with a request that must not be lost: an upstream
// closes idle connections, and a request that crosses such a close has an unknown outcome.
const freshFor = 500 * time.Millisecond

// take returns an idle connection that looks sound, or opens one. While as many connections are in use as most, 0 for any
// number, it waits for one of them, but no longer than the settings allow: those in use may be silent for good. once tells
// that the request must not get lost on a stale connection.
func (p *pool) take(ctx context.Context, once bool, most int) (*conn, error) {
	patience := time.NewTimer(time.Duration(p.client.settings.ConnectionWaitMS) * time.Millisecond)
	defer patience.Stop()
	for {
		cn, turn := p.next(most)
		switch {
		case turn != nil:
			select {
			case <-turn:
			case <-patience.C:
				p.leave(turn)
				most = 0
			case <-ctx.Done():
				p.leave(turn)
				return nil, context.Cause(ctx)
			}
		case cn == nil:
			return p.open(ctx)
		case time.Since(cn.used) < cn.maxIdle && (!once || time.Since(cn.used) < freshFor) && cn.quiet():
			return cn, nil
		default:
			p.drop(cn)
		}
	}
}

// next returns an idle connection, a turn to wait for, or neither when a connection may be opened, which is counted then.
func (p *pool) next(most int) (*conn, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := len(p.idle) - 1; last >= 0 {
		cn := p.idle[last]
		p.idle = p.idle[:last]
		return cn, nil
	}
	if most == 0 || p.all < most {
		p.all++
		return nil, nil
	}
	turn := make(chan struct{})
	p.waiting = append(p.waiting, turn)
	return nil, turn
}

// leave ends the wait for a turn. One that came meanwhile goes to the next request.
func (p *pool) leave(turn chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.waiting, turn); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
		return
	}
	p.wake()
}

// wake gives the first waiting request its turn. The caller holds the lock.
func (p *pool) wake() {
	if len(p.waiting) > 0 {
		close(p.waiting[0])
		p.waiting = slices.Delete(p.waiting, 0, 1)
	}
}

// drop closes a connection that is in use.
func (p *pool) drop(cn *conn) {
	cn.close()
	p.forget()
}

// forget counts a connection that is in use no longer.
func (p *pool) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all--
	p.wake()
}

func (p *pool) open(ctx context.Context) (*conn, error) {
	dialer := net.Dialer{Timeout: time.Duration(p.client.settings.DialTimeoutMS) * time.Millisecond, KeepAlive: -1}
	opened := time.Now()
	nc, err := dialer.DialContext(ctx, "tcp", p.key.address)
	if err != nil {
		p.forget()
		return nil, err
	}
	p.client.opened.Add(1)
	return newConn(p.client, nc, opened), nil
}

func (p *pool) put(cn *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cn.opened.Before(p.distrusted) {
		cn.close()
		p.all--
	} else {
		p.idle = append(p.idle, cn)
	}
	p.wake()
}

// distrust drops the idle connections that are as old as one that stayed silent: something between the two ends may have
// lost track of all of them.
func (p *pool) distrust(cn *conn, reply *core.Reply) {
	if reply.Outcome != core.OutcomeUnknown {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.distrusted = cn.lastSent
	kept := p.idle[:0]
	for _, other := range p.idle {
		if other.opened.Before(p.distrusted) {
			other.close()
			p.all--
		} else {
			kept = append(kept, other)
		}
	}
	p.idle = kept
}

// expire closes connections that were idle for too long, or all, and reports whether none is left.
func (p *pool) expire(now time.Time, all bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, cn := range p.idle {
		if all || now.Sub(cn.used) >= cn.maxIdle {
			cn.close()
			p.all--
		} else {
			kept = append(kept, cn)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	return p.all == 0
}
