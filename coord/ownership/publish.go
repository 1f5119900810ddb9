package ownership

import (
	"time"

	"gooseberrylane.example/core"
)

// Ownership returns the ownership that this VM publishes. In the own failure domain the owners are the holders that
// reported their holdings. For other domains, and for upstreams that are moving, the owner is assumed to be the
// candidate: announcing each move to all VMs would cost messages in proportion to the upstreams, whereas a wrong
// assumption costs one more hop, because a VM that is not the owner answers not_owner with a hint.
//
// It updates only the upstreams of the own failure domain and those whose candidate changed since the last call.
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
	return &core.Ownership{Owner: m.owners, Held: m.Held(), Lease: m.lease}
}

func (m *Machine) refresh(edit *core.MapEdit[core.UpstreamID, core.VMName], id core.UpstreamID, holders map[core.UpstreamID]core.VMName) {
	var owner core.VMName
	if m.set.Upstream(id) != nil {
		owner = m.presumedOwner(id, holders)
	}
	old, known := edit.Get(id)
	switch {
	case owner == "" && known:
		edit.Delete(id)
	case owner != old:
		edit.Set(id, owner)
	}
}

func (m *Machine) presumedOwner(id core.UpstreamID, holders map[core.UpstreamID]core.VMName) core.VMName {
	self := m.table.Self().Name
	if m.held[id] != nil || m.claims[id] != nil {
		return self
	}
	candidate := m.assignment.Candidate(id)
	if candidate == self || m.releasing[id] != nil {
		return candidate
	}
	if holder, ok := holders[id]; ok {
		return holder
	}
	return candidate
}

// holders returns the holder of each upstream that a member reported in its holdings, without suspect and gone members.
func (m *Machine) holders(now time.Time) map[core.UpstreamID]core.VMName {
	holders := make(map[core.UpstreamID]core.VMName)
	for name, h := range m.holdings {
		vm, ok := m.table.Find(now, name)
		if !ok || vm.State == core.VMSuspect || vm.State == core.VMGone {
			continue
		}
		for id := range h.upstreams {
			if other, ok := holders[id]; !ok || m.assignment.Outranks(id, name, other) {
				holders[id] = name
			}
		}
	}
	return holders
}
