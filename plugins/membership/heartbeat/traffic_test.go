package heartbeat

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/coord/ownership"
	"gooseberrylane.example/core"
)

const (
	trafficSeed        = 1
	upstreamsPerDomain = 30
)

// network connects agents in memory and counts the messages and bytes that they send.
type network struct {
	now             time.Time
	agents          []*ownership.Agent
	byName          map[core.VMName]*ownership.Agent
	messages, bytes int
}

// newNetwork returns VMs that list each other, in failure domains with the same number of upstreams each.
func newNetwork(vms, domains int) *network {
	n := &network{now: time.Unix(1_000_000, 0), byName: make(map[core.VMName]*ownership.Agent)}
	var all []core.VM
	for i := range vms {
		all = append(all, core.VM{
			Name: core.VMName(fmt.Sprintf("vm-%d", i+1)), Domain: core.FailureDomain(fmt.Sprintf("fd-%d", i%domains+1)),
			Incarnation: core.Incarnation(n.now.UnixNano()), PeerAddress: fmt.Sprintf("10.0.%d.%d:7101", i/250, i%250+1),
		})
	}
	var group core.Group
	for i := range domains * upstreamsPerDomain {
		group.Upstreams = append(group.Upstreams, core.Upstream{ID: core.UpstreamID(fmt.Sprintf("u-%d", i)), Domain: all[i%domains].Domain})
	}
	set := &core.ConfigSet{Revision: 1, Services: map[core.ServiceName]*core.Service{"s": {Groups: []core.Group{group}}}}
	settings := defaults()
	for i, vm := range all {
		random := rand.New(rand.NewPCG(trafficSeed, uint64(i)))
		agent := ownership.NewAgent(settings.membership(), settings.ownership(), vm, core.NewLease(n.now), random, n.now)
		n.agents = append(n.agents, agent)
		n.byName[vm.Name] = agent
		agent.ReplaceList(n.now, all)
		n.perform(agent, agent.Configure(n.now, set.Index()))
	}
	return n
}

func (n *network) perform(from *ownership.Agent, a ownership.Actions) {
	for _, id := range a.Release {
		n.perform(from, from.Released(n.now, id))
	}
	for _, out := range a.Send {
		n.send(out)
	}
}

// send encodes a message as the links do, and delivers it.
func (n *network) send(out ownership.Outgoing) {
	message := encode(out.Message)
	body, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	frame, err := cbor.Marshal([]any{message.MessageName(), cbor.RawMessage(body)})
	if err != nil {
		panic(err)
	}
	n.messages++
	n.bytes += len(frame)
	to := n.byName[out.To.Name]
	n.perform(to, to.Receive(n.now, out.Message))
}

// run advances the time by d in ticks.
func (n *network) run(d time.Duration) {
	step := defaults().period() / ticksPerPeriod
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(step)
		for _, agent := range n.agents {
			n.perform(agent, agent.Tick(n.now))
		}
	}
}

// sentPerVM returns the messages and bytes that one VM sends per second after a warm-up of 30 s.
func sentPerVM(vms int) (messages, bytes float64) {
	const measured = 20 * time.Second
	n := newNetwork(vms, 3)
	n.run(30 * time.Second)
	n.messages, n.bytes = 0, 0
	n.run(measured)
	seconds := measured.Seconds() * float64(vms)
	return float64(n.messages) / seconds, float64(n.bytes) / seconds
}

// TestHeartbeatTrafficWithinLimit guards against heartbeats that use up the 17 KB/s of control traffic of a VM, and
// against a cost that grows with the number of VMs in other failure domains.
func TestHeartbeatTrafficWithinLimit(t *testing.T) {
	c := qt.New(t)
	const limit = 17 * 1024
	for _, vms := range []int{5, 10, 20, 40, 80} {
		messages, bytes := sentPerVM(vms)
		c.Logf("%d VMs: %.1f messages/s, %.0f bytes/s sent per VM, seed %d", vms, messages, bytes, trafficSeed)
		c.Check(bytes < limit, qt.IsTrue)
		// A heartbeat and an acknowledgement for each VM of the same failure domain, and for the cross-domain contacts in
		// both directions.
		domainPeers := float64((vms+2)/3 - 1)
		c.Check(messages <= 2*(domainPeers+defaultCrossDomainContacts)+1, qt.IsTrue)
	}
}

// BenchmarkHeartbeatPeriod measures one period of all VMs: decisions, encoding and handling of all messages, without
// decoding.
func BenchmarkHeartbeatPeriod(b *testing.B) {
	for _, vms := range []int{5, 10, 20, 40, 80} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			n := newNetwork(vms, 3)
			n.run(30 * time.Second)
			n.messages = 0
			b.ResetTimer()
			for range b.N {
				n.run(defaults().period())
			}
			perPeriod := float64(b.Elapsed().Microseconds()) / float64(b.N) / float64(vms)
			b.ReportMetric(perPeriod, "µs/VM-period")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n.messages), "ns/message")
		})
	}
}

// BenchmarkLargeDomain measures one failure domain of 278 VMs, the size expected in two years.
func BenchmarkLargeDomain(b *testing.B) {
	const vms = 278
	n := newNetwork(vms, 1)
	n.run(15 * time.Second)
	n.messages, n.bytes = 0, 0
	b.ResetTimer()
	for range b.N {
		n.run(defaults().period())
	}
	seconds := float64(b.N) * vms
	b.ReportMetric(float64(n.messages)/seconds, "messages/VM-s")
	b.ReportMetric(float64(n.bytes)/seconds, "bytes/VM-s")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/seconds, "µs/VM-s")
}
