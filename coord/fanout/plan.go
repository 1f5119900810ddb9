// Package fanout decides, for one request, which upstreams get it, when to hedge and retry, and when the request ends with
// which verdict. A request to a single service is a plan with one sub-request; a gathered request has one sub-request per
// shard.
package fanout

import (
	"math"
	"time"

	"gooseberrylane.example/core"
)

// Plan is the input of a Machine: what is known of a request before the first attempt.
type Plan struct {
	// Route is the route of the request.
	Route       *core.Route
	SubRequests []SubRequest
	Times       Times
	// Attempts limits the upstreams that get one sub-request; 0 means the limit of the route.
	Attempts int
	// MaybeRan is set if another VM may have run the request, so that it must not be refused as not run.
	MaybeRan bool
}

// SubRequest is one shard's part of a request, answered by one service.
type SubRequest struct {
	Service core.ServiceName
	// Group holds the replicas of the service; nil if none is known.
	Group *core.Group
}

// Times are the times at which the verdict may change.
type Times struct {
	// PartialAt is when a partial answer with sufficient coverage is returned, to meet the latency objective.
	PartialAt time.Time
	// ObjectiveAt is when the latency objective is missed. From then on, coverage takes priority over latency.
	ObjectiveAt time.Time
	// LatePartialAt is when a late partial answer with sufficient coverage is returned.
	LatePartialAt time.Time
	// Deadline is when the request ends, whatever its coverage.
	Deadline time.Time
}

// Shares are the settings from which Schedule computes the times of a request.
type Shares struct {
	// Partial is the share of the latency objective after which a partial answer is returned.
	Partial float64
	// Margin is the minimum part of the latency objective that is reserved for the network between caller and VM.
	Margin time.Duration
	// LatePartial is the share of the time until Deadline after which a late partial answer is returned.
	LatePartial float64
}

// Schedule computes the times of a request. limit is the caller's deadline, zero if it is not known.
func Schedule(route *core.Route, arrived, limit time.Time, shares Shares) Times {
	deadline := arrived.Add(route.Timeout)
	if !limit.IsZero() && limit.Before(deadline) {
		deadline = limit
	}
	return Times{
		PartialAt:     arrived.Add(max(min(scale(route.Objective, shares.Partial), route.Objective-shares.Margin), 0)),
		ObjectiveAt:   arrived.Add(route.Objective),
		LatePartialAt: arrived.Add(scale(deadline.Sub(arrived), shares.LatePartial)),
		Deadline:      deadline,
	}
}

func scale(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }

// requiredCount returns how many sub-requests an answer must cover.
func (p *Plan) requiredCount() int {
	if p.Route.Gather == nil {
		return len(p.SubRequests)
	}
	// The small term keeps 0.55 of 100 at 55 despite floating-point rounding.
	const rounding = 1e-9
	return max(int(math.Ceil(p.Route.Gather.MinCoverage*float64(len(p.SubRequests))-rounding)), 1)
}

// Policies are the decisions that depend on the state of other requests. Implementations are safe for concurrent use and do
// not block.
type Policies interface {
	// Choose returns a replica that was not tried, or nil if none may get work for this reason.
	Choose(now time.Time, group *core.Group, tried []core.UpstreamID, reason Reason) *core.Upstream
	// NextAt returns the earliest time at which a replica that was not tried may get work: now if one may already, zero if
	// that is not known for any.
	NextAt(now time.Time, group *core.Group, tried []core.UpstreamID) time.Time
	// HedgeDelay returns how long to wait for a reply before a hedge is sent.
	HedgeDelay(route *core.Route) time.Duration
	// AllowExtra charges one hedge or retry to the budget of a service, or returns false if the budget is used up.
	AllowExtra(now time.Time, service core.ServiceName) bool
}

// Reason is why an attempt is made.
type Reason int

// Reasons.
const (
	First Reason = iota
	Hedge
	Retry
)

// String returns the name of the reason in logs.
func (r Reason) String() string { return [...]string{"first", "hedge", "retry"}[r] }

// Send is one attempt that the driver must make: a sub-request, given by its index in the plan, to an upstream.
type Send struct {
	SubRequest int
	Upstream   *core.Upstream
	Reason     Reason
}

// Verdict is how a request ends.
type Verdict int

// Verdicts. Pending is the zero value.
const (
	Pending Verdict = iota
	// Complete means that every sub-request is covered.
	Complete
	// Partial means that a gathered request has sufficient coverage.
	Partial
	// Failed means that an upstream failed the request or that its outcome is unknown.
	Failed
	// Refused means that the request certainly did not run.
	Refused
	// Expired means that the time ran out and an upstream may have run the request.
	Expired
)

// String returns the name of the verdict in logs.
func (v Verdict) String() string {
	return [...]string{"pending", "complete", "partial", "failed", "refused", "expired"}[v]
}
