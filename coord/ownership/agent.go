package ownership

import (
	"math/rand/v2"
	"time"

	"gooseberrylane.example/coord/membership"
	"gooseberrylane.example/core"
)

// listRepeatPeriods is the number of heartbeat periods after which a member list is sent again to a member whose digest
// still differs, so that a lasting difference does not cost a list in each period.
const listRepeatPeriods = 10

// crossDomainListPeriods is the minimum number of heartbeat periods between two lists to members of other failure
// domains in a large fleet. A list of 278 members takes about 10 KB, so this costs 2.6 KB/s of the 17 KB/s for all
// control traffic.
const crossDomainListPeriods = 4

// Heartbeat reports to a member that the sender is alive. Sent is a reading of the sender's clock that the
// acknowledgement returns.
type Heartbeat struct {
	_        struct{} `cbor:",toarray"`
	From     core.VM
	Sent     int64
	Digest   uint64
	Revision core.Revision
	// HoldingsVersion is the version of the sender's holdings.
	HoldingsVersion uint64
}

// HeartbeatAck acknowledges a heartbeat.
type HeartbeatAck struct {
	_        struct{} `cbor:",toarray"`
	From     core.VM
	To       core.Incarnation
	Sent     int64
	Revision core.Revision
	// HoldingsRequested requests the holdings of the VM that sent the heartbeat.
	HoldingsRequested bool
	// Members is the sender's member list if one is due. In the answer to a stale incarnation of a VM, it is the newest
	// known one.
	Members []core.VM
}

// Left reports that the sender holds and claims no upstreams and is about to exit.
type Left struct {
	_    struct{} `cbor:",toarray"`
	From core.VM
}

// LeftAck acknowledges Left.
type LeftAck struct {
	_    struct{} `cbor:",toarray"`
	From core.VM
	To   core.Incarnation
}

// sentList holds the last differing digests of this VM and a member, and when a list was sent for them; zero before.
type sentList struct {
	own, theirs uint64
	sent        time.Time
}

// Agent runs the member table and the claims of one VM. It does no I/O and is not safe for concurrent use.
type Agent struct {
	period  time.Duration
	table   *membership.Table
	machine *Machine
	random  *rand.Rand
	// clockBase is the time that Heartbeat.Sent is relative to.
	clockBase     time.Time
	lastHeartbeat time.Time
	revision      core.Revision
	sentLists     map[core.VMName]sentList
	// crossDomainListed is the time of the last list to a member of another failure domain in a large fleet.
	crossDomainListed time.Time
	// farewell holds the members that have not acknowledged Left yet; nil before the farewell.
	farewell map[core.VMName]core.VM
}

// NewAgent returns an agent that holds no upstreams. The incarnation of self is that of the process start.
func NewAgent(members membership.Settings, claims Settings, self core.VM, lease *core.Lease, random *rand.Rand, now time.Time) *Agent {
	table := membership.New(members, self, now)
	return &Agent{
		period: members.Period, table: table, machine: New(claims, table, lease), random: random, clockBase: now,
		sentLists: make(map[core.VMName]sentList),
	}
}

// Table returns the member table.
func (g *Agent) Table() *membership.Table { return g.table }

// Machine returns the state machine of the claims.
func (g *Agent) Machine() *Machine { return g.machine }

// Configure sets the configuration in force.
func (g *Agent) Configure(now time.Time, set *core.ConfigSet) Actions {
	g.revision = set.Revision
	return g.detectPause(now).join(g.machine.Configure(now, set))
}

// ReplaceList applies the platform's list of VMs.
func (g *Agent) ReplaceList(now time.Time, vms []core.VM) Actions {
	a := g.detectPause(now)
	g.table.ReplaceList(now, vms)
	return a
}

// ConnectionRefused records that the address of a member refused a connection, because no process listens there.
func (g *Agent) ConnectionRefused(now time.Time, name core.VMName, address string) Actions {
	a := g.detectPause(now)
	g.table.MarkEnded(name, address)
	return a.join(g.machine.Tick(now))
}

// Released records that the work on an upstream has ended.
func (g *Agent) Released(now time.Time, id core.UpstreamID) Actions {
	return g.detectPause(now).join(g.machine.Released(now, id))
}

