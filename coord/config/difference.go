package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"gooseberrylane.example/core"
)

// Kinds of objects in a difference.
const (
	KindService  = "service"
	KindGroup    = "group"
	KindRule     = "rule"
	KindLayout   = "layout"
	KindUpstream = "upstream"
)

// Actions of a difference.
const (
	ActionAdd    = "add"
	ActionChange = "change"
	ActionRemove = "remove"
)

// Differences lists what changes from one set to another, ordered by service; objects precede the objects that they
// contain.
func Differences(before, after *core.ConfigSet) []Difference {
	var d differ
	for _, name := range unionKeys(before.Services, after.Services) {
		old, next := before.Services[name], after.Services[name]
		if old != next {
			d.service(name, old, next)
		}
	}
	return d.differences
}

// unionKeys returns the keys of both maps in order.
func unionKeys[K ~string, V any](a, b map[K]V) []K {
	keys := slices.Concat(slices.Collect(maps.Keys(a)), slices.Collect(maps.Keys(b)))
	slices.Sort(keys)
	return slices.Compact(keys)
}

type differ struct{ differences []Difference }

func (d *differ) add(kind, name, action, before, after string) {
	d.differences = append(d.differences, Difference{Kind: kind, Name: name, Action: action, Before: before, After: after})
}

// service compares two states of a service; nil means that it does not exist.
func (d *differ) service(name core.ServiceName, old, next *core.Service) {
	var none core.Service
	switch {
	case old == nil:
		d.add(KindService, string(name), ActionAdd, "", describeService(next))
		old = &none
	case next == nil:
		d.add(KindService, string(name), ActionRemove, describeService(old), "")
		next = &none
	default:
		d.rule(name, &old.Rule, &next.Rule)
	}
	d.groups(name, groupsByName(old), groupsByName(next))
	d.layouts(name, layoutsByVersion(old), layoutsByVersion(next))
}

func describeService(s *core.Service) string {
	return fmt.Sprintf("class=%d groups=%d layouts=%d", s.Rule.Class, len(s.Groups), len(s.Layouts))
}

func groupsByName(s *core.Service) map[core.GroupName]*core.Group {
	groups := make(map[core.GroupName]*core.Group, len(s.Groups))
	for g := range s.Groups {
		groups[s.Groups[g].Name] = &s.Groups[g]
	}
	return groups
}

func (d *differ) rule(service core.ServiceName, old, next *core.Rule) {
	var before, after []string
	field := func(name string, a, b any) {
		x, y := fmt.Sprint(a), fmt.Sprint(b)
		if x != y {
			before, after = append(before, name+"="+x), append(after, name+"="+y)
		}
	}
	field("class", old.Class, next.Class)
	field("default_deadline_ms", old.DefaultDeadlineMS, next.DefaultDeadlineMS)
	field("max_deadline_ms", old.MaxDeadlineMS, next.MaxDeadlineMS)
	field("version_rule", old.VersionRule, next.VersionRule)
	field("max_shards", old.MaxShards, next.MaxShards)
	field("domains", old.Domains, next.Domains)
	field("hedge_percent", old.HedgePercent, next.HedgePercent)
	field("retry_percent", old.RetryPercent, next.RetryPercent)
	field("rate_per_caller", old.RatePerCaller, next.RatePerCaller)
	field("placement_block", max(old.PlacementBlock, 1), max(next.PlacementBlock, 1))
	if len(before) > 0 {
		d.add(KindRule, string(service), ActionChange, strings.Join(before, " "), strings.Join(after, " "))
	}
}

func (d *differ) groups(service core.ServiceName, old, next map[core.GroupName]*core.Group) {
	var none core.Group
	for _, name := range unionKeys(old, next) {
		path := fmt.Sprintf("%s/%s", service, name)
		a, b := old[name], next[name]
		switch {
		case a == nil:
			d.add(KindGroup, path, ActionAdd, "", fmt.Sprintf("upstreams=%d", len(b.Upstreams)))
			a = &none
		case b == nil:
			d.add(KindGroup, path, ActionRemove, fmt.Sprintf("upstreams=%d", len(a.Upstreams)), "")
			b = &none
		}
		d.upstreams(path, upstreamsByID(a), upstreamsByID(b))
	}
}

func upstreamsByID(g *core.Group) map[core.UpstreamID]*core.Upstream {
	upstreams := make(map[core.UpstreamID]*core.Upstream, len(g.Upstreams))
	for u := range g.Upstreams {
		upstreams[g.Upstreams[u].ID] = &g.Upstreams[u]
	}
	return upstreams
}

func (d *differ) upstreams(group string, old, next map[core.UpstreamID]*core.Upstream) {
	for _, id := range unionKeys(old, next) {
		path := fmt.Sprintf("%s/%s", group, id)
		a, b := old[id], next[id]
		switch {
		case a == nil:
			d.add(KindUpstream, path, ActionAdd, "", describeUpstream(b))
		case b == nil:
			d.add(KindUpstream, path, ActionRemove, describeUpstream(a), "")
		case *a != *b:
			d.add(KindUpstream, path, ActionChange, describeUpstream(a), describeUpstream(b))
		}
	}
}

func describeUpstream(u *core.Upstream) string {
	return fmt.Sprintf("address=%s domain=%s slots=%d connections=%d open_cost_ms=%d draining=%t",
		u.Address, u.Domain, u.Slots, u.Connections, u.OpenCostMS, u.Draining)
}

func layoutsByVersion(s *core.Service) map[core.IndexVersion]*core.Layout {
	layouts := make(map[core.IndexVersion]*core.Layout, len(s.Layouts))
	for l := range s.Layouts {
		layouts[s.Layouts[l].FirstVersion] = &s.Layouts[l]
	}
	return layouts
}

func (d *differ) layouts(service core.ServiceName, old, next map[core.IndexVersion]*core.Layout) {
	versions := slices.Concat(slices.Collect(maps.Keys(old)), slices.Collect(maps.Keys(next)))
	slices.Sort(versions)
	for _, version := range slices.Compact(versions) {
		path := fmt.Sprintf("%s/%d", service, version)
		a, b := old[version], next[version]
		switch {
		case a == nil:
			d.add(KindLayout, path, ActionAdd, "", describeLayout(b))
		case b == nil:
			d.add(KindLayout, path, ActionRemove, describeLayout(a), "")
		case !slices.Equal(a.Shards, b.Shards):
			d.add(KindLayout, path, ActionChange, describeLayout(a), describeLayout(b))
		}
	}
}

func describeLayout(l *core.Layout) string { return fmt.Sprintf("shards=%d", len(l.Shards)) }
