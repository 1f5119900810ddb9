package standard

import (
	"context"
	"time"

	"gooseberrylane.example/coord/snapshot"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
)

// windowRetryInterval is the time between requests for the window of an upstream after a failed one. Without it, every
// query would wait for a group that is down.
const windowRetryInterval = time.Second

// pin returns the index version for a query. It first requests the windows of groups without a known window from the
// owners of their upstreams.
func (e *engine) pin(ctx context.Context, view *core.View, service *core.Service, deadline time.Time) core.IndexVersion {
	if unknown := e.unknownWindows(view, service); len(unknown) > 0 {
		e.fetchWindows(ctx, view, unknown, deadline)
	}
	return chooseVersion(view, service)
}

// chooseVersion returns the version to pin, or 0 if no window is known.
func chooseVersion(view *core.View, service *core.Service) core.IndexVersion {
	groups := make([][]core.VersionWindow, len(service.Groups))
	for g := range service.Groups {
		groups[g] = usableWindows(view, &service.Groups[g])
	}
	return snapshot.Choose(service.Rule.VersionRule, groups)
}

// usableWindows returns the windows of the replicas of a group that receive new work, because the other replicas can
// cover no shard. If only draining replicas have a known window, it returns theirs.
func usableWindows(view *core.View, group *core.Group) []core.VersionWindow {
	var usable, draining []core.VersionWindow
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

// unknownWindows returns, for each group without a known window, the upstreams to request the window from.
func (e *engine) unknownWindows(view *core.View, service *core.Service) [][]core.UpstreamID {
	var unknown [][]core.UpstreamID
	for g := range service.Groups {
		if ids := e.unknownUpstreams(view, &service.Groups[g]); len(ids) > 0 {
			unknown = append(unknown, ids)
		}
	}
	return unknown
}

// unknownUpstreams returns the upstreams of a group to request the window from: none if the window of one of them is known,
// and otherwise those without a failed request within windowRetryInterval.
func (e *engine) unknownUpstreams(view *core.View, group *core.Group) []core.UpstreamID {
	ids := make([]core.UpstreamID, 0, len(group.Upstreams))
	for u := range group.Upstreams {
		id := group.Upstreams[u].ID
		if state := view.State(id); state != nil && state.Window().Newest != 0 {
			return nil
		}
		failed, ok := e.lastWindowFailure.Load(id)
		if ok && e.Clock.Now().Sub(failed.(time.Time)) < windowRetryInterval {
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// fetchWindows requests windows from the owners of the upstreams until one is known for each group. An attempt without a
// version only returns the window and runs nothing.
func (e *engine) fetchWindows(ctx context.Context, view *core.View, groups [][]core.UpstreamID, deadline time.Time) {
	now := e.Clock.Now()
	until := now.Add(time.Duration(float64(deadline.Sub(now)) * windowFetchShare))
	ctx, cancel := kernel.WithDeadline(ctx, e.Clock, until)
	defer cancel()
	var attempts []core.Attempt
	groupOf := make(map[core.AttemptID]int)
	upstreamOf := make(map[core.AttemptID]core.UpstreamID)
	for g, ids := range groups {
		for _, id := range ids {
			attempt := core.Attempt{ID: e.nextAttempt(), Upstream: id, NotAfter: until, Idempotent: true}
			attempts = append(attempts, attempt)
			groupOf[attempt.ID], upstreamOf[attempt.ID] = g, id
		}
	}
	results := make(chan core.AttemptResult, len(attempts))
	e.Dispatcher.Send(ctx, attempts, func(r core.AttemptResult) { results <- r })
	known := make(map[int]bool, len(groups))
	for range attempts {
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
				e.lastWindowFailure.Store(id, now)
			}
		}
	}
}
