package faultproxy

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// pair is one forwarded connection: the client's connection and the one to the target.
type pair struct {
	proxy          *Proxy
	client, target net.Conn
	stalled        atomic.Bool
	once           sync.Once
	// ended is closed together with both connections.
	ended chan struct{}
}

// chunk is a piece of a stream with the time at which it may be sent.
type chunk struct {
	data []byte
	due  time.Time
	// end marks the end of the stream.
	end bool
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// Without lingering, closing sends a reset. A closed connection needs none.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (c *pair) close() {
	c.once.Do(func() {
		close(c.ended)
		_ = c.client.Close()
		_ = c.target.Close()
	})
}

func (c *pair) reset() {
	c.once.Do(func() {
		close(c.ended)
		resetConn(c.client)
		resetConn(c.target)
	})
}

// pump forwards one direction until the stream or the pair ends.
func (c *pair) pump(from, to net.Conn, up bool) {
	queue := make(chan chunk, queueChunks)
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write(to, queue)
	}()
	c.read(from, queue, up)
	close(queue)
	<-written
}

// read queues the received bytes. It keeps reading while bytes are dropped, so that the sender sees no back-pressure.
func (c *pair) read(from net.Conn, queue chan<- chunk, up bool) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		rule := c.proxy.ruleFor(c.client)
		if rule.Reset {
			c.reset()
			return
		}
		if n > 0 && !c.drops(rule, up) {
			c.count(up, n)
			data := append([]byte(nil), buffer[:n]...)
			if !c.enqueue(queue, chunk{data: data, due: time.Now().Add(rule.Delay)}) {
				return
			}
		}
		if err != nil {
			c.endStream(err, rule, queue, up)
			return
		}
	}
}

// endStream forwards the end of a stream unless the direction is dropped.
func (c *pair) endStream(err error, rule Rule, queue chan<- chunk, up bool) {
	if c.drops(rule, up) {
		return
	}
	if err != io.EOF {
		c.reset()
		return
	}
	c.enqueue(queue, chunk{due: time.Now().Add(rule.Delay), end: true})
}

func (c *pair) enqueue(queue chan<- chunk, k chunk) bool {
	select {
	case queue <- k:
		return true
	case <-c.ended:
		return false
	}
}

func (c *pair) drops(rule Rule, up bool) bool {
	return c.stalled.Load() || (up && rule.DropUp) || (!up && rule.DropDown)
}

func (c *pair) count(up bool, n int) {
	if up {
		c.proxy.bytesUp.Add(uint64(n))
		return
	}
	c.proxy.bytesDown.Add(uint64(n))
}

func (c *pair) write(to net.Conn, queue <-chan chunk) {
	for k := range queue {
		if !c.waitUntil(k.due) {
			return
		}
		if c.stalled.Load() {
			continue
		}
		if k.end {
			closeWrite(to)
			return
		}
		if _, err := to.Write(k.data); err != nil {
			c.reset()
			return
		}
	}
}

func (c *pair) waitUntil(due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.ended:
		return false
	}
}

func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// The other endpoint may have closed already.
		_ = tcp.CloseWrite()
	}
}
