// Package gatherers chooses the VMs that put together the answers of gathered requests. A request that is handed over
// whole crosses the border between failure domains once, and a few VMs that gather for many know the upstreams better and
// need fewer connections to them.
package gatherers

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gooseberrylane.example/core"
)

// Settings of the choice.
type Settings struct {
	// PerDomain bounds the VMs of a failure domain that gather for the others. Default 4.
	PerDomain int `json:"per_domain" validate:"gte=1,lte=1000"`
	// ConnectionsPerVM is how many connections to one upstream a VM that gathers may need. Default 3.
	ConnectionsPerVM int `json:"connections_per_vm" validate:"gte=1,lte=1000"`
	// ConnectionShare is the share of an upstream's connections that the VMs of its own failure domain may use together;
	// the rest is for those of other domains. Default 0.5.
	ConnectionShare float64 `json:"connection_share" validate:"gt=0,lte=1"`
}

// Defaults returns the default settings.
func Defaults() Settings { return Settings{PerDomain: 4, ConnectionsPerVM: 3, ConnectionShare: 0.5} }

const (
	// nearlyAll is how much less of the shards a failure domain may hold than the best one and still gather.
	nearlyAll = 0.1
	// strongShare is the capacity, as a share of the strongest VM of the domain, below which a VM does not gather for
	// others.
	strongShare = 0.5
)

// Coverage returns the share of the shards of a rule that have a replica in each failure domain.
func Coverage(rule *core.GatherRule, registered *core.RegisteredUpstreams) map[core.FailureDomain]float64 {
	shares := make(map[core.FailureDomain]float64)
	var seen [8]core.FailureDomain
	for _, shard := range rule.Shards {
		group := registered.Group(shard)
		if group == nil {
			continue
		}
		domains := seen[:0]
		for i := range group.Upstreams {
			if d := group.Upstreams[i].Domain; !slices.Contains(domains, d) {
				domains = append(domains, d)
				shares[d] += 1 / float64(len(rule.Shards))
			}
		}
	}
	return shares
}

// ConnectionLimit returns the least number of connections that an upstream of the shards allows.
func ConnectionLimit(rule *core.GatherRule, table *core.RouteTable) int {
	limit := math.MaxInt
	for _, shard := range rule.Shards {
		if most := table.Services[shard].MaxConnections; most > 0 {
			limit = min(limit, most)
		}
	}
	return limit
}

// Request is what the choice for one request depends on.
type Request struct {
	// Key spreads requests over the VMs that gather.
	Key      core.RequestID
	Coverage map[core.FailureDomain]float64
	// ConnectionLimit is the number of connections that each upstream allows.
	ConnectionLimit int
}

// Choose returns the VMs that may gather for a request, the best first. An empty result means that this VM gathers itself.
// usable tells whether a VM answered lately.
func (s *Settings) Choose(members *core.Members, r Request, usable func(core.VMName) bool) []core.VM {
	domains := nearest(members.Self.Domain, r.Coverage)
	var chosen []core.VM
	for _, domain := range domains {
		strong, all := s.strongest(members, domain, usable)
		if domain == members.Self.Domain && s.fits(all, r.ConnectionLimit) {
			return nil
		}
		if !s.fits(all, r.ConnectionLimit) {
			strong = strong[:min(len(strong), s.PerDomain)]
		}
		chosen = append(chosen, strong...)
	}
	if slices.ContainsFunc(chosen, func(vm core.VM) bool { return vm.Name == members.Self.Name }) {
		return nil
	}
	order(chosen, members, r.Key)
	return chosen
}

// fits reports whether all VMs of a domain may hold connections to its upstreams.
func (s *Settings) fits(vms, limit int) bool {
	return float64(vms*s.ConnectionsPerVM) <= s.ConnectionShare*float64(limit)
}

// Shares of an allowance of all VMs that those that gather for others, and all others, may use together. The rest is for
// VMs that this one does not know yet.
const (
	gatherersShare = 0.6
	othersShare    = 0.3
)

// Share returns the part of an allowance for requests to a service, such as a budget for extra ones, that this VM may use.
// limit is the number of connections that each upstream of the service allows.
func (s *Settings) Share(members *core.Members, limit int) float64 {
	counted := make(map[core.FailureDomain]bool)
	gathering, own, concentrated := 0, false, false
	for i := range members.All {
		domain := members.All[i].Domain
		if counted[domain] {
			continue
		}
		counted[domain] = true
		strong, all := s.strongest(members, domain, func(core.VMName) bool { return true })
		if !s.fits(all, limit) {
			concentrated = true
			strong = strong[:min(len(strong), s.PerDomain)]
		}
		gathering += len(strong)
		own = own || slices.ContainsFunc(strong, func(vm core.VM) bool { return vm.Name == members.Self.Name })
	}
	switch {
	case !concentrated:
		return (gatherersShare + othersShare) / float64(max(len(members.All), 1))
	case own:
		return gatherersShare / float64(gathering)
	default:
		return othersShare / float64(len(members.All))
	}
}

// nearest returns the own failure domain if it holds nearly as many shards as the best one, else all that do.
func nearest(own core.FailureDomain, coverage map[core.FailureDomain]float64) []core.FailureDomain {
	best := 0.0
	for _, share := range coverage {
		best = max(best, share)
	}
	if coverage[own] >= best-nearlyAll {
		return []core.FailureDomain{own}
	}
	var domains []core.FailureDomain
	for domain, share := range coverage {
		if share >= best-nearlyAll {
			domains = append(domains, domain)
		}
	}
	return domains
}

// strongest returns the strong usable VMs of a domain, in an order that is the same on every VM, and the number of all VMs
// of the domain. The own VM counts as usable.
func (s *Settings) strongest(members *core.Members, domain core.FailureDomain, usable func(core.VMName) bool) (strong []core.VM, all int) {
	most := 0.0
	for i := range members.All {
		vm := &members.All[i]
		if vm.Domain != domain {
			continue
		}
		all++
		if vm.State != core.VMLive || (vm.Name != members.Self.Name && !usable(vm.Name)) {
			continue
		}
		strong = append(strong, *vm)
		most = max(most, members.Capacity[vm.Name])
	}
	strong = slices.DeleteFunc(strong, func(vm core.VM) bool { return members.Capacity[vm.Name] < strongShare*most })
	slices.SortFunc(strong, func(a, b core.VM) int {
		return cmp.Or(cmp.Compare(members.Capacity[b.Name], members.Capacity[a.Name]), cmp.Compare(xxhash.Sum64String(string(a.Name)), xxhash.Sum64String(string(b.Name))))
	})
	return strong, all
}

// order sorts VMs by weighted rendezvous hashing: each VM is first for a share of the keys that follows its capacity, and
// the keys of a VM that is lost spread over the others.
func order(vms []core.VM, members *core.Members, key core.RequestID) {
	score := func(vm *core.VM) float64 {
		hash := xxhash.Sum64String(string(vm.Name) + "\x00" + string(key))
		// The hash becomes a number between 0 and 1, both excluded.
		unit := (float64(hash>>11) + 0.5) / (1 << 53)
		return max(members.Capacity[vm.Name], math.SmallestNonzeroFloat32) / -math.Log(unit)
	}
	slices.SortFunc(vms, func(a, b core.VM) int { return cmp.Compare(score(&b), score(&a)) })
}
