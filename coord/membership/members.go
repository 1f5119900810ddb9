package membership

import (
	"time"

	"gooseberrylane.example/core"
)

// cachedList is the last member list. It is kept until its content changes, because most ticks and messages change
// nothing and consumers compare pointers to detect a change.
type cachedList struct {
	members *core.Members
	// outdated is set by every event that may change the list.
	outdated bool
	// validUntil is the first time at which silence changes a state; zero means never.
	validUntil time.Time
}

// Members returns the member list with the states at a time. The pointer stays the same until the content changes.
func (t *Table) Members(now time.Time) *core.Members {
	s := &t.cached
	if s.members != nil && !s.outdated && (s.validUntil.IsZero() || now.Before(s.validUntil)) {
		return s.members
	}
	s.validUntil = time.Time{}
	if s.outdated || s.members == nil || t.statesChanged(now) {
		s.members, s.outdated = t.list(now), false
	}
	return s.members
}

// statesChanged reports whether the state of a cached member differs at a time. It also sets validUntil.
func (t *Table) statesChanged(now time.Time) bool {
	for i := range t.cached.members.All {
		vm := &t.cached.members.All[i]
		if m := t.members[vm.Name]; m != nil && t.nextState(now, m) != vm.State {
			return true
		}
	}
	return false
}

// nextState returns the state of a member and lowers validUntil to the end of that state.
func (t *Table) nextState(now time.Time, m *member) core.VMState {
	state, lasts := t.stateUntil(now, m)
	if end := now.Add(lasts); lasts > 0 && (t.cached.validUntil.IsZero() || end.Before(t.cached.validUntil)) {
		t.cached.validUntil = end
	}
	return state
}

func (t *Table) list(now time.Time) *core.Members {
	all := make([]core.VM, 0, len(t.members)+1)
	all = append(all, t.self)
	for _, m := range t.members {
		vm := m.vm
		vm.State = t.nextState(now, m)
		all = append(all, vm)
	}
	return &core.Members{Self: t.self, All: sorted(all)}
}

// invalidateIfChanged marks the cached list as outdated when it does not have the current state of a member.
func (t *Table) invalidateIfChanged(now time.Time, m *member) {
	if t.cached.outdated || t.cached.members == nil {
		return
	}
	if vm := t.cached.members.Find(m.vm.Name); vm == nil || vm.State != t.stateOf(now, m) {
		t.cached.outdated = true
	}
}
