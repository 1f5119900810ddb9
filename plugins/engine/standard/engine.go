// Package standard is the plug-in that runs queries: it drives the state machine of coord/query with results and timers.
package standard

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"gooseberrylane.example/coord/query"
	"gooseberrylane.example/coord/snapshot"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.EngineKind, Name: "standard",
		Settings: func() any {
			return &Settings{MarginMS: defaultMarginMS, RecordTimeoutMS: defaultRecordTimeoutMS}
		},
		Options: func(s any) fx.Option {
			return fx.Provide(func(lc fx.Lifecycle, p params) kinds.Engine { return newEngine(lc, p, s.(*Settings)) })
		},
	})
}

const (
	defaultMarginMS        = 5
	defaultRecordTimeoutMS = 2000
	// marginShare limits the margin of queries with short deadlines, as a fraction of the remaining time.
	marginShare = 0.1
	// windowFetchShare limits the time for fetching index windows, as a fraction of the remaining time of the query.
	windowFetchShare = 0.25
)

// Settings of the plug-in.
type Settings struct {
	// MarginMS is the time reserved before a query's deadline for returning the answer, in milliseconds. Default 5.
	MarginMS int64 `json:"margin_ms" validate:"gte=0,lte=10000"`
	// RecordTimeoutMS is the timeout for recording the outcome of a query that has ended, in milliseconds. Default 2000.
	RecordTimeoutMS int64 `json:"record_timeout_ms" validate:"gte=1,lte=60000"`
}

type params struct {
	fx.In
	State      *kernel.State
	Identity   kernel.Identity
	Clock      kernel.Clock
	Random     *kernel.Random
	Dispatcher kinds.Dispatcher
	Admission  kinds.Admission
	Records    kinds.Records
	Selector   query.Selector
	Hedger     query.Hedger
	Retrier    query.Retrier
	Observers  []kinds.QueryObserver `group:"query_observers"`
}

type engine struct {
	params
	settings *Settings
	sequence atomic.Uint64
	// lastWindowFailure maps core.UpstreamID to the time.Time of the last request for its window that failed.
	lastWindowFailure sync.Map
	stop              context.CancelFunc
	background        sync.WaitGroup
}

func newEngine(lc fx.Lifecycle, p params, settings *Settings) kinds.Engine {
	e := &engine{params: p, settings: settings}
	lc.Append(fx.Hook{OnStart: e.start, OnStop: e.shutdown})
	return e
}

// Run implements kinds.Engine.
func (e *engine) Run(ctx context.Context, q core.Query) core.Answer {
	started := e.Clock.Now()
	answer := e.admitAndRun(ctx, q)
	took := e.Clock.Now().Sub(started)
	for _, observer := range e.Observers {
		observer.QueryFinished(&q, &answer, took)
	}
	return answer
}

// admitAndRun runs a query if the VM has a configuration, the service exists and the admission control accepts the query.
func (e *engine) admitAndRun(ctx context.Context, q core.Query) core.Answer {
	view := e.State.Load()
	if !view.Ready {
		return errorAnswer(&q, core.Errorf(core.CodeNotReady, "no configuration is in force on this VM"), 0)
	}
	service := view.Config.Services[q.Service]
	if service == nil {
		return errorAnswer(&q, core.Errorf(core.CodeUnknownService, "service %q", q.Service), 0)
	}
	ctx, cancel := kernel.WithDeadline(ctx, e.Clock, q.Deadline)
	defer cancel()
	release, retryAfter, err := e.Admission.Enter(ctx, &q, service)
	if err != nil {
		return errorAnswer(&q, err, retryAfter)
	}
	var answer core.Answer
	defer func() { release(&answer) }()
	if q.Idempotent {
		answer = e.runPinned(ctx, view, service, &q)
	} else {
		answer = e.runOnce(ctx, view, service, &q)
	}
	return answer
}

