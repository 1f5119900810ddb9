// Package kinds defines the interface that each kind of plug-in provides to the others. Plug-ins meet only through
// these types; fx hands them the implementations that the settings chose.
package kinds

import (
	"context"
	"time"

	"gooseberrylane.example/coord/config"
	"gooseberrylane.example/coord/query"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
)

// Kinds of plug-ins. Exactly one plug-in is chosen of each kind unless the comment says otherwise.
const (
	// FrontEnd plug-ins take requests; any number.
	FrontEnd kernel.Kind = "front_end"
	// EngineKind plug-ins run queries and provide Engine.
	EngineKind kernel.Kind = "engine"
	// DispatchKind plug-ins bring sub-requests to the owner VMs and provide Dispatcher.
	DispatchKind kernel.Kind = "dispatch"
	// ExecutorKind plug-ins run sub-requests on owned upstreams and provide Executor.
	ExecutorKind kernel.Kind = "executor"
	// TransportKind plug-ins talk to upstreams and provide Transport.
	TransportKind kernel.Kind = "transport"
	// PlatformKind plug-ins talk to the platform and provide Platform.
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
	// QueryObserverKind plug-ins learn of finished queries and provide QueryObserver with ProvideObserver; any number.
	QueryObserverKind kernel.Kind = "query_observer"
	// ReportKind plug-ins compute reports; any number. They may provide QueryObserver and Metric too.
	ReportKind kernel.Kind = "report"
)

// Engine runs queries from their arrival to their answer.
type Engine interface {
	// Run returns the answer to a query. A refused query is an answer with a code, never a Go error. Cancelling ctx
	// cancels the work below.
	Run(ctx context.Context, q core.Query) core.Answer
}

// Dispatcher brings sub-requests to the VMs that own their upstreams.
type Dispatcher interface {
	// Send starts legs and returns at once. deliver is called once for each leg, from any goroutine, and must not block.
	// When ctx ends, open legs are cancelled at the upstreams.
	Send(ctx context.Context, legs []core.Leg, deliver func(core.LegResult))
	// Cancel cancels open attempts at their upstreams. Their results are still delivered.
	Cancel(legs []core.Leg)
}

// Executor runs sub-requests on upstreams that this VM owns, within their limits.
type Executor interface {
	// Execute runs one leg and returns its result; it returns CodeNotOwner when the VM does not hold the upstream.
	// Cancelling ctx cancels the attempt at the upstream.
	Execute(ctx context.Context, leg core.Leg) core.LegResult
	// Release stops new work on an upstream, waits for legs in flight and closes its connections.
	Release(ctx context.Context, upstream core.UpstreamID) error
}

// Transport opens connections to upstreams.
type Transport interface {
	// Open returns a pool for an upstream. The pool never holds more than limit connections.
	Open(upstream core.Upstream, limit int) Pool
}

// Pool is a set of connections to one upstream.
type Pool interface {
	// Execute runs one leg on a free connection, opening one if needed.
	Execute(ctx context.Context, leg core.Leg) core.LegResult
	// Probe asks the upstream for its window of index versions and whether it is draining. These lag.
	Probe(ctx context.Context) (core.LegResult, error)
	// Warm opens connections until n are open, as far as the limit allows.
	Warm(ctx context.Context, n int)
	// CloseIdle closes connections that carry no request.
	CloseIdle()
	// Close closes all connections. Requests in flight fail.
	Close()
}

// Object is one object of the platform.
type Object struct {
	Key     string
	Value   []byte
	Version uint64
}

// ListedVM is one entry of the platform's list of VMs, which lags.
type ListedVM struct {
	Name        core.VMName        `json:"name"`
	Domain      core.FailureDomain `json:"domain"`
	PeerAddress string             `json:"peer_address"`
	Leaving     bool               `json:"leaving"`
}

