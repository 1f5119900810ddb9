package ownership

import (
	"maps"
	"slices"
	"time"

	"gooseberrylane.example/coord/membership"
	"gooseberrylane.example/core"
)

// Settings are the timing settings of claims.
type Settings struct {
	// HoldFor is how long a holder uses its upstreams after it sent the last heartbeat that was acknowledged.
	HoldFor time.Duration
	// FenceAfter is the silence after which a member counts as having cleared. It must be longer than HoldFor.
	FenceAfter time.Duration
	// Retry is the interval at which an open claim is sent again.
	Retry time.Duration
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{HoldFor: 3 * time.Second, FenceAfter: 6 * time.Second, Retry: 500 * time.Millisecond}
}

// releaseAfter is the duration of isolation after which a holder releases its upstreams instead of only suspending their
// use. It lies between HoldFor and FenceAfter, so that a holder that regains contact never resumes an upstream that
// another VM took after the fence.
func (s *Settings) releaseAfter() time.Duration { return (s.HoldFor + s.FenceAfter) / 2 }

// claim is an open claim of this VM.
type claim struct {
	round uint64
	// cleared holds the incarnations of the members that cleared the claim.
	cleared map[core.VMName]core.Incarnation
	// ages holds the last report of each member for this round.
	ages map[core.VMName]ageReport
	sent time.Time
}

// ageReport holds the times since the last contact with other members, as one member reported them.
type ageReport struct {
	// included is false when the answer contained no ages, because the claim did not request them.
	included bool
	ages     map[core.VMName]time.Duration
}

// memberHoldings are the last reported holdings of a member.
type memberHoldings struct {
	incarnation core.Incarnation
	version     uint64
	upstreams   map[core.UpstreamID]bool
}

// waiter is a claimant that waits for a release.
type waiter struct {
	vm    core.VM
	round uint64
}

// Machine decides which upstreams of its failure domain one VM holds. It is not safe for concurrent use.
type Machine struct {
	settings   Settings
	table      *membership.Table
	lease      *core.Lease
	set        *core.ConfigSet
	assignment Assignment
	// assignedToSelf holds the upstreams whose candidate is this VM.
	assignedToSelf map[core.UpstreamID]bool
	// owners holds the last published owners; moved lists the upstreams whose candidate or configuration changed since.
	owners core.Map[core.UpstreamID, core.VMName]
	moved  []core.UpstreamID
	// upstreams are the upstreams of the own failure domain.
	upstreams map[core.UpstreamID]*core.Upstream
	// held maps each held upstream to the incarnations of the members that cleared its claim.
	held      map[core.UpstreamID]map[core.VMName]core.Incarnation
	releasing map[core.UpstreamID]map[core.VMName]waiter
	claims    map[core.UpstreamID]*claim
	// clearedFor maps each upstream to the claimants that this VM cleared it for and that may still hold it.
	clearedFor map[core.UpstreamID]map[core.VMName]core.VM
	holdings   map[core.VMName]memberHoldings
	// version counts the changes of Holdings, round the claims of this VM.
	version uint64
	round   uint64
	leaving bool
	// lastContact is the latest time at which this VM was certainly not isolated.
	lastContact time.Time
}

// New returns a machine that holds no upstreams. lease is shared with the published ownership.
func New(settings Settings, table *membership.Table, lease *core.Lease) *Machine {
	return &Machine{
		settings: settings, table: table, lease: lease, set: (&core.ConfigSet{}).Index(),
		assignedToSelf: make(map[core.UpstreamID]bool), upstreams: make(map[core.UpstreamID]*core.Upstream), held: make(map[core.UpstreamID]map[core.VMName]core.Incarnation),
		releasing: make(map[core.UpstreamID]map[core.VMName]waiter), claims: make(map[core.UpstreamID]*claim),
		clearedFor: make(map[core.UpstreamID]map[core.VMName]core.VM), holdings: make(map[core.VMName]memberHoldings),
	}
}

