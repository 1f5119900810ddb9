package ownership

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gooseberrylane.example/core"
)

// Assignment maintains the candidate of each upstream. It computes scores only for what changed: a VM that becomes live
// is compared with the current candidates of its failure domain, a VM that stops being live affects only its own
// blocks, and a configuration change affects only the services that it touches.
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

// Candidate returns the live VM with the highest score for an upstream, or "".
func (s *Assignment) Candidate(id core.UpstreamID) core.VMName {
	if b := s.placed[id]; b != nil {
		return b.candidate
	}
	return ""
}

// Outranks reports whether VM a takes precedence over VM b for an upstream: the higher score, then the lower name.
func (s *Assignment) Outranks(id core.UpstreamID, a, b core.VMName) bool {
	key := string(id)
	if placed := s.placed[id]; placed != nil {
		key = placed.key
	}
	scoreA, scoreB := Score(key, a), Score(key, b)
	return scoreA > scoreB || (scoreA == scoreB && a < b)
}

// Update applies a configuration set and a member list, which must be ordered by name. It returns the upstreams whose
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
		moved = s.updateMembers(members)
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
			s.placeOrphan(id)
		}
	}
	return append(moved, set.ChangedUpstreams(previous)...)
}

func (s *Assignment) place(service *core.Service) (moved []core.UpstreamID) {
	p := placedService{service: service, blocks: blocksOf(service)}
	s.services[service.Name] = p
	for _, b := range p.blocks {
		s.selectCandidate(b)
		for _, id := range b.upstreams {
			if other := s.placed[id]; other == nil || other.service >= service.Name {
				s.placed[id] = b
				moved = append(moved, id)
			}
		}
	}
	return moved
}

// placeOrphan places an upstream that was removed from its service and that another service lists.
func (s *Assignment) placeOrphan(id core.UpstreamID) {
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		for _, b := range s.services[name].blocks {
			if slices.Contains(b.upstreams, id) {
				s.placed[id] = b
				return
			}
		}
	}
}

// selectCandidate sets the candidate of a block to the best of all live VMs of its failure domain.
func (s *Assignment) selectCandidate(b *block) {
	b.candidate, b.score = "", 0
	for name, hash := range s.live[b.domain] {
		b.consider(name, hash)
	}
}

// consider makes a VM the candidate if it outranks the current one.
func (b *block) consider(name core.VMName, hash uint64) {
	score := mix(b.hash, hash)
	if b.candidate == "" || score > b.score || (score == b.score && name < b.candidate) {
		b.candidate, b.score = name, score
	}
}

// liveChanges holds the VMs of one failure domain that became live and those that stopped being live.
type liveChanges struct {
	added   map[core.VMName]uint64
	removed map[core.VMName]bool
}

// updateMembers applies a member list and moves the blocks whose candidate was removed or is outranked.
func (s *Assignment) updateMembers(members *core.Members) (moved []core.UpstreamID) {
	changed := s.diffLive(s.members, members)
	s.members = members
	if len(changed) == 0 {
		return nil
	}
	for _, p := range s.services {
		for _, b := range p.blocks {
			if c := changed[b.domain]; c != nil && s.updateCandidate(b, c) {
				moved = append(moved, b.upstreams...)
			}
		}
	}
	return moved
}

// updateCandidate applies live changes to a block and reports whether its candidate changed.
func (s *Assignment) updateCandidate(b *block, c *liveChanges) bool {
	old := b.candidate
	if c.removed[old] {
		s.selectCandidate(b)
		return true
	}
	for name, hash := range c.added {
		b.consider(name, hash)
	}
	return b.candidate != old
}

// diffLive compares two ordered member lists and updates the live VMs.
func (s *Assignment) diffLive(old, next *core.Members) map[core.FailureDomain]*liveChanges {
	changed := make(map[core.FailureDomain]*liveChanges)
	var before []core.VM
	if old != nil {
		before = old.All
	}
	after := next.All
	for len(before) > 0 || len(after) > 0 {
		switch {
		case len(after) == 0 || (len(before) > 0 && before[0].Name < after[0].Name):
			s.removeLive(changed, &before[0])
			before = before[1:]
		case len(before) == 0 || after[0].Name < before[0].Name:
			s.addLive(changed, &after[0])
			after = after[1:]
		default:
			if before[0].State != after[0].State || before[0].Domain != after[0].Domain {
				s.removeLive(changed, &before[0])
				s.addLive(changed, &after[0])
			}
			before, after = before[1:], after[1:]
		}
	}
	return changed
}

func changesIn(changed map[core.FailureDomain]*liveChanges, domain core.FailureDomain) *liveChanges {
	if changed[domain] == nil {
		changed[domain] = &liveChanges{added: make(map[core.VMName]uint64), removed: make(map[core.VMName]bool)}
	}
	return changed[domain]
}

func (s *Assignment) removeLive(changed map[core.FailureDomain]*liveChanges, vm *core.VM) {
	if vm.State != core.VMLive {
		return
	}
	delete(s.live[vm.Domain], vm.Name)
	changesIn(changed, vm.Domain).removed[vm.Name] = true
}

func (s *Assignment) addLive(changed map[core.FailureDomain]*liveChanges, vm *core.VM) {
	if vm.State != core.VMLive {
		return
	}
	if s.live[vm.Domain] == nil {
		s.live[vm.Domain] = make(map[core.VMName]uint64)
	}
	hash := xxhash.Sum64String(string(vm.Name))
	s.live[vm.Domain][vm.Name] = hash
	changesIn(changed, vm.Domain).added[vm.Name] = hash
}
