package listen

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// limitListener bounds the open connections. At the bound, a new connection evicts the one that has been idle for the
// longest time; without an idle one, new connections wait in the backlog of the operating system.
type limitListener struct {
	net.Listener
	tokens chan struct{}
	closed chan struct{}
	once   atomic.Bool
	idle   idleList
}

func newLimitListener(l net.Listener, limit int) *limitListener {
	return &limitListener{Listener: l, tokens: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept implements net.Listener. The connection is accepted before it has a token, so that idle ones are evicted only
// when a new one waits.
func (l *limitListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	select {
	case l.tokens <- struct{}{}:
		return l.limited(c), nil
	default:
	}
	l.idle.startWaiting()
	defer l.idle.stopWaiting()
	select {
	case l.tokens <- struct{}{}:
		return l.limited(c), nil
	case <-l.closed:
		_ = c.Close()
		return nil, net.ErrClosed
	}
}

// limited returns a connection that returns its token when it is closed.
func (l *limitListener) limited(c net.Conn) net.Conn {
	return &limitedConn{Conn: c, release: func() { <-l.tokens }}
}

// Close implements net.Listener.
func (l *limitListener) Close() error {
	if l.once.CompareAndSwap(false, true) {
		close(l.closed)
	}
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	once    atomic.Bool
	release func()
}

// NetConn returns the connection of the listener below.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	if c.once.CompareAndSwap(false, true) {
		defer c.release()
	}
	return c.Conn.Close()
}

// idleList holds the connections that wait for their next request, the longest idle one first.
type idleList struct {
	mu    sync.Mutex
	order []net.Conn
	// waiting is true while a new connection waits for a token and no connection was evicted for it.
	waiting bool
}

// track is the ConnState hook of a server.
func (l *idleList) track(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateIdle:
		l.mu.Lock()
		l.order = append(l.order, c)
		l.mu.Unlock()
		l.evictIdle()
	case http.StateActive, http.StateClosed, http.StateHijacked:
		l.remove(c)
	}
}

func (l *idleList) remove(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.order {
		if l.order[i] == c {
			l.order = append(l.order[:i], l.order[i+1:]...)
			return
		}
	}
}

func (l *idleList) startWaiting() {
	l.mu.Lock()
	l.waiting = true
	l.mu.Unlock()
	l.evictIdle()
}

func (l *idleList) stopWaiting() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = false
}

// evictIdle closes the connection that has been idle for the longest time if a new one waits. TCP is closed directly, because
// the closing message of TLS could block on a client that does not read.
func (l *idleList) evictIdle() {
	l.mu.Lock()
	var oldest net.Conn
	if l.waiting && len(l.order) > 0 {
		oldest, l.order, l.waiting = l.order[0], l.order[1:], false
	}
	l.mu.Unlock()
	if oldest == nil {
		return
	}
	if secured, ok := oldest.(*tls.Conn); ok {
		oldest = secured.NetConn()
	}
	_ = oldest.Close()
}
