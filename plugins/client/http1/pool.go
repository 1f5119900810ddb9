package http1

import (
	"context"
	"net"
	"sync"
	"time"

	"gooseberrylane.example/core"
)

// pool holds the idle connections to one upstream, the one used last at the end.
type pool struct {
	client *client
	key    poolKey

	mu   sync.Mutex
	idle []*conn
	// distrusted is the time of the last sign that open connections went silent. Connections opened before are not used.
	distrusted time.Time
}

// freshFor is how long after its last answer a connection is trusted with a request that must not be lost: an upstream
// closes idle connections, and a request that crosses such a close has an unknown outcome.
const freshFor = 500 * time.Millisecond

// take returns an idle connection that looks sound, or opens one. once tells that the request must not get lost on a stale
// connection.
func (p *pool) take(ctx context.Context, once bool) (*conn, error) {
	for {
		cn := p.pop()
		if cn == nil {
			return p.open(ctx)
		}
		if time.Since(cn.used) < cn.maxIdle && (!once || time.Since(cn.used) < freshFor) && cn.quiet() {
			return cn, nil
		}
		cn.close()
	}
}

func (p *pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	cn := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return cn
}

func (p *pool) open(ctx context.Context) (*conn, error) {
	dialer := net.Dialer{Timeout: time.Duration(p.client.settings.DialTimeoutMS) * time.Millisecond, KeepAlive: -1}
	opened := time.Now()
	nc, err := dialer.DialContext(ctx, "tcp", p.key.address)
	if err != nil {
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
		return
	}
	p.idle = append(p.idle, cn)
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
		} else {
			kept = append(kept, cn)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	return len(kept) == 0
}
