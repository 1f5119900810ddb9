package config

import (
	"fmt"
	"slices"

	"gooseberrylane.example/coord/ownership"
	"gooseberrylane.example/core"
)

// Warnings describes the risks of a change from one set to another. A warning never blocks a plan: the operator decides.
func Warnings(before, after *core.ConfigSet) []string {
	var w warner
	for _, name := range unionKeys(before.Services, after.Services) {
		old, next := before.Services[name], after.Services[name]
		switch {
		case old == next:
		case next == nil:
			w.add("%s: the service is removed; its queries are refused with %s", name, core.CodeUnknownService)
		default:
			w.service(name, old, next)
		}
	}
	return w.warnings
}

type warner struct{ warnings []string }

func (w *warner) add(format string, args ...any) {
	w.warnings = append(w.warnings, fmt.Sprintf(format, args...))
}

// capacity counts the replicas, slots and failure domains with which a group serves queries of its service.
type capacity struct {
	replicas, slots int
	domains         map[core.FailureDomain]bool
}

// capacityOf returns the capacity of the upstreams of a group that accept work from queries of its service.
func capacityOf(service *core.Service, group core.GroupName) capacity {
	total := capacity{domains: make(map[core.FailureDomain]bool)}
	if service == nil || service.Group(group) == nil {
		return total
	}
	for _, upstream := range service.Group(group).Upstreams {
		domains := service.Rule.Domains
		if upstream.Draining || (len(domains) > 0 && !slices.Contains(domains, upstream.Domain)) {
			continue
		}
		total.replicas++
		total.slots += upstream.Slots
		total.domains[upstream.Domain] = true
	}
	return total
}

func (w *warner) service(name core.ServiceName, old, next *core.Service) {
	w.coverage(name, old, next)
	w.layouts(name, old, next)
	w.placement(name, old, next)
	w.deadline(name, old, next)
	for g := range next.Groups {
		group := next.Groups[g].Name
		w.group(fmt.Sprintf("%s/%s", name, group), old, next, group)
	}
}

// deadline warns of requests that can outlast the fence: when the owner of an upstream is paused, its successor takes over
// after the fence and counts all slots as free.
func (w *warner) deadline(name core.ServiceName, old, next *core.Service) {
	fence := ownership.Defaults().FenceAfter
	limit := next.Rule.MaxDeadlineMS.Duration()
	if limit <= fence || (old != nil && old.Rule.MaxDeadlineMS == next.Rule.MaxDeadlineMS) {
		return
	}
	w.add("%s: the longest deadline of %v is above the fence time of %v; after a VM is paused, its requests may hold slots beside those of its successor", name, limit, fence)
}

func (w *warner) placement(name core.ServiceName, old, next *core.Service) {
	if old == nil {
		return
	}
	if before, after := max(old.Rule.PlacementBlock, 1), max(next.Rule.PlacementBlock, 1); before != after {
		w.add("%s: the placement block changes from %d to %d groups; most upstreams of the service get another owner", name, before, after)
	}
}

func (w *warner) group(path string, old, next *core.Service, name core.GroupName) {
	before, after := capacityOf(old, name), capacityOf(next, name)
	existed := old != nil && old.Group(name) != nil
	switch {
	case after.replicas == 0 && (before.replicas > 0 || !existed):
		w.add("%s: no replica is left that takes work", path)
		return
	case after.slots < before.slots:
		w.add("%s: slots that take work fall from %d to %d", path, before.slots, after.slots)
	}
	if len(after.domains) == 1 && (len(before.domains) > 1 || !existed) {
		w.add("%s: all replicas that take work are in one failure domain", path)
	}
	w.undrained(path, old, next, name)
	w.connections(path, old, next, name)
}

// undrained warns when the replacement of a group clears the draining mark of an upstream.
func (w *warner) undrained(path string, old, next *core.Service, name core.GroupName) {
	if old == nil || old.Group(name) == nil {
		return
	}
	marked := upstreamsByID(old.Group(name))
	for _, upstream := range next.Group(name).Upstreams {
		if before := marked[upstream.ID]; before != nil && before.Draining && !upstream.Draining {
			w.add("%s/%s: the upstream was draining and takes work again", path, upstream.ID)
		}
	}
}

// connections warns of upstreams whose slots cannot all be used, because pools use at most half of the connections.
func (w *warner) connections(path string, old, next *core.Service, name core.GroupName) {
	previous := make(map[core.UpstreamID]*core.Upstream)
	if old != nil && old.Group(name) != nil {
		previous = upstreamsByID(old.Group(name))
	}
	for _, upstream := range next.Group(name).Upstreams {
		before := previous[upstream.ID]
		if upstream.Connections/2 < upstream.Slots && (before == nil || *before != upstream) {
			w.add("%s/%s: half of the %d connections cannot fill %d slots", path, upstream.ID, upstream.Connections, upstream.Slots)
		}
	}
}

// coverage warns when shards of the last layout are removed or lose their last replica that accepts work.
func (w *warner) coverage(name core.ServiceName, old, next *core.Service) {
	if old == nil || len(old.Layouts) == 0 || len(next.Layouts) == 0 {
		return
	}
	before, after := coveredShards(old), coveredShards(next)
	lost := 0
	for shard := range before {
		if !after[shard] {
			lost++
		}
	}
	if lost > 0 {
		w.add("%s: coverage falls: %d of %d shards are no longer covered", name, lost, len(before))
	}
}

// coveredShards returns the shards of the last layout whose group has a replica that accepts work.
func coveredShards(service *core.Service) map[core.ShardName]bool {
	covered := make(map[core.ShardName]bool)
	serving := make(map[core.GroupName]bool)
	for g := range service.Groups {
		name := service.Groups[g].Name
		serving[name] = capacityOf(service, name).replicas > 0
	}
	for _, shard := range service.Layouts[len(service.Layouts)-1].Shards {
		if serving[shard.Group] {
			covered[shard.Name] = true
		}
	}
	return covered
}

// layouts warns when a layout to which queries may be pinned is removed or changes in place.
func (w *warner) layouts(name core.ServiceName, old, next *core.Service) {
	if old == nil {
		return
	}
	layouts := layoutsByVersion(next)
	for l := range old.Layouts {
		before := &old.Layouts[l]
		after := layouts[before.FirstVersion]
		if after == nil {
			w.add("%s: the layout from version %d is removed", name, before.FirstVersion)
		} else if !slices.Equal(before.Shards, after.Shards) {
			w.add("%s: the layout from version %d changes in place", name, before.FirstVersion)
		}
	}
}
