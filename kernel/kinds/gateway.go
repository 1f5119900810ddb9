package kinds

import (
	"context"
	"net/http"
	"time"

	"gooseberrylane.example/coord/catalog"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
)

// Kinds of plug-ins of a VM that forwards requests by routes. Exactly one plug-in of each kind is selected.
const (
	// WireKind plug-ins define the header names and formats of requests and answers and provide Wire.
	WireKind kernel.Kind = "wire"
	// CatalogStoreKind plug-ins access the platform's store and provide CatalogStore and VMStore.
	CatalogStoreKind kernel.Kind = "catalog_store"
	// CatalogKind plug-ins keep the routing table and the registered upstreams in the view up to date and provide Catalog.
	CatalogKind kernel.Kind = "catalog"
	// FreshnessKind plug-ins find out whether stale reads of the platform's store lag and provide Freshness.
	FreshnessKind kernel.Kind = "freshness"
	// RouterKind plug-ins run requests on routes and provide Router.
	RouterKind kernel.Kind = "router"
	// DelegateKind plug-ins hand gathered requests to other VMs and provide Delegate.
	DelegateKind kernel.Kind = "delegate"
	// ReachKind plug-ins track which failure domains are reachable and provide Reach.
	ReachKind kernel.Kind = "reach"
	// UpstreamClientKind plug-ins send requests to registered upstreams and provide UpstreamClient.
	UpstreamClientKind kernel.Kind = "upstream_client"
)

// Wire translates between the types of the project and the headers of callers and upstreams. It makes no decisions.
type Wire interface {
	// DecodeRequest fills in the fields that come from the headers of a caller's request. The error is a *core.Error with
	// CodeBadRequest.
	DecodeRequest(h http.Header, into *core.ForwardRequest) error
	// EncodeRequest returns the headers of a request to one upstream. left is the time left for the upstream.
	EncodeRequest(r *core.ForwardRequest, to core.UpstreamID, left time.Duration) []core.HeaderField
	// DecodeReply decodes the status and the headers of an upstream's answer. An error means that the answer belongs to
	// another request and must be discarded.
	DecodeReply(id core.RequestID, status int, h http.Header) (core.Reply, error)
	// EncodeGathered returns the headers of a gathered answer: the signatures of the upstreams on their answers and the
	// number of missing shards.
	EncodeGathered(signatures []string, missing int) []core.HeaderField
}

// Cursor is a position in the history of the store.
type Cursor uint64

// WatchOptions bound a watch.
type WatchOptions struct {
	// After is the position after which changes are returned.
	After Cursor
	// Wait bounds the wait for the first change.
	Wait time.Duration
	// AllowStale accepts data that may be seconds old, which reduces the load on the store.
	AllowStale bool
}

// CatalogStore reads the routing table and the entries of upstreams from the platform's store. Errors are *core.Error:
// CodePlatformUnavailable when the store did not answer, CodeNotFound when no routing table exists, CodeHistoryGone when
// the watch must be restarted from a list, CodeTableUnreadable, with a valid cursor, when the routing table cannot be read.
type CatalogStore interface {
	// Routes returns the newest routing table. Here and below, allowStale accepts data that may be seconds old, which
	// reduces the load on the store.
	Routes(ctx context.Context, allowStale bool) (*core.RoutingTable, Cursor, error)
	// WatchRoutes waits for a newer routing table. A nil table without an error means that the wait ended without a change.
	WatchRoutes(ctx context.Context, o WatchOptions) (*core.RoutingTable, Cursor, error)
	// Upstreams returns the entries of all upstreams, including unreadable ones.
	Upstreams(ctx context.Context, allowStale bool) ([]catalog.Entry, Cursor, error)
	// Position returns the newest position in the history of the store.
	Position(ctx context.Context, allowStale bool) (Cursor, error)
	// WatchUpstreams waits for changed entries.
	WatchUpstreams(ctx context.Context, o WatchOptions) ([]catalog.Entry, Cursor, error)
}

// Freshness finds out whether stale reads of the platform's store lag. Readers record what their reads show.
type Freshness interface {
	// StaleReads returns a context that ends when stale reads turn out to lag. A stale read that is still waiting must then be
	// given up and repeated as a current one. While reads must be current, the context has ended already.
	StaleReads() context.Context
	// Newest returns the newest position of the store that this VM or the VMs that reported to it have read.
	Newest() Cursor
	// RecordRead records the position that a read of this VM showed. A stale watch that returned the position from which it started
	// shows none and is not recorded.
	RecordRead(position Cursor, stale bool)
	// RecordHistoryGone records that the store lost its history, after which its stale reads may lag by seconds.
	RecordHistoryGone()
	// RecordUnavailable records that the store did not answer a read of this VM.
	RecordUnavailable()
	// CurrentWatch bounds a watch with current reads, so that a stale one follows soon after stale reads have caught up.
	CurrentWatch() time.Duration
}

// VMEntry is the entry that a VM writes about itself to the store.
type VMEntry struct {
	VM core.VM
	// Capacity is the processing power of the VM in cores.
	Capacity float64
	// Removed is true when the store no longer holds the entry.
	Removed bool
}

