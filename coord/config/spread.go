package config

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gooseberrylane.example/core"
)

// Numbers of VMs that distribute changes.
const (
	// WatchersPerDomain is the number of VMs of a failure domain that watch the store.
	WatchersPerDomain = 2
	// Checkpointers is the number of VMs that write checkpoints; more than one, because each may be cut off from
	// the store.
	Checkpointers = 2
	// FanOut is the number of peers to which a VM pushes a change that is new to it.
	FanOut = 3
	// localPartners and remotePartners bound the peers in the own and in other failure domains with which a VM exchanges
	// changes.
	localPartners  = 5
	remotePartners = 3
)

// score ranks VMs for a purpose by rendezvous hashing.
func score(purpose string, vm core.VMName) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a digest cannot fail.
	_, _ = d.WriteString(purpose)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(vm))
	return d.Sum64()
}

// rankedVM is a VM with its score.
type rankedVM struct {
	score uint64
	vm    *core.VM
}

// compare orders the highest score first.
func (r rankedVM) compare(other rankedVM) int {
	if c := cmp.Compare(other.score, r.score); c != 0 {
		return c
	}
	return cmp.Compare(r.vm.Name, other.vm.Name)
}

// top returns the n VMs with the highest scores, the highest first. Each VM is scored only once, because the
// choice is repeated after each membership change.
func top(purpose string, vms []core.VM, n int) []core.VM {
	ranked := make([]rankedVM, 0, n+1)
	for i := range vms {
		next := rankedVM{score(purpose, vms[i].Name), &vms[i]}
		at, _ := slices.BinarySearchFunc(ranked, next, rankedVM.compare)
		if at < n {
			ranked = slices.Insert(ranked, at, next)[:min(len(ranked)+1, n)]
		}
	}
	chosen := make([]core.VM, len(ranked))
	for i := range ranked {
		chosen[i] = *ranked[i].vm
	}
	return chosen
}

func isSelf(members *core.Members, vms []core.VM) bool {
	return slices.ContainsFunc(vms, func(vm core.VM) bool { return vm.Name == members.Self.Name })
}

// selectVMs returns the live VMs that satisfy a condition.
func selectVMs(members *core.Members, match func(*core.VM) bool) []core.VM {
	var vms []core.VM
	for i := range members.All {
		if vm := &members.All[i]; vm.State == core.VMLive && match(vm) {
			vms = append(vms, *vm)
		}
	}
	return vms
}

// IsWatcher reports whether this VM is one of the watchers of its failure domain.
func IsWatcher(members *core.Members) bool {
	domain := members.Self.Domain
	local := selectVMs(members, func(vm *core.VM) bool { return vm.Domain == domain })
	return isSelf(members, top("configuration watch "+string(domain), local, WatchersPerDomain))
}

// IsCheckpointer reports whether this VM writes checkpoints.
func IsCheckpointer(members *core.Members) bool {
	all := selectVMs(members, func(*core.VM) bool { return true })
	return isSelf(members, top("configuration checkpoint", all, Checkpointers))
}

// Partners are the few peers with which a VM exchanges changes. They change only with the members.
type Partners struct {
	// Local holds partners in the own failure domain, Remote those in other ones.
	Local, Remote []core.VM
}

// NewPartners chooses the partners of this VM.
func NewPartners(members *core.Members) Partners {
	self := members.Self
	purpose := "configuration partner " + string(self.Name)
	local := selectVMs(members, func(vm *core.VM) bool { return vm.Name != self.Name && vm.Domain == self.Domain })
	remote := selectVMs(members, func(vm *core.VM) bool { return vm.Domain != self.Domain })
	p := Partners{Local: top(purpose, local, localPartners), Remote: top(purpose, remote, remotePartners)}
	return p
}

// All returns all partners.
func (p Partners) All() []core.VM { return slices.Concat(p.Local, p.Remote) }

// PushTargets chooses at most FanOut partners for a push, at least one of them in another failure domain if there is any.
func (p Partners) PushTargets(random *rand.Rand) []core.VM {
	remote := choose(p.Remote, 1, random)
	local := choose(p.Local, FanOut-len(remote), random)
	chosen := slices.Concat(remote, local)
	if missing := FanOut - len(chosen); missing > 0 && len(remote) > 0 {
		others := slices.DeleteFunc(slices.Clone(p.Remote), func(vm core.VM) bool { return vm.Name == remote[0].Name })
		chosen = append(chosen, choose(others, missing, random)...)
	}
	return chosen
}

// Random chooses one partner at random, or none when there is no partner.
func (p Partners) Random(random *rand.Rand) []core.VM { return choose(p.All(), 1, random) }

// choose returns at most n of the VMs at random.
func choose(vms []core.VM, n int, random *rand.Rand) []core.VM {
	shuffled := slices.Clone(vms)
	random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled[:min(n, len(shuffled))]
}
