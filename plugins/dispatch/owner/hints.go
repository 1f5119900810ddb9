package owner

import (
	"sync"
	"time"

	"gooseberrylane.example/core"
)

// hints are owners named by not_owner refusals. They take precedence over the published ownership for a short time, so
// that during a move not every attempt is sent to the previous owner first.
type hints struct{ byUpstream sync.Map }

type hint struct {
	vm    core.VM
	until time.Time
}

// owner returns the assumed owner of an upstream. A hint is dropped when its VM starts to leave.
func (h *hints) owner(now time.Time, id core.UpstreamID, view *core.View) core.VM {
	if value, ok := h.byUpstream.Load(id); ok {
		stored := value.(hint)
		vm := view.Members.Find(stored.vm.Name)
		if now.Before(stored.until) && (vm == nil || vm.State == core.VMLive) {
			return stored.vm
		}
		h.byUpstream.CompareAndDelete(id, value)
	}
	return findVM(view, view.Ownership.Owner.Value(id))
}

// findVM returns a VM from the member list, or one without an address if the list does not contain it.
func findVM(view *core.View, name core.VMName) core.VM {
	if vm := view.Members.Find(name); vm != nil {
		return *vm
	}
	return core.VM{Name: name}
}

func (h *hints) store(id core.UpstreamID, vm core.VM, until time.Time) {
	h.byUpstream.Store(id, hint{vm: vm, until: until})
}

// forget drops the hint for an upstream if it names the VM.
func (h *hints) forget(id core.UpstreamID, vm core.VMName) {
	if value, ok := h.byUpstream.Load(id); ok && value.(hint).vm.Name == vm {
		h.byUpstream.CompareAndDelete(id, value)
	}
}