// Configure sets the configuration in force. Upstreams that were removed from it are released.
func (m *Machine) Configure(now time.Time, set *core.ConfigSet) Actions {
	var a Actions
	changed := set.ChangedUpstreams(m.set)
	slices.Sort(changed)
	domain := m.table.Self().Domain
	m.set = set
	m.moved = append(m.moved, changed...)
	for _, id := range changed {
		if upstream := set.Upstream(id); upstream != nil && upstream.Domain == domain {
			m.upstreams[id] = upstream
			continue
		}
		delete(m.upstreams, id)
		delete(m.clearedFor, id)
		if m.held[id] != nil {
			m.release(&a, id)
		}
	}
	a.Changed = true
	return a.join(m.Tick(now))
}

func (a Actions) join(b Actions) Actions {
	return Actions{Send: append(a.Send, b.Send...), Release: append(a.Release, b.Release...), Changed: a.Changed || b.Changed}
}

// Held returns the held upstreams.
func (m *Machine) Held() map[core.UpstreamID]bool {
	held := make(map[core.UpstreamID]bool, len(m.held))
	for id := range m.held {
		held[id] = true
	}
	return held
}

// Holds reports whether this VM holds an upstream and may use it at a time.
func (m *Machine) Holds(now time.Time, id core.UpstreamID) bool {
	return m.held[id] != nil && m.lease.Valid(now)
}

// Holdings returns the holdings that this VM reports. They include upstreams that are being released, which are still
// in use.
func (m *Machine) Holdings() Holdings {
	h := Holdings{From: m.table.Self(), Version: m.version, Upstreams: sortedKeys(m.held)}
	h.Upstreams = append(h.Upstreams, sortedKeys(m.releasing)...)
	return h
}

// Version changes whenever Holdings changes.
func (m *Machine) Version() uint64 { return m.version }

// Idle reports whether this VM neither holds nor is releasing any upstream.
func (m *Machine) Idle() bool { return len(m.held) == 0 && len(m.releasing) == 0 }

// Active reports whether this VM may use its held upstreams. It is false while the VM is isolated.
func (m *Machine) Active(now time.Time) bool { return m.lease.Valid(now) }

// Settled reports whether this VM is in contact with its failure domain and has no open claim.
func (m *Machine) Settled(now time.Time) bool { return m.mayClaim(now) && len(m.claims) == 0 }

// Tick applies time-outs and changes of the member table.
func (m *Machine) Tick(now time.Time) Actions {
	var a Actions
	m.extendLease(now, &a)
	m.dropStale(now)
	m.reassign(now, &a)
	if m.leaving && !m.hasSuccessor(now) {
		m.releaseHeld(&a)
	}
	if !m.mayClaim(now) {
		clear(m.claims)
		return a
	}
	maps.DeleteFunc(m.claims, func(id core.UpstreamID, _ *claim) bool { return !m.assignedToSelf[id] })
	for _, id := range sortedKeys(m.assignedToSelf) {
		if m.held[id] == nil && m.releasing[id] == nil && m.claims[id] == nil {
			m.beginClaim(id)
		}
	}
	m.sendClaims(now, &a)
	m.completeClaims(now, &a)
	return a
}

// reassign applies changes of the configuration and of the member list to the candidates.
func (m *Machine) reassign(now time.Time, a *Actions) {
	moved := m.assignment.Update(m.set, m.table.Members(now))
	self := m.table.Self().Name
	for _, id := range moved {
		if m.upstreams[id] != nil && m.assignment.Candidate(id) == self {
			m.assignedToSelf[id] = true
		} else {
			delete(m.assignedToSelf, id)
		}
	}
	m.moved = append(m.moved, moved...)
	a.Changed = a.Changed || len(moved) > 0
}

// HeartbeatAcknowledged extends the lease after a member acknowledged a heartbeat.
func (m *Machine) HeartbeatAcknowledged(now time.Time) Actions {
	var a Actions
	m.extendLease(now, &a)
	return a
}

