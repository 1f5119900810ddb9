// Package fanout is the plug-in that runs requests on routes. It carries out the decisions of coord/fanout with the
// upstream client and returns the answer for the caller.
package fanout

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"gooseberrylane.example/coord/fanout"
	"gooseberrylane.example/coord/query"
	"gooseberrylane.example/coord/routing"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.RouterKind, Name: "fanout",
		Settings: func() any { s := defaults(); return &s },
		Options: func(s any) fx.Option {
			return fx.Provide(func(p params) provided {
				r := newRouter(p, *s.(*Settings))
				return provided{Router: r, Metrics: r.metrics()}
			})
		},
	})
}

// Settings of the plug-in.
type Settings struct {
	// PartialShare is the share of a route's latency objective after which a partial answer with sufficient coverage is
	// returned. The rest is reserved for the network between caller and VM. Default 0.7.
	PartialShare float64 `json:"partial_share" validate:"gt=0,lte=1"`
	// AnswerMarginMS is the minimum time of a latency objective that is reserved for the network, in milliseconds: for a new
	// connection, the request and its answer with callers 3 ms away, and the scheduling delay of a busy VM. Default 15.
	AnswerMarginMS float64 `json:"answer_margin_ms" validate:"gte=0,lte=10000"`
	// LatePartialShare is the share of the time until the deadline after which a late partial answer with sufficient coverage
	// is returned. Default 0.5.
	LatePartialShare float64 `json:"settle_share" validate:"gt=0,lte=1"`
	// HedgeQuantile is the quantile of the latency of a route's sub-requests after which a hedge is sent. Default 0.9.
	HedgeQuantile float64 `json:"hedge_quantile" validate:"gt=0,lt=1"`
	// HedgeMinMS is the minimum delay of a hedge, in milliseconds. Default 3.
	HedgeMinMS float64 `json:"hedge_min_ms" validate:"gte=0,lte=10000"`
	// HedgeMaxShare is the maximum delay of a hedge, as a share of the latency objective, so that the answer to the hedge can
	// still meet the objective. Default 0.3.
	HedgeMaxShare float64 `json:"hedge_max_share" validate:"gt=0,lte=1"`
	// LingerMS is how long attempts that are still open when a request ends may continue, in milliseconds, so that their
	// connections can be reused. Attempts at busy upstreams end at once. Default 250.
	LingerMS int64 `json:"linger_ms" validate:"gte=0,lte=60000"`
	// BusySlowShare is the share of slow attempts from which the upstreams of a route count as busy. An attempt is slow when it
	// takes longer than HedgeMaxShare of the latency objective. Default 0.2.
	BusySlowShare float64 `json:"busy_slow_share" validate:"gt=0,lte=1"`
	// ExtraRatio limits the hedges and retries that all VMs send to a service, as a share of its sub-requests. Default 0.1.
	ExtraRatio float64 `json:"extra_ratio" validate:"gte=0,lte=10"`
	// ExtraWindowMS is the length of the sliding window over which the ratio is enforced, in milliseconds. Default 10000.
	ExtraWindowMS int64 `json:"extra_window_ms" validate:"gte=100,lte=600000"`
	// ExtraSlack is the number of hedges and retries in a window that all VMs together may send beyond the ratio. Default 0.
	ExtraSlack float64 `json:"extra_slack" validate:"gte=0"`
	// ExtraMargin is the share of the budget that is used. The rest covers VMs that were replaced and lost their counts.
	// Default 0.9.
	ExtraMargin float64 `json:"extra_margin" validate:"gt=0,lte=1"`
	// LeavingLimitMS is the time after an upstream first announced in an answer that it is leaving from which it gets no
	// requests, in milliseconds. Until then it gets requests that no other replica can serve. Default 1000.
	LeavingLimitMS int64 `json:"leaving_limit_ms" validate:"gte=0,lte=600000"`
	// RetryAfterMS is the mean retry delay that a refused caller receives, in milliseconds. Default 100.
	RetryAfterMS float64 `json:"retry_after_ms" validate:"gte=1,lte=60000"`
	// ThrottleMinShare is the minimum share of requests that is admitted while upstreams are overloaded. Default 0.05.
	ThrottleMinShare float64 `json:"throttle_least" validate:"gt=0,lte=1"`
	// ThrottleDecreaseFactor multiplies the admitted share after an overloaded request. Default 0.8.
	ThrottleDecreaseFactor float64 `json:"throttle_lower" validate:"gt=0,lte=1"`
	// ThrottleIncreasePerSecond is added to the admitted share per second. Default 0.4: of the values from 0.1 to 0.8 that
	// admit all requests again within two seconds after the load of load_test.go, the one that serves most requests during it.
	ThrottleIncreasePerSecond float64 `json:"throttle_rise" validate:"gt=0,lte=100"`
	// ThrottleMinClassShare is the part of the admitted share that is guaranteed to each class, whatever the load of higher
	// classes. Default 0.4, so that no class falls below a quarter of the others.
	ThrottleMinClassShare float64 `json:"throttle_floor" validate:"gte=0,lte=1"`
}

