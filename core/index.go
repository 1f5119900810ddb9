package core

import "iter"

// listedUpstream is the definition of an upstream and the number of groups that list it.
type listedUpstream struct {
	definition *Upstream
	groups     int
}

// Index builds the lookup tables of the set and returns the set. It must be called once, before the set is published.
func (c *ConfigSet) Index() *ConfigSet { return c.IndexAfter(&ConfigSet{}) }

// IndexAfter is Index for a set derived from an indexed one. It skips groups that both sets share, because at 90,000
// upstreams a full Index takes most of the time of a small change.
func (c *ConfigSet) IndexAfter(previous *ConfigSet) *ConfigSet {
	if previous.groups == nil {
		previous = &ConfigSet{}
	}
	c.groups = make(map[ServiceName]map[GroupName]*Group, len(c.Services))
	for name, service := range c.Services {
		if previous.Services[name] == service {
			c.groups[name] = previous.groups[name]
			continue
		}
		groups := make(map[GroupName]*Group, len(service.Groups))
		for g := range service.Groups {
			groups[service.Groups[g].Name] = &service.Groups[g]
		}
		c.groups[name] = groups
	}
	edit := previous.upstreams.Edit()
	// Additions precede removals, so an upstream that moves between groups always has an entry.
	c.visitUnshared(previous, func(u *Upstream) {
		entry, _ := edit.Get(u.ID)
		edit.Set(u.ID, listedUpstream{definition: u, groups: entry.groups + 1})
	})
	previous.visitUnshared(c, func(u *Upstream) {
		entry, _ := edit.Get(u.ID)
		if entry.groups--; entry.groups > 0 {
			edit.Set(u.ID, entry)
		} else {
			edit.Delete(u.ID)
		}
	})
	c.upstreams = edit.Done()
	return c
}

// visitUnshared visits the upstreams of the groups that the other set does not share.
func (c *ConfigSet) visitUnshared(other *ConfigSet, visit func(*Upstream)) {
	for name, service := range c.Services {
		otherService := other.Services[name]
		if otherService == service {
			continue
		}
		for g := range service.Groups {
			upstreams := service.Groups[g].Upstreams
			if otherService != nil && g < len(otherService.Groups) && sameMemory(upstreams, otherService.Groups[g].Upstreams) {
				continue
			}
			for u := range upstreams {
				visit(&upstreams[u])
			}
		}
	}
}

// sameMemory reports whether two lists share their memory. Lists of published sets are immutable.
func sameMemory(a, b []Upstream) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// ChangedUpstreams returns the upstreams, each once, that were added, removed or possibly changed since another indexed
// set. Its cost is proportional to the size of the change.
func (c *ConfigSet) ChangedUpstreams(previous *ConfigSet) []UpstreamID {
	if previous == nil {
		previous = &ConfigSet{}
	}
	if c == previous {
		return nil
	}
	seen := make(map[UpstreamID]bool)
	var changed []UpstreamID
	add := func(u *Upstream) {
		if !seen[u.ID] {
			seen[u.ID] = true
			changed = append(changed, u.ID)
		}
	}
	c.visitUnshared(previous, add)
	previous.visitUnshared(c, add)
	return changed
}

// Upstream returns the upstream with the given ID, or nil.
func (c *ConfigSet) Upstream(id UpstreamID) *Upstream {
	if c == nil {
		return nil
	}
	return c.upstreams.Value(id).definition
}

// Upstreams returns all upstreams by ID, in no particular order.
func (c *ConfigSet) Upstreams() iter.Seq2[UpstreamID, *Upstream] {
	return func(yield func(UpstreamID, *Upstream) bool) {
		if c == nil {
			return
		}
		for id, entry := range c.upstreams.All() {
			if !yield(id, entry.definition) {
				return
			}
		}
	}
}

// CountUpstreams returns the number of upstreams.
func (c *ConfigSet) CountUpstreams() int {
	if c == nil {
		return 0
	}
	return c.upstreams.Len()
}
