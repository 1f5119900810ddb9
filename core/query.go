package core

import "time"

type (
	// RequestID is the caller's name for a request; unique per service.
	RequestID string
	// CallerName names a caller for fairness and rates.
	CallerName string
)

// Query is one request of a caller.
type Query struct {
	Service    ServiceName
	RequestID  RequestID
	Caller     CallerName
	Idempotent bool
	// Shards lists the wanted shards; empty means all shards of the layout.
	Shards  []ShardName
	Payload []byte
	// Deadline is the time by which the answer must be at the caller.
	Deadline time.Time
	// Explain asks for the list of attempts in the answer.
	Explain bool
}

// AttemptID identifies one attempt of one sub-request. It is never reused: Incarnation belongs to one process start.
type AttemptID struct {
	VM          VMName      `json:"vm"`
	Incarnation Incarnation `json:"incarnation"`
	Sequence    uint64      `json:"sequence"`
}

// Leg is one attempt to get one shard's part of an answer from one upstream.
type Leg struct {
	Attempt  AttemptID
	Service  ServiceName
	Request  RequestID
	Shard    ShardName
	Upstream UpstreamID
	Version  IndexVersion
	// NotAfter is the latest time at which the upstream may begin the work.
	NotAfter   time.Time
	Idempotent bool
	Class      Class
	// Caller shares the queue of the upstream fairly with other callers.
	Caller CallerName
	// Via is the VM to send the leg to; empty for the believed owner of the upstream.
	Via     VMName
	Hedge   bool
	Payload []byte
}

// Outcome tells whether an attempt ran at the upstream.
type Outcome int

// Outcomes. OutcomeUnknown is the zero value, so a result that nobody filled in claims nothing.
const (
	OutcomeUnknown Outcome = iota
	OutcomeRan
	OutcomeNotRun
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	switch o {
	case OutcomeRan:
		return "ran"
	case OutcomeNotRun:
		return "not_run"
	default:
		return "unknown"
	}
}

// LegResult is the result of one attempt.
type LegResult struct {
	Attempt AttemptID
	Outcome Outcome
	// Code is CodeOK when Data is the shard's part of the answer.
	Code    Code
	Version IndexVersion
	// Window is the range of index versions that the upstream holds now.
	Window Window
	Data   []byte
	// Draining is set when the upstream said that it is leaving.
	Draining bool
	// Owner is the VM that the answering VM believes to own the upstream, with CodeNotOwner.
	Owner VMName
	// Took is the time from arrival at the owner VM to the result, the wait for a slot included.
	Took time.Duration
	// Stopped is set with OutcomeUnknown when the upstream confirmed that the attempt is not running any more. It stays
	// on the owner VM.
	Stopped bool
}

// Answer is what a caller gets.
type Answer struct {
	Code      Code
	Detail    string
	RequestID RequestID
	Version   IndexVersion
	Revision  Revision
	Covered   []ShardResult
	Missing   []MissingShard
	// Notes lists conditions that do not change the answer, such as CodeConfigurationStale.
	Notes    []Code
	Attempts []AttemptReport
	// RetryAfter is a hint for a refused request; 0 when there is none.
	RetryAfter time.Duration
}

// ShardResult is one shard's part of an answer.
type ShardResult struct {
	Shard ShardName
	Data  []byte
}

// MissingShard is a shard that an answer does not cover.
type MissingShard struct {
	Shard  ShardName
	Reason Code
}

// AttemptReport describes one attempt for the explain mode.
type AttemptReport struct {
	Shard    ShardName
	Upstream UpstreamID
	// Reason is "first", "retry" or "hedge".
	Reason string
	// Sent and Ended are offsets from the start of the query; Ended is 0 while the attempt is open.
	Sent, Ended time.Duration
	Code        Code
	Outcome     Outcome
}
