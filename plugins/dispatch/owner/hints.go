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
	vm    core.VMName
	until time.Time
}

// owner returns the believed owner of an upstream. A hint ends when its VM begins to leave.
func (h *hints) owner(now time.Time, id core.UpstreamID, view *core.View) core.VMName {
	if value, ok := h.byUpstream.Load(id); ok {
		known := value.(hint)
		if vm := view.Members.Find(known.vm); vm != nil && vm.State == core.VMLive && now.Before(known.until) {
			return known.vm
		}
		h.byUpstream.CompareAndDelete(id, value)
	}
	return view.Ownership.Owner.Value(id)
}

func (h *hints) store(id core.UpstreamID, vm core.VMName, until time.Time) {
	h.byUpstream.Store(id, hint{vm: vm, until: until})
}

// forget drops a hint that proved wrong.
func (h *hints) forget(id core.UpstreamID, vm core.VMName) {
	if value, ok := h.byUpstream.Load(id); ok && value.(hint).vm == vm {
		h.byUpstream.CompareAndDelete(id, value)
	}
}
