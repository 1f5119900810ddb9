package peers

import (
	"sync"

	"gooseberrylane.example/core"
)

// maxReports bounds the failure domains that wait for a probe. A report names a domain of the deployment, of which there are few.
const maxReports = 1024

// reports collects the failure domains that other VMs report as unreachable until they are probed.
type reports struct {
	mu      sync.Mutex
	domains map[core.FailureDomain]bool
	// ready is signalled when a domain waits.
	ready chan struct{}
}

func newReports() reports { return reports{ready: make(chan struct{}, 1)} }

func (r *reports) add(domain core.FailureDomain) {
	r.mu.Lock()
	if r.domains == nil {
		r.domains = make(map[core.FailureDomain]bool)
	}
	if len(r.domains) < maxReports {
		r.domains[domain] = true
	}
	r.mu.Unlock()
	select {
	case r.ready <- struct{}{}:
	default:
	}
}

// take returns the waiting domains and clears them.
func (r *reports) take() map[core.FailureDomain]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := r.domains
	r.domains = nil
	return taken
}