// Platform is the platform's object API. Errors are *core.Error: CodeNotFound, CodeConflict when a condition failed,
// CodePlatformUnavailable when the call certainly had no effect, CodeNotKnownYet when a write may have taken effect.
type Platform interface {
	Get(ctx context.Context, key string) (Object, error)
	// Create writes a new object; CodeConflict when the key exists.
	Create(ctx context.Context, key string, value []byte) (version uint64, err error)
	// Update replaces an object if its version is still ifVersion.
	Update(ctx context.Context, key string, value []byte, ifVersion uint64) (version uint64, err error)
	Delete(ctx context.Context, key string, ifVersion uint64) error
	// List returns objects whose keys have the prefix and sort after the key after, in key order, at most limit.
	List(ctx context.Context, prefix, after string, limit int) ([]Object, error)
	// Watch waits until objects with the prefix sort after the key after, and returns them; an empty result means
	// that the wait ended without a change.
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

// LinkDown tells that a link to a VM ended. Several events of one link may follow each other.
type LinkDown struct {
	VM core.VM
	// Written is true when earlier messages were written to the link; the VM may have received them or not.
	Written bool
	// Refused is true when nothing listened at the address of the VM.
	Refused bool
	// Undelivered holds accepted messages that were certainly not delivered.
	Undelivered []Message
	// Unconfirmed holds the written messages of which no later sign proves that the VM received them.
	Unconfirmed []Message
}

// Peers carries messages between VMs. Delivery is at most once and in no certain order.
type Peers interface {
	// Send sends a message to a VM at its peer address. The error tells that the message was certainly not delivered; a
	// nil error does not prove delivery. Do not change the message afterwards.
	Send(ctx context.Context, to core.VM, m Message) error
	// Handle registers the handler of a message. prototype is a zero value of the message type. Handlers run on the
	// goroutine of the link and must not block. Register before the application starts.
	Handle(prototype Message, handler func(from core.VM, m Message))
	// OnLinkDown registers a function that is called when a link to a VM ended. It must not block.
	OnLinkDown(f func(down LinkDown))
}

// Membership keeps the members and the ownership in the view up to date.
type Membership interface {
	// Leave tells the peers that this VM is leaving and hands over what it owns.
	Leave(ctx context.Context) error
}

// Configuration keeps the configuration set in the view up to date.
type Configuration interface {
	// Revision returns the revision in force on this VM.
	Revision() core.Revision
}

// Admission decides whether a query may start.
type Admission interface {
	// Enter waits for admission until the deadline of the query. The error is a *core.Error that proves that the query
	// did not run; retryAfter is a hint in that case. On success the caller must call leave once with the answer.
	Enter(ctx context.Context, q *core.Query, service *core.Service) (leave func(*core.Answer), retryAfter time.Duration, err error)
}

// Record is what is known of a non-idempotent request.
type Record struct {
	// Finished is true when the outcome is known.
	Finished bool
	Outcome  core.Outcome
	Answer   *core.Answer
}

// Records keeps the records of non-idempotent requests.
type Records interface {
	// Begin claims a request. claim is nil when the request is known already; then known tells what is recorded. The
	// error is a *core.Error that proves that nothing was claimed, so the request must not be sent.
	Begin(ctx context.Context, q *core.Query) (claim Claim, known Record, err error)
}

// Claim is the right to send one non-idempotent request once.
type Claim interface {
	// Finish records the outcome. A failure to write leaves the record started, which later resends see as unknown.
	Finish(ctx context.Context, outcome core.Outcome, answer core.Answer) error
}

// PolicySet is what an engine needs to decide.
type PolicySet = query.Policies

// Operations lets operators change the configuration. Errors are *core.Error with codes of the configuration family,
// CodeInvalidIntent with all problems, or CodePlatformUnavailable.
type Operations interface {
	// Plan checks an intent against the configuration in force and stores the plan.
	Plan(ctx context.Context, intent config.Intent) (config.Plan, error)
	// GetPlan returns a stored plan.
	GetPlan(ctx context.Context, id config.PlanID) (config.Plan, error)
	// Confirm makes a plan the next change. Confirming again returns the same change.
	Confirm(ctx context.Context, id config.PlanID, operator string) (config.Change, error)
	// History returns changes after a revision in order, at most limit.
	History(ctx context.Context, after core.Revision, limit int) ([]config.Change, error)
	// Progress asks the VMs how far a revision is in force.
	Progress(ctx context.Context, revision core.Revision) (config.Progress, error)
}
