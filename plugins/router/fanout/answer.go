package fanout

import (
	"net/http"
	"time"

	"gooseberrylane.example/coord/burn"
	"gooseberrylane.example/coord/fanout"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
)

// answer turns the verdict into the answer for the caller.
func (r *run) answer() kinds.RoutedAnswer {
	verdict := r.machine.Verdict()
	var answer kinds.RoutedAnswer
	switch verdict {
	case fanout.Complete, fanout.Partial:
		answer = r.success()
	case fanout.Refused:
		answer = r.refusal()
	case fanout.Expired:
		answer = failed(http.StatusGatewayTimeout, core.Errorf(core.CodeOutcomeUnknown, "no answer in time"))
	default:
		answer = r.failedAnswer()
	}
	r.count(verdict)
	covered, all := r.machine.Covered()
	r.levels.record(r.plan.Route, burn.Event{Code: verdictCode(verdict), Latency: r.Clock.Now().Sub(r.request.Arrived), Requested: all, Covered: covered})
	r.logEnd(verdict.String(), answer.Status, answer.RetryAfter)
	return answer
}

func verdictCode(verdict fanout.Verdict) core.Code {
	switch verdict {
	case fanout.Complete:
		return core.CodeOK
	case fanout.Partial:
		return core.CodePartial
	case fanout.Refused:
		return core.CodeNotRun
	case fanout.Expired:
		return core.CodeDeadlineExceeded
	default:
		return core.CodeOutcomeUnknown
	}
}

func (r *run) count(verdict fanout.Verdict) {
	c := &r.counters
	switch verdict {
	case fanout.Complete:
		c.complete.Add(1)
	case fanout.Partial:
		c.partial.Add(1)
	case fanout.Refused:
		c.refused.Add(1)
	case fanout.Expired:
		c.expired.Add(1)
	default:
		c.failed.Add(1)
	}
}

// success passes the answer of the only upstream on, or puts the parts of the shards together.
func (r *run) success() kinds.RoutedAnswer {
	if r.plan.Route.Gather == nil {
		return passOn(r.parts[0])
	}
	top := fanout.NewTop(r.plan.Route.Gather.TopRecords)
	proofs := make([]string, 0, len(r.parts))
	for _, part := range r.parts {
		if part != nil {
			top.Add(part.Body)
			proofs = append(proofs, part.Signature)
		}
	}
	return kinds.RoutedAnswer{Status: http.StatusOK, Header: r.Wire.EncodeGathered(proofs, len(r.parts)-len(proofs)), Body: top.Bytes()}
}

func passOn(reply *core.Reply) kinds.RoutedAnswer {
	return kinds.RoutedAnswer{Status: reply.Status, Header: reply.Header, Body: reply.Body}
}

// failedAnswer passes the failure of an upstream on. That of one shard would not be an answer to a gathered request.
func (r *run) failedAnswer() kinds.RoutedAnswer {
	if r.plan.Route.Gather == nil && r.failure != nil && r.failure.HasAnswer() {
		return passOn(r.failure)
	}
	return failed(http.StatusBadGateway, core.Errorf(core.CodeOutcomeUnknown, "the request may have run; no upstream answered it completely"))
}

func failed(status int, err *core.Error) kinds.RoutedAnswer {
	return kinds.RoutedAnswer{Status: status, Error: err}
}

// refusal tells the caller that nothing ran and when to come back.
func (r *run) refusal() kinds.RoutedAnswer {
	if r.failure != nil && r.failure.Code == core.CodeBadRequest {
		return passOn(r.failure)
	}
	code := core.CodeNoReplica
	after := r.returnAfter()
	if r.failure != nil {
		code = r.failure.Code
		after = max(after, r.failure.RetryAfter)
	}
	return kinds.RoutedAnswer{Status: http.StatusServiceUnavailable, RetryAfter: after, Error: core.Errorf(code, "nothing ran")}
}

// returnAfter spreads the returns of refused callers over a span, so that they do not come back together.
func (r *router) returnAfter() time.Duration {
	return time.Duration((0.5 + r.policies.random().Float64()) * r.settings.RetryAfterMS * float64(time.Millisecond))
}

// refuse ends a request before any upstream was chosen.
func (r *router) refuse(request *core.ForwardRequest, err *core.Error, after time.Duration) kinds.RoutedAnswer {
	status := http.StatusServiceUnavailable
	if err.Code == core.CodeUnknownRoute {
		status = http.StatusNotFound
	} else if after == 0 {
		after = r.returnAfter()
	}
	r.counters.refused.Add(1)
	r.Log.Info("request_refused", "request", string(request.ID), "code", err.Code.String(), "detail", err.Detail, "status", status, "retry_after_ms", after.Milliseconds())
	return kinds.RoutedAnswer{Status: status, RetryAfter: after, Error: err}
}

// logEnd writes the line that tells how a request ended.
func (r *run) logEnd(verdict string, status int, after time.Duration) {
	covered, all := r.machine.Covered()
	r.Log.Info("request_ended", "request", string(r.request.ID), "route", string(r.plan.Route.Name), "table", uint64(r.view.Routes.Version),
		"verdict", verdict, "status", status, "covered", covered, "legs", all, "took_ms", millisecondsSince(r.request.Arrived), "retry_after_ms", after.Milliseconds(),
		"missing", r.missing())
}

// mostMissingLogged bounds the services that one line names.
const mostMissingLogged = 12

// missing returns services without a part in the answer.
func (r *run) missing() []string {
	services := []string{}
	for leg, part := range r.parts {
		if part == nil && len(services) < mostMissingLogged {
			services = append(services, string(r.plan.SubRequests[leg].Service))
		}
	}
	return services
}
