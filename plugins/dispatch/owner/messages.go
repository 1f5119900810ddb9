package owner

import (
	"math"
	"time"

	"gooseberrylane.example/core"
)

// attemptsMessage requests an owner VM to run attempts of one query that share all fields except those of wireAttempt.
type attemptsMessage struct {
	_           struct{} `cbor:",toarray"`
	Service     core.ServiceName
	Request     core.RequestID
	Version     core.IndexVersion
	NotAfterUS  int64
	Idempotent  bool
	Class       core.Class
	Caller      core.CallerName
	Payload     []byte
	From        core.VMName
	Incarnation core.Incarnation
	Attempts    []wireAttempt
}

// wireAttempt holds the fields of one attempt in an attemptsMessage.
type wireAttempt struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64
	Shard    core.ShardName
	Upstream core.UpstreamID
	Hedge    bool
}

// resultsMessage returns results of attempts to the requesting VM.
type resultsMessage struct {
	_ struct{} `cbor:",toarray"`
	// Incarnation is the incarnation of the requesting VM.
	Incarnation core.Incarnation
	Results     []wireResult
}

type wireResult struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64
	Outcome  core.Outcome
	Code     core.Code
	Version  core.IndexVersion
	Oldest   core.IndexVersion
	Newest   core.IndexVersion
	Data     []byte
	Draining bool
	Owner    core.VMName
	TookUS   int64
	// OwnerVM is set with CodeNotOwner if the answering VM has Owner in its member list, because the list of the
	// requesting VM may not contain it yet.
	OwnerVM *core.VM
}

// cancelMessage cancels attempts at an owner VM.
type cancelMessage struct {
	_           struct{} `cbor:",toarray"`
	From        core.VMName
	Incarnation core.Incarnation
	Sequences   []uint64
}

// MessageName implements kinds.Message.
func (attemptsMessage) MessageName() string { return "legs" }

// MessageName implements kinds.Message.
func (resultsMessage) MessageName() string { return "results" }

// MessageName implements kinds.Message.
func (cancelMessage) MessageName() string { return "cancel" }

func encodeAttempts(attempts []core.Attempt) attemptsMessage {
	first := &attempts[0]
	m := attemptsMessage{
		Service: first.Service, Request: first.Request, Version: first.Version, NotAfterUS: first.NotAfter.UnixMicro(),
		Idempotent: first.Idempotent, Class: first.Class, Caller: first.Caller, Payload: first.Payload,
		From: first.ID.VM, Incarnation: first.ID.Incarnation, Attempts: make([]wireAttempt, len(attempts)),
	}
	for i := range attempts {
		m.Attempts[i] = wireAttempt{Sequence: attempts[i].ID.Sequence, Shard: attempts[i].Shard, Upstream: attempts[i].Upstream, Hedge: attempts[i].Hedge}
	}
	return m
}

func (m *attemptsMessage) attempt(i int) core.Attempt {
	return core.Attempt{
		ID:      core.AttemptID{VM: m.From, Incarnation: m.Incarnation, Sequence: m.Attempts[i].Sequence},
		Service: m.Service, Request: m.Request, Shard: m.Attempts[i].Shard, Upstream: m.Attempts[i].Upstream, Version: m.Version,
		NotAfter: time.UnixMicro(m.NotAfterUS), Idempotent: m.Idempotent, Class: m.Class, Caller: m.Caller,
		Hedge: m.Attempts[i].Hedge, Payload: m.Payload,
	}
}

func encodeResult(r core.AttemptResult) wireResult {
	return wireResult{
		Sequence: r.Attempt.Sequence, Outcome: r.Outcome, Code: r.Code, Version: r.Version, Oldest: r.Window.Oldest,
		Newest: r.Window.Newest, Data: r.Data, Draining: r.Draining, Owner: r.Owner, TookUS: r.Took.Microseconds(),
	}
}

func (r *wireResult) result(attempt core.AttemptID) core.AttemptResult {
	return core.AttemptResult{
		Attempt: attempt, Outcome: r.Outcome, Code: r.Code, Version: r.Version,
		Window: core.VersionWindow{Oldest: r.Oldest, Newest: r.Newest}, Data: r.Data, Draining: r.Draining, Owner: r.Owner,
		Took: decodeDuration(r.TookUS),
	}
}

// decodeDuration converts microseconds to a duration. Negative and overflowing values give 0, because they would distort
// the latency estimate.
func decodeDuration(micros int64) time.Duration {
	if micros < 0 || micros > math.MaxInt64/int64(time.Microsecond) {
		return 0
	}
	return time.Duration(micros) * time.Microsecond
}
