// Package deployment describes the deployments that the demo, the tests and the benchmark run: their services, groups
// and upstreams with limits and costs.
package deployment

import (
	"fmt"

	"gooseberrylane.example/core"
	"gooseberrylane.example/standins/upstream"
)

// Domains are the failure domains of every deployment.
var Domains = []core.FailureDomain{"fd-1", "fd-2", "fd-3"}

// Limits of the upstreams of Uniform: wide enough to bear a load that measures the tier and not the upstreams.
const (
	uniformSlots       = 8
	uniformConnections = 60
	uniformServiceUS   = 1000
)

// Uniform returns a deployment of one service, named "uniform", for measurements at chosen sizes.
func Uniform(seed uint64, groups, replicas, shardsOfGroup int) *Deployment {
	d := &Deployment{Name: "uniform"}
	d.add(&groupKind{
		service: "uniform", groups: groups, replicas: replicas, shards: shardsOfGroup, slots: uniformSlots,
		connections: uniformConnections, openCostMS: 1, serviceUS: uniformServiceUS, versionRule: core.VersionBestCovered,
	}, seed)
	return d
}

// groupKind describes groups of one sort.
type groupKind struct {
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

// Deployment is a set of services with their upstream stand-ins.
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
	kinds, ok := deployments[name]
	if !ok {
		return nil, core.Errorf(core.CodeBadRequest, "unknown deployment %q; known are %v", name, Names())
	}
	d := &Deployment{Name: name}
	for i := range kinds {
		d.add(&kinds[i], seed)
	}
	return d, nil
}

var deployments = map[string][]groupKind{
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

func (d *Deployment) add(kind *groupKind, seed uint64) {
	service := &core.Service{Name: kind.service, Rule: core.Rule{
		Class: kind.class, DefaultDeadlineMS: defaultDeadlineMS, MaxDeadlineMS: maxDeadlineMS,
		VersionRule: kind.versionRule, HedgePercent: hedgePercent, RetryPercent: retryPercent,
	}}
	layout := core.Layout{FirstVersion: 1}
	shards := kind.shards
	if shards == 0 {
		shards = shardsPerGroup
	}
	for g := range kind.groups {
		group := core.Group{Name: core.GroupName(fmt.Sprintf("group-%02d", g))}
		for s := range shards {
			layout.Shards = append(layout.Shards, core.Shard{Name: core.ShardName(fmt.Sprintf("shard-%02d", g*shards+s)), Group: group.Name})
		}
		for r := range kind.replicas {
			id := fmt.Sprintf("%s-%02d-%d", kind.service, g, r)
			group.Upstreams = append(group.Upstreams, core.Upstream{
				ID: core.UpstreamID(id), Domain: Domains[(g+r)%len(Domains)], Slots: kind.slots,
				Connections: kind.connections, OpenCostMS: core.Milliseconds(kind.openCostMS),
			})
			d.Upstreams = append(d.Upstreams, upstream.Config{
				ID: id, Listen: "127.0.0.1:0", Slots: kind.slots, Connections: kind.connections, OpenCostMS: kind.openCostMS,
				ServiceUS: kind.serviceUS, Seed: seed + uint64(len(d.Upstreams)), Oldest: 1, Newest: 1,
			})
		}
		service.Groups = append(service.Groups, group)
	}
	service.Layouts = []core.Layout{layout}
	d.Services = append(d.Services, service)
}

// Locate stores the addresses of started stand-ins, by upstream ID, in the services.
func (d *Deployment) Locate(addresses map[string]string) {
	for _, service := range d.Services {
		for g := range service.Groups {
			for u := range service.Groups[g].Upstreams {
				up := &service.Groups[g].Upstreams[u]
				up.Address = addresses[string(up.ID)]
			}
		}
	}
}
