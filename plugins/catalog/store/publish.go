package store

import (
	"time"

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
			if !known || previous.Address != incarnation.Address || previous.StartedMS != incarnation.StartedMS {
				state = &core.UpstreamState{}
				edit.Set(id, state)
			}
			state.ColdUntil.Store(incarnation.ColdUntil.UnixNano())
			f.incarnations[id] = incarnation
		}
	}
	for id := range old.All() {
		if !usable[id] {
			// Requests that use an older view must not choose the upstream any more.
			old.Value(id).DrainSince.Store(f.Clock.Now().UnixNano())
			edit.Delete(id)
			delete(f.incarnations, id)
		}
	}
	return edit.Done()
}