// Tick sends due heartbeats and applies time-outs. Call it several times in each heartbeat period.
func (g *Agent) Tick(now time.Time) Actions {
	a := g.detectPause(now)
	g.table.Tick(now)
	g.forgetLists(now)
	if g.farewell != nil {
		return a
	}
	if now.Sub(g.lastHeartbeat) >= g.period {
		g.lastHeartbeat = now
		for _, vm := range g.table.Contacts(now, g.random) {
			a.send(vm, g.heartbeat(now, vm))
		}
	}
	return a.join(g.machine.Tick(now))
}

// forgetLists drops what is kept of the lists to members that are gone.
func (g *Agent) forgetLists(now time.Time) {
	if now.Sub(g.lastHeartbeat) < g.period {
		return
	}
	for name := range g.sentLists {
		if vm, ok := g.table.Find(now, name); !ok || vm.State == core.VMGone {
			delete(g.sentLists, name)
		}
	}
}

// heartbeat returns a heartbeat to a member. Its digest covers the same members as the digest of the receiver.
func (g *Agent) heartbeat(now time.Time, to core.VM) Heartbeat {
	h := Heartbeat{
		From: g.table.Self(), Sent: int64(now.Sub(g.clockBase)), Digest: g.table.RecentDigest(now), Revision: g.revision, HoldingsVersion: g.machine.Version(),
	}
	if g.table.DomainScoped() && to.Domain != h.From.Domain {
		h.Digest = g.table.DomainDigest(now, to.Domain)
	}
	return h
}

// detectPause handles a pause of this VM. It runs before any other event is handled.
func (g *Agent) detectPause(now time.Time) Actions {
	if !g.table.Paused(now) {
		return Actions{}
	}
	g.table.Restart(core.Incarnation(now.UnixNano()))
	g.table.Tick(now)
	return g.machine.Paused()
}

// Receive handles a message from another VM. Messages of a lower incarnation are ignored.
func (g *Agent) Receive(now time.Time, message any) Actions {
	a := g.detectPause(now)
	from, ok := sender(message)
	if !ok {
		return a
	}
	previous, _ := g.table.Find(now, from.Name)
	if !g.table.RecordContact(now, from) {
		return a.join(g.reportNewer(now, message))
	}
	if from.State == core.VMLeaving && previous.State == core.VMLive {
		// New sub-requests should not go to a VM that is handing over.
		a = a.join(g.machine.Tick(now))
	}
	if g.farewell != nil {
		return a.join(g.receiveAfterFarewell(message))
	}
	switch m := message.(type) {
	case Heartbeat:
		return a.join(g.onHeartbeat(now, m))
	case HeartbeatAck:
		return a.join(g.onAck(now, m))
	case Claim:
		return a.join(g.machine.OnClaim(now, m))
	case Clear:
		return a.join(g.machine.OnClear(now, m))
	case Holdings:
		return a.join(g.machine.OnHoldings(now, m))
	case Contest:
		return a.join(g.machine.OnContest(m))
	case Left:
		a.send(from, LeftAck{From: g.table.Self(), To: from.Incarnation})
		g.table.MarkEnded(from.Name, from.PeerAddress)
		return a.join(g.machine.Tick(now))
	}
	return a
}

// reportNewer answers a heartbeat of a lower incarnation with the incarnation in the member table. The sender may have
// started after the clock of its machine was set back; without the answer it would be ignored permanently.
func (g *Agent) reportNewer(now time.Time, message any) Actions {
	var a Actions
	m, ok := message.(Heartbeat)
	if !ok {
		return a
	}
	known, ok := g.table.Find(now, m.From.Name)
	if ok && known.Incarnation > m.From.Incarnation {
		a.send(m.From, HeartbeatAck{From: g.table.Self(), To: m.From.Incarnation, Members: []core.VM{known}})
	}
	return a
}

func sender(message any) (core.VM, bool) {
	switch m := message.(type) {
	case Heartbeat:
		return m.From, true
	case HeartbeatAck:
		return m.From, true
	case Claim:
		return m.From, true
	case Clear:
		return m.From, true
	case Holdings:
		return m.From, true
	case Contest:
		return m.From, true
	case Left:
		return m.From, true
	case LeftAck:
		return m.From, true
	default:
		return core.VM{}, false
	}
}

