package core

import "time"

// HeaderField is one header of a request or an answer.
type HeaderField struct{ Name, Value string }

// ForwardRequest is a request as a caller sent it. It is not changed after it was read.
type ForwardRequest struct {
	// ID is the caller's ID of this attempt.
	ID     RequestID
	Method string
	Host   string
	// Target is the path with the query, as on the request line; Path is the decoded path without the query.
	Target, Path string
	// Header holds the headers that are passed on.
	Header []HeaderField
	Body   []byte
	// HasBody tells an empty body from none.
	HasBody bool
	// Arrived is when the request was read.
	Arrived time.Time
	// Patience is how long the caller waits from Arrived on; 0 means that it did not say.
	Patience time.Duration
}

// Reply is what an upstream answered, or what is known when it did not.
type Reply struct {
	Outcome Outcome
	// Code is CodeOK for a complete success.
	Code Code
	// Status is the status of the answer, 0 when there is none.
	Status int
	Header []HeaderField
	Body   []byte
	// Proof is the upstream's signature of the answer; empty when there is none.
	Proof string
	// RetryAfter is how long the upstream asks to wait, 0 when it does not say.
	RetryAfter time.Duration
	// Detail describes a failure.
	Detail string
}

// HasAnswer reports whether the upstream answered completely, with a success or a failure of its own.
func (r *Reply) HasAnswer() bool { return r.Status != 0 && r.Outcome == OutcomeRan }
