package core

import "time"

type (
	// RequestID is the caller's ID of a request; unique per service.
	RequestID string
	// CallerName identifies a caller for fair queueing and rate limits.
	CallerName string
)

// Query is one request of a caller to a service.
type Query struct {
	Service    ServiceName
	RequestID  RequestID
	Caller     CallerName
	Idempotent bool
	// Shards lists the requested shards; empty means all shards of the layout.
	Shards  []ShardName
	Payload []byte
	// Deadline is the time by which the answer must reach the caller.
	Deadline time.Time
	// Explain requests the list of attempts in the answer.
	Explain bool
}

// AttemptID identifies one attempt of one sub-request. It is never reused, because Incarnation differs at each process
// start.
type AttemptID struct {
	VM          VMName      `json:"vm"`
	Incarnation Incarnation `json:"incarnation"`
	Sequence    uint64      `json:"sequence"`
}

// Attempt is one sending of a sub-request to one upstream.
type Attempt struct {
	ID       AttemptID
	Service  ServiceName
	Request  RequestID
	Shard    ShardName
	Upstream UpstreamID
	Version  IndexVersion
	// NotAfter is the latest time at which the upstream may begin the work.
	NotAfter   time.Time
	Idempotent bool
	Class      Class
	// Caller is the key for fair queueing at the upstream.
	Caller CallerName
	// Via is the VM to send the attempt to; empty for the assumed owner of the upstream.
	Via     VMName
	Hedge   bool
	Payload []byte
}

// Outcome records whether an attempt ran at the upstream.
type Outcome int

// Outcomes. OutcomeUnknown is the zero value, so an unset result makes no claim.
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

// AttemptResult is the result of one attempt.
type AttemptResult struct {
	Attempt AttemptID
	Outcome Outcome
	// Code is CodeOK when Data is the shard's result.
	Code    Code
	Version IndexVersion
	// Window is the range of index versions that the upstream holds.
	Window VersionWindow
	Data   []byte
	// Draining is set when the upstream reported that it is draining.
	Draining bool
	// Owner is set with CodeNotOwner: the owner of the upstream as assumed by the answering VM.
	Owner VMName
	// Took is the time from arrival at the owner to the result, including the wait for a slot.
	Took time.Duration
	// Stopped is set with OutcomeUnknown when the upstream confirmed that the attempt is no longer running. It is used on
	// the owner only and not sent to other VMs.
	Stopped bool
}

// Answer is the result of a query.
type Answer struct {
	Code      Code
	Detail    string
	RequestID RequestID
	Version   IndexVersion
	Revision  Revision
	Covered   []ShardResult
	Missing   []MissingShard
	// Notes lists conditions that do not change the answer, such as CodeConfigurationStale.
	Notes []Code
	// Attempts lists the attempts if Query.Explain was set.
	Attempts []AttemptReport
	// RetryAfter is a hint for a refused request; 0 when there is none.
	RetryAfter time.Duration
}

// ShardResult is the result of one sub-request.
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
