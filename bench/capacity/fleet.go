package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gooseberrylane.example/coord/membership"
	"gooseberrylane.example/coord/ownership"
	"gooseberrylane.example/core"
)

const (
	// groupsPerService is the number of upstreams that one query visits at the large size.
	groupsPerService = 700
	replicas         = 2
	largeUpstreams   = 90_000
)

var epoch = time.Unix(1_000_000, 0)

func domainName(n int) core.FailureDomain {
	return core.FailureDomain(fmt.Sprintf("fd-%02d", n%Domains))
}

// services returns a configuration with a number of upstreams: services of groupsPerService groups, whose replicas lie
// in neighbouring failure domains.
func services(upstreams int) *core.ConfigSet {
	set := &core.ConfigSet{Revision: 1, Services: make(map[core.ServiceName]*core.Service)}
	for left, s := upstreams, 0; left >= replicas; s++ {
		service := newService(s, min(groupsPerService, left/replicas))
		set.Services[service.Name] = service
		left -= len(service.Groups) * replicas
	}
	return set
}

func newService(number, groups int) *core.Service {
	service := &core.Service{
		Name: core.ServiceName(fmt.Sprintf("service-%03d", number)),
		Rule: core.Rule{DefaultDeadlineMS: 270, MaxDeadlineMS: 1000, VersionRule: core.VersionBestCovered, HedgePercent: 2, RetryPercent: 10},
	}
	layout := core.Layout{FirstVersion: 1}
	for g := range groups {
		group := newGroup(number, g)
		service.Groups = append(service.Groups, group)
		layout.Shards = append(layout.Shards, core.Shard{Name: core.ShardName(fmt.Sprintf("shard-%03d", g)), Group: group.Name})
	}
	service.Layouts = []core.Layout{layout}
	return service
}

func newGroup(service, g int) core.Group {
	group := core.Group{Name: core.GroupName(fmt.Sprintf("group-%03d", g))}
	for r := range replicas {
		group.Upstreams = append(group.Upstreams, core.Upstream{
			ID:      core.UpstreamID(fmt.Sprintf("service-%03d-%03d-%d", service, g, r)),
			Address: fmt.Sprintf("10.%d.%d.%d:8080", service, g%250, g/250*replicas+r),
			Domain:  domainName(g + r), Slots: 2, Connections: 60, OpenCostMS: 6,
		})
	}
	return group
}

// vmAt returns the VM with a number in a failure domain.
func vmAt(domain, number int) core.VM {
	return core.VM{
		Name:        core.VMName(fmt.Sprintf("vm-%02d-%04d", domain, number)),
		Incarnation: core.Incarnation(epoch.UnixNano()) + core.Incarnation(number),
		Domain:      domainName(domain),
		PeerAddress: fmt.Sprintf("10.%d.%d.%d:7000", 100+domain, number/250, number%250),
	}
}

// fleet is a simulated fleet: the agent of one VM and the other members.
type fleet struct {
	agent *ownership.Agent
	now   time.Time
	// neighbours are the other members of the failure domain of the VM.
	neighbours []core.VM
	others     []core.VM
}

// newFleet returns a fleet with inDomain members in the failure domain of the VM and elsewhere members in other domains.
func newFleet(inDomain, elsewhere int, seed uint64) *fleet {
	f := &fleet{now: epoch}
	self := vmAt(0, 0)
	for i := 1; i < inDomain; i++ {
		f.neighbours = append(f.neighbours, vmAt(0, i))
	}
	for i := range elsewhere {
		f.others = append(f.others, vmAt(1+i%(Domains-1), i/(Domains-1)))
	}
	random := rand.New(rand.NewPCG(seed, 1))
	f.agent = ownership.NewAgent(membership.Defaults(), ownership.Defaults(), self, core.NewLease(epoch), random, epoch)
	f.agent.ReplaceList(f.now, append(append([]core.VM{self}, f.neighbours...), f.others...))
	f.exchangeHeartbeats()
	return f
}

// exchangeHeartbeats delivers a heartbeat and an acknowledgement from every neighbour to the VM.
func (f *fleet) exchangeHeartbeats() {
	for _, vm := range f.neighbours {
		f.agent.Receive(f.now, f.heartbeatOf(vm))
		f.agent.Receive(f.now, f.ackOf(vm))
	}
}

func (f *fleet) heartbeatOf(vm core.VM) ownership.Heartbeat {
	return ownership.Heartbeat{From: vm, Sent: int64(f.now.Sub(epoch)), Digest: f.agent.Table().RecentDigest(f.now), Revision: 1}
}

func (f *fleet) ackOf(vm core.VM) ownership.HeartbeatAck {
	return ownership.HeartbeatAck{From: vm, To: f.agent.Table().Self().Incarnation, Sent: int64(f.now.Sub(epoch)), Revision: 1}
}

// step advances the clock by the interval of a tick and runs the tick.
func (f *fleet) step() ownership.Actions {
	f.now = f.now.Add(250 * time.Millisecond)
	return f.agent.Tick(f.now)
}
