package kinds

import (
	"context"
	"net/http"
	"time"

	"gooseberrylane.example/coord/catalog"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
)

// Kinds of plug-ins of a VM that passes requests on by routes. Exactly one plug-in is chosen of each kind.
const (
	// WireKind plug-ins know the names and formats of requests and answers and provide Wire.
	WireKind kernel.Kind = "wire"
	// CatalogStoreKind plug-ins read routes and registered upstreams from the platform and provide CatalogStore.
	CatalogStoreKind kernel.Kind = "catalog_store"
	// CatalogKind plug-ins keep the routes and the registered upstreams in the view up to date and provide Catalog.
	CatalogKind kernel.Kind = "catalog"
	// RouterKind plug-ins run requests on routes and provide Router.
	RouterKind kernel.Kind = "router"
	// DelegateKind plug-ins hand gathered requests to other VMs and provide Delegate.
	DelegateKind kernel.Kind = "delegate"
	// ReachKind plug-ins tell which failure domains answer and provide Reach.
	ReachKind kernel.Kind = "reach"
	// UpstreamClientKind plug-ins send requests to registered upstreams and provide UpstreamClient.
	UpstreamClientKind kernel.Kind = "upstream_client"
)

// Wire translates between the types of the project and the headers of callers and upstreams. It decides nothing.
type Wire interface {
	// DecodeRequest fills in what the headers of a caller's request say. The error is a *core.Error with CodeBadRequest.
	DecodeRequest(h http.Header, into *core.ForwardRequest) error
	// EncodeRequest returns the headers of a request at one upstream. left is the time that the upstream may take.
	EncodeRequest(r *core.ForwardRequest, to core.UpstreamID, left time.Duration) []core.HeaderField
	// DecodeReply reads the status and the headers of an upstream's answer to a request. The error tells that the answer
	// belongs to another request, so nothing in it may be used.
	DecodeReply(id core.RequestID, status int, h http.Header) (core.Reply, error)
	// EncodeGathered returns the headers of a gathered answer with the proofs of its parts and the number of shards that
	// are missing.
	EncodeGathered(proofs []string, missing int) []core.HeaderField
}

// Cursor is a position in the history of the store.
type Cursor uint64

// WatchOptions bound a watch.
type WatchOptions struct {
	// After is the position from which changes are wanted, Wait how long to wait for the first.
	After Cursor
	Wait  time.Duration
	// AllowStale accepts an answer that may be seconds old, which costs the platform less.
	AllowStale bool
}

// CatalogStore reads what operators and upstreams wrote to the platform's store. Errors are *core.Error:
// CodePlatformUnavailable when the store did not answer, CodeNotFound when no table exists, CodeHistoryGone when a watch
// must begin anew with a list.
type CatalogStore interface {
	// Routes returns the newest table of routes. Here and below, allowStale accepts data that may be seconds old, which
	// costs the platform less.
	Routes(ctx context.Context, allowStale bool) (*core.RouteTable, Cursor, error)
	// WatchRoutes waits for a later table. A nil table without an error means that the wait ended without a change.
	WatchRoutes(ctx context.Context, o WatchOptions) (*core.RouteTable, Cursor, error)
	// Upstreams returns the entries of all upstreams, those that cannot be read included.
	Upstreams(ctx context.Context, allowStale bool) ([]catalog.Entry, Cursor, error)
	// Position returns the newest position.
	Position(ctx context.Context, allowStale bool) (Cursor, error)
	// WatchUpstreams waits for changed entries.
	WatchUpstreams(ctx context.Context, o WatchOptions) ([]catalog.Entry, Cursor, error)
}

// VMEntry is what a VM writes of itself to the platform's store.
type VMEntry struct {
	VM core.VM
	// Capacity is the processing power of the VM in cores.
	Capacity float64
	// Removed is true when the store no longer holds the entry.
	Removed bool
}

