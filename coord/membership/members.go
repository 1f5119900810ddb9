package membership

import (
	"time"

	"gooseberrylane.example/core"
)

// shownList is the last member list. It is kept until something in it changes, because most ticks and messages change
// nothing, and consumers tell from the pointer whether anything did.
type shownList struct {
	members *core.Members
	// outdated is set by every event that may change the list.
	outdated bool
	// until is the first time at which silence changes a state; zero means never.
	until time.Time
}

// Members returns the member list with the states at a time. The pointer stays the same until the content changes.
func (t *Table) Members(now time.Time) *core.Members {
	s := &t.shown
	if s.members != nil && !s.outdated && (s.until.IsZero() || now.Before(s.until)) {
		return s.members
	}
	s.until = time.Time{}
	if s.outdated || s.members == nil || t.silenceChanges(now) {
		s.members, s.outdated = t.list(now), false
	}
	return s.members
}

// silenceChanges reports whether the state of a listed member differs at a time. It also finds the next such time.
func (t *Table) silenceChanges(now time.Time) bool {
	for i := range t.shown.members.All {
		vm := &t.shown.members.All[i]
		if m := t.members[vm.Name]; m != nil && t.nextState(now, m) != vm.State {
			return true
		}
	}
	return false
}

// nextState returns the state of a member and notes when it ends.
func (t *Table) nextState(now time.Time, m *member) core.VMState {
	state, lasts := t.stateUntil(now, m)
	if end := now.Add(lasts); lasts > 0 && (t.shown.until.IsZero() || end.Before(t.shown.until)) {
		t.shown.until = end
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

// showChange marks the list as outdated when a member that was heard is not in the state that the list shows.
func (t *Table) showChange(now time.Time, m *member) {
	if t.shown.outdated || t.shown.members == nil {
		return
	}
	if vm := t.shown.members.Find(m.vm.Name); vm == nil || vm.State != t.stateOf(now, m) {
		t.shown.outdated = true
	}
}
