package fanout

import (
	"context"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"gooseberrylane.example/coord/fanout"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

// run is the execution of one request.
type run struct {
	*router
	task
	plan    fanout.Plan
	machine *fanout.Machine
	results chan attemptResult
	load    *load
	// started is when the run began, immediately before the first attempts.
	started time.Time
	// caller ends when the caller has its answer or has disconnected.
	caller context.Context
	// replies holds the successful reply to each sub-request, failure the most informative failed reply.
	replies []*core.Reply
	failure *core.Reply
	// leaving holds the upstreams that announced in an answer to this request that they are leaving.
	leaving []core.Upstream
	// attempts holds the attempts of each sub-request.
	attempts [][]attempt
}

// attempt is one attempt of a sub-request. cancel ends it; an attempt that has ended is not affected.
type attempt struct {
	state  *core.UpstreamState
	cancel context.CancelCauseFunc
}

// attemptResult is the result of one attempt. sub is the index of the sub-request in the plan.
type attemptResult struct {
	sub      int
	upstream *core.Upstream
	reply    core.Reply
}

func newRun(r *router, t task, plan fanout.Plan, load *load) *run {
	return &run{
		router: r, task: t, plan: plan, machine: fanout.New(plan, r.policies), load: load, started: r.Clock.Now(),
		// The buffer holds all results, so that no attempt blocks after the run has ended.
		results: make(chan attemptResult, maxTotalAttempts(plan)),
		replies: make([]*core.Reply, len(plan.SubRequests)), attempts: make([][]attempt, len(plan.SubRequests)),
	}
}

// maxTotalAttempts returns the maximum number of attempts of a plan: each sub-request is sent at most once to each upstream
// of its group, plus fanout.MaxRepeats times.
func maxTotalAttempts(plan fanout.Plan) int {
	n := 0
	for i := range plan.SubRequests {
		if group := plan.SubRequests[i].Group; group != nil {
			n += len(group.Upstreams) + fanout.MaxRepeats
		}
	}
	return n
}

var (
	// errRequestEnded is the cancellation cause of attempts that are still open when the request has ended.
	errRequestEnded = errs.New("the request ended before the attempt")
	// errAnswered is the cancellation cause of attempts whose sub-request another replica has answered.
	errAnswered = errs.New("another replica has answered")
)

// execute runs the request and returns its answer. Attempts at upstreams that are not busy may continue for Settings.LingerMS
// then, unless the caller has disconnected.
func (r *run) execute(ctx context.Context) kinds.RoutedAnswer {
	// Attempts outlive the request's handler, at whose end ctx is cancelled.
	attemptCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	r.caller = ctx
	now := r.Clock.Now()
	for i := range r.plan.SubRequests {
		r.policies.budget(now, r.plan.SubRequests[i].Service).window.Count(now)
	}
	r.send(attemptCtx, r.machine.Start(now))
	timer := time.NewTimer(r.machine.Next(now).Sub(now))
	defer timer.Stop()
	for r.machine.Verdict() == fanout.Pending {
		select {
		case result := <-r.results:
			r.send(attemptCtx, r.handleResult(result))
		case <-timer.C:
			r.send(attemptCtx, r.machine.Wake(r.Clock.Now()))
		case <-r.confirmed:
			r.confirmed = nil
			r.machine.AllowAllAttempts()
		case <-ctx.Done():
			cancel(context.Canceled)
			r.counters.disconnected.Add(1)
			r.logEnd("left", http.StatusBadGateway, 0)
			return kinds.RoutedAnswer{Status: http.StatusBadGateway, Error: core.Errorf(core.CodeCancelled, "the caller disconnected")}
		}
		now = r.Clock.Now()
		r.updateThrottle(now)
		timer.Reset(r.machine.Next(now).Sub(now))
	}
	r.endAttempts(cancel)
	return r.answer()
}

// maxLingeringBodyBytes is the size of a body from which attempts end with their request, because its memory no longer counts then.
const maxLingeringBodyBytes = 4 << 10

// endAttempts cancels the attempts that are still open at the end of a request.
func (r *run) endAttempts(cancel context.CancelCauseFunc) {
	linger := r.load.abandon.Linger()
	if linger == 0 || len(r.request.Body) > maxLingeringBodyBytes {
		cancel(errRequestEnded)
		return
	}
	time.AfterFunc(linger, func() { cancel(errRequestEnded) })
}

// cancelAnswered cancels the other attempts of a sub-request that was answered, unless they may continue.
func (r *run) cancelAnswered(sub int) {
	if len(r.attempts[sub]) == 1 || r.load.abandon.Linger() > 0 {
		return
	}
	for _, a := range r.attempts[sub] {
		a.cancel(errAnswered)
	}
}

// observeSlowness records whether an attempt took so long that its answer was hardly in time.
func (r *run) observeSlowness(reply *core.Reply, took time.Duration) {
	slow := took > time.Duration(r.settings.HedgeMaxShare*float64(r.plan.Route.Objective))
	if reply.Code == core.CodeOK || (slow && (reply.Code == core.CodeDeadlineExceeded || reply.Code == core.CodeCancelled)) {
		r.load.abandon.Observe(slow)
	}
}

func (r *run) handleResult(result attemptResult) []fanout.Send {
	if result.reply.Leaving {
		r.leaving = append(r.leaving, *result.upstream)
	}
	switch {
	case result.reply.Code == core.CodeCancelled:
		// This VM abandoned the attempt because another replica had answered.
	case result.reply.Code != core.CodeOK:
		// To the caller, an answer of an upstream is more informative than a lost connection.
		if r.failure == nil || fanout.MayPassOn(&result.reply) || !fanout.MayPassOn(r.failure) {
			r.failure = &result.reply
		}
		r.Log.Info("attempt_failed", "request", string(r.request.ID), "service", string(r.plan.SubRequests[result.sub].Service),
			"upstream", string(result.upstream.ID), "code", result.reply.Code.String(), "status", result.reply.Status, "outcome", result.reply.Outcome.String(), "error", result.reply.Detail)
	case r.replies[result.sub] == nil:
		r.replies[result.sub] = &result.reply
		r.cancelAnswered(result.sub)
	}
	return r.machine.AttemptEnded(r.Clock.Now(), result.sub, &result.reply)
}

// send starts attempts.
func (r *run) send(ctx context.Context, sends []fanout.Send) {
	r.logSends(sends)
	for _, s := range sends {
		switch s.Reason {
		case fanout.Hedge:
			r.markHedged(s.SubRequest)
			r.counters.hedges.Add(1)
		case fanout.Retry:
			r.counters.retries.Add(1)
		}
		state := r.upstreamState(s.Upstream.ID)
		state.InFlight.Add(1)
		state.Sent.Add(1)
		attemptCtx, cancel := context.WithCancelCause(ctx)
		r.attempts[s.SubRequest] = append(r.attempts[s.SubRequest], attempt{state, cancel})
		go r.attempt(attemptCtx, s, state)
	}
}

// upstreamState returns the state of an upstream in the newest view, in which it was chosen. An upstream that was removed in the
// meantime has no state that later requests use.
func (r *run) upstreamState(id core.UpstreamID) *core.UpstreamState {
	if state := r.State.Load().State(id); state != nil {
		return state
	}
	if state := r.view.State(id); state != nil {
		return state
	}
	return &core.UpstreamState{}
}

// logSends logs the sends of one decision in one line. It omits the first sends of a gathered request, which go to one
// replica of each shard.
func (r *run) logSends(sends []fanout.Send) {
	if len(sends) == 0 || (sends[0].Reason == fanout.First && r.plan.Route.Gather != nil) {
		return
	}
	upstreams := make([]string, len(sends))
	for i, s := range sends {
		upstreams[i] = string(s.Upstream.ID)
	}
	r.Log.Info("attempts_sent", "request", string(r.request.ID), "service", string(r.plan.SubRequests[sends[0].SubRequest].Service), "upstreams", upstreams,
		"reason", sends[0].Reason.String(), "after_ms", r.millisecondsSince(r.request.Arrived))
}

// markHedged records a hedge of a sub-request in the states of the upstreams that have not answered it in time.
func (r *run) markHedged(sub int) {
	for _, a := range r.attempts[sub] {
		a.state.LastHedged.Store(r.Clock.Now().UnixNano())
	}
}

// millisecondsSince returns the time since t on the clock of the VM.
func (r *router) millisecondsSince(t time.Time) float64 {
	return float64(r.Clock.Now().Sub(t).Microseconds()) / 1000
}

// exchange sends a sub-request to one upstream and returns its reply. After a panic, the request may have been sent.
func (r *run) exchange(ctx context.Context, s fanout.Send, state *core.UpstreamState) (reply core.Reply) {
	err := kernel.Protect(r.Log, "attempt of a request", func() {
		reply = r.Client.Send(ctx, kinds.UpstreamRequest{
			Request: r.request, To: s.Upstream, Deadline: r.plan.Times.Deadline, AtMostOnce: !r.plan.Route.Idempotent,
			Admit: func() core.Code { return r.admit(s.Upstream, state) }, Holder: r.caller,
		})
	})
	if err != nil {
		// An unexpected answer is the likely cause of a panic.
		return core.Reply{Outcome: core.OutcomeUnknown, Code: core.CodeInternal, Responded: true, Detail: err.Error()}
	}
	return reply
}

// admit decides immediately before a request is written. Opening the connection or a pause of this process may have taken
// longer than the request has.
func (r *run) admit(upstream *core.Upstream, state *core.UpstreamState) core.Code {
	now := r.Clock.Now()
	if !now.Before(r.plan.Times.Deadline) {
		return core.CodeExpired
	}
	return r.policies.admit(now, upstream, state)
}

// attempt sends a sub-request to one upstream and reports the result.
func (r *run) attempt(ctx context.Context, s fanout.Send, state *core.UpstreamState) {
	started := r.Clock.Now()
	r.Reach.RecordRequest(s.Upstream.Domain)
	reply := r.exchange(ctx, s, state)
	if reply.Code == core.CodeCancelled && context.Cause(ctx) == errRequestEnded {
		reply.Code = core.CodeDeadlineExceeded
	}
	if reply.Responded || reply.Code == core.CodeOverloaded {
		// An attempt that this VM had no connection for says nothing about the domain, and must not count as silence.
		r.Reach.RecordResponse(s.Upstream.Domain)
	}
	now := r.Clock.Now()
	r.policies.observeAnnouncements(now, s.Upstream, state, &reply)
	r.observeSlowness(&reply, now.Sub(started))
	state.InFlight.Add(-1)
	if reply.Code == core.CodeCancelled && context.Cause(ctx) == errAnswered {
		r.counters.abandoned.Add(1)
	}
	r.policies.observe(now, r.plan.Route, r.plan.SubRequests[s.SubRequest].Group, s.Upstream.ID, &reply, now.Sub(started))
	r.results <- attemptResult{s.SubRequest, s.Upstream, reply}
}
