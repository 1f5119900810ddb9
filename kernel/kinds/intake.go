package kinds

import (
	"net"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
)

// IntakeKind plug-ins admit what callers send to the VM and provide Intake.
const IntakeKind kernel.Kind = "intake"

// Intake bounds the memory and the connections that the callers of all front ends of the VM hold together.
type Intake interface {
	// Listen returns a listener whose connections implement CallerConn. At the limit on connections, it closes one that is of
	// least use before it returns a new one, or refuses the new one.
	Listen(net.Listener) net.Listener
	// Acquire admits n bytes of a request that came from another VM. release gives them back.
	Acquire(n int64) (release func(), ok bool)
	// EndUnreadAnswers closes connections whose callers do not read their answers, until these have n bytes together. It reports
	// whether there were any.
	EndUnreadAnswers(n int64) bool
	// Fit makes sure that a request with a body and with headers of the given numbers of bytes fits while callers send nothing else.
	Fit(body, head int64)
}

// CallerConn is a connection of a caller. Its methods are called by the handler of the request on the connection.
type CallerConn interface {
	net.Conn
	// BeginRequest admits a request whose headers take n bytes of memory, and from then on a body. The error is a *core.Error with
	// CodeOverloaded.
	BeginRequest(n int64) *core.Error
	// Grow admits n more bytes of the body. The error is that of BeginRequest.
	Grow(n int64) *core.Error
	// Received records that n bytes of the body have been received.
	Received(n int)
	// Serve reports that the request is complete. The error, which is that of BeginRequest, means that the connection is being
	// closed to make room, so that the request must not be passed on.
	Serve() *core.Error
	// Evicted returns that error if the connection is being closed to make room.
	Evicted() *core.Error
	// Answer reports that an answer of n bytes is being written.
	Answer(n int64)
	// Refuse reports that the request is refused. If its body has not been read, the connection is read for a short time only, so
	// that a caller that still sends can read the answer.
	Refuse()
	// EndRequest gives back the memory of the request.
	EndRequest()
	// Wait reports that the connection waits for the next request.
	Wait()
}
