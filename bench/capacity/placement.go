package capacity

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"gooseberrylane.example/coord/ownership"
	"gooseberrylane.example/core"
)

// Placement describes the owners of upstreams at one block size.
type Placement struct {
	Fleet     string `json:"fleet"`
	BlockSize int    `json:"block_size"`
	// NodesPerQuery is the mean number of owners that a query of all groups of a service visits.
	NodesPerQuery float64 `json:"nodes_per_query"`
	// Upstreams per VM: the median, the 99th percentile, the maximum, and the fraction of VMs that own none.
	Median float64 `json:"upstreams_median"`
	P99    float64 `json:"upstreams_p99"`
	Max    float64 `json:"upstreams_max"`
	Empty  float64 `json:"empty_fraction"`
	// MovedOnLeave and MovedOnJoin are the mean number of upstreams whose owner changes when one VM leaves or joins,
	// MovedOnRemoval the number when the first group of a service is removed.
	MovedOnLeave   float64 `json:"moved_on_leave"`
	MovedOnJoin    float64 `json:"moved_on_join"`
	MovedOnRemoval float64 `json:"moved_on_removal"`
}

// BlockSizes are the block sizes that are compared.
var BlockSizes = []int{1, 4, 12, 24}

const placementTrials = 20

// LargePlacement measures the large size of the design page. Replicas of a service lie in one pair of failure domains
// for runLength consecutive groups. A query uses one replica of each group, in the same failure domain within a run.
func LargePlacement(blockSize int, seed uint64) Placement {
	const runLength = 24
	set := services(largeUpstreams)
	for _, service := range set.Services {
		for g := range service.Groups {
			for u := range service.Groups[g].Upstreams {
				service.Groups[g].Upstreams[u].Domain = domainName(g/runLength + u)
			}
		}
	}
	var vms []core.VM
	for i := range largeMembers {
		vms = append(vms, vmAt(i%Domains, i/Domains))
	}
	p := measurePlacement(set, vms, blockSize, seed, func(service *core.Service, g int, trial int) core.UpstreamID {
		upstreams := service.Groups[g].Upstreams
		return upstreams[(g/runLength+trial)%len(upstreams)].ID
	})
	p.Fleet = fmt.Sprintf("%d VMs, %d upstreams", largeMembers, largeUpstreams)
	return p
}

// DeploymentPlacement measures the services of a deployment on a number of VMs in equal failure domains. A query uses the
// replica in the failure domain of its entry VM if there is one, and a random one otherwise.
func DeploymentPlacement(name string, list []*core.Service, domains []core.FailureDomain, vms, blockSize int, seed uint64) Placement {
	set := &core.ConfigSet{Revision: 1, Services: make(map[core.ServiceName]*core.Service)}
	for _, service := range list {
		set.Services[service.Name] = service
	}
	var members []core.VM
	for i := range vms {
		members = append(members, core.VM{Name: core.VMName(fmt.Sprintf("vm-%02d", i)), Domain: domains[i%len(domains)]})
	}
	random := rand.New(rand.NewPCG(seed, 2))
	p := measurePlacement(set, members, blockSize, seed, func(service *core.Service, g int, trial int) core.UpstreamID {
		upstreams := service.Groups[g].Upstreams
		for u := range upstreams {
			if upstreams[u].Domain == domains[trial%len(domains)] {
				return upstreams[u].ID
			}
		}
		return upstreams[random.IntN(len(upstreams))].ID
	})
	p.Fleet = fmt.Sprintf("%s, %d VMs", name, vms)
	return p
}

// chooser returns the upstream that a query uses in a group.
type chooser func(service *core.Service, g, trial int) core.UpstreamID

func measurePlacement(set *core.ConfigSet, vms []core.VM, blockSize int, seed uint64, choose chooser) Placement {
	p := Placement{BlockSize: blockSize}
	var large *core.Service
	for _, service := range set.Services {
		service.Rule.PlacementBlock = blockSize
		if large == nil || len(service.Groups) > len(large.Groups) || (len(service.Groups) == len(large.Groups) && service.Name < large.Name) {
			large = service
		}
	}
	set.Index()
	slices.SortFunc(vms, func(a, b core.VM) int { return compareNames(a.Name, b.Name) })
	all := &core.Members{All: vms}
	var assigned ownership.Assignment
	assigned.Update(set, all)
	for trial := range placementTrials {
		visited := make(map[core.VMName]bool)
		for g := range large.Groups {
			visited[assigned.Candidate(choose(large, g, trial))] = true
		}
		p.NodesPerQuery += float64(len(visited)) / placementTrials
	}
	p.spread(set, vms, &assigned)
	random := rand.New(rand.NewPCG(seed, 3))
	for range placementTrials {
		i := random.IntN(len(vms))
		without := &core.Members{All: slices.Delete(slices.Clone(vms), i, i+1)}
		p.MovedOnLeave += float64(len(assigned.Update(set, without))) / placementTrials
		p.MovedOnJoin += float64(len(assigned.Update(set, all))) / placementTrials
	}
	p.MovedOnRemoval = float64(movedByRemoval(set, large, &assigned, all))
	return p
}

func compareNames(a, b core.VMName) int {
	if a < b {
		return -1
	}
	return 1
}

// spread computes the distribution of upstreams over the VMs.
func (p *Placement) spread(set *core.ConfigSet, vms []core.VM, assigned *ownership.Assignment) {
	owned := make(map[core.VMName]int)
	for id := range set.Upstreams() {
		owned[assigned.Candidate(id)]++
	}
	var counts []int
	empty := 0
	for i := range vms {
		counts = append(counts, owned[vms[i].Name])
		if owned[vms[i].Name] == 0 {
			empty++
		}
	}
	slices.Sort(counts)
	p.Median, p.P99 = float64(counts[len(counts)/2]), float64(counts[len(counts)*99/100])
	p.Max, p.Empty = float64(counts[len(counts)-1]), float64(empty)/float64(len(counts))
}

// movedByRemoval counts the remaining upstreams whose owner changes when the first group of a service is removed.
func movedByRemoval(set *core.ConfigSet, service *core.Service, assigned *ownership.Assignment, members *core.Members) int {
	before := make(map[core.UpstreamID]core.VMName)
	for id := range set.Upstreams() {
		before[id] = assigned.Candidate(id)
	}
	smaller := *service
	smaller.Groups = slices.Clone(service.Groups[1:])
	next := &core.ConfigSet{Revision: set.Revision + 1, Services: make(map[core.ServiceName]*core.Service)}
	for name, other := range set.Services {
		next.Services[name] = other
	}
	next.Services[service.Name] = &smaller
	assigned.Update(next.IndexAfter(set), members)
	moved := 0
	for id := range next.Upstreams() {
		if assigned.Candidate(id) != before[id] {
			moved++
		}
	}
	return moved
}
