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
	// Local is true when the replica is in the failure domain of this VM.
	Local bool
	// Tried is the number of attempts of this sub-request that went to the replica already.
	Tried int
}

// Selector chooses a replica. Implementations are safe for concurrent use and do not block.
type Selector interface {
	// Select returns the index of the chosen candidate, or -1 when none may get work. Candidates are never empty.
	Select(now time.Time, random *rand.Rand, candidates []Candidate) int
	// ObserveResult learns from the code of the result of an attempt at an upstream of a group. view holds the states of the group.
	ObserveResult(now time.Time, view *core.View, group *core.Group, upstream core.UpstreamID, code core.Code)
}

// Hedger decides on second requests. Implementations are safe for concurrent use and do not block.
type Hedger interface {
	// Delay returns how long to wait for a first result of a group before a second request, and whether hedging is on
	// for the group.
	Delay(service *core.Service, group core.GroupName) (time.Duration, bool)
	// Allow spends one second request from the load budget, or reports that the budget is used up.
	Allow(now time.Time, service *core.Service) bool
	// ObserveLeg counts one first attempt towards the budget.
	ObserveLeg(now time.Time, service *core.Service)
	// ObserveLatency learns from a finished attempt.
	ObserveLatency(service *core.Service, group core.GroupName, took time.Duration)
	// ObserveCancelled learns from an attempt that was cancelled after a time without a result.
	ObserveCancelled(service *core.Service, group core.GroupName, after time.Duration)
}

// Failure describes a failed attempt to a Retrier.
type Failure struct {
	Code core.Code
	// Attempts is the number of attempts of the sub-request so far, from 1. Free is how many of them were followed by a
	// retry that cost no upstream anything.
	Attempts, Free int
	// Left is the time until the query gives up.
	Left time.Duration
}

// Retrier decides on retries. Implementations are safe for concurrent use and do not block.
type Retrier interface {
	// Allow returns the delay before a retry, which is shorter than the time left, or false. It spends one retry from
	// the budget unless the failure cost no upstream anything; free tells that it did not.
	Allow(now time.Time, random *rand.Rand, service *core.Service, failure Failure) (delay time.Duration, free, ok bool)
	// ObserveLeg counts one first attempt towards the budget.
	ObserveLeg(now time.Time, service *core.Service)
}

// Policies are the exchangeable decisions of a machine.
type Policies struct {
	Selector Selector
	Hedger   Hedger
	Retrier  Retrier
}
