package standard

import (
	"context"
	"time"

	"gooseberrylane.example/coord/query"
	"gooseberrylane.example/core"
)

// run executes the actions of one query state machine, and feeds it results and timer events.
type run struct {
	engine  *engine
	view    *core.View
	version core.IndexVersion
	machine *query.Machine
	results chan core.AttemptResult
	// sent maps each attempt without a result to its upstream.
	sent map[core.AttemptID]core.UpstreamID
}

func newRun(e *engine, view *core.View, service *core.Service, shards []core.Shard, q *core.Query, version core.IndexVersion) *run {
	return &run{
		engine: e, view: view, version: version,
		machine: query.New(query.Config{
			Query: *q, Service: service, View: view, Version: version, Shards: shards,
			Policies: query.Policies{Selector: e.Selector, Hedger: e.Hedger, Retrier: e.Retrier},
			Random:   e.Random.Generator(), NextAttempt: e.nextAttempt, Margin: e.margin(e.Clock.Now(), q.Deadline),
		}),
		// A shard rarely has more than two attempts. When the buffer is full, delivery blocks until there is room or the
		// query ends.
		results: make(chan core.AttemptResult, 2*len(shards)+1),
		sent:    make(map[core.AttemptID]core.UpstreamID, len(shards)),
	}
}

// drive runs the state machine until the query has ended, and returns the answer.
func (r *run) drive(ctx context.Context) core.Answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	now := r.engine.Clock.Now()
	r.perform(ctx, r.machine.Start(now))
	timer := time.NewTimer(r.machine.NextWake().Sub(now))
	defer timer.Stop()
	for !r.machine.Done() {
		select {
		case result := <-r.results:
			r.observe(&result)
			r.perform(ctx, r.machine.Result(r.engine.Clock.Now(), result))
		case <-timer.C:
			r.perform(ctx, r.machine.Wake(r.engine.Clock.Now()))
		case <-ctx.Done():
			r.perform(ctx, r.machine.Abort(r.engine.Clock.Now(), abortReason(ctx)))
		}
		timer.Reset(r.machine.NextWake().Sub(r.engine.Clock.Now()))
	}
	r.releaseOpen()
	return r.machine.Answer()
}

func abortReason(ctx context.Context) core.Code {
	if ctx.Err() == context.DeadlineExceeded {
		return core.CodeDeadlineExceeded
	}
	return core.CodeCancelled
}

func (r *run) perform(ctx context.Context, actions []query.Action) {
	var attempts, cancelled []core.Attempt
	for i := range actions {
		attempt := actions[i].Attempt
		switch actions[i].Kind {
		case query.ActionSend:
			attempts = append(attempts, attempt)
			r.recordSent(attempt)
		case query.ActionCancel:
			cancelled = append(cancelled, attempt)
		}
	}
	if len(attempts) > 0 {
		r.engine.Dispatcher.Send(ctx, attempts, func(result core.AttemptResult) {
			select {
			case r.results <- result:
			case <-ctx.Done():
			}
		})
	}
	if len(cancelled) > 0 {
		r.engine.Dispatcher.Cancel(cancelled)
	}
}

func (r *run) recordSent(attempt core.Attempt) {
	r.sent[attempt.ID] = attempt.Upstream
	if state := r.view.State(attempt.Upstream); state != nil {
		state.InFlight.Add(1)
		state.Sent.Add(1)
	}
}

// observe updates the state of an upstream from a result.
func (r *run) observe(result *core.AttemptResult) {
	upstream, ok := r.sent[result.Attempt]
	if !ok {
		return
	}
	delete(r.sent, result.Attempt)
	state := r.view.State(upstream)
	if state == nil {
		return
	}
	state.InFlight.Add(-1)
	if result.Code == core.CodeVersionMissing {
		state.SetWindowAfterMiss(r.version, result.Window)
	} else {
		state.SetWindow(result.Window)
	}
	// For held upstreams, the executor sets and clears DrainSince.
	if result.Draining && !r.engine.State.Load().Ownership.Held[upstream] {
		state.DrainSince.CompareAndSwap(0, r.engine.Clock.Now().UnixNano())
	}
	switch {
	case result.Code == core.CodeOK:
		state.ObserveLatency(result.Took)
	case result.Code == core.CodeShed || result.Code == core.CodeOverloaded:
		state.Shed.Add(1)
		state.LastShed.Store(r.engine.Clock.Now().UnixNano())
	case result.Code == core.CodeVersionMissing || result.Code == core.CodeDraining:
		// These refusals are normal operation of the upstream and do not count as failures.
	case result.Code != core.CodeCancelled:
		state.Failed.Add(1)
	}
}

// releaseOpen removes the attempts without a result from the in-flight counts when the query has ended.
func (r *run) releaseOpen() {
	for _, upstream := range r.sent {
		if state := r.view.State(upstream); state != nil {
			state.InFlight.Add(-1)
		}
	}
}