func defaults() Settings {
	return Settings{
		PartialShare: 0.7, AnswerMarginMS: 15, LatePartialShare: 0.5, HedgeQuantile: 0.9, HedgeMinMS: 3, HedgeMaxShare: 0.3, LingerMS: 250, BusySlowShare: 0.2,
		ExtraRatio: 0.1, ExtraWindowMS: 10_000, ExtraMargin: 0.9, LeavingLimitMS: 1000, RetryAfterMS: 100,
		ThrottleMinShare: 0.05, ThrottleDecreaseFactor: 0.8, ThrottleIncreasePerSecond: 0.4, ThrottleMinClassShare: 0.4,
	}
}

// shares returns the settings from which the times of a request are computed.
func (s *Settings) shares() fanout.Shares {
	return fanout.Shares{
		Partial: s.PartialShare, Margin: time.Duration(s.AnswerMarginMS * float64(time.Millisecond)), LatePartial: s.LatePartialShare,
	}
}

type params struct {
	fx.In
	State    *kernel.State
	Clock    kernel.Clock
	Random   *kernel.Random
	Log      *slog.Logger
	Identity kernel.Identity
	Wire     kinds.Wire
	Client   kinds.UpstreamClient
	Catalog  kinds.Catalog
	Delegate kinds.Delegate
	Reach    kinds.Reach
	Selector query.Selector
}

type provided struct {
	fx.Out
	Router  kinds.Router
	Metrics []kinds.Metric `group:"metrics,flatten"`
}

type router struct {
	params
	settings Settings
	policies *policies
	counters counters
	levels   levels
}

// counters count requests by outcome, and hedges, retries and throttled requests.
type counters struct {
	complete, partial, failed, refused, expired, disconnected atomic.Uint64
	hedges, retries, throttled                                atomic.Uint64
	// leaving counts upstreams that announced that they are leaving, pauses the pauses that upstreams asked for, and
	// withheld the attempts that were not sent because of either.
	leaving, pauses, withheld atomic.Uint64
	// abandoned counts the attempts that were cancelled at once because their answers were no longer needed.
	abandoned atomic.Uint64
}

func newRouter(p params, settings Settings) *router {
	r := &router{params: p, settings: settings}
	r.policies = newPolicies(p, settings, &r.counters)
	p.Delegate.Serve(r.runDelegated)
	return r
}

// Route implements kinds.Router.
func (r *router) Route(ctx context.Context, request *core.ForwardRequest) kinds.RoutedAnswer {
	view := r.State.Load()
	if !view.Ready {
		return r.refuse(request, core.Errorf(core.CodeNotReady, "no routing table is in force on this VM"), 0)
	}
	route := view.Routes.Match(request.Host, request.Path)
	if route == nil {
		return r.refuse(request, core.Errorf(core.CodeUnknownRoute, "host %q, path %q, table %d", request.Host, request.Path, view.Routes.Version), 0)
	}
	t := task{view: view, route: route, request: request}
	if route.Gather != nil {
		answer, outcome := r.Delegate.Delegate(ctx, view, route, request)
		switch {
		case outcome == kinds.Delegated:
			return answer
		case outcome == kinds.MaybeDelegated && route.MaxAttempts == 1:
			return errorAnswer(http.StatusBadGateway, core.Errorf(core.CodeOutcomeUnknown, "the gatherer did not respond; it may have run the request"))
		case outcome == kinds.MaybeDelegated:
			t.maxAttempts, t.maybeRan = 1, true
		}
	}
	return r.run(ctx, t)
}

