// Package config decides how the configuration changes: it validates intents, makes plans, and applies the change log
// to sets. It does no I/O.
package config

import (
	"time"

	"gooseberrylane.example/core"
)

// PlanID identifies a plan and the change that it becomes.
type PlanID string

// Operation is one step of an intent. Exactly one field is set.
type Operation struct {
	// PutService creates a service or replaces it as a whole.
	PutService *core.Service `json:"put_service,omitempty"`
	// DeleteService removes a service.
	DeleteService core.ServiceName `json:"delete_service,omitempty"`
	// PutGroup creates or replaces one group of a service.
	PutGroup *PutGroup `json:"put_group,omitempty"`
	// DeleteGroup removes one group of a service.
	DeleteGroup *DeleteGroup `json:"delete_group,omitempty"`
	// PutRule replaces the rule of a service.
	PutRule *PutRule `json:"put_rule,omitempty"`
	// AddLayout adds a layout to a service.
	AddLayout *AddLayout `json:"add_layout,omitempty"`
	// SetDraining marks an upstream as draining or clears the mark.
	SetDraining *SetDraining `json:"set_draining,omitempty"`
}

// PutGroup creates or replaces one group of a service.
type PutGroup struct {
	Service core.ServiceName `json:"service"`
	Group   core.Group       `json:"group"`
}

// DeleteGroup removes one group of a service.
type DeleteGroup struct {
	Service core.ServiceName `json:"service"`
	Group   core.GroupName   `json:"group"`
}

// PutRule replaces the rule of a service.
type PutRule struct {
	Service core.ServiceName `json:"service"`
	Rule    core.Rule        `json:"rule"`
}

// AddLayout adds a layout to a service.
type AddLayout struct {
	Service core.ServiceName `json:"service"`
	Layout  core.Layout      `json:"layout"`
}

// SetDraining marks an upstream as draining or clears the mark.
type SetDraining struct {
	Upstream core.UpstreamID `json:"upstream"`
	Draining bool            `json:"draining"`
}

// Intent is a change that an operator requests.
type Intent struct {
	Operations []Operation `json:"operations"`
	Operator   string      `json:"operator"`
	Reason     string      `json:"reason"`
}

// Difference is one effect of a plan on one object.
type Difference struct {
	// Kind is "service", "group", "rule", "layout" or "upstream".
	Kind string `json:"kind"`
	// Name is the path of the object, such as "orders/group-1/upstream-3".
	Name string `json:"name"`
	// Action is "add", "change" or "remove".
	Action string `json:"action"`
	// Before and After describe the fields that change.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Plan is an intent that was checked against a base revision, with its effects.
type Plan struct {
	ID          PlanID             `json:"id"`
	Base        core.Revision      `json:"base"`
	Intent      Intent             `json:"intent"`
	Differences []Difference       `json:"differences"`
	Services    []core.ServiceName `json:"services"`
	Upstreams   []core.UpstreamID  `json:"upstreams"`
	Warnings    []string           `json:"warnings,omitempty"`
	Created     time.Time          `json:"created"`
}

// Change is one entry of the change log. Its revision is its key in the log.
type Change struct {
	Revision  core.Revision `json:"revision"`
	Plan      PlanID        `json:"plan"`
	Intent    Intent        `json:"intent"`
	Planned   time.Time     `json:"planned"`
	Confirmed time.Time     `json:"confirmed"`
	// ConfirmedBy names the operator who confirmed; it may differ from the operator of the intent.
	ConfirmedBy string `json:"confirmed_by"`
}

// Progress reports which VMs serve a revision.
type Progress struct {
	Revision core.Revision `json:"revision"`
	// InForce lists the VMs that serve the revision or a later one.
	InForce []core.VMName `json:"in_force"`
	// Behind lists the VMs that reported an earlier revision.
	Behind []core.VMName `json:"behind"`
	// Unreachable lists the VMs that did not answer.
	Unreachable []core.VMName `json:"unreachable"`
}
