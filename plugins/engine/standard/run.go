package standard

import (
	"context"
	"time"

	"gooseberrylane.example/coord/query"
	"gooseberrylane.example/coord/snapshot"
	"gooseberrylane.example/core"
)

// run drives one machine with sockets and timers.
type run struct {
	engine  *engine
	view    *core.View
	version core.IndexVersion
	machine *query.Machine
	results chan core.LegResult
	// sent holds the upstream of each attempt that has no result yet.
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
		// Two attempts a shard is the usual most; deliver waits for the query's end when more arrive at once.
		results: make(chan core.LegResult, 2*len(shards)+1),
		sent:    make(map[core.AttemptID]core.UpstreamID, len(shards)),
	}
}

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
	r.forgetOpen()
	return r.machine.Answer()
}

func abortReason(ctx context.Context) core.Code {
	if ctx.Err() == context.DeadlineExceeded {
		return core.CodeDeadlineExceeded
	}
	return core.CodeCancelled
}

func (r *run) perform(ctx context.Context, actions []query.Action) {
	var legs, cancelled []core.Leg
	for i := range actions {
		leg := actions[i].Leg
		switch actions[i].Kind {
		case query.ActionSend:
			legs = append(legs, leg)
			r.began(leg)
		case query.ActionCancel:
			cancelled = append(cancelled, leg)
		}
	}
	if len(legs) > 0 {
		r.engine.Dispatcher.Send(ctx, legs, func(result core.LegResult) {
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

func (r *run) began(leg core.Leg) {
	r.sent[leg.Attempt] = leg.Upstream
	if state := r.view.State(leg.Upstream); state != nil {
		state.InFlight.Add(1)
		state.Sent.Add(1)
	}
}

// observe stores what a result tells about its upstream.
func (r *run) observe(result *core.LegResult) {
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
		state.SetMissing(r.version, result.Window)
	} else {
		state.SetWindow(result.Window)
	}
	if result.Draining {
		state.DrainSince.CompareAndSwap(0, r.engine.Clock.Now().UnixNano())
	}
	switch {
	case result.Code == core.CodeOK:
		state.ObserveLatency(result.Took)
	case result.Code == core.CodeShed || result.Code == core.CodeOverloaded:
		state.Shed.Add(1)
		state.LastShed.Store(r.engine.Clock.Now().UnixNano())
	case result.Code == core.CodeVersionMissing || result.Code == core.CodeDraining:
		// A refusal with a reason of the upstream's own is no failure.
	case result.Code != core.CodeCancelled:
		state.Failed.Add(1)
	}
}

// forgetOpen ends the count of attempts whose results nobody waits for.
func (r *run) forgetOpen() {
	for _, upstream := range r.sent {
		if state := r.view.State(upstream); state != nil {
			state.InFlight.Add(-1)
		}
	}
}

// pin returns the index version for a query. While no window is known for some group, it asks the owners first.
func (e *engine) pin(ctx context.Context, view *core.View, service *core.Service, deadline time.Time) core.IndexVersion {
	if unknown := unknownWindows(view, service); len(unknown) > 0 {
		e.learnWindows(ctx, view, unknown, deadline)
	}
	return chooseVersion(view, service)
}

func chooseVersion(view *core.View, service *core.Service) core.IndexVersion {
	groups := make([][]core.Window, len(service.Groups))
	for g := range service.Groups {
		for u := range service.Groups[g].Upstreams {
			if state := view.State(service.Groups[g].Upstreams[u].ID); state != nil {
				groups[g] = append(groups[g], state.Window())
			}
		}
	}
	return snapshot.Choose(service.Rule.VersionRule, groups)
}

// unknownWindows returns the upstreams of the groups of which no window is known.
func unknownWindows(view *core.View, service *core.Service) []core.UpstreamID {
	var unknown []core.UpstreamID
	for g := range service.Groups {
		known := false
		for u := range service.Groups[g].Upstreams {
			state := view.State(service.Groups[g].Upstreams[u].ID)
			known = known || (state != nil && state.Window().Newest != 0)
		}
		if known {
			continue
		}
		for u := range service.Groups[g].Upstreams {
			unknown = append(unknown, service.Groups[g].Upstreams[u].ID)
		}
	}
	return unknown
}

// learnWindows asks the owners of upstreams for their windows. Legs without a version run nothing.
func (e *engine) learnWindows(ctx context.Context, view *core.View, upstreams []core.UpstreamID, deadline time.Time) {
	now := e.Clock.Now()
	until := now.Add(time.Duration(float64(deadline.Sub(now)) * probeShare))
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	results := make(chan core.LegResult, len(upstreams))
	byAttempt := make(map[core.AttemptID]core.UpstreamID, len(upstreams))
	legs := make([]core.Leg, len(upstreams))
	for i, id := range upstreams {
		legs[i] = core.Leg{Attempt: e.nextAttempt(), Upstream: id, NotAfter: until, Idempotent: true}
		byAttempt[legs[i].Attempt] = id
	}
	e.Dispatcher.Send(ctx, legs, func(r core.LegResult) { results <- r })
	for range legs {
		select {
		case r := <-results:
			if state := view.State(byAttempt[r.Attempt]); state != nil {
				state.SetWindow(r.Window)
			}
		case <-ctx.Done():
			return
		}
	}
}
