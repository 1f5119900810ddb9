package freshness

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gooseberrylane.example/core"
)

// Roles is the place of a VM in the order in which VMs read the position of the store, and the VMs to which it passes it on. The
// VMs with the most processing power come first. A position crosses the boundary to another failure domain once.
type Roles struct {
	// Step is the number of Takeover periods that this VM waits for the VMs before it.
	Step int
	// Domain holds the other VMs of the own failure domain, and Heads the first VM of each other one.
	Domain, Heads []core.VM
}

// Assign returns the roles of the VM members.Self. While no member is known, it is behind all others.
func Assign(members *core.Members) Roles {
	order := slices.Clone(members.All)
	slices.SortFunc(order, func(a, b core.VM) int {
		return cmp.Or(
			cmp.Compare(members.Capacity[b.Name], members.Capacity[a.Name]),
			cmp.Compare(xxhash.Sum64String(string(a.Name)), xxhash.Sum64String(string(b.Name))),
			cmp.Compare(a.Name, b.Name),
		)
	})
	roles := Roles{Step: maxSteps}
	seen := make(map[core.FailureDomain]int)
	for i, vm := range order {
		before := seen[vm.Domain]
		seen[vm.Domain]++
		switch {
		case vm.Name == members.Self.Name:
			roles.Step = before
			if vm.Domain != order[0].Domain {
				roles.Step++
			}
		case vm.Domain == members.Self.Domain:
			roles.Domain = append(roles.Domain, order[i])
		case before == 0:
			roles.Heads = append(roles.Heads, order[i])
		}
	}
	return roles
}
