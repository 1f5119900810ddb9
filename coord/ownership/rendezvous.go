// Package ownership decides which VM owns an upstream. Only the owner opens connections to it.
package ownership

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"gooseberrylane.example/core"
)

// Score returns the rendezvous score of a VM for a key. The live VM of the failure domain with the highest score is the
// candidate; every VM computes the same scores.
func Score(key string, vm core.VMName) uint64 {
	return mix(xxhash.Sum64String(key), xxhash.Sum64String(string(vm)))
}

// mix combines the hashes of a key and a VM. Each is hashed once and mixed often: in a large fleet, a start compares
// 25 million pairs. The steps are those of a 64-bit finalizer, so that each input bit affects all output bits.
func mix(key, vm uint64) uint64 {
	x := key ^ bits.RotateLeft64(vm*0x9e3779b97f4a7c15, 32)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Assign returns the ownership in which every upstream belongs to its candidate, without claims. It is safe only for a
// fixed member list; a changing list requires claims. The member list must be ordered by name.
func Assign(config *core.ConfigSet, members *core.Members) *core.Ownership {
	var assigned Assignment
	assigned.Update(config, members)
	var owners core.MapEdit[core.UpstreamID, core.VMName]
	o := &core.Ownership{Held: make(map[core.UpstreamID]bool)}
	for id := range config.Upstreams() {
		owner := assigned.Candidate(id)
		if owner == "" {
			continue
		}
		owners.Set(id, owner)
		if owner == members.Self.Name {
			o.Held[id] = true
		}
	}
	o.Owner = owners.Done()
	return o
}
