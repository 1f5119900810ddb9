package ownership

import (
	"time"

	"gooseberrylane.example/core"
)

// Ownership returns what this VM publishes. For its own failure domain it knows the holders from what they said. For
// other domains, and for upstreams that move, it believes in the candidate: telling every VM of every domain about
// each move would cost messages in proportion to the upstreams, and a wrong belief costs only one more hop, because
// the VM that is asked answers not_owner with a hint.
func (m *Machine) Ownership(now time.Time) *core.Ownership {
	o := &core.Ownership{Owner: make(map[core.UpstreamID]core.VMName, len(m.set.Upstreams())), Held: m.Held(), Hold: m.hold}
	holders := m.holders(now)
	for id := range m.set.Upstreams() {
		if owner := m.believed(id, holders); owner != "" {
			o.Owner[id] = owner
		}
	}
	return o
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
			if other, ok := holders[id]; !ok || outranks(id, name, other) {
				holders[id] = name
			}
		}
	}
	return holders
}
