package fanout

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gooseberrylane.example/coord/budget"
	"gooseberrylane.example/coord/hedge"
	"gooseberrylane.example/coord/query"
	"gooseberrylane.example/core"
)

// policies implement fanout.Policies for all requests of a VM.
type policies struct {
	params
	settings Settings
	// generators pools *rand.Rand values, which are not safe for concurrent use.
	generators sync.Pool
	started    time.Time
	// latencies maps core.RouteName to *hedge.Quantile, budgets maps core.ServiceName to *extraBudget.
	latencies, budgets sync.Map
	// throttles maps throttleKey to *admission.Throttle.
	throttles sync.Map
}

func newPolicies(p params, settings Settings) *policies {
	return &policies{params: p, settings: settings, started: p.Clock.Now(), generators: sync.Pool{New: func() any { return p.Random.Generator() }}}
}

// random returns a new generator for the calling goroutine.
func (p *policies) random() *rand.Rand {
	generator := p.generators.Get().(*rand.Rand)
	defer p.generators.Put(generator)
	return rand.New(rand.NewPCG(generator.Uint64(), generator.Uint64()))
}

// Choose implements fanout.Policies.
func (p *policies) Choose(now time.Time, group *core.Group, tried []core.UpstreamID) *core.Upstream {
	view := p.State.Load()
	candidates := make([]query.Candidate, 0, 8)
	for i := range group.Upstreams {
		upstream := &group.Upstreams[i]
		state := view.State(upstream.ID)
		if state == nil || state.DrainSince.Load() != 0 || slices.Contains(tried, upstream.ID) || p.Reach.IsUnreachable(upstream.Domain) {
			continue
		}
		candidates = append(candidates, query.Candidate{Upstream: upstream, State: state, Local: upstream.Domain == p.Identity.Domain})
	}
	if len(candidates) == 0 {
		return nil
	}
	generator := p.generators.Get().(*rand.Rand)
	defer p.generators.Put(generator)
	chosen := p.Selector.Select(now, generator, candidates)
	if chosen < 0 {
		return nil
	}
	return candidates[chosen].Upstream
}

func (p *policies) latency(route core.RouteName) *hedge.Quantile {
	if q, ok := p.latencies.Load(route); ok {
		return q.(*hedge.Quantile)
	}
	q, _ := p.latencies.LoadOrStore(route, new(hedge.Quantile))
	return q.(*hedge.Quantile)
}

// HedgeDelay implements fanout.Policies.
func (p *policies) HedgeDelay(route *core.Route) time.Duration {
	maxDelay := time.Duration(p.settings.HedgeMaxShare * float64(route.Objective))
	quantile, ok := p.latency(route.Name).Value()
	if !ok {
		return maxDelay
	}
	return min(max(quantile, time.Duration(p.settings.HedgeMinMS*float64(time.Millisecond))), maxDelay)
}

// extraBudget is the budget for hedges and retries to one service.
type extraBudget struct {
	window *budget.Window
	// members is the member list for which the slack of this VM was last computed.
	members atomic.Pointer[core.Members]
}

func (p *policies) budget(now time.Time, service core.ServiceName) *extraBudget {
	if b, ok := p.budgets.Load(service); ok {
		return b.(*extraBudget)
	}
	s := &p.settings
	b, _ := p.budgets.LoadOrStore(service, &extraBudget{
		window: budget.NewWindow(now, time.Duration(s.ExtraWindowMS)*time.Millisecond, s.ExtraMargin*s.ExtraRatio, 0),
	})
	return b.(*extraBudget)
}

// AllowExtra implements fanout.Policies.
func (p *policies) AllowExtra(now time.Time, service core.ServiceName) bool {
	b := p.budget(now, service)
	// The slack stays at 0 during the first window after the start, because the previous process may already have spent it
	// in the same window.
	if view := p.State.Load(); view.Members != b.members.Load() && now.Sub(p.started) > time.Duration(p.settings.ExtraWindowMS)*time.Millisecond {
		b.window.SetSlack(p.settings.ExtraMargin * p.settings.ExtraSlack * p.Delegate.Share(view, service))
		b.members.Store(view.Members)
	}
	return b.window.Spend(now)
}

// observe records the result of an attempt.
func (p *policies) observe(now time.Time, route *core.Route, group *core.Group, upstream core.UpstreamID, reply *core.Reply, took time.Duration) {
	view := p.State.Load()
	state := view.State(upstream)
	if state == nil {
		return
	}
	switch reply.Code {
	case core.CodeOK:
		state.ObserveFailure(false)
		state.ObserveLatency(took)
		p.latency(route.Name).Observe(p.settings.HedgeQuantile, took)
	case core.CodeShed:
		state.LastShed.Store(now.UnixNano())
		state.Shed.Add(1)
	case core.CodeDeadlineExceeded:
		// The latency of the upstream is at least this long.
		state.ObserveLatency(took)
		state.ObserveFailure(true)
		state.Failed.Add(1)
	case core.CodeCancelled:
	default:
		state.ObserveFailure(true)
		state.Failed.Add(1)
	}
	p.Selector.ObserveResult(now, view, group, upstream, reply.Code)
	if reply.Code == core.CodeUpstreamMoved {
		p.Catalog.ReportMisdirected(upstream)
	}
}
