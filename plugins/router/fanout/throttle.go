package fanout

import (
	"time"

	"gooseberrylane.example/coord/admission"
	"gooseberrylane.example/coord/fanout"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
)

// throttleKey tells apart the sets of services that share a load: those of gathered routes by the first shard, which
// belongs to one set.
type throttleKey struct {
	first core.ServiceName
	legs  int
}

func (p *policies) throttle(plan *fanout.Plan) *admission.Throttle {
	key := throttleKey{plan.SubRequests[0].Service, len(plan.SubRequests)}
	if t, ok := p.throttles.Load(key); ok {
		return t.(*admission.Throttle)
	}
	s := &p.settings
	t, _ := p.throttles.LoadOrStore(key, admission.NewThrottle(admission.ThrottleSettings{
		MinShare: s.ThrottleLeast, DecreaseFactor: s.ThrottleLower, IncreasePerSecond: s.ThrottleRise, MinClassShare: s.ThrottleFloor,
	}))
	return t.(*admission.Throttle)
}

// throttled returns a refusal when a request would only add to the load of upstreams that have too much of it. Those that
// are refused together are told to come back at different times until the recovery.
func (r *router) throttled(t task, throttle *admission.Throttle) *kinds.RoutedAnswer {
	now := r.Clock.Now()
	random := r.policies.random()
	if throttle.Admit(now, core.Class(t.route.Priority), random.Float64()) {
		return nil
	}
	r.counters.throttled.Add(1)
	after := r.returnAfter() + time.Duration(random.Float64()*float64(throttle.Recovery(now)))
	refusal := r.refuse(t.request, core.Errorf(core.CodeOverloaded, "route %q, rank %d: the upstreams have more work than they can do, share %.2f is started",
		t.route.Name, t.route.Priority, throttle.Share(now)), after)
	return &refusal
}

// learnLoad tells the throttle as soon as a request meets overload.
func (r *run) learnLoad(now time.Time) {
	if !r.machine.Overloaded(now) {
		return
	}
	if share, lowered := r.throttle.Lower(now, r.begun); lowered {
		covered, all := r.machine.Covered()
		r.Log.Info("load_throttled", "request", string(r.request.ID), "service", string(r.plan.SubRequests[0].Service), "legs", all, "covered", covered,
			"shed", r.machine.Shed(), "after_ms", millisecondsSince(r.request.Arrived), "share", share)
	}
}
