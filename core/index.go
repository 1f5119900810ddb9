package core

import "iter"

// listedUpstream is the definition of an upstream and the number of groups that list it.
type listedUpstream struct {
	definition *Upstream
	groups     int
}

// Index builds the lookup tables of the set and returns the set. Call it once before the set is published.
func (c *ConfigSet) Index() *ConfigSet { return c.IndexAfter(&ConfigSet{}) }

// IndexAfter is Index for a set that was made from an indexed one. Groups that both sets share are not walked. At 90,000
// upstreams, Index takes most of the time of a small change.
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
	// Additions go first, so that an upstream that moves between groups is never without an entry.
	c.eachDifference(previous, func(u *Upstream) {
		entry, _ := edit.Get(u.ID)
		edit.Set(u.ID, listedUpstream{definition: u, groups: entry.groups + 1})
	})
	previous.eachDifference(c, func(u *Upstream) {
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

// eachDifference visits the upstreams of the groups that another set does not share.
func (c *ConfigSet) eachDifference(other *ConfigSet, visit func(*Upstream)) {
	for name, service := range c.Services {
		rival := other.Services[name]
		if rival == service {
			continue
		}
		for g := range service.Groups {
			upstreams := service.Groups[g].Upstreams
			if rival != nil && g < len(rival.Groups) && shareUpstreams(upstreams, rival.Groups[g].Upstreams) {
				continue
			}
			for u := range upstreams {
				visit(&upstreams[u])
			}
		}
	}
}

// shareUpstreams reports whether two lists are the same memory. Lists of published sets are never changed.
func shareUpstreams(a, b []Upstream) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// ChangedUpstreams returns the upstreams, each once, that were added, removed or may have been changed since another
// indexed set. Its cost follows the change.
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
	c.eachDifference(previous, add)
	previous.eachDifference(c, add)
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
