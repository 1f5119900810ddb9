package config

import (
	"maps"
	"slices"

	"gooseberrylane.example/core"
)

// Apply returns the set after a change, indexed and ready to be published. It never modifies set; services that the
// change does not touch are shared. The error is a *core.Error with CodeConflict when the change is not the next one.
//
// Apply accepts every operation: one that refers to an object that does not exist has no effect. Validation takes
// place when the plan is made, so that a later, stricter release can still replay an accepted change.
func Apply(set *core.ConfigSet, change Change) (*core.ConfigSet, error) {
	next, err := applyNext(set, change)
	if err != nil {
		return nil, err
	}
	return next.IndexAfter(set), nil
}

// applyNext is Apply without the index. The cost of the index grows with the whole set.
func applyNext(set *core.ConfigSet, change Change) (*core.ConfigSet, error) {
	if change.Revision != set.Revision+1 {
		return nil, core.Errorf(core.CodeConflict, "change %d does not follow revision %d", change.Revision, set.Revision)
	}
	e := newEditor(set)
	for i := range change.Intent.Operations {
		e.apply(&change.Intent.Operations[i])
	}
	e.set.Revision = change.Revision
	return e.set, nil
}

// editor applies operations to a copy of a set. Services are copied on the first write.
type editor struct {
	set *core.ConfigSet
	// copied holds the services that the editor may modify.
	copied map[core.ServiceName]bool
}

func newEditor(set *core.ConfigSet) *editor {
	next := &core.ConfigSet{Revision: set.Revision, Services: maps.Clone(set.Services)}
	if next.Services == nil {
		next.Services = make(map[core.ServiceName]*core.Service)
	}
	return &editor{set: next, copied: make(map[core.ServiceName]bool)}
}

// edit returns a copy of a service that may be modified, or nil when the service does not exist.
func (e *editor) edit(name core.ServiceName) *core.Service {
	service := e.set.Services[name]
	if service == nil || e.copied[name] {
		return service
	}
	e.put(service)
	return e.set.Services[name]
}

func (e *editor) put(service *core.Service) {
	e.set.Services[service.Name] = cloneService(service)
	e.copied[service.Name] = true
}

// cloneService copies the fields that operations modify in place. The upstreams of a group are shared until an operation
// modifies them, so that the index of the next set can skip them; shards of a layout never change.
func cloneService(service *core.Service) *core.Service {
	next := *service
	next.Groups = slices.Clone(service.Groups)
	next.Layouts = slices.Clone(service.Layouts)
	return &next
}

func (e *editor) apply(op *Operation) {
	switch {
	case op.PutService != nil:
		e.put(op.PutService)
	case op.DeleteService != "":
		delete(e.set.Services, op.DeleteService)
		delete(e.copied, op.DeleteService)
	case op.PutGroup != nil:
		e.putGroup(op.PutGroup)
	case op.DeleteGroup != nil:
		e.deleteGroup(op.DeleteGroup)
	case op.PutRule != nil:
		if service := e.edit(op.PutRule.Service); service != nil {
			service.Rule = op.PutRule.Rule
		}
	case op.AddLayout != nil:
		if service := e.edit(op.AddLayout.Service); service != nil {
			service.Layouts = append(service.Layouts, op.AddLayout.Layout)
		}
	case op.SetDraining != nil:
		e.setDraining(op.SetDraining)
	}
}

func (e *editor) putGroup(put *PutGroup) {
	service := e.edit(put.Service)
	if service == nil {
		return
	}
	group := put.Group
	group.Upstreams = slices.Clone(group.Upstreams)
	if old := service.Group(group.Name); old != nil {
		*old = group
		return
	}
	service.Groups = append(service.Groups, group)
}

func (e *editor) deleteGroup(remove *DeleteGroup) {
	if service := e.edit(remove.Service); service != nil {
		service.Groups = slices.DeleteFunc(service.Groups, func(g core.Group) bool { return g.Name == remove.Group })
	}
}

// setDraining marks an upstream in every group that lists it, so that its definitions stay equal.
func (e *editor) setDraining(mark *SetDraining) {
	for _, name := range slices.Sorted(maps.Keys(e.set.Services)) {
		if !hasUpstream(e.set.Services[name], mark.Upstream) {
			continue
		}
		service := e.edit(name)
		for g := range service.Groups {
			markDraining(&service.Groups[g], mark)
		}
	}
}

func markDraining(group *core.Group, mark *SetDraining) {
	for u := range group.Upstreams {
		if group.Upstreams[u].ID == mark.Upstream {
			group.Upstreams = slices.Clone(group.Upstreams)
			group.Upstreams[u].Draining = mark.Draining
		}
	}
}

func hasUpstream(service *core.Service, id core.UpstreamID) bool {
	for g := range service.Groups {
		for u := range service.Groups[g].Upstreams {
			if service.Groups[g].Upstreams[u].ID == id {
				return true
			}
		}
	}
	return false
}