func (g *Agent) onHeartbeat(now time.Time, m Heartbeat) Actions {
	var a Actions
	ack := HeartbeatAck{From: g.table.Self(), To: m.From.Incarnation, Sent: m.Sent, Revision: g.revision}
	if own := g.table.RecentDigest(now); own != m.Digest && g.listDue(now, m.From, own, m.Digest) {
		ack.Members = g.table.DirectMembers(now)
	}
	ack.HoldingsRequested = m.From.Domain == g.table.Self().Domain && g.machine.NeedsHoldings(m.From, m.HoldingsVersion)
	a.send(m.From, ack)
	return a
}

func (g *Agent) listDue(now time.Time, to core.VM, own, theirs uint64) bool {
	if g.table.DomainScoped() && to.Domain != g.table.Self().Domain {
		if !g.crossDomainListed.IsZero() && now.Sub(g.crossDomainListed) < crossDomainListPeriods*g.period {
			return false
		}
		g.crossDomainListed = now
		return true
	}
	last := g.sentLists[to.Name]
	if last.own != own || last.theirs != theirs {
		g.sentLists[to.Name] = sentList{own: own, theirs: theirs, sent: now}
		if !g.table.DomainScoped() {
			return true
		}
		// While a change propagates, all pairs of digests differ briefly. A list is sent only if the difference
		// persists.
		g.sentLists[to.Name] = sentList{own: own, theirs: theirs}
		return false
	}
	if now.Sub(last.sent) < listRepeatPeriods*g.period {
		return false
	}
	g.sentLists[to.Name] = sentList{own: own, theirs: theirs, sent: now}
	return true
}

func (g *Agent) onAck(now time.Time, m HeartbeatAck) Actions {
	var a Actions
	if m.To != g.table.Self().Incarnation {
		return a
	}
	for _, vm := range m.Members {
		if self := g.table.Self(); vm.Name == self.Name && vm.Incarnation > self.Incarnation {
			g.table.Restart(vm.Incarnation + 1)
			return a.join(g.machine.Paused())
		}
		g.table.Learn(now, vm)
	}
	g.table.Acknowledged(m.From.Name, g.clockBase.Add(time.Duration(m.Sent)))
	if m.HoldingsRequested {
		a.send(m.From, g.machine.Holdings())
	}
	return a.join(g.machine.HeartbeatAcknowledged(now))
}

// Leave announces to all members that this VM is leaving and starts to hand over its upstreams.
func (g *Agent) Leave(now time.Time) Actions {
	a := g.detectPause(now)
	g.table.Leave()
	for _, vm := range g.reachable(now) {
		a.send(vm, g.heartbeat(now, vm))
	}
	a = a.join(g.machine.Leave(now))
	// The candidates without this VM serve as hints for sub-requests that still arrive here.
	return a.join(g.machine.Tick(now))
}

func (g *Agent) reachable(now time.Time) []core.VM {
	var vms []core.VM
	for _, vm := range g.table.Members(now).All {
		if vm.Name != g.table.Self().Name && vm.State != core.VMGone {
			vms = append(vms, vm)
		}
	}
	return vms
}

// Farewell sends Left to all members. Call it when the machine is idle.
func (g *Agent) Farewell(now time.Time) Actions {
	var a Actions
	g.farewell = make(map[core.VMName]core.VM)
	for _, vm := range g.reachable(now) {
		g.farewell[vm.Name] = vm
	}
	for _, name := range sortedKeys(g.farewell) {
		a.send(g.farewell[name], Left{From: g.table.Self()})
	}
	return a
}

// FarewellDone reports whether every member that is not gone has acknowledged Left.
func (g *Agent) FarewellDone(now time.Time) bool {
	for name := range g.farewell {
		if vm, ok := g.table.Find(now, name); !ok || vm.State == core.VMGone {
			delete(g.farewell, name)
		}
	}
	return g.farewell != nil && len(g.farewell) == 0
}

func (g *Agent) receiveAfterFarewell(message any) Actions {
	var a Actions
	switch m := message.(type) {
	case LeftAck:
		delete(g.farewell, m.From.Name)
	case Heartbeat:
		a.send(m.From, Left{From: g.table.Self()})
	case Claim:
		a.send(m.From, Left{From: g.table.Self()})
	}
	return a
}
