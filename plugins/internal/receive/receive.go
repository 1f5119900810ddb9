// Package receive reads the bodies of requests with the memory that the intake of the VM admits. All front ends use it.
package receive

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/gin-gonic/gin"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
)

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// ConnContext is the hook of an http.Server for connections of kinds.Intake.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if found := callerConn(c); found != nil {
		return context.WithValue(ctx, connKey{}, found)
	}
	return ctx
}

// ConnState is the hook of an http.Server for connections of kinds.Intake.
func ConnState(c net.Conn, state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	if found := callerConn(c); found != nil {
		found.Wait()
	}
}

// callerConn returns the connection that the intake admitted, which other connections such as that of TLS may wrap, or nil.
func callerConn(c net.Conn) kinds.CallerConn {
	for {
		if found, ok := c.(kinds.CallerConn); ok {
			return found
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
}

// unlimited stands for a connection that no intake admitted, as in tests of handlers.
type unlimited struct{ kinds.CallerConn }

func (unlimited) BeginRequest(int64) *core.Error { return nil }
func (unlimited) Grow(int64) *core.Error         { return nil }
func (unlimited) Received(int)                   {}
func (unlimited) Serve() *core.Error             { return nil }
func (unlimited) Evicted() *core.Error           { return nil }
func (unlimited) Answer(int64)                   {}
func (unlimited) Refuse()                        {}
func (unlimited) EndRequest()                    {}

// Conn returns the connection of a request.
func Conn(c *gin.Context) kinds.CallerConn {
	if found, ok := c.Request.Context().Value(connKey{}).(kinds.CallerConn); ok {
		return found
	}
	return unlimited{}
}

// Admit returns the middleware that admits requests, and gives back their memory after their answers. refuse answers a request that has
// no room.
func Admit(refuse func(*gin.Context, *core.Error)) gin.HandlerFunc {
	return func(c *gin.Context) {
		conn := Conn(c)
		defer conn.EndRequest()
		err := conn.BeginRequest(headBytes(c.Request))
		if err == nil && c.Request.ContentLength == 0 {
			err = conn.Serve()
		}
		if err != nil {
			Refuse(c)
			refuse(c, err)
			c.Abort()
			return
		}
		c.Next()
	}
}

// Refuse prepares the refusal of a request whose body may not have been read.
func Refuse(c *gin.Context) {
	Conn(c).Refuse()
	c.Header("Connection", "close")
}

// Body reads the body of an admitted request, of at most limit bytes. After an error, the answer closes the connection. The error is a
// *core.Error with CodeOverloaded, CodeBodyTooLarge or CodeBadRequest.
func Body(c *gin.Context, limit int64) ([]byte, *core.Error) {
	if c.Request.ContentLength == 0 {
		return nil, nil
	}
	conn := Conn(c)
	body, err := read(conn, c.Request, limit)
	if err == nil {
		err = conn.Serve()
	}
	if err != nil {
		if evicted := conn.Evicted(); evicted != nil {
			// The read failed because the VM ended it.
			err = evicted
		}
		Refuse(c)
		return nil, err
	}
	return body, nil
}

func read(conn kinds.CallerConn, r *http.Request, limit int64) ([]byte, *core.Error) {
	b := buffer{conn: conn, limit: limit}
	if r.ContentLength > 0 {
		if r.ContentLength > limit {
			return nil, b.tooLarge()
		}
		if err := conn.Grow(r.ContentLength); err != nil {
			return nil, err
		}
		b.admitted = r.ContentLength
	}
	return b.readAll(r.Body)
}

// fieldBytes is the memory of a decoded header field beside its text.
const fieldBytes = 96

// headBytes returns the memory of the decoded headers of a request.
func headBytes(r *http.Request) int64 {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			n += fieldBytes + len(name) + len(value)
		}
	}
	return int64(n)
}

const (
	firstBufferBytes = 4 << 10
	// announcedGrowth is the growth of the buffer of a body whose length is admitted. It follows what arrives, because callers may
	// announce more than they send, and leaves little garbage.
	announcedGrowth = 4
	// unannouncedGrowth is the growth of the buffer of another body.
	unannouncedGrowth = 2
)

// buffer holds a body while it is read.
type buffer struct {
	conn  kinds.CallerConn
	limit int64
	// admitted is the announced length, or the size of the buffer if none was announced.
	admitted int64
	data     []byte
}

func (b *buffer) tooLarge() *core.Error {
	return core.Errorf(core.CodeBodyTooLarge, "the body is larger than %d bytes", b.limit)
}

func (b *buffer) readAll(body io.Reader) ([]byte, *core.Error) {
	announced := b.admitted > 0
	for {
		if len(b.data) == cap(b.data) {
			if err := b.grow(announced); err != nil {
				return nil, err
			}
		}
		n, err := body.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		b.conn.Received(n)
		switch {
		case int64(len(b.data)) > b.limit:
			return nil, b.tooLarge()
		case err == io.EOF:
			return b.data, nil
		case err != nil:
			return nil, core.Errorf(core.CodeBadRequest, "the body could not be read: %v", err)
		}
	}
}

// grow enlarges the buffer, to one byte more than the longest body at most, so that the last read finds the end.
func (b *buffer) grow(announced bool) *core.Error {
	size := min(max(firstBufferBytes, unannouncedGrowth*int64(cap(b.data))), b.limit+1)
	if announced {
		size = min(max(firstBufferBytes, announcedGrowth*int64(cap(b.data))), b.admitted+1)
	} else {
		if err := b.conn.Grow(size - b.admitted); err != nil {
			return err
		}
		b.admitted = size
	}
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.data = data
	return nil
}
