// Package burn measures service levels: it counts queries against objectives, keeps the counts in time slots that merge
// exactly across VMs, and computes how fast the error budget of a service is used up. It does no I/O.
package burn

import (
	"time"

	"gooseberrylane.example/core"
)

// Objective states the service levels of one service. Targets are fractions between 0 and 1.
type Objective struct {
	// Service is the name of the service. Required.
	Service core.ServiceName `json:"service" validate:"required,max=128"`
	// Targets are the service levels that the service should reach. Required.
	Targets Targets `json:"targets"`
}

// Targets are the service levels of one service.
type Targets struct {
	// LatencyMS is the time within which a completed query should be answered, in milliseconds. Default 270.
	LatencyMS core.Milliseconds `json:"latency_ms" validate:"gte=1,lte=600000"`
	// Latency is the fraction of completed queries that should be answered within LatencyMS. Default 0.99.
	Latency float64 `json:"latency" validate:"gt=0,lt=1"`
	// Coverage is the fraction of the requested shards that answers should cover. Default 0.9999.
	Coverage float64 `json:"coverage" validate:"gt=0,lt=1"`
	// Completed is the fraction of queries that should receive an answer. Default 0.999.
	Completed float64 `json:"completed" validate:"gt=0,lt=1"`
}

// DefaultTargets apply to services without an objective of their own. The latency is the design target for
// 99 of 100 answers.
var DefaultTargets = Targets{LatencyMS: 270, Latency: 0.99, Coverage: 0.9999, Completed: 0.999}

// Event is one finished query.
type Event struct {
	Code    core.Code
	Latency time.Duration
	// Requested and Covered count the requested shards and those that the answer covers.
	Requested, Covered int
}

// Counts are counts of queries and shards. They are additive: the counts of all VMs sum to those of the fleet.
type Counts struct {
	// Requests counts the queries that the objectives apply to.
	Requests uint64 `json:"requests"`
	// Completed counts the queries among them that received a complete or partial answer.
	Completed uint64 `json:"completed"`
	// Timely counts the completed queries that were answered within the latency of the objective.
	Timely uint64 `json:"timely"`
	// ShardsRequested and ShardsCovered count the shards of completed queries.
	ShardsRequested uint64 `json:"shards_asked"`
	ShardsCovered   uint64 `json:"shards_covered"`
	// Excluded counts the queries to which the objectives do not apply: see IsExcluded.
	Excluded uint64 `json:"excluded"`
}

// IsExcluded reports whether the objectives do not apply to an event: the input was invalid, the caller exceeded its
// rate, the same request was already running, or the caller cancelled within the latency of the objective. A caller
// that cancels later may have done so because the answer was slow, so that event counts.
func IsExcluded(e Event, latency time.Duration) bool {
	switch {
	case e.Code >= core.CodeBadRequest && e.Code < core.CodeNotRun:
		return true
	case e.Code == core.CodeRateLimited || e.Code == core.CodeInProgress:
		return true
	default:
		return e.Code == core.CodeCancelled && e.Latency <= latency
	}
}

// Classify returns the counts of one event for the latency of an objective.
func Classify(e Event, latency time.Duration) Counts {
	if IsExcluded(e, latency) {
		return Counts{Excluded: 1}
	}
	counts := Counts{Requests: 1}
	if e.Code != core.CodeOK && e.Code != core.CodePartial && e.Code != core.CodeAlreadyRan {
		return counts
	}
	counts.Completed = 1
	counts.ShardsRequested, counts.ShardsCovered = uint64(e.Requested), uint64(e.Covered)
	if e.Latency <= latency {
		counts.Timely = 1
	}
	return counts
}

// Plus returns the sum of two counts.
func (c Counts) Plus(o Counts) Counts {
	return Counts{
		Requests: c.Requests + o.Requests, Completed: c.Completed + o.Completed, Timely: c.Timely + o.Timely,
		ShardsRequested: c.ShardsRequested + o.ShardsRequested, ShardsCovered: c.ShardsCovered + o.ShardsCovered,
		Excluded: c.Excluded + o.Excluded,
	}
}

// Minus returns the increase since earlier counts of the same series.
func (c Counts) Minus(earlier Counts) Counts {
	return Counts{
		Requests: c.Requests - earlier.Requests, Completed: c.Completed - earlier.Completed, Timely: c.Timely - earlier.Timely,
		ShardsRequested: c.ShardsRequested - earlier.ShardsRequested, ShardsCovered: c.ShardsCovered - earlier.ShardsCovered,
		Excluded: c.Excluded - earlier.Excluded,
	}
}

// Events returns the number of counted events.
func (c Counts) Events() uint64 { return c.Requests + c.Excluded }
