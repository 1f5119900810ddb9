package owner

import (
	"sync"
	"time"

	"gooseberrylane.example/core"
)

// hints are owners that not_owner refusals named. They go before the published ownership for a short time, so that
// during a move each sub-request does not ask the old owner first.
type hints struct{ byUpstream sync.Map }

type hint struct {
	vm    core.VM
	until time.Time
}

// owner returns the believed owner of an upstream. A hint ends when its VM begins to leave.
func (h *hints) owner(now time.Time, id core.UpstreamID, view *core.View) core.VM {
	if value, ok := h.byUpstream.Load(id); ok {
		known := value.(hint)
		vm := view.Members.Find(known.vm.Name)
		if now.Before(known.until) && (vm == nil || vm.State == core.VMLive) {
			return known.vm
		}
		h.byUpstream.CompareAndDelete(id, value)
	}
	return located(view, view.Ownership.Owner.Value(id))
}

// located returns a VM as the member list knows it; without an address when it does not.
func located(view *core.View, name core.VMName) core.VM {
	if vm := view.Members.Find(name); vm != nil {
		return *vm
	}
	return core.VM{Name: name}
}

func (h *hints) store(id core.UpstreamID, vm core.VM, until time.Time) {
	h.byUpstream.Store(id, hint{vm: vm, until: until})
}

// forget drops a hint that proved wrong.
func (h *hints) forget(id core.UpstreamID, vm core.VMName) {
	if value, ok := h.byUpstream.Load(id); ok && value.(hint).vm.Name == vm {
		h.byUpstream.CompareAndDelete(id, value)
	}
}
