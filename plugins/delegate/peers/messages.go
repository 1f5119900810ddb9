package peers

import (
	"time"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
)

// gatherMessage hands a request to a VM that gathers.
type gatherMessage struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64
	// Started is the incarnation of the VM that asks, so that an answer does not reach a later process.
	Started core.Incarnation
	Table   core.RoutingTableVersion
	// AgeUS is how long ago the request arrived, PatienceUS how long the caller waits from its arrival on, in
	// microseconds. Clocks of VMs differ, so times are not sent.
	AgeUS, PatienceUS int64
	ID                core.RequestID
	Method            string
	Host              string
	Target, Path      string
	Header            []wireField
	Body              []byte
	HasBody           bool
}

type wireField struct {
	_           struct{} `cbor:",toarray"`
	Name, Value string
}

// acceptMessage tells that a VM gathers a request.
type acceptMessage struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64
	Started  core.Incarnation
}

// confirmMessage tells that the VM that asks will not run the request itself.
type confirmMessage struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64
	Started  core.Incarnation
}

// answerMessage returns the answer to a request, or a code of a VM that did not run it.
type answerMessage struct {
	_            struct{} `cbor:",toarray"`
	Sequence     uint64
	Started      core.Incarnation
	Declined     core.Code
	Status       int
	Header       []wireField
	Body         []byte
	Code         core.Code
	Detail       string
	RetryAfterUS int64
}

// abandonMessage tells that the caller of a request has gone.
type abandonMessage struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64
	Started  core.Incarnation
}

// MessageName implements kinds.Message.
func (gatherMessage) MessageName() string { return "gather" }

// MessageName implements kinds.Message.
func (acceptMessage) MessageName() string { return "gather_accept" }

// MessageName implements kinds.Message.
func (confirmMessage) MessageName() string { return "gather_confirm" }

// MessageName implements kinds.Message.
func (answerMessage) MessageName() string { return "gather_answer" }

// MessageName implements kinds.Message.
func (abandonMessage) MessageName() string { return "gather_abandon" }

func toWire(fields []core.HeaderField) []wireField {
	wire := make([]wireField, len(fields))
	for i, f := range fields {
		wire[i] = wireField{Name: f.Name, Value: f.Value}
	}
	return wire
}

func fromWire(wire []wireField) []core.HeaderField {
	fields := make([]core.HeaderField, len(wire))
	for i, f := range wire {
		fields[i] = core.HeaderField{Name: f.Name, Value: f.Value}
	}
	return fields
}

// newGatherMessage describes a request. now is the time of sending.
func newGatherMessage(r *core.ForwardRequest, table core.RoutingTableVersion, now time.Time) gatherMessage {
	return gatherMessage{
		Table: table, AgeUS: now.Sub(r.Arrived).Microseconds(), PatienceUS: r.Timeout.Microseconds(), ID: r.ID, Method: r.Method,
		Host: r.Host, Target: r.Target, Path: r.Path, Header: toWire(r.Header), Body: r.Body, HasBody: r.HasBody,
	}
}

// request returns the request as it arrived, on the clock of this VM.
func (m *gatherMessage) request(now time.Time) *core.ForwardRequest {
	return &core.ForwardRequest{
		ID: m.ID, Method: m.Method, Host: m.Host, Target: m.Target, Path: m.Path, Header: fromWire(m.Header), Body: m.Body, HasBody: m.HasBody,
		Arrived: now.Add(-time.Duration(m.AgeUS) * time.Microsecond), Timeout: time.Duration(m.PatienceUS) * time.Microsecond,
	}
}

func newAnswerMessage(a kinds.RoutedAnswer) answerMessage {
	m := answerMessage{Status: a.Status, Header: toWire(a.Header), Body: a.Body, RetryAfterUS: a.RetryAfter.Microseconds()}
	if a.Error != nil {
		m.Code, m.Detail = a.Error.Code, a.Error.Detail
	}
	return m
}

func (m *answerMessage) answer() kinds.RoutedAnswer {
	a := kinds.RoutedAnswer{Status: m.Status, Header: fromWire(m.Header), Body: m.Body, RetryAfter: time.Duration(m.RetryAfterUS) * time.Microsecond}
	if m.Code != core.CodeOK {
		a.Error = &core.Error{Code: m.Code, Detail: m.Detail}
	}
	return a
}
