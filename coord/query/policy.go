package query

import (
	"math/rand/v2"
	"time"

	"gooseberrylane.example/core"
)

// Candidate is a replica that a selector may choose.
type Candidate struct {
	Upstream *core.Upstream
	State    *core.UpstreamState
	// Local is true if the replica is in the failure domain of this VM.
	Local bool
	// Tried is the number of attempts of the sub-request that were sent to the replica.
	Tried int
}

// Selector chooses a replica. Implementations are safe for concurrent use and do not block.
type Selector interface {
	// Select returns the index of the chosen candidate, or -1 if none may get work. candidates is never empty.
	Select(now time.Time, random *rand.Rand, candidates []Candidate) int
	// ObserveResult records the result code of an attempt at an upstream of a group. view holds the states of the group.
	ObserveResult(now time.Time, view *core.View, group *core.Group, upstream core.UpstreamID, code core.Code)
}

// Hedger decides on hedges. Implementations are safe for concurrent use and do not block.
type Hedger interface {
	// Delay returns how long to wait for the result of an attempt at a group before a hedge is sent, and whether hedging
	// is enabled for the group.
	Delay(service *core.Service, group core.GroupName) (time.Duration, bool)
	// Allow spends one hedge from the budget, or returns false if the budget is used up.
	Allow(now time.Time, service *core.Service) bool
	// ObserveFirstAttempt adds the share that one first attempt earns to the budget.
	ObserveFirstAttempt(now time.Time, service *core.Service)
	// ObserveLatency records the latency of a finished attempt.
	ObserveLatency(service *core.Service, group core.GroupName, took time.Duration)
	// ObserveCancelled records that an attempt was cancelled without a result after a time.
	ObserveCancelled(service *core.Service, group core.GroupName, after time.Duration)
}

// Failure describes a failed attempt to a Retrier.
type Failure struct {
	Code core.Code
	// Attempts is the number of attempts of the sub-request so far, from 1. FreeRetries is the number of its retries that
	// were not charged to the budget.
	Attempts, FreeRetries int
	// TimeLeft is the time until the cut-off of the query.
	TimeLeft time.Duration
}

// Retrier decides on retries. Implementations are safe for concurrent use and do not block.
type Retrier interface {
	// Allow returns the delay before a retry, which is shorter than the time left, or false. It spends one retry from
	// the budget unless the failed attempt caused no work at an upstream; free is true in that case.
	Allow(now time.Time, random *rand.Rand, service *core.Service, failure Failure) (delay time.Duration, free, ok bool)
	// ObserveFirstAttempt adds the share that one first attempt earns to the budget.
	ObserveFirstAttempt(now time.Time, service *core.Service)
}

// Policies are the replaceable policies of a machine.
type Policies struct {
	Selector Selector
	Hedger   Hedger
	Retrier  Retrier
}
