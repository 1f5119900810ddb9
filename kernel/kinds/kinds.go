// Package kinds defines the interface that each kind of plug-in provides to the others. Plug-ins interact only through
// these types; fx injects the implementations that the settings select.
package kinds

import (
	"context"
	"time"

	"gooseberrylane.example/coord/config"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
)

// Kinds of plug-ins. Exactly one plug-in of each kind is selected unless its comment says otherwise.
const (
	// FrontEnd plug-ins accept requests; any number.
	FrontEnd kernel.Kind = "front_end"
	// EngineKind plug-ins run queries and provide Engine.
	EngineKind kernel.Kind = "engine"
	// DispatchKind plug-ins send sub-requests to the owners and provide Dispatcher.
	DispatchKind kernel.Kind = "dispatch"
	// ExecutorKind plug-ins run attempts on owned upstreams and provide Executor.
	ExecutorKind kernel.Kind = "executor"
	// TransportKind plug-ins communicate with upstreams and provide Transport.
	TransportKind kernel.Kind = "transport"
	// PlatformKind plug-ins communicate with the platform and provide Platform.
	PlatformKind kernel.Kind = "platform"
	// PeerKind plug-ins carry messages between VMs and provide Peers.
	PeerKind kernel.Kind = "peer"
	// MembershipKind plug-ins publish members and ownership and provide Membership.
	MembershipKind kernel.Kind = "membership"
	// ConfigurationKind plug-ins publish the configuration set and provide Configuration.
	ConfigurationKind kernel.Kind = "configuration"
	// SelectionKind plug-ins provide query.Selector.
	SelectionKind kernel.Kind = "selection"
	// HedgingKind plug-ins provide query.Hedger.
	HedgingKind kernel.Kind = "hedging"
	// RetryKind plug-ins provide query.Retrier.
	RetryKind kernel.Kind = "retry"
	// AdmissionKind plug-ins provide Admission.
	AdmissionKind kernel.Kind = "admission"
	// RecordsKind plug-ins keep the records of non-idempotent requests and provide Records.
	RecordsKind kernel.Kind = "records"
	// MetricsKind plug-ins publish metrics; any number.
	MetricsKind kernel.Kind = "metrics"
	// QueryObserverKind plug-ins are notified of finished queries and provide QueryObserver with ProvideObserver; any number.
	QueryObserverKind kernel.Kind = "query_observer"
	// ReportKind plug-ins compute reports; any number. They may also provide QueryObserver and Metric.
	ReportKind kernel.Kind = "report"
)

// Engine runs queries from arrival to answer.
type Engine interface {
	// Run returns the answer to a query. A refused query is an answer with a code, never a Go error. Cancelling ctx
	// cancels its attempts.
	Run(ctx context.Context, q core.Query) core.Answer
}

// Dispatcher sends attempts to the VMs that own their upstreams.
type Dispatcher interface {
	// Send starts attempts and returns immediately. deliver is called once for each attempt, from any goroutine, and must
	// not block. When ctx ends, open attempts are cancelled at the upstreams.
	Send(ctx context.Context, attempts []core.Attempt, deliver func(core.AttemptResult))
	// Cancel cancels open attempts at their upstreams. Their results are still delivered.
	Cancel(attempts []core.Attempt)
}

// Executor runs attempts on upstreams that this VM owns, within their limits.
type Executor interface {
	// Execute runs one attempt and returns its result; it returns CodeNotOwner when the VM does not own the upstream.
	// Cancelling ctx cancels the attempt at the upstream.
	Execute(ctx context.Context, attempt core.Attempt) core.AttemptResult
	// Release stops new work on an upstream, waits for attempts in flight and closes its connections.
	Release(ctx context.Context, upstream core.UpstreamID) error
}

// Transport opens connections to upstreams.
type Transport interface {
	// Open returns a pool for an upstream. The pool never holds more than limit connections.
	Open(upstream core.Upstream, limit int) Pool
}

// Pool is a set of connections to one upstream.
type Pool interface {
	// Execute runs one attempt on a free connection, opening one if needed.
	Execute(ctx context.Context, attempt core.Attempt) core.AttemptResult
	// Probe requests the index version window and the draining state of the upstream. Both may be outdated.
	Probe(ctx context.Context) (core.AttemptResult, error)
	// Warm opens connections until n are open or the limit is reached.
	Warm(ctx context.Context, n int)
	// CloseIdle closes connections that carry no request.
	CloseIdle()
	// Close closes all connections. Requests in flight fail.
	Close()
}

// Object is one object in the object store of the platform.
type Object struct {
	Key     string
	Value   []byte
	Version uint64
}

// ListedVM is one entry of the platform's list of VMs, which may be outdated.
type ListedVM struct {
	Name        core.VMName        `json:"name"`
	Domain      core.FailureDomain `json:"domain"`
	PeerAddress string             `json:"peer_address"`
	Leaving     bool               `json:"leaving"`
}

