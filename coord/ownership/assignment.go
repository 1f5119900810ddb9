package ownership

import (
	"maps"

	"gooseberrylane.example/core"
)

// Assignment keeps the candidate of each upstream. It computes scores only for what changed: a VM that comes is compared
// with the present candidates of its failure domain, and a VM that goes leaves only its own upstreams to compute.
type Assignment struct {
	set       *core.ConfigSet
	upstreams map[core.FailureDomain][]*core.Upstream
	live      map[core.FailureDomain]map[core.VMName]bool
	best      map[core.UpstreamID]core.VMName
}

// Candidate returns the VM that ought to own an upstream, or "".
func (s *Assignment) Candidate(id core.UpstreamID) core.VMName { return s.best[id] }

// Update takes a configuration set and a member list and reports whether a candidate changed.
func (s *Assignment) Update(set *core.ConfigSet, members *core.Members) bool {
	live := make(map[core.FailureDomain]map[core.VMName]bool)
	for i := range members.All {
		vm := &members.All[i]
		if vm.State != core.VMLive {
			continue
		}
		if live[vm.Domain] == nil {
			live[vm.Domain] = make(map[core.VMName]bool)
		}
		live[vm.Domain][vm.Name] = true
	}
	changed := set != s.set
	if changed {
		s.configure(set)
	}
	for domain, upstreams := range s.upstreams {
		if !maps.Equal(live[domain], s.live[domain]) {
			s.reassign(upstreams, s.live[domain], live[domain])
			changed = true
		}
	}
	s.live = live
	return changed
}

func (s *Assignment) configure(set *core.ConfigSet) {
	s.set = set
	s.upstreams = make(map[core.FailureDomain][]*core.Upstream)
	s.live = nil
	s.best = make(map[core.UpstreamID]core.VMName, len(set.Upstreams()))
	for _, upstream := range set.Upstreams() {
		s.upstreams[upstream.Domain] = append(s.upstreams[upstream.Domain], upstream)
	}
}

func (s *Assignment) reassign(upstreams []*core.Upstream, old, live map[core.VMName]bool) {
	var added []core.VMName
	for name := range live {
		if !old[name] {
			added = append(added, name)
		}
	}
	for _, upstream := range upstreams {
		best := s.best[upstream.ID]
		if best != "" && !live[best] {
			best = ""
			for name := range live {
				best = higher(upstream.ID, best, name)
			}
		} else {
			for _, name := range added {
				best = higher(upstream.ID, best, name)
			}
		}
		if best == "" {
			delete(s.best, upstream.ID)
		} else {
			s.best[upstream.ID] = best
		}
	}
}

func higher(id core.UpstreamID, best, name core.VMName) core.VMName {
	if best == "" || outranks(id, name, best) {
		return name
	}
	return best
}
