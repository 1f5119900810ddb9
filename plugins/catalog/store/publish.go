package store

import (
	"time"

	"gooseberrylane.example/coord/availability"
	"gooseberrylane.example/coord/catalog"
	"gooseberrylane.example/core"
)

// update publishes the directory if it changed or a grace period ended, and schedules the next end of one. The caller holds
// mu.
func (f *follower) update(now time.Time, changed bool, source string, entries int) {
	expired, next := f.directory.Expire(now)
	if !next.IsZero() {
		f.expiry.Reset(next.Sub(now))
	}
	if !changed && !expired {
		return
	}
	f.publish(nil)
	f.Log.Info("upstreams_applied", "entries", f.directory.Len(), "changed_entries", entries, "source", source)
}

func (f *follower) expire() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.update(f.Clock.Now(), false, "grace_over", 0)
}

// publish puts the directory and, unless it is nil, a routing table in force. The caller holds mu.
func (f *follower) publish(table *core.RoutingTable) {
	f.State.Update(func(v *core.View) {
		if table != nil {
			v.Routes = table
		}
		v.Registered = f.directory.Usable(v.Routes)
		v.Upstreams = f.states(v.Upstreams, v.Registered)
		v.Ready = v.Routes != nil && f.upstreamsListed
	})
}

// states returns the states of the usable upstreams. An upstream that restarted or changed its address gets a new state.
func (f *follower) states(old core.Map[core.UpstreamID, *core.UpstreamState], registered *core.RegisteredUpstreams) core.Map[core.UpstreamID, *core.UpstreamState] {
	edit := old.Edit()
	usable := make(map[core.UpstreamID]bool)
	for _, group := range registered.Groups {
		for i := range group.Upstreams {
			id := group.Upstreams[i].ID
			usable[id] = true
			incarnation, _ := f.directory.Incarnation(id)
			state, known := edit.Get(id)
			previous := f.incarnations[id]
			if !known || !previous.SameProcess(incarnation) {
				state = f.newState(id, incarnation)
				edit.Set(id, state)
			}
			state.ColdUntil.Store(incarnation.ColdUntil.UnixNano())
			f.incarnations[id] = incarnation
		}
	}
	for id := range old.All() {
		if !usable[id] {
			// Requests that use an older view must not choose the upstream any more.
			state := old.Value(id)
			state.DrainSince.Store(f.Clock.Now().UnixNano())
			f.depart(id, f.incarnations[id], state)
			edit.Delete(id)
			delete(f.incarnations, id)
		}
	}
	return edit.Done()
}

// departedUpstream is the state of an upstream that was removed from the store.
type departedUpstream struct {
	incarnation catalog.Incarnation
	state       *core.UpstreamState
	at          time.Time
}

// departedRetention is how long the state of a removed upstream is kept. An upstream that announced that it is leaving ends
// long before.
const departedRetention = 2 * availability.MaxPause

// depart keeps the state of a removed upstream that announced that it is leaving or wants a pause, and drops old ones.
func (f *follower) depart(id core.UpstreamID, incarnation catalog.Incarnation, state *core.UpstreamState) {
	now := f.Clock.Now()
	for other, departed := range f.departed {
		if now.Sub(departed.at) > departedRetention {
			delete(f.departed, other)
		}
	}
	if state.LeavingSince.Load() != 0 || state.PausedUntil.Load() > now.UnixNano() {
		f.departed[id] = departedUpstream{incarnation, state, now}
	}
}

// newState returns the state of an upstream that registered. A process that was registered before keeps its announcements.
func (f *follower) newState(id core.UpstreamID, incarnation catalog.Incarnation) *core.UpstreamState {
	state := &core.UpstreamState{}
	if departed, ok := f.departed[id]; ok && departed.incarnation.SameProcess(incarnation) {
		state.LeavingSince.Store(departed.state.LeavingSince.Load())
		state.PausedUntil.Store(departed.state.PausedUntil.Load())
	}
	delete(f.departed, id)
	return state
}
