package account

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"gooseberrylane.example/coord/intake"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
)

const (
	// freeHeadBytes is the size up to which headers that are being received do not count. Most headers are smaller.
	freeHeadBytes = 2 << 10
	// headFactor is the memory that a byte of headers takes at most: the shortest fields have some bytes, and a decoded field takes
	// about a hundred.
	headFactor = 16
	// headSlopBytes is what net/http reads of headers beyond their limit.
	headSlopBytes = 4 << 10
	// refusalTime is how long a caller has to stop sending and to read a refusal.
	refusalTime = 500 * time.Millisecond
	// placeTime is how long an accepted connection waits for a place. Callers wait a second for their request to be read.
	placeTime = 700 * time.Millisecond
	// placeRetryTime is the time after which a connection that waits looks for one that has stalled in the meantime.
	placeRetryTime = 50 * time.Millisecond
	// answerPartBytes is the part of an answer whose delivery counts as progress.
	answerPartBytes = 64 << 10
	// evictionTime is how long an accepted connection waits until the one that was closed for it is gone.
	evictionTime = 250 * time.Millisecond
)

// listener admits connections.
type listener struct {
	net.Listener
	account *account
	closed  chan struct{}
	once    sync.Once
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(accepted); c != nil {
			return c, nil
		}
	}
}

// admit returns the connection as a CallerConn. If no place gets free in time, it closes the connection and returns nil. The caller then
// knows that its request was not read.
func (l *listener) admit(accepted net.Conn) net.Conn {
	a := l.account
	c := &conn{Conn: accepted, account: a, closed: make(chan struct{})}
	if c.open() {
		return c
	}
	patience := time.NewTimer(placeTime)
	defer patience.Stop()
	for {
		select {
		case <-a.places:
		case <-time.After(placeRetryTime):
		case <-patience.C:
			a.refusedConnections.Add(1)
			a.Log.Info("caller_connection_refused", "caller", accepted.RemoteAddr().String(), "reason", "all connections are in use")
			_ = accepted.Close()
			return nil
		case <-l.closed:
			_ = accepted.Close()
			return nil
		}
		if c.open() {
			return c
		}
	}
}

// open takes a place in the account, if necessary that of a connection that it closes first.
func (c *conn) open() bool {
	holder, victim, ok := c.account.decision.Open(c.account.Clock.Now(), c)
	if !ok {
		return false
	}
	c.holder = holder
	if victim != nil {
		c.account.logEviction(victim)
		// The caller gets no answer, because the place is needed at once.
		_ = victim.Owner.Conn.Close()
		select {
		case <-victim.Owner.closed:
		case <-time.After(evictionTime):
		}
		// The caller could not send yet.
		c.Wait()
	}
	return true
}

// conn implements kinds.CallerConn.
type conn struct {
	net.Conn
	account *account
	holder  *intake.Holder[*conn]
	// headBytes counts the bytes of the headers that are being received. While a handler runs, net/http reads one byte ahead.
	headBytes atomic.Int64
	// requestHead is the memory of the headers of the request.
	requestHead int64
	// receiving is true while a handler reads a body, and so answers if the connection is evicted.
	receiving atomic.Bool
	once      sync.Once
	closed    chan struct{}
}

var _ kinds.CallerConn = (*conn)(nil)

var endOfHead = []byte("\r\n\r\n")

var errNoRoom = errors.New("no room for the headers of the request")

// Read implements net.Conn. Headers count while they are received.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.holder.Phase() != intake.Waiting {
		return n, err
	}
	received := c.headBytes.Load()
	if received == 0 {
		// A connection that was idle is not stalled when it begins to send.
		c.holder.Touch(c.account.Clock.Now())
	}
	head := n
	if received+int64(n) > freeHeadBytes {
		// What follows the headers belongs to a body.
		if end := bytes.Index(p[:n], endOfHead); end >= 0 {
			head = end + len(endOfHead)
		}
	}
	if c.headBytes.Add(int64(head)) > freeHeadBytes && !c.growHead(int64(head)*headFactor) {
		// The server closes the connection without an answer: it has not read the request.
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errNoRoom}
	}
	return n, err
}

