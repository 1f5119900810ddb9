// Package gatherers chooses the gatherers: the VMs that send the sub-requests of gathered requests and assemble the
// answers. A request that is handed over to a gatherer crosses the boundary between failure domains once instead of once
// per sub-request. Concentrating requests on a few gatherers also gives each more measurements of the upstreams, and needs
// fewer connections to them.
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
	// PerDomain bounds the gatherers of a failure domain when not all of its VMs may gather. Default 4.
	PerDomain int `json:"per_domain" validate:"gte=1,lte=1000"`
	// ConnectionsPerVM is the number of connections to one upstream that a gatherer may need. Default 3.
	ConnectionsPerVM int `json:"connections_per_vm" validate:"gte=1,lte=1000"`
	// ConnectionShare is the share of an upstream's connections that all VMs of its own failure domain together may use;
	// the rest is for VMs of other domains. Default 0.5.
	ConnectionShare float64 `json:"connection_share" validate:"gt=0,lte=1"`
}

// Defaults returns the default settings.
func Defaults() Settings { return Settings{PerDomain: 4, ConnectionsPerVM: 3, ConnectionShare: 0.5} }

const (
	// coverageTolerance is the share of the shards by which a failure domain may fall short of the best covered domain and
	// still gather.
	coverageTolerance = 0.1
	// minCapacityShare is the capacity, as a share of the highest capacity in the domain, below which a VM does not gather
	// for others.
	minCapacityShare = 0.5
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

// ConnectionLimit returns the lowest connection limit among the services of the shards; math.MaxInt without a limit.
func ConnectionLimit(rule *core.GatherRule, table *core.RoutingTable) int {
	limit := math.MaxInt
	for _, shard := range rule.Shards {
		if connections := table.Services[shard].MaxConnections; connections > 0 {
			limit = min(limit, connections)
		}
	}
	return limit
}

// Request holds the properties of a request on which the choice depends.
type Request struct {
	// Key distributes requests over the gatherers.
	Key      core.RequestID
	Coverage map[core.FailureDomain]float64
	// ConnectionLimit is the number of connections that each upstream allows.
	ConnectionLimit int
}

// Choose returns the candidate gatherers of a request, the best first. An empty result means that this VM gathers itself.
// usable reports whether a VM answered recently.
func (s *Settings) Choose(members *core.Members, r Request, usable func(core.VMName) bool) []core.VM {
	domains := gatheringDomains(members.Self.Domain, r.Coverage)
	var chosen []core.VM
	for _, domain := range domains {
		candidates, all := s.candidates(members, domain, usable)
		if domain == members.Self.Domain && s.fits(all, r.ConnectionLimit) {
			return nil
		}
		if !s.fits(all, r.ConnectionLimit) {
			candidates = candidates[:min(len(candidates), s.PerDomain)]
		}
		chosen = append(chosen, candidates...)
	}
	if slices.ContainsFunc(chosen, func(vm core.VM) bool { return vm.Name == members.Self.Name }) {
		return nil
	}
	sortByRendezvous(chosen, members, r.Key)
	return chosen
}

// fits reports whether the connection limit of an upstream is sufficient for all VMs of its domain.
func (s *Settings) fits(vms, limit int) bool {
	return float64(vms*s.ConnectionsPerVM) <= s.ConnectionShare*float64(limit)
}

// Shares of an allowance for the whole fleet. gatherersShare is divided among the gatherers; each other VM may use
// othersShare divided by the number of all VMs. The rest covers VMs that are not yet in this VM's member list.
const (
	gatherersShare = 0.6
	othersShare    = 0.3
)

// Share returns the fraction that this VM may use of a fleet-wide allowance for requests to a service, such as the budget
// of extra attempts. limit is the number of connections that each upstream of the service allows.
func (s *Settings) Share(members *core.Members, limit int) float64 {
	counted := make(map[core.FailureDomain]bool)
	gatherers, isGatherer, concentrated := 0, false, false
	for i := range members.All {
		domain := members.All[i].Domain
		if counted[domain] {
			continue
		}
		counted[domain] = true
		candidates, all := s.candidates(members, domain, func(core.VMName) bool { return true })
		if !s.fits(all, limit) {
			concentrated = true
			candidates = candidates[:min(len(candidates), s.PerDomain)]
		}
		gatherers += len(candidates)
		isGatherer = isGatherer || slices.ContainsFunc(candidates, func(vm core.VM) bool { return vm.Name == members.Self.Name })
	}
	switch {
	case !concentrated:
		return (gatherersShare + othersShare) / float64(max(len(members.All), 1))
	case isGatherer:
		return gatherersShare / float64(gatherers)
	default:
		return othersShare / float64(len(members.All))
	}
}

// gatheringDomains returns the own failure domain if its coverage is within coverageTolerance of the best, otherwise all
// domains whose coverage is within that tolerance.
func gatheringDomains(own core.FailureDomain, coverage map[core.FailureDomain]float64) []core.FailureDomain {
	best := 0.0
	for _, share := range coverage {
		best = max(best, share)
	}
	if coverage[own] >= best-coverageTolerance {
		return []core.FailureDomain{own}
	}
	var domains []core.FailureDomain
	for domain, share := range coverage {
		if share >= best-coverageTolerance {
			domains = append(domains, domain)
		}
	}
	return domains
}

// candidates returns the usable VMs of a domain with at least minCapacityShare of the highest capacity among them, ordered
// by capacity and equally on every VM, and the number of all VMs of the domain. This VM counts as usable.
func (s *Settings) candidates(members *core.Members, domain core.FailureDomain, usable func(core.VMName) bool) (chosen []core.VM, all int) {
	highest := 0.0
	for i := range members.All {
		vm := &members.All[i]
		if vm.Domain != domain {
			continue
		}
		all++
		if vm.State != core.VMLive || (vm.Name != members.Self.Name && !usable(vm.Name)) {
			continue
		}
		chosen = append(chosen, *vm)
		highest = max(highest, members.Capacity[vm.Name])
	}
	chosen = slices.DeleteFunc(chosen, func(vm core.VM) bool { return members.Capacity[vm.Name] < minCapacityShare*highest })
	slices.SortFunc(chosen, func(a, b core.VM) int {
		return cmp.Or(cmp.Compare(members.Capacity[b.Name], members.Capacity[a.Name]), cmp.Compare(xxhash.Sum64String(string(a.Name)), xxhash.Sum64String(string(b.Name))))
	})
	return chosen, all
}

// sortByRendezvous sorts VMs by weighted rendezvous hashing: each VM is first for a share of the keys in proportion to
// its capacity, and the keys of a lost VM spread over the others.
func sortByRendezvous(vms []core.VM, members *core.Members, key core.RequestID) {
	score := func(vm *core.VM) float64 {
		hash := xxhash.Sum64String(string(vm.Name) + "\x00" + string(key))
		// The hash is mapped to the open interval (0, 1).
		unit := (float64(hash>>11) + 0.5) / (1 << 53)
		return max(members.Capacity[vm.Name], math.SmallestNonzeroFloat32) / -math.Log(unit)
	}
	slices.SortFunc(vms, func(a, b core.VM) int { return cmp.Compare(score(&b), score(&a)) })
}
