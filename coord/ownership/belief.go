package ownership

import (
	"time"

	"gooseberrylane.example/core"
)

// Ownership returns what this VM publishes. For its own failure domain it knows the holders from what they said. For
// other domains, and for upstreams that move, it believes in the candidate: telling every VM of every domain about
// each move would cost messages in proportion to the upstreams, and a wrong belief costs only one more hop, because
// the VM that is asked answers not_owner with a hint.
//
// It looks only at the upstreams of the own failure domain and at those whose candidate changed since the last call.
func (m *Machine) Ownership(now time.Time) *core.Ownership {
	holders := m.holders(now)
	edit := m.owners.Edit()
	for _, id := range m.moved {
		m.refresh(edit, id, holders)
	}
	m.moved = nil
	for id := range m.upstreams {
		m.refresh(edit, id, holders)
	}
	m.owners = edit.Done()
	return &core.Ownership{Owner: m.owners, Held: m.Held(), Hold: m.hold}
}

func (m *Machine) refresh(edit *core.MapEdit[core.UpstreamID, core.VMName], id core.UpstreamID, holders map[core.UpstreamID]core.VMName) {
	var owner core.VMName
	if m.set.Upstream(id) != nil {
		owner = m.believed(id, holders)
	}
	old, known := edit.Get(id)
	switch {
	case owner == "" && known:
		edit.Delete(id)
	case owner != old:
		edit.Set(id, owner)
	}
}

func (m *Machine) believed(id core.UpstreamID, holders map[core.UpstreamID]core.VMName) core.VMName {
	self := m.table.Self().Name
	if m.held[id] != nil || m.claims[id] != nil {
		return self
	}
	candidate := m.assigned.Candidate(id)
	if candidate == self || m.releasing[id] != nil {
		return candidate
	}
	if holder, ok := holders[id]; ok {
		return holder
	}
	return candidate
}

// holders returns the members that said that they hold an upstream and are not silent.
func (m *Machine) holders(now time.Time) map[core.UpstreamID]core.VMName {
	holders := make(map[core.UpstreamID]core.VMName)
	for name, h := range m.holdings {
		vm, ok := m.table.Find(now, name)
		if !ok || vm.State == core.VMSuspect || vm.State == core.VMGone {
			continue
		}
		for id := range h.upstreams {
			if other, ok := holders[id]; !ok || m.assigned.Outranks(id, name, other) {
				holders[id] = name
			}
		}
	}
	return holders
}
