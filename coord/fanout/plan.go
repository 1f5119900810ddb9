// Package fanout decides, for one request, which upstreams get it, when another one is asked too, and when and what to
// answer. A request that goes to one service is a plan with one leg; a gathered request has one leg for each shard.
package fanout

import (
	"math"
	"time"

	"gooseberrylane.example/core"
)

// Plan is what is known of a request before the first upstream is asked.
type Plan struct {
	// Route rules the request.
	Route *core.Route
	Legs  []Leg
	Times Times
	// Attempts bounds the upstreams that get one leg; 0 means as many as the route allows.
	Attempts int
}

// Leg is the part of a request that one service answers.
type Leg struct {
	Service core.ServiceName
	// Group holds the replicas of the service; nil when none is known.
	Group *core.Group
}

// Times are the moments at which the answer may change.
type Times struct {
	// PartialAt is when a gathered answer that covers enough is given although parts are missing, so that it is within
	// the latency objective.
	PartialAt time.Time
	// ObjectiveAt is when the latency objective is missed. From then on coverage counts more than time.
	ObjectiveAt time.Time
	// SettleAt is when a late gathered answer that covers enough is given.
	SettleAt time.Time
	// GiveUp is when the request ends without what is still missing.
	GiveUp time.Time
}

// Shares of the objective and of the remaining time that place the moments of a request.
type Shares struct {
	// Partial is the share of the latency objective after which a partial answer is given.
	Partial float64
	// Margin is the least part of the objective that is left for the ways between the caller and the VM.
	Margin time.Duration
	// Settle is the share of the time until GiveUp after which a late partial answer is given.
	Settle float64
}

// Schedule places the moments of a request. limit is the end of the caller's patience, zero when it is not known.
func Schedule(route *core.Route, arrived, limit time.Time, shares Shares) Times {
	giveUp := arrived.Add(route.Timeout)
	if !limit.IsZero() && limit.Before(giveUp) {
		giveUp = limit
	}
	return Times{
		PartialAt:   arrived.Add(max(min(scale(route.Objective, shares.Partial), route.Objective-shares.Margin), 0)),
		ObjectiveAt: arrived.Add(route.Objective),
		SettleAt:    arrived.Add(scale(giveUp.Sub(arrived), shares.Settle)),
		GiveUp:      giveUp,
	}
}

func scale(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }

// needed returns how many legs an answer must cover.
func (p *Plan) needed() int {
	if p.Route.Gather == nil {
		return len(p.Legs)
	}
	// The small term keeps 0.75 of 20 at 15 in spite of rounding.
	const rounding = 1e-9
	return max(int(math.Ceil(p.Route.Gather.MinCoverage*float64(len(p.Legs))-rounding)), 1)
}

// Policies are the decisions that depend on more than one request. Implementations are safe for concurrent use and do
// not block.
type Policies interface {
	// Choose returns a replica that was not tried, or nil when none may get work.
	Choose(now time.Time, group *core.Group, tried []core.UpstreamID) *core.Upstream
	// HedgeDelay returns how long to wait for a leg before a second replica is asked.
	HedgeDelay(route *core.Route) time.Duration
	// AllowExtra spends one request beyond the first from the budget of a service, or reports that it is used up.
	AllowExtra(now time.Time, service core.ServiceName) bool
}

// Reason says why an upstream gets a request.
type Reason int

// Reasons.
const (
	First Reason = iota
	Hedge
	Retry
)

// String returns the name of the reason in logs.
func (r Reason) String() string { return [...]string{"first", "hedge", "retry"}[r] }

// Send asks the driver to send a leg to an upstream.
type Send struct {
	Leg      int
	Upstream *core.Upstream
	Reason   Reason
}

// Verdict is how a request ends.
type Verdict int

// Verdicts. Pending is the zero value.
const (
	Pending Verdict = iota
	// Complete covers every leg.
	Complete
	// Partial covers enough legs of a gathered request.
	Partial
	// Failed passes on the failure of an upstream, or tells that the outcome is unknown.
	Failed
	// Refused proves that the request did not run.
	Refused
	// Expired tells that the time was over while an upstream may have run the request.
	Expired
)

// String returns the name of the verdict in logs.
func (v Verdict) String() string {
	return [...]string{"pending", "complete", "partial", "failed", "refused", "expired"}[v]
}
