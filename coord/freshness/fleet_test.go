package freshness_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"gooseberrylane.example/coord/freshness"
	"gooseberrylane.example/core"
)

const (
	bound = 3 * time.Second
	tick  = 5 * time.Millisecond
)

// storeModel is a store whose stale reads lag from lagFrom on.
type storeModel struct {
	changes []time.Time
	lagFrom time.Time
	lag     time.Duration
}

// current returns the position after all changes up to a time.
func (s *storeModel) current(now time.Time) uint64 {
	position := uint64(10)
	for _, at := range s.changes {
		if !at.After(now) {
			position++
		}
	}
	return position
}

func (s *storeModel) stale(now time.Time) uint64 {
	if s.lagFrom.IsZero() || now.Before(s.lagFrom) {
		return s.current(now)
	}
	return s.current(now.Add(-s.lag))
}

// vmModel is a VM that follows the store by watches. applied is the position up to which it has applied the changes.
type vmModel struct {
	vm      core.VM
	tracker *freshness.Tracker
	roles   freshness.Roles
	random  float64
	applied uint64
	// frozen VMs do nothing, cut ones exchange no messages.
	frozen, cut bool
	reads       int
}

type fleet struct {
	now   time.Time
	store storeModel
	vms   map[core.VMName]*vmModel
	order []*vmModel
}

func newFleet(vms, domains int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), vms: make(map[core.VMName]*vmModel)}
	members := &core.Members{Capacity: make(map[core.VMName]float64)}
	for i := range vms {
		vm := core.VM{Name: core.VMName(fmt.Sprintf("vm-%d", i)), Domain: core.FailureDomain(fmt.Sprintf("fd-%d", i%domains))}
		members.All, members.Capacity[vm.Name] = append(members.All, vm), 0.3
	}
	for i, vm := range members.All {
		own := *members
		own.Self = vm
		m := &vmModel{
			vm: vm, tracker: freshness.NewTracker(freshness.NewSettings(bound), f.now), roles: freshness.Assign(&own),
			random: float64(i) / float64(vms), applied: f.store.current(f.now),
		}
		m.tracker.RecordCurrent(f.now, m.applied)
		f.vms[vm.Name], f.order = m, append(f.order, m)
	}
	return f
}

func (f *fleet) notify(from *vmModel, to []core.VM, position uint64) {
	for _, vm := range to {
		receiver := f.vms[vm.Name]
		if receiver.cut || receiver.frozen || from.cut {
			continue
		}
		receiver.tracker.RecordReport(f.now, position)
		if from.vm.Domain != receiver.vm.Domain {
			f.notify(receiver, receiver.roles.Domain, position)
		}
	}
}

// step lets a tick pass: the watches of each VM report what they see, and each VM does what is due.
func (f *fleet) step() {
	f.now = f.now.Add(tick)
	for _, m := range f.order {
		if m.frozen {
			continue
		}
		f.act(m)
		visible, current := f.store.stale(f.now), f.store.current(f.now)
		if m.tracker.AllowStale() && visible > m.applied {
			m.applied = visible
			m.tracker.RecordStale(visible)
		} else if !m.tracker.AllowStale() && current > m.applied {
			m.applied = current
			m.tracker.RecordCurrent(f.now, current)
		}
	}
}

func (f *fleet) act(m *vmModel) {
	action, _ := m.tracker.Next(f.now, m.roles.Step, m.random)
	switch action {
	case freshness.ReadCurrent:
		m.reads++
		m.tracker.RecordAttempt(f.now)
		position := f.store.current(f.now)
		m.tracker.RecordCurrent(f.now, position)
		f.notify(m, m.roles.Domain, position)
		f.notify(m, m.roles.Heads, position)
	case freshness.ReadStale:
		m.tracker.RecordComparison(f.now, f.store.stale(f.now))
	}
}

func (f *fleet) reads() (total int) {
	for _, m := range f.order {
		total += m.reads
	}
	return total
}

// TestChangesAreInForceInTimeWhateverTheLag guards against stale reads that begin to lag while every watch succeeds: a VM kept the old
// routes or a leaving upstream for as long as the lag. VMs freeze and are cut off from each other meanwhile.
func TestChangesAreInForceInTimeWhateverTheLag(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 9).Draw(t, "VMs"), rapid.IntRange(1, 3).Draw(t, "domains"))
		start := f.now
		f.store.lagFrom = start.Add(time.Duration(rapid.IntRange(0, 15_000).Draw(t, "lag from, ms")) * time.Millisecond)
		f.store.lag = time.Duration(rapid.IntRange(0, 30_000).Draw(t, "lag, ms")) * time.Millisecond
		for _, ms := range rapid.SliceOfN(rapid.IntRange(0, 20_000), 1, 4).Draw(t, "changes, ms") {
			f.store.changes = append(f.store.changes, start.Add(time.Duration(ms)*time.Millisecond))
		}
		disturbed := make(map[int]time.Time)
		for f.now.Sub(start) < 25*time.Second {
			if rapid.IntRange(0, 200).Draw(t, "disturbance") == 0 {
				i := rapid.IntRange(0, len(f.order)-1).Draw(t, "VM")
				f.order[i].frozen, f.order[i].cut = !f.order[i].frozen && rapid.Bool().Draw(t, "frozen"), rapid.Bool().Draw(t, "cut")
				disturbed[i] = f.now
			}
			f.step()
			for i, m := range f.order {
				// A VM that was frozen must be up to date within the same time after it wakes.
				due := f.now.Add(-bound)
				if m.frozen || disturbed[i].After(due) {
					continue
				}
				if m.applied < f.store.current(due) {
					t.Fatalf("%s has applied position %d at %v; position %d was current %v before", m.vm.Name, m.applied, f.now.Sub(start), f.store.current(due), bound)
				}
			}
		}
	})
}

// TestQuietFleetReadsThePositionOncePerPeriod guards against calls to the store that grow with the number of VMs.
func TestQuietFleetReadsThePositionOncePerPeriod(t *testing.T) {
	for _, size := range []struct{ vms, domains int }{{1, 1}, {3, 3}, {20, 3}, {195, 6}} {
		t.Run(fmt.Sprintf("%d VMs", size.vms), func(t *testing.T) {
			f := newFleet(size.vms, size.domains)
			for range 60 * time.Second / tick {
				f.step()
			}
			qt.Assert(t, f.reads() <= 60, qt.IsTrue, qt.Commentf("%d reads in 60 s", f.reads()))
			qt.Assert(t, f.reads() >= 58, qt.IsTrue, qt.Commentf("%d reads in 60 s", f.reads()))
		})
	}
}

// TestFrozenReaderIsReplaced guards against a fleet that relies on the VM that reads the position, and against one in which all
// others read it instead.
func TestFrozenReaderIsReplaced(t *testing.T) {
	c := qt.New(t)
	f := newFleet(20, 3)
	for range 5 * time.Second / tick {
		f.step()
	}
	for _, m := range f.order {
		if m.reads > 0 {
			m.frozen = true
		}
	}
	before := f.reads()
	for range 10 * time.Second / tick {
		f.step()
	}
	c.Assert(f.reads()-before >= 9, qt.IsTrue)
	c.Assert(f.reads()-before <= 30, qt.IsTrue, qt.Commentf("%d reads in 10 s", f.reads()-before))
}
