// Package deployment describes the deployments of the demo, the tests and the benchmark: their services, groups and
// upstreams with limits and costs.
package deployment

import (
	"fmt"

	"gooseberrylane.example/core"
	"gooseberrylane.example/standins/upstream"
)

// Domains are the failure domains of every deployment.
var Domains = []core.FailureDomain{"fd-1", "fd-2", "fd-3"}

// Limits of the upstreams of Uniform, high enough that the query tier and not the upstreams limits a measurement.
const (
	uniformSlots       = 8
	uniformConnections = 60
	uniformServiceUS   = 1000
)

// Uniform returns a deployment of one service, named "uniform", for measurements at a given size.
func Uniform(seed uint64, groups, replicas, shardsOfGroup int) *Deployment {
	d := &Deployment{Name: "uniform"}
	d.addService(&serviceSpec{
		service: "uniform", groups: groups, replicas: replicas, shards: shardsOfGroup, slots: uniformSlots,
		connections: uniformConnections, openCostMS: 1, serviceUS: uniformServiceUS, versionRule: core.VersionBestCovered,
	}, seed)
	return d
}

// serviceSpec describes a service whose groups all have the same size and limits.
type serviceSpec struct {
	service  core.ServiceName
	groups   int
	replicas int
	// shards is the number of shards of each group; 0 means shardsPerGroup.
	shards      int
	slots       int
	connections int
	openCostMS  int64
	serviceUS   int64
	class       core.Class
	versionRule core.VersionRule
}

// Deployment is a set of services and the configurations of their upstream stand-ins.
type Deployment struct {
	Name      string
	Services  []*core.Service
	Upstreams []upstream.Config
}

// Common limits of the services.
const (
	defaultDeadlineMS = 1000
	maxDeadlineMS     = 5000
	hedgePercent      = 2
	retryPercent      = 10
	shardsPerGroup    = 1
)

// Names lists the known deployments.
func Names() []string { return []string{"directorate", "pukk"} }

// New returns a deployment by name, with stand-ins that listen on ports chosen by the operating system.
func New(name string, seed uint64) (*Deployment, error) {
	specs, ok := deployments[name]
	if !ok {
		return nil, core.Errorf(core.CodeBadRequest, "unknown deployment %q; known are %v", name, Names())
	}
	d := &Deployment{Name: name}
	for i := range specs {
		d.addService(&specs[i], seed)
	}
	return d, nil
}

var deployments = map[string][]serviceSpec{
	"directorate": {
		{service: "harvest-logs", groups: 30, replicas: 2, slots: 2, connections: 60, openCostMS: 6, serviceUS: 4000, class: 0, versionRule: core.VersionBestCovered},
		{service: "dealer-book", groups: 1, replicas: 5, slots: 2, connections: 250, openCostMS: 1, serviceUS: 2000, class: 2, versionRule: core.VersionBestCovered},
		{service: "farm-contacts", groups: 1, replicas: 3, slots: 2, connections: 250, openCostMS: 1, serviceUS: 2000, class: 1, versionRule: core.VersionBestCovered},
	},
	"pukk": {
		{service: "billing", groups: 30, replicas: 2, slots: 2, connections: 60, openCostMS: 6, serviceUS: 4000, class: 1, versionRule: core.VersionBestCovered},
		{service: "driver-app", groups: 1, replicas: 4, slots: 6, connections: 120, openCostMS: 1, serviceUS: 2000, class: 0, versionRule: core.VersionBestCovered},
		{service: "phone-desk", groups: 1, replicas: 3, slots: 6, connections: 120, openCostMS: 1, serviceUS: 2000, class: 0, versionRule: core.VersionBestCovered},
	},
}

func (d *Deployment) addService(spec *serviceSpec, seed uint64) {
	service := &core.Service{Name: spec.service, Rule: core.Rule{
		Class: spec.class, DefaultDeadlineMS: defaultDeadlineMS, MaxDeadlineMS: maxDeadlineMS,
		VersionRule: spec.versionRule, HedgePercent: hedgePercent, RetryPercent: retryPercent,
	}}
	layout := core.Layout{FirstVersion: 1}
	shards := spec.shards
	if shards == 0 {
		shards = shardsPerGroup
	}
	for g := range spec.groups {
		group := core.Group{Name: core.GroupName(fmt.Sprintf("group-%02d", g))}
		for s := range shards {
			layout.Shards = append(layout.Shards, core.Shard{Name: core.ShardName(fmt.Sprintf("shard-%02d", g*shards+s)), Group: group.Name})
		}
		for r := range spec.replicas {
			id := fmt.Sprintf("%s-%02d-%d", spec.service, g, r)
			group.Upstreams = append(group.Upstreams, core.Upstream{
				ID: core.UpstreamID(id), Domain: Domains[(g+r)%len(Domains)], Slots: spec.slots,
				Connections: spec.connections, OpenCostMS: core.Milliseconds(spec.openCostMS),
			})
			d.Upstreams = append(d.Upstreams, upstream.Config{
				ID: id, Listen: "127.0.0.1:0", Slots: spec.slots, Connections: spec.connections, OpenCostMS: spec.openCostMS,
				ServiceUS: spec.serviceUS, Seed: seed + uint64(len(d.Upstreams)), Oldest: 1, Newest: 1,
			})
		}
		service.Groups = append(service.Groups, group)
	}
	service.Layouts = []core.Layout{layout}
	d.Services = append(d.Services, service)
}

// SetAddresses sets the addresses of the upstreams in the services from a map of started stand-ins by upstream ID.
func (d *Deployment) SetAddresses(addresses map[string]string) {
	for _, service := range d.Services {
		for g := range service.Groups {
			for u := range service.Groups[g].Upstreams {
				up := &service.Groups[g].Upstreams[u]
				up.Address = addresses[string(up.ID)]
			}
		}
	}
}
