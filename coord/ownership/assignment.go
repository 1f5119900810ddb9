package ownership

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gooseberrylane.example/core"
)

// Assignment keeps the candidate of each upstream. It computes scores only for what changed: a VM that comes is compared
// with the present candidates of its failure domain, a VM that goes leaves only its own blocks to compute, and a change
// of the configuration costs only the services that it touches.
type Assignment struct {
	set      *core.ConfigSet
	members  *core.Members
	services map[core.ServiceName]placedService
	// placed holds the block of each upstream. An upstream that several services list belongs to the first by name.
	placed map[core.UpstreamID]*block
	live   map[core.FailureDomain]map[core.VMName]uint64
}

// placedService holds the blocks of one state of a service.
type placedService struct {
	service *core.Service
	blocks  []*block
}

// Candidate returns the VM that ought to own an upstream, or "".
func (s *Assignment) Candidate(id core.UpstreamID) core.VMName {
	if b := s.placed[id]; b != nil {
		return b.best
	}
	return ""
}

// Outranks reports whether VM a goes before VM b for an upstream.
func (s *Assignment) Outranks(id core.UpstreamID, a, b core.VMName) bool {
	key := string(id)
	if placed := s.placed[id]; placed != nil {
		key = placed.key
	}
	scoreA, scoreB := Score(key, a), Score(key, b)
	return scoreA > scoreB || (scoreA == scoreB && a < b)
}

// Update takes a configuration set and a member list, which must be ordered by name, and returns the upstreams whose
// candidate may have changed.
func (s *Assignment) Update(set *core.ConfigSet, members *core.Members) []core.UpstreamID {
	if s.set == set && s.members == members {
		return nil
	}
	if s.placed == nil {
		s.placed = make(map[core.UpstreamID]*block)
		s.services = make(map[core.ServiceName]placedService)
		s.live = make(map[core.FailureDomain]map[core.VMName]uint64)
	}
	var moved []core.UpstreamID
	if s.members != members {
		moved = s.follow(members)
	}
	if s.set != set {
		moved = append(moved, s.configure(set)...)
	}
	return moved
}

// configure places the services that changed.
func (s *Assignment) configure(set *core.ConfigSet) []core.UpstreamID {
	previous := s.set
	s.set = set
	var moved, orphans []core.UpstreamID
	for name, old := range s.services {
		if set.Services[name] == old.service {
			continue
		}
		delete(s.services, name)
		for _, b := range old.blocks {
			for _, id := range b.upstreams {
				if s.placed[id] == b {
					delete(s.placed, id)
					orphans = append(orphans, id)
				}
			}
		}
	}
	moved = append(moved, orphans...)
	for _, name := range slices.Sorted(maps.Keys(set.Services)) {
		if _, known := s.services[name]; !known {
			moved = append(moved, s.place(set.Services[name])...)
		}
	}
	for _, id := range orphans {
		if s.placed[id] == nil && set.Upstream(id) != nil {
			s.adopt(id)
		}
	}
	return append(moved, set.ChangedUpstreams(previous)...)
}

func (s *Assignment) place(service *core.Service) (moved []core.UpstreamID) {
	p := placedService{service: service, blocks: blocksOf(service)}
	s.services[service.Name] = p
	for _, b := range p.blocks {
		s.choose(b)
		for _, id := range b.upstreams {
			if other := s.placed[id]; other == nil || other.service >= service.Name {
				s.placed[id] = b
				moved = append(moved, id)
			}
		}
	}
	return moved
}

// adopt places an upstream that its first service no longer lists and that another one does.
func (s *Assignment) adopt(id core.UpstreamID) {
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		for _, b := range s.services[name].blocks {
			if slices.Contains(b.upstreams, id) {
				s.placed[id] = b
				return
			}
		}
	}
}

// choose finds the candidate of a block among all live VMs of its failure domain.
func (s *Assignment) choose(b *block) {
	b.best, b.score = "", 0
	for name, hash := range s.live[b.domain] {
		b.offer(name, hash)
	}
}

// offer makes a VM the candidate if it goes before the present one.
func (b *block) offer(name core.VMName, hash uint64) {
	score := mix(b.hash, hash)
	if b.best == "" || score > b.score || (score == b.score && name < b.best) {
		b.best, b.score = name, score
	}
}

// comings are the VMs of one failure domain that became live and that no longer are.
type comings struct {
	added   map[core.VMName]uint64
	removed map[core.VMName]bool
}

// follow takes a member list and moves the blocks whose candidate went or is outranked.
func (s *Assignment) follow(members *core.Members) (moved []core.UpstreamID) {
	changed := s.difference(s.members, members)
	s.members = members
	if len(changed) == 0 {
		return nil
	}
	for _, p := range s.services {
		for _, b := range p.blocks {
			if c := changed[b.domain]; c != nil && s.rechoose(b, c) {
				moved = append(moved, b.upstreams...)
			}
		}
	}
	return moved
}

// rechoose reports whether the candidate of a block changed.
func (s *Assignment) rechoose(b *block, c *comings) bool {
	old := b.best
	if c.removed[old] {
		s.choose(b)
		return true
	}
	for name, hash := range c.added {
		b.offer(name, hash)
	}
	return b.best != old
}

// difference compares two ordered member lists and brings the live VMs up to date.
func (s *Assignment) difference(old, next *core.Members) map[core.FailureDomain]*comings {
	changed := make(map[core.FailureDomain]*comings)
	var before []core.VM
	if old != nil {
		before = old.All
	}
	after := next.All
	for len(before) > 0 || len(after) > 0 {
		switch {
		case len(after) == 0 || (len(before) > 0 && before[0].Name < after[0].Name):
			s.went(changed, &before[0])
			before = before[1:]
		case len(before) == 0 || after[0].Name < before[0].Name:
			s.came(changed, &after[0])
			after = after[1:]
		default:
			if before[0].State != after[0].State || before[0].Domain != after[0].Domain {
				s.went(changed, &before[0])
				s.came(changed, &after[0])
			}
			before, after = before[1:], after[1:]
		}
	}
	return changed
}

func in(changed map[core.FailureDomain]*comings, domain core.FailureDomain) *comings {
	if changed[domain] == nil {
		changed[domain] = &comings{added: make(map[core.VMName]uint64), removed: make(map[core.VMName]bool)}
	}
	return changed[domain]
}

func (s *Assignment) went(changed map[core.FailureDomain]*comings, vm *core.VM) {
	if vm.State != core.VMLive {
		return
	}
	delete(s.live[vm.Domain], vm.Name)
	in(changed, vm.Domain).removed[vm.Name] = true
}

func (s *Assignment) came(changed map[core.FailureDomain]*comings, vm *core.VM) {
	if vm.State != core.VMLive {
		return
	}
	if s.live[vm.Domain] == nil {
		s.live[vm.Domain] = make(map[core.VMName]uint64)
	}
	hash := xxhash.Sum64String(string(vm.Name))
	s.live[vm.Domain][vm.Name] = hash
	in(changed, vm.Domain).added[vm.Name] = hash
}
