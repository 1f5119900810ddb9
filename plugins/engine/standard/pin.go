package standard

import (
	"context"
	"time"

	"gooseberrylane.example/coord/snapshot"
	"gooseberrylane.example/core"
)

// askAgainAfter is how long a group whose owners told no window is not asked again: without this bound, every query
// would wait for a group that is down.
const askAgainAfter = time.Second

// pin returns the index version for a query. While no window is known for some group, it asks the owners first.
func (e *engine) pin(ctx context.Context, view *core.View, service *core.Service, deadline time.Time) core.IndexVersion {
	if unknown := e.unknownWindows(view, service); len(unknown) > 0 {
		e.learnWindows(ctx, view, unknown, deadline)
	}
	return chooseVersion(view, service)
}

// chooseVersion returns the version to pin, 0 when no window is known.
func chooseVersion(view *core.View, service *core.Service) core.IndexVersion {
	groups := make([][]core.Window, len(service.Groups))
	for g := range service.Groups {
		groups[g] = usableWindows(view, &service.Groups[g])
	}
	return snapshot.Choose(service.Rule.VersionRule, groups)
}

// usableWindows returns the windows of the replicas of a group that get new work, because no leg can be covered by those
// of the others. When only replicas that are draining have told theirs, these are the best that is known.
func usableWindows(view *core.View, group *core.Group) []core.Window {
	var usable, draining []core.Window
	for u := range group.Upstreams {
		upstream := &group.Upstreams[u]
		state := view.State(upstream.ID)
		switch {
		case state == nil || state.Window().Newest == 0:
		case upstream.Draining || state.DrainSince.Load() != 0:
			draining = append(draining, state.Window())
		default:
			usable = append(usable, state.Window())
		}
	}
	if len(usable) == 0 {
		return draining
	}
	return usable
}

// unknownWindows returns, by group, the upstreams of the groups of which no window is known.
func (e *engine) unknownWindows(view *core.View, service *core.Service) [][]core.UpstreamID {
	var unknown [][]core.UpstreamID
	for g := range service.Groups {
		if ids := e.unknownGroup(view, &service.Groups[g]); len(ids) > 0 {
			unknown = append(unknown, ids)
		}
	}
	return unknown
}

func (e *engine) unknownGroup(view *core.View, group *core.Group) []core.UpstreamID {
	ids := make([]core.UpstreamID, 0, len(group.Upstreams))
	for u := range group.Upstreams {
		id := group.Upstreams[u].ID
		if state := view.State(id); state != nil && state.Window().Newest != 0 {
			return nil
		}
		asked, ok := e.silentSince.Load(id)
		if ok && e.Clock.Now().Sub(asked.(time.Time)) < askAgainAfter {
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// learnWindows asks the owners of upstreams for their windows until each group has told one. Legs without a version run
// nothing.
func (e *engine) learnWindows(ctx context.Context, view *core.View, groups [][]core.UpstreamID, deadline time.Time) {
	now := e.Clock.Now()
	until := now.Add(time.Duration(float64(deadline.Sub(now)) * probeShare))
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	var legs []core.Attempt
	groupOf := make(map[core.AttemptID]int)
	upstreamOf := make(map[core.AttemptID]core.UpstreamID)
	for g, ids := range groups {
		for _, id := range ids {
			leg := core.Attempt{ID: e.nextAttempt(), Upstream: id, NotAfter: until, Idempotent: true}
			legs = append(legs, leg)
			groupOf[leg.ID], upstreamOf[leg.ID] = g, id
		}
	}
	results := make(chan core.AttemptResult, len(legs))
	e.Dispatcher.Send(ctx, legs, func(r core.AttemptResult) { results <- r })
	known := make(map[int]bool, len(groups))
	for range legs {
		select {
		case r := <-results:
			if state := view.State(upstreamOf[r.Attempt]); state != nil && r.Window.Newest != 0 {
				state.SetWindow(r.Window)
				known[groupOf[r.Attempt]] = true
			}
		case <-ctx.Done():
		}
		if len(known) == len(groups) || ctx.Err() != nil {
			break
		}
	}
	for g, ids := range groups {
		for _, id := range ids {
			if !known[g] {
				e.silentSince.Store(id, now)
			}
		}
	}
}
