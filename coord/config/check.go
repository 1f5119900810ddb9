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
// to the intent, such as "operations[2].put_group.group.upstreams[0].slots". Later operations are checked
// against the effects of earlier ones.
func Check(base *core.ConfigSet, intent Intent) []core.Problem {
	c := newChecker(base)
	c.checkName("operator", intent.Operator)
	if len(intent.Reason) > MaxReasonBytes {
		c.add("reason", "longer than %d bytes", MaxReasonBytes)
	}
	if n := len(intent.Operations); n == 0 || n > MaxOperations {
		c.add("operations", "must have 1 to %d operations, got %d", MaxOperations, n)
		return c.problems
	}
	for i := range intent.Operations {
		c.checkOperation(fmt.Sprintf("operations[%d]", i), &intent.Operations[i])
	}
	c.checkLayoutGroups()
	c.checkDefinitions()
	return c.problems
}

// checker collects problems while it applies the operations of an intent.
type checker struct {
	*editor
	problems []core.Problem
	// origin holds the path of the last operation that changed a service or, with its group, a group.
	origin map[objectKey]string
}

// objectKey identifies a service or, with a group, one of its groups.
type objectKey struct {
	service core.ServiceName
	group   core.GroupName
}

func newChecker(base *core.ConfigSet) *checker {
	return &checker{editor: newEditor(base), origin: make(map[objectKey]string)}
}

func (c *checker) add(path, format string, args ...any) {
	c.problems = append(c.problems, core.Problem{Path: path, Detail: fmt.Sprintf(format, args...)})
}

func (c *checker) checkOperation(path string, op *Operation) {
	if n := op.count(); n != 1 {
		c.add(path, "must set exactly one field, got %d", n)
		return
	}
	switch {
	case op.PutService != nil:
		c.checkPutService(path+".put_service", op.PutService)
	case op.DeleteService != "":
		c.checkExists(path+".delete_service", op.DeleteService)
	case op.PutGroup != nil:
		c.checkPutGroup(path+".put_group", op.PutGroup)
	case op.DeleteGroup != nil:
		c.checkDeleteGroup(path+".delete_group", op.DeleteGroup)
	case op.PutRule != nil:
		c.checkExists(path+".put_rule.service", op.PutRule.Service)
		c.checkRule(path+".put_rule.rule", &op.PutRule.Rule)
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

func (c *checker) checkExists(path string, name core.ServiceName) *core.Service {
	service := c.set.Services[name]
	if service == nil {
		c.add(path, "no service %q", name)
	}
	return service
}

func (c *checker) checkPutService(path string, service *core.Service) {
	c.checkName(path+".name", string(service.Name))
	c.checkRule(path+".rule", &service.Rule)
	c.origin[objectKey{service: service.Name}] = path
	seen := make(map[core.GroupName]bool)
	for g := range service.Groups {
		group := &service.Groups[g]
		groupPath := fmt.Sprintf("%s.groups[%d]", path, g)
		if seen[group.Name] {
			c.add(groupPath+".name", "group %q is listed twice", group.Name)
		}
		seen[group.Name] = true
		c.checkGroup(groupPath, group)
		c.origin[objectKey{service.Name, group.Name}] = groupPath
	}
	if len(service.Layouts) == 0 {
		c.add(path+".layouts", "must have at least one layout")
	}
	var last core.IndexVersion
	for l := range service.Layouts {
		layoutPath := fmt.Sprintf("%s.layouts[%d]", path, l)
		c.checkLayout(layoutPath, &service.Layouts[l], last)
		last = max(last, service.Layouts[l].FirstVersion)
	}
}

func (c *checker) checkPutGroup(path string, put *PutGroup) {
	c.checkExists(path+".service", put.Service)
	c.checkGroup(path+".group", &put.Group)
	c.origin[objectKey{put.Service, put.Group.Name}] = path + ".group"
}

func (c *checker) checkDeleteGroup(path string, remove *DeleteGroup) {
	service := c.checkExists(path+".service", remove.Service)
	if service != nil && service.Group(remove.Group) == nil {
		c.add(path+".group", "service %q has no group %q", remove.Service, remove.Group)
	}
	c.origin[objectKey{remove.Service, remove.Group}] = path + ".group"
}

func (c *checker) checkAddLayout(path string, add *AddLayout) {
	service := c.checkExists(path+".service", add.Service)
	var last core.IndexVersion
	if service != nil && len(service.Layouts) > 0 {
		last = service.Layouts[len(service.Layouts)-1].FirstVersion
	}
	c.checkLayout(path+".layout", &add.Layout, last)
	c.origin[objectKey{service: add.Service}] = path + ".layout"
}

func (c *checker) checkSetDraining(path string, mark *SetDraining) {
	for _, service := range c.set.Services {
		if hasUpstream(service, mark.Upstream) {
			return
		}
	}
	c.add(path, "no upstream %q", mark.Upstream)
}

// checkLayoutGroups checks that the layouts of the services that the intent changed refer to existing groups.
func (c *checker) checkLayoutGroups() {
	for _, name := range slices.Sorted(maps.Keys(c.copied)) {
		service := c.set.Services[name]
		if service == nil {
			continue
		}
		for l := range service.Layouts {
			c.checkShardGroups(service, l)
		}
	}
}

func (c *checker) checkShardGroups(service *core.Service, l int) {
	layout := &service.Layouts[l]
	for s := range layout.Shards {
		shard := &layout.Shards[s]
		if service.Group(shard.Group) != nil {
			continue
		}
		path := c.origin[objectKey{service.Name, shard.Group}]
		if path == "" {
			path = c.origin[objectKey{service: service.Name}]
		}
		c.add(path, "shard %q of service %q, layout from version %d, needs group %q, which does not exist",
			shard.Name, service.Name, layout.FirstVersion, shard.Group)
	}
}

// definition is the definition of an upstream in one group.
type definition struct {
	upstream *core.Upstream
	key      objectKey
}

// checkDefinitions checks that an upstream that several groups list has the same definition in all of them. Conflicting
// definitions are reported at the operation that introduced them.
func (c *checker) checkDefinitions() {
	first := make(map[core.UpstreamID]definition)
	for _, name := range slices.Sorted(maps.Keys(c.set.Services)) {
		service := c.set.Services[name]
		for g := range service.Groups {
			group := &service.Groups[g]
			for u := range group.Upstreams {
				d := definition{&group.Upstreams[u], objectKey{name, group.Name}}
				other, seen := first[d.upstream.ID]
				if !seen {
					first[d.upstream.ID] = d
				} else if *other.upstream != *d.upstream {
					c.addConflict(d, other)
				}
			}
		}
	}
}

func (c *checker) addConflict(a, b definition) {
	if c.origin[a.key] == "" {
		a, b = b, a
	}
	path := c.origin[a.key]
	if path == "" {
		path = "operations"
	}
	c.add(path+".upstreams", "upstream %q of %s/%s is defined differently in %s/%s",
		a.upstream.ID, a.key.service, a.key.group, b.key.service, b.key.group)
}