// Platform is the platform's object API. Errors are *core.Error: CodeNotFound, CodeConflict when a condition failed,
// CodePlatformUnavailable when the call is known to have had no effect, CodeNotKnownYet when a write may have taken effect.
type Platform interface {
	Get(ctx context.Context, key string) (Object, error)
	// Create writes a new object; CodeConflict when the key exists.
	Create(ctx context.Context, key string, value []byte) (version uint64, err error)
	// Update replaces an object if its version is still ifVersion.
	Update(ctx context.Context, key string, value []byte, ifVersion uint64) (version uint64, err error)
	Delete(ctx context.Context, key string, ifVersion uint64) error
	// List returns objects whose keys have the prefix and sort after the key after, in key order, at most limit.
	List(ctx context.Context, prefix, after string, limit int) ([]Object, error)
	// Watch waits until there are objects whose keys have the prefix and sort after the key after, and returns them. An
	// empty result means that the wait ended without a change.
	Watch(ctx context.Context, prefix, after string, wait time.Duration) ([]Object, error)
	// VMs returns the list of live and leaving VMs.
	VMs(ctx context.Context) ([]ListedVM, error)
	// LastContact returns the time of the last successful call, zero before the first.
	LastContact() time.Time
}

// Message is a typed message between VMs. Its name selects the handler and must be unique.
type Message interface {
	MessageName() string
}

// BulkMessage is a Message that its sender can do without. Peers refuses it with CodeOverloaded when the links hold too much.
type BulkMessage interface {
	Message
	Bulk()
}

// LinkDown reports that a link to a VM ended. One link may cause several events.
type LinkDown struct {
	VM core.VM
	// Written is true when earlier messages were written to the link; the VM may or may not have received them.
	Written bool
	// Refused is true when the address of the VM refused the connection.
	Refused bool
	// Undelivered holds accepted messages that are known not to have been delivered.
	Undelivered []Message
	// Unconfirmed holds written messages whose receipt the VM has not confirmed.
	Unconfirmed []Message
}

// Peers carries messages between VMs. Delivery is at most once and in no guaranteed order.
type Peers interface {
	// Send sends a message to a VM at its peer address. An error means that the message was not delivered; a nil
	// error does not guarantee delivery. The message must not be changed afterwards.
	Send(ctx context.Context, to core.VM, m Message) error
	// Handle registers the handler of a message. prototype is a zero value of the message type. Handlers run on the
	// goroutine of the link and must not block. Handle must be called before the application starts.
	Handle(prototype Message, handler func(from core.VM, m Message))
	// OnLinkDown registers a function that is called when a link to a VM ends. The function must not block.
	OnLinkDown(f func(down LinkDown))
}

// Membership keeps the members and the ownership in the view up to date.
type Membership interface {
	// Leave notifies the peers that this VM is leaving and hands over the upstreams that it owns.
	Leave(ctx context.Context) error
}

// Configuration keeps the configuration set in the view up to date.
type Configuration interface {
	// Revision returns the revision in force on this VM.
	Revision() core.Revision
}

// Admission decides whether a query may start.
type Admission interface {
	// Enter waits for admission until the deadline of the query. The error is a *core.Error whose code means that the
	// query did not run; retryAfter is then a hint for the caller. On success the caller must call leave once with the answer.
	Enter(ctx context.Context, q *core.Query, service *core.Service) (leave func(*core.Answer), retryAfter time.Duration, err error)
}

// Record is the recorded state of a non-idempotent request.
type Record struct {
	// Finished is true when the outcome is known.
	Finished bool
	Outcome  core.Outcome
	Answer   *core.Answer
}

// Records keeps the records of non-idempotent requests.
type Records interface {
	// Begin claims a request. claim is nil when the request is already recorded; existing is then its record. The error is
	// a *core.Error and means that the request was not claimed and must not be sent.
	Begin(ctx context.Context, q *core.Query) (claim Claim, existing Record, err error)
}

// Claim is the right to send one non-idempotent request once.
type Claim interface {
	// Finish records the outcome. If the write fails, the record stays unfinished and later resends get an unknown outcome.
	Finish(ctx context.Context, outcome core.Outcome, answer core.Answer) error
}

// Operations lets operators change the configuration. ConfigurationKind plug-ins may provide it. Errors are *core.Error
// with codes of the configuration family, CodeInvalidIntent with all problems, or CodePlatformUnavailable.
type Operations interface {
	// Plan checks an intent against the configuration in force and stores the plan.
	Plan(ctx context.Context, intent config.Intent) (config.Plan, error)
	// GetPlan returns a stored plan.
	GetPlan(ctx context.Context, id config.PlanID) (config.Plan, error)
	// Confirm commits a plan as the next change. Confirming again returns the same change.
	Confirm(ctx context.Context, id config.PlanID, operator string) (config.Change, error)
	// History returns changes after a revision in order, at most limit.
	History(ctx context.Context, after core.Revision, limit int) ([]config.Change, error)
	// Progress queries the VMs and reports on which of them a revision is in force.
	Progress(ctx context.Context, revision core.Revision) (config.Progress, error)
}
