package owner

import (
	"math"
	"time"

	"gooseberrylane.example/core"
)

// legsMessage asks an owner VM to run sub-requests of one query that share all fields but those of wireLeg.
type legsMessage struct {
	_          struct{} `cbor:",toarray"`
	Service    core.ServiceName
	Request    core.RequestID
	Version    core.IndexVersion
	NotAfterUS int64
	Idempotent bool
	Class      core.Class
	Caller     core.CallerName
	Payload    []byte
	From       core.VMName
	Started    core.Incarnation
	Legs       []wireLeg
}

type wireLeg struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64
	Shard    core.ShardName
	Upstream core.UpstreamID
	Hedge    bool
}

// resultsMessage returns results of sub-requests to the VM that asked.
type resultsMessage struct {
	_       struct{} `cbor:",toarray"`
	Started core.Incarnation
	Results []wireResult
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
	// OwnerVM is where Owner is, with CodeNotOwner: the VM that asked may not know it yet. Nil when not known.
	OwnerVM *core.VM
}

// cancelMessage asks an owner VM to cancel attempts.
type cancelMessage struct {
	_         struct{} `cbor:",toarray"`
	From      core.VMName
	Started   core.Incarnation
	Sequences []uint64
}

// MessageName implements kinds.Message.
func (legsMessage) MessageName() string { return "legs" }

// MessageName implements kinds.Message.
func (resultsMessage) MessageName() string { return "results" }

// MessageName implements kinds.Message.
func (cancelMessage) MessageName() string { return "cancel" }

func encodeLegs(legs []core.Attempt) legsMessage {
	first := &legs[0]
	m := legsMessage{
		Service: first.Service, Request: first.Request, Version: first.Version, NotAfterUS: first.NotAfter.UnixMicro(),
		Idempotent: first.Idempotent, Class: first.Class, Caller: first.Caller, Payload: first.Payload,
		From: first.ID.VM, Started: first.ID.Incarnation, Legs: make([]wireLeg, len(legs)),
	}
	for i := range legs {
		m.Legs[i] = wireLeg{Sequence: legs[i].ID.Sequence, Shard: legs[i].Shard, Upstream: legs[i].Upstream, Hedge: legs[i].Hedge}
	}
	return m
}

func (m *legsMessage) leg(i int) core.Attempt {
	return core.Attempt{
		ID:      core.AttemptID{VM: m.From, Incarnation: m.Started, Sequence: m.Legs[i].Sequence},
		Service: m.Service, Request: m.Request, Shard: m.Legs[i].Shard, Upstream: m.Legs[i].Upstream, Version: m.Version,
		NotAfter: time.UnixMicro(m.NotAfterUS), Idempotent: m.Idempotent, Class: m.Class, Caller: m.Caller,
		Hedge: m.Legs[i].Hedge, Payload: m.Payload,
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
		Window: core.Window{Oldest: r.Oldest, Newest: r.Newest}, Data: r.Data, Draining: r.Draining, Owner: r.Owner,
		Took: took(r.TookUS),
	}
}

// took returns a time in microseconds, or 0 for one that no attempt can take, which would spoil the learned latency.
func took(micros int64) time.Duration {
	if micros < 0 || micros > math.MaxInt64/int64(time.Microsecond) {
		return 0
	}
	return time.Duration(micros) * time.Microsecond
}