// errorAnswer returns an answer that carries only an error.
func errorAnswer(q *core.Query, err error, retryAfter time.Duration) core.Answer {
	var coded *core.Error
	if !errors.As(err, &coded) {
		coded = core.Errorf(core.CodeInternal, "%v", err)
	}
	return core.Answer{Code: coded.Code, Detail: coded.Detail, RequestID: q.RequestID, RetryAfter: retryAfter}
}

// runPinned runs an idempotent query on one index version. If no shard was covered because the upstreams no longer or not
// yet hold the version, it pins another version once.
func (e *engine) runPinned(ctx context.Context, view *core.View, service *core.Service, q *core.Query) core.Answer {
	version := e.pin(ctx, view, service, q.Deadline)
	answer := e.runAt(ctx, view, q, version)
	if !snapshot.MayRepin(&answer) {
		return answer
	}
	repinned := chooseVersion(view, service)
	if repinned == version || !e.Clock.Now().Before(q.Deadline) {
		return answer
	}
	if _, _, err := query.Resolve(view, q, repinned); err != nil {
		// Unlike a refusal, the first answer lists the missing shards.
		return answer
	}
	return e.runAt(ctx, view, q, repinned)
}

// runOnce runs a non-idempotent query unless the record of an earlier request with the same ID prevents it.
func (e *engine) runOnce(ctx context.Context, view *core.View, service *core.Service, q *core.Query) core.Answer {
	version := e.pin(ctx, view, service, q.Deadline)
	if _, _, err := query.Resolve(view, q, version); err != nil {
		return errorAnswer(q, err, 0)
	}
	claim, record, err := e.Records.Begin(ctx, q)
	if err != nil {
		return errorAnswer(q, err, 0)
	}
	if claim == nil {
		return answerFromRecord(q, record)
	}
	answer := e.runAt(ctx, view, q, version)
	outcome := outcomeOf(&answer)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(e.settings.RecordTimeoutMS)*time.Millisecond)
	defer cancel()
	// If the write fails, a resend is answered with outcome_unknown, which is safe.
	_ = claim.Finish(ctx, outcome, answer)
	return answer
}

func outcomeOf(answer *core.Answer) core.Outcome {
	switch {
	case answer.Code == core.CodeOK || answer.Code == core.CodeUpstreamError:
		return core.OutcomeRan
	case answer.Code.IsNotRun():
		return core.OutcomeNotRun
	default:
		return core.OutcomeUnknown
	}
}

// answerFromRecord returns the answer to a resend, from the record of the earlier request.
func answerFromRecord(q *core.Query, record kinds.Record) core.Answer {
	switch {
	case record.Finished && record.Answer != nil:
		return *record.Answer
	case record.Finished && record.Outcome == core.OutcomeRan:
		return errorAnswer(q, core.Errorf(core.CodeAlreadyRan, "the request has run, but its answer was not stored"), 0)
	case record.Finished:
		return errorAnswer(q, core.Errorf(core.CodeOutcomeUnknown, "an earlier request with this ID has no known outcome"), 0)
	default:
		return errorAnswer(q, core.Errorf(core.CodeInProgress, "a request with this ID is running"), 0)
	}
}

// runAt runs a query on one index version.
func (e *engine) runAt(ctx context.Context, view *core.View, q *core.Query, version core.IndexVersion) core.Answer {
	service, shards, err := query.Resolve(view, q, version)
	if err != nil {
		return errorAnswer(q, err, 0)
	}
	return newRun(e, view, service, shards, q, version).drive(ctx)
}

func (e *engine) nextAttempt() core.AttemptID {
	return core.AttemptID{VM: e.Identity.VM, Incarnation: e.Identity.Incarnation, Sequence: e.sequence.Add(1)}
}

func (e *engine) margin(now, deadline time.Time) time.Duration {
	share := time.Duration(float64(deadline.Sub(now)) * marginShare)
	return min(time.Duration(e.settings.MarginMS)*time.Millisecond, max(share, 0))
}