// task is a request that this VM runs.
type task struct {
	view    *core.View
	route   *core.Route
	request *core.ForwardRequest
	// maxAttempts limits the upstreams that one sub-request is sent to; 0 means the limit of the route, which also applies
	// once confirmed is closed.
	maxAttempts int
	confirmed   <-chan struct{}
	// maybeRan is set if a gatherer may run the request too, so that it must not be refused as not run.
	maybeRan bool
}

// runDelegated runs a request of another VM with the view with which it was accepted.
func (r *router) runDelegated(ctx context.Context, d kinds.DelegatedRequest) kinds.RoutedAnswer {
	route := d.View.Routes.Match(d.Request.Host, d.Request.Path)
	if route == nil {
		return r.refuse(d.Request, core.Errorf(core.CodeUnknownRoute, "host %q, path %q, table %d", d.Request.Host, d.Request.Path, d.View.Routes.Version), 0)
	}
	return r.run(ctx, task{view: d.View, route: route, request: d.Request, maxAttempts: max(route.MaxAttempts-1, 1), confirmed: d.Confirmed})
}

func (r *router) run(ctx context.Context, t task) kinds.RoutedAnswer {
	plan, err := r.plan(t.view, t.route, t.request)
	if err != nil {
		return r.refuse(t.request, err, r.retryAfter())
	}
	plan.Attempts, plan.MaybeRan = t.maxAttempts, t.maybeRan
	load := r.policies.load(&plan)
	if !t.maybeRan {
		if refusal := r.throttled(t, load.throttle); refusal != nil {
			return *refusal
		}
	}
	return newRun(r, t, plan, load).execute(ctx)
}

// plan returns the sub-requests and the times of a request.
func (r *router) plan(view *core.View, route *core.Route, request *core.ForwardRequest) (fanout.Plan, *core.Error) {
	var callerDeadline time.Time
	if request.Timeout > 0 {
		callerDeadline = request.Arrived.Add(request.Timeout)
	}
	plan := fanout.Plan{Route: route, Times: fanout.Schedule(route, request.Arrived, callerDeadline, r.settings.shares())}
	if route.Gather != nil {
		for _, shard := range route.Gather.Shards {
			plan.SubRequests = append(plan.SubRequests, fanout.SubRequest{Service: shard, Group: view.Registered.Group(shard)})
		}
		return plan, nil
	}
	service, ok := routing.Pick(r.policies.random(), route.Targets)
	if !ok {
		return plan, core.Errorf(core.CodeNoReplica, "route %q has no service", route.Name)
	}
	plan.SubRequests = []fanout.SubRequest{{Service: service, Group: view.Registered.Group(service)}}
	return plan, nil
}

func (r *router) metrics() []kinds.Metric {
	metric := func(name string, value *atomic.Uint64) kinds.Metric {
		return kinds.Metric{Name: name, Value: func() any { return value.Load() }}
	}
	c := &r.counters
	return []kinds.Metric{
		metric("requests_complete", &c.complete), metric("requests_partial", &c.partial), metric("requests_failed", &c.failed),
		metric("requests_refused", &c.refused), metric("requests_expired", &c.expired), metric("requests_left", &c.disconnected),
		metric("hedges", &c.hedges), metric("retries", &c.retries), metric("requests_throttled", &c.throttled),
		metric("upstreams_leaving", &c.leaving), metric("upstream_pauses", &c.pauses), metric("attempts_withheld", &c.withheld), metric("attempts_abandoned", &c.abandoned), r.levels.metric(),
	}
}
