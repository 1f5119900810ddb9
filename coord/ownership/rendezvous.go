// Package ownership decides which VM owns an upstream. Only the owner opens connections to it.
package ownership

import (
	"github.com/cespare/xxhash/v2"

	"gooseberrylane.example/core"
)

// Score returns the rendezvous score of a VM for an upstream. The VM with the highest score among the candidates is
// the owner; every VM computes the same scores.
func Score(upstream core.UpstreamID, vm core.VMName) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a digest cannot fail.
	_, _ = d.WriteString(string(upstream))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(vm))
	return d.Sum64()
}

// Candidate returns the VM that ought to own an upstream: the highest score among the live members of the upstream's
// failure domain, or "" when there is none.
func Candidate(upstream *core.Upstream, members *core.Members) core.VMName {
	var best core.VMName
	var bestScore uint64
	for i := range members.All {
		vm := &members.All[i]
		if vm.Domain != upstream.Domain || vm.State != core.VMLive {
			continue
		}
		score := Score(upstream.ID, vm.Name)
		if best == "" || score > bestScore || (score == bestScore && vm.Name < best) {
			best, bestScore = vm.Name, score
		}
	}
	return best
}

// Assign returns the ownership in which every upstream belongs to its candidate at once. It is right for a fixed
// member list; a changing list needs claims.
func Assign(config *core.ConfigSet, members *core.Members) *core.Ownership {
	o := &core.Ownership{Owner: make(map[core.UpstreamID]core.VMName), Held: make(map[core.UpstreamID]bool)}
	for id, upstream := range config.Upstreams() {
		owner := Candidate(upstream, members)
		if owner == "" {
			continue
		}
		o.Owner[id] = owner
		if owner == members.Self.Name {
			o.Held[id] = true
		}
	}
	return o
}