// mayClaim reports whether claims are allowed: an isolated VM makes none.
func (m *Machine) mayClaim(now time.Time) bool {
	return !m.leaving && m.table.Bootstrapped() && m.lease.Valid(now)
}

// extendLease extends the lease to HoldFor after the last contact, and releases all upstreams after isolation for
// releaseAfter.
func (m *Machine) extendLease(now time.Time, a *Actions) {
	if m.table.SoleSurvivor() {
		m.lastContact = now
	} else if last := m.table.LastAcknowledged(); last.After(m.lastContact) {
		m.lastContact = last
	}
	if m.lastContact.IsZero() {
		m.lease.Revoke()
		return
	}
	m.lease.Extend(m.lastContact.Add(m.settings.HoldFor))
	if now.Sub(m.lastContact) >= m.settings.releaseAfter() {
		m.releaseHeld(a)
	}
}

// Paused handles a pause of this VM: others may have taken over its upstreams, so all of them are released.
func (m *Machine) Paused() Actions {
	var a Actions
	m.lease.Revoke()
	m.lastContact = time.Time{}
	m.releaseHeld(&a)
	clear(m.claims)
	return a
}

func (m *Machine) releaseHeld(a *Actions) {
	for _, id := range sortedKeys(m.held) {
		m.release(a, id)
	}
}

// release stops the use of a held upstream. Claims for it are answered once the driver calls Released.
func (m *Machine) release(a *Actions, id core.UpstreamID) {
	delete(m.held, id)
	m.releasing[id] = make(map[core.VMName]waiter)
	m.version++
	a.Release = append(a.Release, id)
	a.Changed = true
}

// Leave stops claiming. Held upstreams are released as other VMs claim them, or at once when the failure domain has no
// other live VM.
func (m *Machine) Leave(now time.Time) Actions {
	var a Actions
	m.leaving = true
	clear(m.claims)
	a.Changed = true
	if !m.hasSuccessor(now) {
		m.releaseHeld(&a)
	}
	return a
}

func (m *Machine) hasSuccessor(now time.Time) bool {
	return slices.ContainsFunc(m.table.Neighbours(now), func(vm core.VM) bool { return vm.State == core.VMLive })
}

// ReleaseAll releases all upstreams that are still held, for a leave that exceeded its time limit.
func (m *Machine) ReleaseAll() Actions {
	var a Actions
	m.releaseHeld(&a)
	return a
}

// Released handles the end of a release and answers the claimants that wait for it.
func (m *Machine) Released(now time.Time, id core.UpstreamID) Actions {
	var a Actions
	waiting := m.releasing[id]
	delete(m.releasing, id)
	m.version++
	a.Changed = true
	for _, name := range sortedKeys(waiting) {
		w := waiting[name]
		answer := m.decide(now, &a, w.vm, ClaimedUpstream{Upstream: id, Round: w.round})
		a.send(w.vm, Clear{From: m.table.Self(), To: w.vm.Incarnation, Answers: []Answer{answer}, HasAges: true, Ages: m.ages(now)})
	}
	return a
}

// dropStale removes the holdings and cleared claims of members that are gone or have a new incarnation.
func (m *Machine) dropStale(now time.Time) {
	valid := func(vm core.VM) bool {
		current, ok := m.table.Find(now, vm.Name)
		return ok && current.Incarnation == vm.Incarnation && current.State != core.VMGone
	}
	for id, vms := range m.clearedFor {
		maps.DeleteFunc(vms, func(_ core.VMName, vm core.VM) bool { return !valid(vm) })
		if len(vms) == 0 {
			delete(m.clearedFor, id)
		}
	}
	maps.DeleteFunc(m.holdings, func(name core.VMName, h memberHoldings) bool {
		return !valid(core.VM{Name: name, Incarnation: h.incarnation})
	})
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
