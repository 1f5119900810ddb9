package ownership_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gooseberrylane.example/coord/membership"
	"gooseberrylane.example/coord/ownership"
	"gooseberrylane.example/core"
)

const (
	domain   = core.FailureDomain("fd-1")
	tickStep = 250 * time.Millisecond
	// contactGap is the silence that ends a contact; contactFor is how long a contact must last to count in
	// inContact.
	contactGap = 2 * time.Second
	contactFor = 14 * time.Second
)

// node is one process of a simulated VM. A restart adds a new node with the same name.
type node struct {
	name     core.VMName
	agent    *ownership.Agent
	address  string
	dead     bool
	refuses  bool
	left     bool
	paused   bool
	inbox    []func()
	inFlight map[core.UpstreamID]bool
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].order < e[j].order)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type pair struct{ to, from *node }

type contact struct{ since, last time.Time }

// exchange is an in-memory message exchange with fault injection and simulated time.
type exchange struct {
	now      time.Time
	random   *rand.Rand
	queue    events
	order    int
	nodes    []*node
	set      *core.ConfigSet
	loss     float64
	maxDelay time.Duration
	cut      map[[2]core.VMName]bool
	contacts map[pair]contact
	fault    string
	moves    int
	// clockLag is subtracted from the time that incarnations are taken from.
	clockLag time.Duration
}

func newExchange(seed uint64, upstreams int) *exchange {
	group := core.Group{Name: "g"}
	for i := range upstreams {
		group.Upstreams = append(group.Upstreams, core.Upstream{ID: core.UpstreamID(fmt.Sprintf("u-%d", i)), Domain: domain, Slots: 1, Connections: 4})
	}
	set := &core.ConfigSet{Revision: 1, Services: map[core.ServiceName]*core.Service{"s": {Name: "s", Groups: []core.Group{group}}}}
	return &exchange{
		now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 7)), set: set.Index(), maxDelay: 20 * time.Millisecond,
		cut: make(map[[2]core.VMName]bool), contacts: make(map[pair]contact),
	}
}

func (x *exchange) after(d time.Duration, run func()) {
	x.order++
	heap.Push(&x.queue, event{at: x.now.Add(d), order: x.order, run: run})
}

// runFor runs events for the given duration and checks exclusive use after each of them.
func (x *exchange) runFor(d time.Duration) {
	end := x.now.Add(d)
	for len(x.queue) > 0 && !x.queue[0].at.After(end) {
		next := heap.Pop(&x.queue).(event)
		x.now = next.at
		next.run()
		x.check()
	}
	x.now = end
}

// start starts a VM whose platform list has the given VMs.
func (x *exchange) start(name core.VMName, known ...core.VMName) *node {
	n := &node{name: name, address: fmt.Sprintf("%s/%d", name, x.order), inFlight: make(map[core.UpstreamID]bool)}
	self := core.VM{Name: name, Incarnation: core.Incarnation(x.now.Add(-x.clockLag).UnixNano()), Domain: domain, PeerAddress: n.address}
	seed := x.random.Uint64()
	n.agent = ownership.NewAgent(membership.Defaults(), ownership.Defaults(), self, core.NewLease(x.now), rand.New(rand.NewPCG(seed, 1)), x.now)
	x.nodes = append(x.nodes, n)
	x.perform(n, n.agent.ReplaceList(x.now, x.listed(known)))
	x.perform(n, n.agent.Configure(x.now, x.set))
	x.after(time.Duration(x.random.Int64N(int64(tickStep))), func() { x.tick(n) })
	return n
}

func (x *exchange) listed(names []core.VMName) []core.VM {
	var vms []core.VM
	for _, name := range names {
		if n := x.find(name); n != nil {
			vms = append(vms, core.VM{Name: name, Domain: domain, PeerAddress: n.address})
		}
	}
	return vms
}

// find returns the newest process of a VM.
func (x *exchange) find(name core.VMName) *node {
	for i := len(x.nodes) - 1; i >= 0; i-- {
		if x.nodes[i].name == name {
			return x.nodes[i]
		}
	}
	return nil
}

// handle runs an event on a node at once, or when a paused node resumes.
func (x *exchange) handle(n *node, f func() ownership.Actions) {
	if n.dead {
		return
	}
	if n.paused {
		n.inbox = append(n.inbox, func() { x.handle(n, f) })
		return
	}
	x.perform(n, f())
}

