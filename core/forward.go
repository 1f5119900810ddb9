package core

import "time"

// HeaderField is one header of a request or an answer.
type HeaderField struct{ Name, Value string }

// ForwardRequest is a request as the caller sent it. It is immutable once read.
type ForwardRequest struct {
	// ID is the caller's ID of the request.
	ID     RequestID
	Method string
	Host   string
	// Target is the path with the query, as in the request line; Path is the decoded path without the query.
	Target, Path string
	// Header holds the headers to forward.
	Header []HeaderField
	Body   []byte
	// HasBody distinguishes an empty body from none.
	HasBody bool
	// Arrived is the time at which the request was read.
	Arrived time.Time
	// Timeout is the caller's timeout, counted from Arrived; 0 when the caller sent none.
	Timeout time.Duration
}

// Reply is the answer of an upstream, or the known outcome when there is no answer.
type Reply struct {
	Outcome Outcome
	// Code is CodeOK for a complete success.
	Code Code
	// Status is the HTTP status of the answer, 0 when there is none.
	Status int
	Header []HeaderField
	Body   []byte
	// Responded is true if the upstream responded in any way: with an answer, with bytes that are no answer, or by refusing or
	// ending the connection. It is false after silence.
	Responded bool
	// Identified is true if the answer names the request. A second copy of another one cannot be told from an answer.
	Identified bool
	// Signature is the upstream's signature of the answer; empty when there is none.
	Signature string
	// Pause is how long the upstream, which refused the request, wants no requests of this VM; 0 when it does not say.
	Pause time.Duration
	// Leaving is true when the upstream announces that this incarnation of it is leaving.
	Leaving bool
	// Anomaly says which header of the answer was invalid and ignored; empty when none was.
	Anomaly string
	// Detail describes a failure.
	Detail string
}

// HasAnswer reports whether the upstream sent a complete answer, whether success or failure.
func (r *Reply) HasAnswer() bool { return r.Status != 0 && r.Outcome == OutcomeRan }
