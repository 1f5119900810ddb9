package peers

import (
	"time"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
)

// gatherMessage hands over a request to a gatherer.
type gatherMessage struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64
	// Incarnation is that of the requesting VM, so that a later process on the VM ignores the answer.
	Incarnation  core.Incarnation
	TableVersion core.RoutingTableVersion
	// AgeUS is the time since the arrival of the request, TimeoutUS the caller's timeout from the arrival on, both in
	// microseconds. They are durations because the clocks of VMs differ.
	AgeUS, TimeoutUS int64
	ID               core.RequestID
	Method           string
	Host             string
	Target, Path     string
	Header           []wireField
	Body             []byte
	HasBody          bool
}

type wireField struct {
	_           struct{} `cbor:",toarray"`
	Name, Value string
}

// leavingMessage precedes the answer to a request and lists the upstreams that announced in their answers to it that they
// are leaving. It is a message of its own because VMs of earlier releases skip unknown messages.
type leavingMessage struct {
	_         struct{} `cbor:",toarray"`
	Upstreams []leavingUpstream
}

// leavingUpstream identifies one process of an upstream.
type leavingUpstream struct {
	_         struct{} `cbor:",toarray"`
	ID        core.UpstreamID
	Address   string
	StartedMS int64
}

// MessageName implements kinds.Message.
func (leavingMessage) MessageName() string { return "upstreams_leaving" }

func newLeavingMessage(upstreams []core.Upstream) leavingMessage {
	var m leavingMessage
	for _, u := range upstreams {
		m.Upstreams = append(m.Upstreams, leavingUpstream{ID: u.ID, Address: u.Address, StartedMS: u.StartedMS})
	}
	return m
}

// acceptMessage reports that the gatherer runs a request.
type acceptMessage struct {
	_           struct{} `cbor:",toarray"`
	Sequence    uint64
	Incarnation core.Incarnation
}

// confirmMessage reports that the requesting VM will not run the request itself, so the gatherer may use all attempts.
type confirmMessage struct {
	_           struct{} `cbor:",toarray"`
	Sequence    uint64
	Incarnation core.Incarnation
}

// answerMessage returns the answer to a request. Declined is the reason why the gatherer did not run it, CodeOK if it did.
type answerMessage struct {
	_            struct{} `cbor:",toarray"`
	Sequence     uint64
	Incarnation  core.Incarnation
	Declined     core.Code
	Status       int
	Header       []wireField
	Body         []byte
	Code         core.Code
	Detail       string
	RetryAfterUS int64
}

// abandonMessage reports that the requesting VM no longer needs the answer to a request.
type abandonMessage struct {
	_           struct{} `cbor:",toarray"`
	Sequence    uint64
	Incarnation core.Incarnation
}

// MessageName implements kinds.Message.
func (gatherMessage) MessageName() string { return "gather" }

// Bulk implements kinds.BulkMessage: the VM can run the request itself.
func (gatherMessage) Bulk() {}

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

// newGatherMessage returns the message for a request, without Sequence and Incarnation. now is the time of sending.
func newGatherMessage(r *core.ForwardRequest, table core.RoutingTableVersion, now time.Time) gatherMessage {
	return gatherMessage{
		TableVersion: table, AgeUS: now.Sub(r.Arrived).Microseconds(), TimeoutUS: r.Timeout.Microseconds(), ID: r.ID, Method: r.Method,
		Host: r.Host, Target: r.Target, Path: r.Path, Header: toWire(r.Header), Body: r.Body, HasBody: r.HasBody,
	}
}

// request returns the request, with its arrival on the clock of this VM. The transit time of the message is not included.
func (m *gatherMessage) request(now time.Time) *core.ForwardRequest {
	return &core.ForwardRequest{
		ID: m.ID, Method: m.Method, Host: m.Host, Target: m.Target, Path: m.Path, Header: fromWire(m.Header), Body: m.Body, HasBody: m.HasBody,
		Arrived: now.Add(-time.Duration(m.AgeUS) * time.Microsecond), Timeout: time.Duration(m.TimeoutUS) * time.Microsecond,
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
