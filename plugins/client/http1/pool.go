package http1

import (
	"context"
	"net"
	"sync"
	"time"

	"gooseberrylane.example/core"
)

// pool holds the idle connections to one upstream, the most recently used at the end.
type pool struct {
	client *client
	key    poolKey

	mu   sync.Mutex
	idle []*conn
	// invalidBefore is when the last request with an unknown outcome was sent. Connections opened before are not reused.
	invalidBefore time.Time
}

// maxIdleAtMostOnce is how long after its last answer a connection may carry a request that must not be sent twice: an
// upstream closes idle connections, and a request that is sent during the close has an unknown outcome.
const maxIdleAtMostOnce = 500 * time.Millisecond

// get returns a usable idle connection, or opens one. For a request that must be sent at most once, it reuses only a recently
// used connection.
//
// A connection is not used twice for requests with the same ID, such as a retry at the same upstream: a second copy of the
// first answer would pass for the answer to the later request.
func (p *pool) get(ctx context.Context, id core.RequestID, atMostOnce bool) (*conn, error) {
	for {
		cn := p.pop()
		if cn == nil {
			return p.open(ctx)
		}
		idle := p.client.Clock.Now().Sub(cn.lastUsed)
		if idle < cn.maxIdle && (!atMostOnce || idle < maxIdleAtMostOnce) && !cn.carried(id) && cn.usable() {
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

// closeOldest closes the connection that has been idle for longest, and reports whether there was one.
func (p *pool) closeOldest() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return false
	}
	p.idle[0].close()
	p.idle = append(p.idle[:0], p.idle[1:]...)
	return true
}

func (p *pool) open(ctx context.Context) (*conn, error) {
	if !p.client.reserve() {
		return nil, errNoConnection
	}
	dialer := net.Dialer{Timeout: time.Duration(p.client.settings.DialTimeoutMS) * time.Millisecond, KeepAlive: -1}
	opened := p.client.Clock.Now()
	nc, err := dialer.DialContext(ctx, "tcp", p.key.address)
	if err != nil {
		p.client.connections.Add(-1)
		return nil, err
	}
	p.client.opened.Add(1)
	return newConn(p.client, nc, opened), nil
}

func (p *pool) put(cn *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cn.opened.Before(p.invalidBefore) {
		cn.close()
		return
	}
	p.idle = append(p.idle, cn)
}

// invalidate closes the idle connections that were opened before a request with an unknown outcome was sent on cn: a device
// between VM and upstream may have dropped the state of all of them.
func (p *pool) invalidate(cn *conn, reply *core.Reply) {
	if reply.Outcome != core.OutcomeUnknown {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.invalidBefore = cn.lastSent
	kept := p.idle[:0]
	for _, other := range p.idle {
		if other.opened.Before(p.invalidBefore) {
			other.close()
		} else {
			kept = append(kept, other)
		}
	}
	p.idle = kept
}

// closeExpired closes connections that were idle for maxIdle, or all, and reports whether none is left.
func (p *pool) closeExpired(now time.Time, all bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, cn := range p.idle {
		if all || now.Sub(cn.lastUsed) >= cn.maxIdle {
			cn.close()
		} else {
			kept = append(kept, cn)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	return len(kept) == 0
}