func (x *exchange) tick(n *node) {
	if n.dead {
		return
	}
	if !n.paused {
		x.perform(n, n.agent.Tick(x.now))
		if n.left && n.agent.Machine().Idle() && !n.agent.FarewellDone(x.now) {
			x.perform(n, n.agent.Farewell(x.now))
		}
		if n.left && n.agent.FarewellDone(x.now) {
			n.dead, n.refuses = true, true
		}
	}
	x.after(tickStep, func() { x.tick(n) })
}

func (x *exchange) perform(n *node, a ownership.Actions) {
	for _, out := range a.Send {
		x.send(n, out)
	}
	for _, id := range a.Release {
		n.inFlight[id] = true
		x.moves++
		x.after(time.Duration(x.random.Int64N(int64(2*time.Second))), func() {
			x.handle(n, func() ownership.Actions {
				delete(n.inFlight, id)
				return n.agent.Released(x.now, id)
			})
		})
	}
}

func (x *exchange) send(from *node, out ownership.Outgoing) {
	copies := 1
	if x.random.Float64() < 0.05 {
		copies = 2
	}
	for range copies {
		if x.random.Float64() < x.loss || x.cut[[2]core.VMName{from.name, out.To.Name}] {
			continue
		}
		x.after(time.Millisecond+time.Duration(x.random.Int64N(int64(x.maxDelay))), func() { x.deliver(from, out) })
	}
}

func (x *exchange) deliver(from *node, out ownership.Outgoing) {
	i := slices.IndexFunc(x.nodes, func(n *node) bool { return n.address == out.To.PeerAddress })
	if i < 0 {
		return
	}
	to := x.nodes[i]
	if to.dead {
		if to.refuses {
			x.handle(from, func() ownership.Actions { return from.agent.ConnectionRefused(x.now, out.To.Name, out.To.PeerAddress) })
		}
		return
	}
	x.handle(to, func() ownership.Actions {
		x.recordContact(to, from)
		return to.agent.Receive(x.now, out.Message)
	})
}

func (x *exchange) recordContact(to, from *node) {
	c := x.contacts[pair{to, from}]
	if c.last.IsZero() || x.now.Sub(c.last) > contactGap {
		c.since = x.now
	}
	c.last = x.now
	x.contacts[pair{to, from}] = c
}

// inContact reports whether two VMs have been in steady contact, both ways, for contactFor.
func (x *exchange) inContact(a, b *node) bool {
	if a == b {
		return true
	}
	for _, p := range []pair{{a, b}, {b, a}} {
		c := x.contacts[p]
		if c.last.IsZero() || x.now.Sub(c.last) > contactGap || x.now.Sub(c.since) < contactFor {
			return false
		}
	}
	return true
}

func (x *exchange) uses(n *node, id core.UpstreamID) bool {
	return !n.dead && !n.paused && (n.inFlight[id] || n.agent.Machine().Holds(x.now, id))
}

func (x *exchange) users(id core.UpstreamID) []*node {
	var users []*node
	for _, n := range x.nodes {
		if x.uses(n, id) {
			users = append(users, n)
		}
	}
	return users
}

// check records a fault when two VMs use the same upstream and a third VM is in contact with both.
func (x *exchange) check() {
	for id := range x.set.Upstreams() {
		users := x.users(id)
		for i := range users {
			for _, other := range users[i+1:] {
				for _, common := range x.nodes {
					if !common.dead && !common.paused && x.inContact(common, users[i]) && x.inContact(common, other) {
						x.fault = fmt.Sprintf("%s: %s and %s both use %s and share %s", x.now.Format("05.000"), users[i].name, other.name, id, common.name)
					}
				}
			}
		}
	}
}

func (x *exchange) live() []*node {
	return slices.DeleteFunc(slices.Clone(x.nodes), func(n *node) bool { return n.dead })
}

func (x *exchange) resume(n *node) {
	n.paused = false
	inbox := n.inbox
	n.inbox = nil
	for _, f := range inbox {
		f()
	}
}

// heal ends all faults.
func (x *exchange) heal() {
	x.loss = 0
	x.maxDelay = 20 * time.Millisecond
	clear(x.cut)
	for _, n := range x.live() {
		if n.paused {
			x.resume(n)
		}
	}
	x.relist()
}

// relist gives every VM the current platform list.
func (x *exchange) relist() {
	var names []core.VMName
	for _, n := range x.live() {
		names = append(names, n.name)
	}
	for _, n := range x.live() {
		x.perform(n, n.agent.ReplaceList(x.now, x.listed(names)))
	}
}
