package config

import (
	"fmt"
	"maps"
	"slices"

	"gooseberrylane.example/core"
)

// Limits of an intent.
const (
	// MaxOperations bounds the operations of one intent.
	MaxOperations = 1000
	// MaxReasonBytes bounds the reason of an intent.
	MaxReasonBytes = 1024
)

// Check returns all problems of an intent against a set; none means that the intent can be planned. Paths are relative
// to the intent, such as "operations[2].put_group.group.upstreams[0].slots". Later operations see the effect of
// earlier ones.
func Check(base *core.ConfigSet, intent Intent) []core.Problem {
	c := newChecker(base)
	c.name("operator", intent.Operator)
	if len(intent.Reason) > MaxReasonBytes {
		c.add("reason", "longer than %d bytes", MaxReasonBytes)
	}
	if n := len(intent.Operations); n == 0 || n > MaxOperations {
		c.add("operations", "want 1 to %d operations, got %d", MaxOperations, n)
		return c.problems
	}
	for i := range intent.Operations {
		c.operation(fmt.Sprintf("operations[%d]", i), &intent.Operations[i])
	}
	c.services()
	c.definitions()
	return c.problems
}

// checker collects problems while it applies the operations of an intent.
type checker struct {
	*editor
	problems []core.Problem
	// origin holds the path of the last operation that changed a service or, with its group, a group.
	origin map[place]string
}

// place is a service, or one of its groups.
type place struct {
	service core.ServiceName
	group   core.GroupName
}

func newChecker(base *core.ConfigSet) *checker {
	return &checker{editor: newEditor(base), origin: make(map[place]string)}
}

func (c *checker) add(path, format string, args ...any) {
	c.problems = append(c.problems, core.Problem{Path: path, Detail: fmt.Sprintf(format, args...)})
}

func (c *checker) operation(path string, op *Operation) {
	if n := op.count(); n != 1 {
		c.add(path, "want exactly one step, got %d", n)
		return
	}
	switch {
	case op.PutService != nil:
		c.putService(path+".put_service", op.PutService)
	case op.DeleteService != "":
		c.exists(path+".delete_service", op.DeleteService)
	case op.PutGroup != nil:
		c.checkPutGroup(path+".put_group", op.PutGroup)
	case op.DeleteGroup != nil:
		c.checkDeleteGroup(path+".delete_group", op.DeleteGroup)
	case op.PutRule != nil:
		c.exists(path+".put_rule.service", op.PutRule.Service)
		c.rule(path+".put_rule.rule", &op.PutRule.Rule)
	case op.AddLayout != nil:
		c.checkAddLayout(path+".add_layout", op.AddLayout)
	case op.SetDraining != nil:
		c.checkSetDraining(path+".set_draining.upstream", op.SetDraining)
	}
	c.apply(op)
}

// count returns the number of fields that are set.
func (op *Operation) count() int {
	n := 0
	for _, set := range []bool{
		op.PutService != nil, op.DeleteService != "", op.PutGroup != nil, op.DeleteGroup != nil,
		op.PutRule != nil, op.AddLayout != nil, op.SetDraining != nil,
	} {
		if set {
			n++
		}
	}
	return n
}

func (c *checker) exists(path string, name core.ServiceName) *core.Service {
	service := c.set.Services[name]
	if service == nil {
		c.add(path, "no service %q", name)
	}
	return service
}

func (c *checker) putService(path string, service *core.Service) {
	c.name(path+".name", string(service.Name))
	c.rule(path+".rule", &service.Rule)
	c.origin[place{service: service.Name}] = path
	seen := make(map[core.GroupName]bool)
	for g := range service.Groups {
		group := &service.Groups[g]
		groupPath := fmt.Sprintf("%s.groups[%d]", path, g)
		if seen[group.Name] {
			c.add(groupPath+".name", "group %q is listed twice", group.Name)
		}
		seen[group.Name] = true
		c.group(groupPath, group)
		c.origin[place{service.Name, group.Name}] = groupPath
	}
	if len(service.Layouts) == 0 {
		c.add(path+".layouts", "want at least one layout")
	}
	var last core.IndexVersion
	for l := range service.Layouts {
		layoutPath := fmt.Sprintf("%s.layouts[%d]", path, l)
		c.layout(layoutPath, &service.Layouts[l], last)
		last = max(last, service.Layouts[l].FirstVersion)
	}
}

func (c *checker) checkPutGroup(path string, put *PutGroup) {
	c.exists(path+".service", put.Service)
	c.group(path+".group", &put.Group)
	c.origin[place{put.Service, put.Group.Name}] = path + ".group"
}

func (c *checker) checkDeleteGroup(path string, remove *DeleteGroup) {
	service := c.exists(path+".service", remove.Service)
	if service != nil && service.Group(remove.Group) == nil {
		c.add(path+".group", "service %q has no group %q", remove.Service, remove.Group)
	}
	c.origin[place{remove.Service, remove.Group}] = path + ".group"
}

func (c *checker) checkAddLayout(path string, add *AddLayout) {
	service := c.exists(path+".service", add.Service)
	var last core.IndexVersion
	if service != nil && len(service.Layouts) > 0 {
		last = service.Layouts[len(service.Layouts)-1].FirstVersion
	}
	c.layout(path+".layout", &add.Layout, last)
	c.origin[place{service: add.Service}] = path + ".layout"
}

func (c *checker) checkSetDraining(path string, mark *SetDraining) {
	for _, service := range c.set.Services {
		if hasUpstream(service, mark.Upstream) {
			return
		}
	}
	c.add(path, "no upstream %q", mark.Upstream)
}

// services checks that the layouts of the services that the intent touched name groups that exist.
func (c *checker) services() {
	for _, name := range slices.Sorted(maps.Keys(c.owned)) {
		service := c.set.Services[name]
		if service == nil {
			continue
		}
		for l := range service.Layouts {
			c.layoutGroups(service, l)
		}
	}
}

func (c *checker) layoutGroups(service *core.Service, l int) {
	layout := &service.Layouts[l]
	for s := range layout.Shards {
		shard := &layout.Shards[s]
		if service.Group(shard.Group) != nil {
			continue
		}
		path := c.origin[place{service.Name, shard.Group}]
		if path == "" {
			path = c.origin[place{service: service.Name}]
		}
		c.add(path, "shard %q of service %q, layout from version %d, needs group %q, which does not exist",
			shard.Name, service.Name, layout.FirstVersion, shard.Group)
	}
}

// definition is one place that defines an upstream.
type definition struct {
	upstream *core.Upstream
	place    place
}

// definitions checks that an upstream that several groups list has the same definition in all of them. Definitions
// that differ are reported where the intent made them.
func (c *checker) definitions() {
	first := make(map[core.UpstreamID]definition)
	for _, name := range slices.Sorted(maps.Keys(c.set.Services)) {
		service := c.set.Services[name]
		for g := range service.Groups {
			group := &service.Groups[g]
			for u := range group.Upstreams {
				d := definition{&group.Upstreams[u], place{name, group.Name}}
				other, known := first[d.upstream.ID]
				if !known {
					first[d.upstream.ID] = d
				} else if *other.upstream != *d.upstream {
					c.differing(d, other)
				}
			}
		}
	}
}

func (c *checker) differing(a, b definition) {
	if c.origin[a.place] == "" {
		a, b = b, a
	}
	path := c.origin[a.place]
	if path == "" {
		path = "operations"
	}
	c.add(path+".upstreams", "upstream %q of %s/%s is defined differently in %s/%s",
		a.upstream.ID, a.place.service, a.place.group, b.place.service, b.place.group)
}
