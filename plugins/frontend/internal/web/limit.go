package web

import (
	"net"
	"sync/atomic"
)

// limitListener bounds the open connections; further ones wait in the backlog of the operating system.
type limitListener struct {
	net.Listener
	tokens chan struct{}
	closed chan struct{}
	once   atomic.Bool
}

func newLimitListener(l net.Listener, limit int) *limitListener {
	return &limitListener{Listener: l, tokens: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.tokens <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.tokens
		return nil, err
	}
	return &limitedConn{Conn: c, release: func() { <-l.tokens }}, nil
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

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	if c.once.CompareAndSwap(false, true) {
		defer c.release()
	}
	return c.Conn.Close()
}