// VMStore manages the entries of the VMs in the store. Errors are those of CatalogStore.
type VMStore interface {
	// AnnounceVM writes the entry of a VM, replacing the one of its previous incarnation.
	AnnounceVM(ctx context.Context, e VMEntry) error
	// WithdrawVM removes the entry of a VM that is leaving.
	WithdrawVM(ctx context.Context, name core.VMName) error
	// VMs returns all entries.
	VMs(ctx context.Context, allowStale bool) ([]VMEntry, Cursor, error)
	// WatchVMs waits for changed entries.
	WatchVMs(ctx context.Context, o WatchOptions) ([]VMEntry, Cursor, error)
}

// DelegateOutcome is the outcome of a delegation of a request to another VM.
type DelegateOutcome int

// Outcomes of a delegation.
const (
	// NotDelegated: this VM must run the request.
	NotDelegated DelegateOutcome = iota
	// MaybeDelegated: it is unknown whether the other VM runs the request. Both VMs together must not exceed the attempts
	// that the route allows for a sub-request: this VM may make one, the other VM the rest.
	MaybeDelegated
	// Delegated: the answer is final.
	Delegated
)

// Delegate hands gathered requests over to gatherers, which package coord/gatherers chooses.
type Delegate interface {
	// Delegate returns the answer of another VM, or an outcome that requires this VM to run the request. The other VM
	// accepts it only with the same version of the routing table.
	Delegate(ctx context.Context, view *core.View, route *core.Route, r *core.ForwardRequest) (RoutedAnswer, DelegateOutcome)
	// Share returns the share, between 0 and 1, that this VM may use of a limit on the requests of all VMs to a service.
	Share(view *core.View, service core.ServiceName) float64
	// Serve sets the function that runs the requests of other VMs on this VM. It must be called before the application
	// starts.
	Serve(run func(ctx context.Context, d DelegatedRequest) RoutedAnswer)
}

// DelegatedRequest is a request that another VM handed over.
type DelegatedRequest struct {
	Request *core.ForwardRequest
	// View is the view with which this VM accepted the request.
	View *core.View
	// Confirmed is closed once it is certain that the other VM does not run the request itself. Until then, each sub-request
	// may have one attempt less than the route allows, because the other VM may make that attempt.
	Confirmed <-chan struct{}
}

// Reach tracks which failure domains are reachable. It is safe for concurrent use and does not block.
type Reach interface {
	// RecordRequest records a request to an upstream of a failure domain.
	RecordRequest(domain core.FailureDomain)
	// RecordResponse records any response from a failure domain.
	RecordResponse(domain core.FailureDomain)
	// IsUnreachable reports whether a failure domain is unreachable from this VM.
	IsUnreachable(domain core.FailureDomain) bool
	// Isolated reports whether all other failure domains with upstreams are unreachable from this VM.
	Isolated() bool
}

// Catalog keeps the routing table and the registered upstreams in the view up to date.
type Catalog interface {
	// ReportMisdirected reports that another upstream answered at the registered address of an upstream.
	ReportMisdirected(id core.UpstreamID)
	// ReportLeaving reports that an upstream announced that it is leaving. The catalog remembers it for the incarnation of
	// the upstream, also if its entry disappears from the store and returns.
	ReportLeaving(upstream core.Upstream, since time.Time)
}

// UpstreamRequest is one attempt of a forwarded request at one upstream.
type UpstreamRequest struct {
	Request *core.ForwardRequest
	To      *core.Upstream
	// Deadline is the time from which the upstream may stop its work.
	Deadline time.Time
	// AtMostOnce is true for a request that must not be sent again when its outcome is unknown.
	AtMostOnce bool
	// Admit returns CodeOK if the request may still be sent, else why not. The client calls it immediately before it writes the
	// request, and returns a reply with that code, which did not run. Nil admits every request.
	Admit func() core.Code
	// Holder ends when the answer is no longer needed. Until then, the memory of its body counts towards the limit of the
	// client. Nil counts only the time of reading.
	Holder context.Context
}

// UpstreamClient sends requests to registered upstreams.
type UpstreamClient interface {
	// Send sends a request and waits for the complete answer or until ctx ends, which closes the connection.
	Send(ctx context.Context, r UpstreamRequest) core.Reply
}

// RoutedAnswer is the final answer to a caller.
type RoutedAnswer struct {
	Status int
	Header []core.HeaderField
	Body   []byte
	// Error is set when this VM, not an upstream, produced the answer and it is not a success.
	Error *core.Error
	// RetryAfter is the time after which a refused request may be retried, 0 when unspecified.
	RetryAfter time.Duration
	// Leaving holds the upstreams that announced in their answers to this request that they are leaving.
	Leaving []core.Upstream
}

// Router runs requests on routes.
type Router interface {
	// Route returns the answer to a request. Cancelling ctx means that the caller has disconnected.
	Route(ctx context.Context, r *core.ForwardRequest) RoutedAnswer
}