// VMStore keeps the entries of the VMs on the platform. Errors are those of CatalogStore.
type VMStore interface {
	// AnnounceVM writes the entry of a VM, replacing that of its earlier incarnation.
	AnnounceVM(ctx context.Context, e VMEntry) error
	// WithdrawVM removes the entry of a VM that leaves.
	WithdrawVM(ctx context.Context, name core.VMName) error
	// VMs returns all entries.
	VMs(ctx context.Context, allowStale bool) ([]VMEntry, Cursor, error)
	// WatchVMs waits for changed entries.
	WatchVMs(ctx context.Context, o WatchOptions) ([]VMEntry, Cursor, error)
}

// DelegateOutcome is what became of a request that may be handed to another VM.
type DelegateOutcome int

// Outcomes of a delegation.
const (
	// NotDelegated: this VM runs the request.
	NotDelegated DelegateOutcome = iota
	// MayBeDelegated: the other VM may send each leg to one upstream less than the route allows; this VM may use one.
	MayBeDelegated
	// Delegated: the answer is final.
	Delegated
)

// Delegate hands gathered requests to VMs that are placed better.
type Delegate interface {
	// Delegate returns the answer of another VM, or that this VM has to run the request. The other VM runs it only on the
	// same table of routes.
	Delegate(ctx context.Context, view *core.View, route *core.Route, r *core.ForwardRequest) (RoutedAnswer, DelegateOutcome)
	// Share returns the part of an allowance of all VMs for requests to a service that this VM may use, between 0 and 1.
	Share(view *core.View, service core.ServiceName) float64
	// Serve sets the function that runs the requests of other VMs on this one. It is called before the application starts.
	Serve(run func(ctx context.Context, d DelegatedRequest) RoutedAnswer)
}

// DelegatedRequest is a request that another VM handed over.
type DelegatedRequest struct {
	Request *core.ForwardRequest
	// View is the view on which this VM accepted the request.
	View *core.View
	// Confirmed is closed once the other VM will not run the request itself. Until then each leg may go to one upstream
	// less than the route allows.
	Confirmed <-chan struct{}
}

// Reach tells which failure domains answer. It is safe for concurrent use and does not block.
type Reach interface {
	// Asked notes a request to an upstream of a failure domain, Answered any sign of life from it.
	Asked(domain core.FailureDomain)
	Answered(domain core.FailureDomain)
	// Lost reports whether a failure domain is cut off from this VM.
	Lost(domain core.FailureDomain) bool
	// Isolated reports whether all other failure domains with upstreams are cut off from this VM.
	Isolated() bool
}

// Catalog keeps routes and registered upstreams in the view up to date.
type Catalog interface {
	// Doubt tells that an upstream answered that it is not the one that the registered address belongs to.
	Doubt(id core.UpstreamID)
}

// Attempt is one sending of a request to one upstream.
type Attempt struct {
	Request *core.ForwardRequest
	To      *core.Upstream
	// Deadline is when the upstream may stop its work.
	Deadline time.Time
	// Once is true for a request that must not be sent again when its outcome is unknown.
	Once bool
}

// UpstreamClient sends requests to registered upstreams.
type UpstreamClient interface {
	// Send sends a request and waits for the whole answer until ctx ends. Ending ctx closes the connection.
	Send(ctx context.Context, a Attempt) core.Reply
}

// RoutedAnswer is the final answer to a caller.
type RoutedAnswer struct {
	Status int
	Header []core.HeaderField
	Body   []byte
	// Error is set on an answer of the tier's own that is not a success.
	Error *core.Error
	// RetryAfter is when a refused request may come back, 0 when the answer promises nothing.
	RetryAfter time.Duration
}

// Router runs requests on routes.
type Router interface {
	// Route returns the answer to a request. Cancelling ctx tells that the caller has gone.
	Route(ctx context.Context, r *core.ForwardRequest) RoutedAnswer
}
