package capacity

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"gooseberrylane.example/coord/ownership"
	"gooseberrylane.example/core"
)

// Sizes of a failure domain and of the fleet at the large size.
const (
	largeDomain  = 278
	largeMembers = 7500
	// ticksPerSecond is the number of ticks of the agent in a second.
	ticksPerSecond = 4
)

// ownershipAt measures the cost of membership changes at the large number of upstreams.
func ownershipAt(inDomain int, seed uint64) (map[string]float64, error) {
	figures := make(map[string]float64)
	set := services(largeUpstreams).Index()
	f := newFleet(inDomain, 0, seed)
	f.agent.Configure(f.now, set)
	costOf(func() { ownership.Assign(set, f.agent.Table().Members(f.now)) }).put(figures, "from_scratch")
	costOf(func() { f.agent.Machine().Ownership(f.now) }).put(figures, "publish")
	events := 0
	costOf(func() {
		// The last neighbour leaves and rejoins alternately.
		vm := f.neighbours[len(f.neighbours)-1]
		if events++; events%2 == 1 {
			f.agent.Table().MarkEnded(vm.Name, vm.PeerAddress)
		} else {
			vm.Incarnation += core.Incarnation(events)
			f.agent.Table().RecordContact(f.now, vm)
		}
		f.agent.Machine().Tick(f.now)
		f.agent.Machine().Ownership(f.now)
	}).put(figures, "member_event")
	return figures, nil
}

// heartbeatAt measures the heartbeats of one VM in its failure domain. The numbers of other members and of upstreams are
// in the same proportion to the domain as at the large size.
func heartbeatAt(inDomain int, seed uint64) (map[string]float64, error) {
	figures := make(map[string]float64)
	f := newFleet(inDomain, largeMembers*inDomain/largeDomain-inDomain, seed)
	set := services(largeUpstreams * inDomain / largeDomain).Index()
	f.agent.Configure(f.now, set)
	heartbeat, ack := f.heartbeatOf(f.neighbours[0]), f.ackOf(f.neighbours[0])
	for name, message := range map[string]any{"heartbeat": heartbeat, "ack": ack} {
		raw, err := cbor.Marshal(message)
		if err != nil {
			return nil, err
		}
		figures[name+"_encoded_bytes"] = float64(len(raw))
	}
	costOf(func() { f.agent.Receive(f.now, heartbeat) }).put(figures, "receive_heartbeat")
	costOf(func() { f.agent.Receive(f.now, ack) }).put(figures, "receive_ack")
	second := costOf(func() {
		for range ticksPerSecond {
			f.step()
		}
		f.exchangeHeartbeats()
	})
	second.put(figures, "second")
	figures["core_percent"] = second.cpuUS / 1e4
	return figures, nil
}

// membersAt measures the state and work that grow with the members of all failure domains.
func membersAt(members int, seed uint64) (map[string]float64, error) {
	figures := make(map[string]float64)
	inDomain := max(members/Domains, 2)
	f := newFleet(inDomain, members-inDomain, seed)
	table := f.agent.Table()
	figures["members_bytes"] = heapOf(func() any { return newFleet(inDomain, members-inDomain, seed) })
	costOf(func() { table.Members(f.now) }).put(figures, "list")
	costOf(func() { table.Digest(f.now) }).put(figures, "digest")
	costOf(func() {
		f.now = f.now.Add(time.Microsecond)
		f.agent.Tick(f.now)
	}).put(figures, "tick")
	encoded, err := cbor.Marshal(ownership.HeartbeatAck{From: table.Self(), Members: table.Members(f.now).All})
	figures["known_encoded_bytes"] = float64(len(encoded))
	return figures, err
}
