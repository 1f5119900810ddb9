package fanout

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gooseberrylane.example/coord/availability"
	"gooseberrylane.example/coord/budget"
	"gooseberrylane.example/coord/fanout"
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
	// loads maps loadKey to *load.
	loads        sync.Map
	availability availability.Policy
	// anomalies holds the anomalies of answers that were logged; each is logged once.
	anomalies sync.Map
	counters  *counters
}

func newPolicies(p params, settings Settings, counters *counters) *policies {
	return &policies{
		params: p, settings: settings, counters: counters, started: p.Clock.Now(), generators: sync.Pool{New: func() any { return p.Random.Generator() }},
		availability: availability.Policy{LeavingLimit: time.Duration(settings.LeavingLimitMS) * time.Millisecond},
	}
}

// random returns a new generator for the calling goroutine.
func (p *policies) random() *rand.Rand {
	generator := p.generators.Get().(*rand.Rand)
	defer p.generators.Put(generator)
	return rand.New(rand.NewPCG(generator.Uint64(), generator.Uint64()))
}

// Choose implements fanout.Policies.
func (p *policies) Choose(now time.Time, group *core.Group, tried []core.UpstreamID, reason fanout.Reason) *core.Upstream {
	view := p.State.Load()
	candidates, leaving := make([]query.Candidate, 0, 8), []query.Candidate(nil)
	for i := range group.Upstreams {
		upstream := &group.Upstreams[i]
		state := p.registered(view, upstream, tried)
		if state == nil {
			continue
		}
		candidate := query.Candidate{Upstream: upstream, State: state, Local: upstream.Domain == p.Identity.Domain}
		switch p.availability.Status(now, state) {
		case availability.Usable:
			candidates = append(candidates, candidate)
		case availability.Leaving:
			leaving = append(leaving, candidate)
		}
	}
	if len(candidates) == 0 && reason != fanout.Hedge {
		candidates = leaving
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

// registered returns the state of an upstream that was not tried and that the catalog and its failure domain allow to use,
// else nil.
func (p *policies) registered(view *core.View, upstream *core.Upstream, tried []core.UpstreamID) *core.UpstreamState {
	state := view.State(upstream.ID)
	if state == nil || state.DrainSince.Load() != 0 || slices.Contains(tried, upstream.ID) || p.Reach.IsUnreachable(upstream.Domain) {
		return nil
	}
	return state
}

// NextAt implements fanout.Policies.
func (p *policies) NextAt(now time.Time, group *core.Group, tried []core.UpstreamID) time.Time {
	view := p.State.Load()
	var earliest time.Time
	for i := range group.Upstreams {
		state := p.registered(view, &group.Upstreams[i], tried)
		if state == nil {
			continue
		}
		if at := p.availability.NextAt(now, state); !at.IsZero() && (earliest.IsZero() || at.Before(earliest)) {
			earliest = at
		}
	}
	return earliest
}

// admit returns CodeOK if a request may still be written to an upstream that was chosen for it. A leaving upstream was chosen
// because no other replica could serve the request.
func (p *policies) admit(now time.Time, upstream *core.Upstream, state *core.UpstreamState) core.Code {
	status := p.availability.Status(now, state)
	if state.DrainSince.Load() == 0 && (status == availability.Usable || status == availability.Leaving) {
		return core.CodeOK
	}
	p.counters.withheld.Add(1)
	p.Log.Info("attempt_withheld", "upstream", string(upstream.ID), "status", status.String())
	return core.CodeUpstreamPaused
}

// observeAnnouncements records what an answer of an upstream says about its availability.
func (p *policies) observeAnnouncements(now time.Time, upstream *core.Upstream, state *core.UpstreamState, reply *core.Reply) {
	announced := availability.Observe(now, state, reply)
	if announced.Leaving {
		p.counters.leaving.Add(1)
		p.Log.Info("upstream_leaving", "upstream", string(upstream.ID), "source", "answer")
		p.Catalog.ReportLeaving(*upstream, now)
	}
	if announced.Pause {
		p.counters.pauses.Add(1)
		p.Log.Info("upstream_paused", "upstream", string(upstream.ID), "status", reply.Status, "for_ms", reply.Pause.Milliseconds())
	}
	if reply.Pause > availability.MaxPause {
		p.logAnomaly(upstream, "pause_too_long")
	}
	if reply.Anomaly != "" {
		p.logAnomaly(upstream, reply.Anomaly)
	}
}

// logAnomaly logs an anomaly of an answer once.
func (p *policies) logAnomaly(upstream *core.Upstream, anomaly string) {
	if _, logged := p.anomalies.LoadOrStore(anomaly, true); !logged {
		p.Log.Warn("upstream_header_invalid", "upstream", string(upstream.ID), "anomaly", anomaly)
	}
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
	case core.CodeCancelled, core.CodeUpstreamPaused, core.CodeExpired, core.CodeOverloaded:
	default:
		state.ObserveFailure(true)
		state.Failed.Add(1)
	}
	p.Selector.ObserveResult(now, view, group, upstream, reply.Code)
	if reply.Code == core.CodeUpstreamMoved {
		p.Catalog.ReportMisdirected(upstream)
	}
}
