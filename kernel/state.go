package kernel

import (
	"sync"
	"sync/atomic"

	"gooseberrylane.example/core"
)

// State publishes the view that requests read (read-copy-update). Readers load one atomic pointer; writers copy the view,
// change the copy and swap the pointer. A request keeps the view that it loaded until it finishes.
type State struct {
	view atomic.Pointer[core.View]
	// writers serializes updates; readers never take it.
	writers sync.Mutex
	changed atomic.Pointer[chan struct{}]
}

// NewState returns a state with an empty view that is not ready.
func NewState() *State {
	s := &State{}
	s.view.Store(&core.View{
		Config:    (&core.ConfigSet{}).Index(),
		Members:   &core.Members{},
		Ownership: &core.Ownership{},
	})
	first := make(chan struct{})
	s.changed.Store(&first)
	return s
}

// Load returns the current view, which callers must not change.
func (s *State) Load() *core.View { return s.view.Load() }

// Update publishes a changed copy of the view. change receives a shallow copy and must replace, not modify, the values
// that its pointers and maps refer to.
func (s *State) Update(change func(*core.View)) *core.View {
	s.writers.Lock()
	defer s.writers.Unlock()
	next := *s.view.Load()
	change(&next)
	s.view.Store(&next)
	changed := make(chan struct{})
	close(*s.changed.Swap(&changed))
	return &next
}

// Changed returns a channel that is closed at the next update. Get the channel before loading the view, so that no update
// in between is missed.
func (s *State) Changed() <-chan struct{} { return *s.changed.Load() }

// SetConfig publishes a configuration set unless the current one is newer, and reports whether it did. Upstreams in both
// sets keep their observed states.
func (s *State) SetConfig(set *core.ConfigSet) bool {
	applied := false
	s.Update(func(v *core.View) {
		if v.Config != nil && set.Revision < v.Config.Revision {
			return
		}
		v.Config, v.Upstreams = set, statesFor(set, v.Config, v.Upstreams)
		applied = true
	})
	return applied
}

// statesFor returns the observed states of the upstreams of a set. It visits only the differences from the old set.
func statesFor(set, old *core.ConfigSet, states core.Map[core.UpstreamID, *core.UpstreamState]) core.Map[core.UpstreamID, *core.UpstreamState] {
	edit := states.Edit()
	for _, id := range set.ChangedUpstreams(old) {
		if set.Upstream(id) == nil {
			edit.Delete(id)
		} else if _, known := edit.Get(id); !known {
			edit.Set(id, &core.UpstreamState{})
		}
	}
	return edit.Done()
}
