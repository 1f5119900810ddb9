package fanout

import (
	"net/http"
	"slices"
	"time"

	"gooseberrylane.example/coord/burn"
	"gooseberrylane.example/coord/fanout"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
)

// answer returns the answer to the caller that corresponds to the verdict.
func (r *run) answer() kinds.RoutedAnswer {
	verdict := r.machine.Verdict()
	var answer kinds.RoutedAnswer
	switch verdict {
	case fanout.Complete, fanout.Partial:
		answer = r.successAnswer()
	case fanout.Refused:
		answer = r.refusalAnswer()
	case fanout.Expired:
		answer = errorAnswer(http.StatusGatewayTimeout, core.Errorf(core.CodeOutcomeUnknown, "no answer in time"))
	default:
		answer = r.failureAnswer()
	}
	r.count(verdict)
	covered, all := r.machine.Covered()
	r.levels.record(r.plan.Route, burn.Event{Code: verdictCode(verdict), Latency: r.Clock.Now().Sub(r.request.Arrived), Requested: all, Covered: covered})
	r.logEnd(verdict.String(), answer.Status, answer.RetryAfter)
	answer.Leaving = r.leaving
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

// successAnswer forwards the reply of a single service, or merges the replies of the shards.
func (r *run) successAnswer() kinds.RoutedAnswer {
	if r.plan.Route.Gather == nil {
		return forwardReply(r.replies[0])
	}
	top := fanout.NewTop(r.plan.Route.Gather.TopRecords)
	signatures := make([]string, 0, len(r.replies))
	for _, reply := range r.replies {
		if reply != nil {
			top.Add(reply.Body)
			signatures = append(signatures, reply.Signature)
		}
	}
	return kinds.RoutedAnswer{Status: http.StatusOK, Header: r.Wire.EncodeGathered(signatures, len(r.replies)-len(signatures)), Body: top.Bytes()}
}

func forwardReply(reply *core.Reply) kinds.RoutedAnswer {
	return kinds.RoutedAnswer{Status: reply.Status, Header: reply.Header, Body: reply.Body}
}

// failureAnswer forwards the failed reply of a single service if it may be passed on. The failure of one shard is not an answer to a
// gathered request.
func (r *run) failureAnswer() kinds.RoutedAnswer {
	if r.plan.Route.Gather == nil && r.failure != nil && fanout.MayPassOn(r.failure) {
		return forwardReply(r.failure)
	}
	return errorAnswer(http.StatusBadGateway, core.Errorf(core.CodeOutcomeUnknown, "the request may have run; no upstream answered it completely"))
}

func errorAnswer(status int, err *core.Error) kinds.RoutedAnswer {
	return kinds.RoutedAnswer{Status: status, Error: err}
}

// refusalAnswer returns the answer to a request that did not run, with the time after which it may be retried.
func (r *run) refusalAnswer() kinds.RoutedAnswer {
	if r.failure != nil && r.failure.Code == core.CodeBadRequest {
		return forwardReply(r.failure)
	}
	code := core.CodeNoReplica
	if r.failure != nil {
		code = r.failure.Code
	}
	return kinds.RoutedAnswer{Status: http.StatusServiceUnavailable, RetryAfter: r.pauseLeft() + r.retryAfter(), Error: core.Errorf(code, "nothing ran")}
}

// pauseLeft returns the time until so many of the replicas want requests again that the request can be served; 0 if that does
// not depend on pauses.
func (r *run) pauseLeft() time.Duration {
	now := r.Clock.Now()
	var waits []time.Duration
	for i := range r.plan.SubRequests {
		wait := time.Duration(0)
		if group := r.plan.SubRequests[i].Group; group != nil {
			wait = max(r.policies.NextAt(now, group, nil).Sub(now), 0)
		}
		waits = append(waits, wait)
	}
	slices.Sort(waits)
	return waits[r.machine.Required()-1]
}

// retryAfter returns a randomised retry delay, so that refused callers do not retry at the same time.
func (r *router) retryAfter() time.Duration {
	return time.Duration((0.5 + r.policies.random().Float64()) * r.settings.RetryAfterMS * float64(time.Millisecond))
}

// refuse ends a request before any upstream is chosen. If retryAfter is 0, it is randomised, except for an unknown route.
func (r *router) refuse(request *core.ForwardRequest, err *core.Error, retryAfter time.Duration) kinds.RoutedAnswer {
	status := http.StatusServiceUnavailable
	if err.Code == core.CodeUnknownRoute {
		status = http.StatusNotFound
	} else if retryAfter == 0 {
		retryAfter = r.retryAfter()
	}
	r.counters.refused.Add(1)
	r.Log.Info("request_refused", "request", string(request.ID), "code", err.Code.String(), "detail", err.Detail, "status", status, "retry_after_ms", retryAfter.Milliseconds())
	return kinds.RoutedAnswer{Status: status, RetryAfter: retryAfter, Error: err}
}

// logEnd logs how a request ended.
func (r *run) logEnd(verdict string, status int, retryAfter time.Duration) {
	covered, all := r.machine.Covered()
	r.Log.Info("request_ended", "request", string(r.request.ID), "route", string(r.plan.Route.Name), "table", uint64(r.view.Routes.Version),
		"verdict", verdict, "status", status, "covered", covered, "legs", all, "took_ms", r.millisecondsSince(r.request.Arrived), "retry_after_ms", retryAfter.Milliseconds(),
		"missing", r.missing(), "slow_share", r.load.abandon.SlowShare())
}

// maxLoggedMissing limits the number of services in one log line.
const maxLoggedMissing = 12

// missing returns up to maxLoggedMissing services that the answer does not cover.
func (r *run) missing() []string {
	services := []string{}
	for sub, reply := range r.replies {
		if reply == nil && len(services) < maxLoggedMissing {
			services = append(services, string(r.plan.SubRequests[sub].Service))
		}
	}
	return services
}
