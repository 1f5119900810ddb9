package fanout

import (
	"context"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"gooseberrylane.example/coord/admission"
	"gooseberrylane.example/coord/fanout"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
)

// run is one request on its way through the machine.
type run struct {
	*router
	task
	plan     fanout.Plan
	machine  *fanout.Machine
	ended    chan end
	throttle *admission.Throttle
	// begun is when the first upstreams were asked.
	begun time.Time
	// parts holds the successful reply of each leg, failure the last reply that was none.
	parts   []*core.Reply
	failure *core.Reply
	// asked holds the states of the upstreams that got each leg.
	asked [][]*core.UpstreamState
}

// end is the end of one attempt.
type end struct {
	leg      int
	upstream core.UpstreamID
	reply    core.Reply
}

func newRun(r *router, t task, plan fanout.Plan, throttle *admission.Throttle) *run {
	return &run{
		router: r, task: t, plan: plan, machine: fanout.New(plan, r.policies), throttle: throttle, begun: r.Clock.Now(),
		// No attempt ever waits for the run, which may have ended.
		ended: make(chan end, mostAttempts(plan)),
		parts: make([]*core.Reply, len(plan.SubRequests)), asked: make([][]*core.UpstreamState, len(plan.SubRequests)),
	}
}

// mostAttempts bounds the attempts of a plan: a leg goes to each upstream once, and a few times again.
func mostAttempts(plan fanout.Plan) int {
	n := 0
	for i := range plan.SubRequests {
		if group := plan.SubRequests[i].Group; group != nil {
			n += len(group.Upstreams) + fanout.MaxRepeats
		}
	}
	return n
}

// errOutlasted ends attempts that are still open some time after the request has its answer.
var errOutlasted = errs.New("the request ended before the attempt")

// drive runs the request to its answer. Attempts that are still open then may end their answers for a short time, unless
// the caller has gone.
func (r *run) drive(ctx context.Context) kinds.RoutedAnswer {
	// Attempts outlive the handler of the request, whose context ends with it.
	linger := time.Duration(r.settings.LingerMS) * time.Millisecond
	work, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	now := r.Clock.Now()
	for i := range r.plan.SubRequests {
		r.policies.budget(now, r.plan.SubRequests[i].Service).window.Count(now)
	}
	r.send(work, r.machine.Start(now))
	timer := time.NewTimer(r.machine.Next(now).Sub(now))
	defer timer.Stop()
	for r.machine.Verdict() == fanout.Pending {
		select {
		case e := <-r.ended:
			r.send(work, r.finished(e))
		case <-timer.C:
			r.send(work, r.machine.Wake(r.Clock.Now()))
		case <-r.confirmed:
			r.confirmed = nil
			r.machine.AllowAllAttempts()
		case <-ctx.Done():
			cancel(context.Canceled)
			r.counters.left.Add(1)
			r.logEnd("left", http.StatusBadGateway, 0)
			return kinds.RoutedAnswer{Status: http.StatusBadGateway, Error: core.Errorf(core.CodeCancelled, "the caller has gone")}
		}
		now = r.Clock.Now()
		r.learnLoad(now)
		timer.Reset(r.machine.Next(now).Sub(now))
	}
	time.AfterFunc(linger, func() { cancel(errOutlasted) })
	return r.answer()
}

func (r *run) finished(e end) []fanout.Send {
	switch {
	case e.reply.Code != core.CodeOK:
		// An answer of an upstream tells the caller more than a lost connection.
		if r.failure == nil || e.reply.HasAnswer() || !r.failure.HasAnswer() {
			r.failure = &e.reply
		}
		r.Log.Info("attempt_failed", "request", string(r.request.ID), "service", string(r.plan.SubRequests[e.leg].Service),
			"upstream", string(e.upstream), "code", e.reply.Code.String(), "status", e.reply.Status, "outcome", e.reply.Outcome.String(), "error", e.reply.Detail)
	case r.parts[e.leg] == nil:
		r.parts[e.leg] = &e.reply
	}
	return r.machine.Finished(r.Clock.Now(), e.leg, &e.reply)
}

// send starts attempts.
func (r *run) send(ctx context.Context, sends []fanout.Send) {
	r.logSends(sends)
	for _, s := range sends {
		switch s.Reason {
		case fanout.Hedge:
			r.noteLate(s.SubRequest)
			r.counters.hedges.Add(1)
		case fanout.Retry:
			r.counters.retries.Add(1)
		}
		state := r.view.State(s.Upstream.ID)
		if state == nil {
			state = &core.UpstreamState{}
		}
		state.InFlight.Add(1)
		state.Sent.Add(1)
		r.asked[s.SubRequest] = append(r.asked[s.SubRequest], state)
		go r.attempt(ctx, s, state)
	}
}

// logSends writes one line for the sends that one decision led to. The first sends of a gathered request go to a replica
// of each shard and are left out.
func (r *run) logSends(sends []fanout.Send) {
	if len(sends) == 0 || (sends[0].Reason == fanout.First && r.plan.Route.Gather != nil) {
		return
	}
	upstreams := make([]string, len(sends))
	for i, s := range sends {
		upstreams[i] = string(s.Upstream.ID)
	}
	r.Log.Info("attempts_sent", "request", string(r.request.ID), "service", string(r.plan.SubRequests[sends[0].SubRequest].Service), "upstreams", upstreams,
		"reason", sends[0].Reason.String(), "after_ms", millisecondsSince(r.request.Arrived))
}

// noteLate tells the selection that the upstreams of a leg have not answered in time.
func (r *run) noteLate(leg int) {
	for _, state := range r.asked[leg] {
		state.LastHedged.Store(r.Clock.Now().UnixNano())
	}
}

func millisecondsSince(t time.Time) float64 { return float64(time.Since(t).Microseconds()) / 1000 }

// attempt sends a leg to one upstream and reports the end.
func (r *run) attempt(ctx context.Context, s fanout.Send, state *core.UpstreamState) {
	started := r.Clock.Now()
	r.Reach.RecordRequest(s.Upstream.Domain)
	reply := r.Client.Send(ctx, kinds.UpstreamRequest{Request: r.request, To: s.Upstream, Deadline: r.plan.Times.Deadline, AtMostOnce: !r.plan.Route.Idempotent})
	if reply.Code == core.CodeCancelled && context.Cause(ctx) == errOutlasted {
		reply.Code = core.CodeDeadlineExceeded
	}
	if reply.Status != 0 {
		r.Reach.RecordResponse(s.Upstream.Domain)
	}
	now := r.Clock.Now()
	state.InFlight.Add(-1)
	r.policies.observe(now, r.plan.Route, r.plan.SubRequests[s.SubRequest].Group, s.Upstream.ID, &reply, now.Sub(started))
	r.ended <- end{s.SubRequest, s.Upstream.ID, reply}
}