// Write implements net.Conn. An answer is written in parts, so that a caller who reads slowly makes progress.
func (c *conn) Write(p []byte) (int, error) {
	if c.holder.Phase() != intake.Answering {
		return c.Conn.Write(p)
	}
	written := 0
	for {
		n, err := c.Conn.Write(p[written:min(written+answerPartBytes, len(p))])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
		c.holder.Progress(c.account.Clock.Now(), n)
	}
}

// CloseWrite lets a server close one direction first, so that the caller can read an answer before the connection is reset.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.holder.Close()
		close(c.closed)
		select {
		case c.account.places <- struct{}{}:
		default:
		}
	})
	return err
}

// endRequest ends the request on an evicted connection. A handler that reads a body answers it; otherwise the caller gets no answer.
func (c *conn) endRequest() {
	if c.receiving.Load() {
		// A failed deadline means that the connection is closed.
		_ = c.SetReadDeadline(time.Unix(1, 0))
		return
	}
	_ = c.Conn.Close()
}

// grow admits n more bytes and ends the requests that were chosen to make room.
func (c *conn) grow(n int64) bool {
	if c.holder.TryGrow(n) {
		return true
	}
	victims, ok := c.holder.Grow(c.account.Clock.Now(), n)
	return c.account.grown(victims, ok)
}

// growHead does the same for headers that are being received.
func (c *conn) growHead(n int64) bool {
	victims, ok := c.holder.GrowHead(c.account.Clock.Now(), n)
	return c.account.grown(victims, ok)
}

func errOverloaded() *core.Error {
	return core.Errorf(core.CodeOverloaded, "the VM has no room for the request; nothing ran")
}

// BeginRequest implements kinds.CallerConn.
func (c *conn) BeginRequest(n int64) *core.Error {
	c.holder.Release()
	c.headBytes.Store(0)
	c.requestHead = n
	c.receiving.Store(true)
	if !c.holder.Advance(intake.Receiving) || !c.grow(n) {
		return errOverloaded()
	}
	return nil
}

// Grow implements kinds.CallerConn.
func (c *conn) Grow(n int64) *core.Error {
	if !c.grow(n) {
		return errOverloaded()
	}
	return nil
}

// Received implements kinds.CallerConn.
func (c *conn) Received(n int) { c.holder.Progress(c.account.Clock.Now(), n) }

// Serve implements kinds.CallerConn.
func (c *conn) Serve() *core.Error {
	if !c.holder.Advance(intake.Serving) {
		return errOverloaded()
	}
	c.receiving.Store(false)
	return nil
}

// Evicted implements kinds.CallerConn.
func (c *conn) Evicted() *core.Error {
	if c.holder.Phase() != intake.Evicted {
		return nil
	}
	return errOverloaded()
}

// Answer implements kinds.CallerConn.
func (c *conn) Answer(n int64) { c.holder.EnterAnswering(c.account.Clock.Now(), n) }

// Refuse implements kinds.CallerConn.
func (c *conn) Refuse() {
	c.holder.Release()
	if !c.receiving.Swap(false) {
		return
	}
	c.holder.Enter(c.account.Clock.Now(), intake.Ending)
	deadline := time.Now().Add(refusalTime)
	if c.requestHead > intake.SmallBytes {
		// The server keeps the headers until the connection is closed.
		deadline = time.Unix(1, 0)
	}
	// A failed deadline means that the connection is closed.
	_ = c.SetReadDeadline(deadline)
}

// EndRequest implements kinds.CallerConn.
func (c *conn) EndRequest() { c.holder.Release() }

// Wait implements kinds.CallerConn.
func (c *conn) Wait() { c.holder.Enter(c.account.Clock.Now(), intake.Waiting) }
