package fanout

import (
	"time"

	"gooseberrylane.example/coord/abandon"
	"gooseberrylane.example/coord/admission"
	"gooseberrylane.example/coord/fanout"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
)

// load holds what is known of the load of the services of a plan.
type load struct {
	throttle *admission.Throttle
	abandon  *abandon.Policy
}

// loadKey identifies the services that one load describes: those of the sub-requests of a plan. The service of the
// first sub-request and their number suffice, because no shard belongs to two gathered routes with different shards.
type loadKey struct {
	firstService core.ServiceName
	subRequests  int
}

// The share of slow attempts is averaged over the attempts of busyWindowRequests requests, so that one request that meets a few
// paused upstreams does not decide, and at least over minBusyWindow attempts.
const (
	busyWindowRequests = 12
	minBusyWindow      = 256
)

func (p *policies) load(plan *fanout.Plan) *load {
	key := loadKey{plan.SubRequests[0].Service, len(plan.SubRequests)}
	if l, ok := p.loads.Load(key); ok {
		return l.(*load)
	}
	s := &p.settings
	l, _ := p.loads.LoadOrStore(key, &load{
		throttle: admission.NewThrottle(admission.ThrottleSettings{
			MinShare: s.ThrottleMinShare, DecreaseFactor: s.ThrottleDecreaseFactor, IncreasePerSecond: s.ThrottleIncreasePerSecond, MinClassShare: s.ThrottleMinClassShare,
		}),
		abandon: abandon.New(abandon.Settings{
			BusyShare: s.BusySlowShare, Window: float64(max(minBusyWindow, busyWindowRequests*len(plan.SubRequests))),
			Linger: time.Duration(s.LingerMS) * time.Millisecond,
		}),
	})
	return l.(*load)
}

// throttled returns a refusal if the throttle rejects the request, else nil. The retry delays of refused requests are spread
// over the expected time until recovery.
func (r *router) throttled(t task, throttle *admission.Throttle) *kinds.RoutedAnswer {
	now := r.Clock.Now()
	random := r.policies.random()
	if throttle.Admit(now, core.Class(t.route.Priority), random.Float64()) {
		return nil
	}
	r.counters.throttled.Add(1)
	retryAfter := r.retryAfter() + time.Duration(random.Float64()*float64(throttle.Recovery(now)))
	refusal := r.refuse(t.request, core.Errorf(core.CodeOverloaded, "route %q, rank %d: the upstreams have more work than they can do, share %.2f is started",
		t.route.Name, t.route.Priority, throttle.Share(now)), retryAfter)
	return &refusal
}

// updateThrottle lowers the admitted share if the request met overload.
func (r *run) updateThrottle(now time.Time) {
	if !r.machine.Overloaded(now) {
		return
	}
	if share, lowered := r.load.throttle.Lower(now, r.started); lowered {
		covered, all := r.machine.Covered()
		r.Log.Info("load_throttled", "request", string(r.request.ID), "service", string(r.plan.SubRequests[0].Service), "legs", all, "covered", covered,
			"shed", r.machine.Shed(), "after_ms", r.millisecondsSince(r.request.Arrived), "share", share)
	}
}
