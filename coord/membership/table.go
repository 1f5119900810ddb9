// Package membership determines which VMs are members, from the platform's lagging list, direct contact and the reports
// of other members. A Table does no I/O; the time and the random source are passed in.
package membership

import (
	"cmp"
	"slices"
	"time"

	"gooseberrylane.example/core"
)

// Settings are the timing settings of a table.
type Settings struct {
	// Period is the time between heartbeats.
	Period time.Duration
	// SuspectAfter and GoneAfter are the durations of silence after which a member is suspect and gone.
	SuspectAfter, GoneAfter time.Duration
	// PauseAfter is the gap between two ticks of this VM that counts as a pause.
	PauseAfter time.Duration
	// CrossDomainContacts is the number of members of other failure domains contacted in each period.
	CrossDomainContacts int
	// RetryGone is the time between contacts to a gone member.
	RetryGone time.Duration
	// ForgetAfter is the silence after which a member that the platform does not list is forgotten.
	ForgetAfter time.Duration
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		Period: time.Second, SuspectAfter: 3 * time.Second, GoneAfter: 6 * time.Second, PauseAfter: 3 * time.Second,
		CrossDomainContacts: 3, RetryGone: 5 * time.Second, ForgetAfter: time.Minute,
	}
}

// member is the state of one other VM.
type member struct {
	vm      core.VM
	listed  bool
	leaving bool
	// ended is set when the process of this incarnation has certainly ended.
	ended bool
	// lastContact is the time of the last message from the member, zero before the first.
	lastContact time.Time
	// learnedAt is the time at which the incarnation or a new listed address became known.
	learnedAt time.Time
	// lastAcked is the send time of the newest heartbeat that the member acknowledged.
	lastAcked time.Time
	// heartbeatSent is the time of the last heartbeat to the member, acknowledged or not.
	heartbeatSent time.Time
}

// silentSince returns the time from which the silence of the member counts: the later of lastContact and learnedAt.
func (m *member) silentSince() time.Time {
	if m.lastContact.After(m.learnedAt) {
		return m.lastContact
	}
	return m.learnedAt
}

// Table is the member table of one VM. It is not safe for concurrent use.
type Table struct {
	settings Settings
	self     core.VM
	members  map[core.VMName]*member
	// neighbours holds the members of the own failure domain, which are looked up far more often than the others.
	neighbours map[core.VMName]*member
	// uncontacted holds the members of other failure domains that the current round has not contacted yet.
	uncontacted []core.VMName
	lastTick    time.Time
	// lastSweep is the time of the last search for members to forget.
	lastSweep time.Time
	// listedAt is the time of the last platform list, zero before the first.
	listedAt time.Time
	// selfListed is set once a platform list has named this VM.
	selfListed bool
	digest     uint64
	digestAt   time.Time
	cached     cachedList
	// lastAcked is the send time of the newest heartbeat that a neighbour acknowledged; lastAckedStale is set when it
	// has to be computed again.
	lastAcked      time.Time
	lastAckedStale bool
}

// New returns a table that holds only this VM.
func New(settings Settings, self core.VM, now time.Time) *Table {
	return &Table{
		settings: settings, self: self, lastTick: now, lastSweep: now,
		members: make(map[core.VMName]*member), neighbours: make(map[core.VMName]*member),
	}
}

// Self returns this VM.
func (t *Table) Self() core.VM { return t.self }

// Leave marks this VM as leaving.
func (t *Table) Leave() {
	t.self.State = core.VMLeaving
	t.cached.outdated = true
}

// Restart gives this VM a new incarnation, as after a pause. Acknowledgements of the old one no longer count.
func (t *Table) Restart(incarnation core.Incarnation) {
	t.self.Incarnation = max(incarnation, t.self.Incarnation+1)
	t.cached.outdated, t.lastAckedStale = true, true
	for _, m := range t.members {
		m.lastAcked = time.Time{}
	}
}

// Bootstrapped reports whether the table has enough members for claims: another member of the own failure domain, or a
// platform list that names this VM. A list without this VM lags, and may lack other VMs as well.
func (t *Table) Bootstrapped() bool {
	return t.selfListed || len(t.neighbours) > 0
}

// RecordContact records direct contact with a VM: a message with its name, incarnation, address and leaving mark. It
// returns false when the message is of a lower incarnation and must be ignored.
func (t *Table) RecordContact(now time.Time, vm core.VM) bool {
	if vm.Name == t.self.Name || vm.Name == "" {
		return false
	}
	m := t.members[vm.Name]
	if m != nil && vm.Incarnation < m.vm.Incarnation {
		return false
	}
	if m == nil || vm.Incarnation > m.vm.Incarnation {
		m = t.replace(now, m, vm)
	}
	if m.vm.Domain != vm.Domain || m.vm.PeerAddress != vm.PeerAddress {
		t.relocate(m, vm)
	}
	m.lastContact = now
	if m.ended {
		m.ended, t.lastAckedStale = false, true
	}
	// The leaving mark of an incarnation is never cleared, because a delayed message may lack it.
	m.leaving = m.leaving || vm.State == core.VMLeaving
	t.invalidateIfChanged(now, m)
	return true
}

// relocate sets the failure domain and the address of a member.
func (t *Table) relocate(m *member, vm core.VM) {
	m.vm.Domain, m.vm.PeerAddress = vm.Domain, vm.PeerAddress
	if vm.Domain == t.self.Domain {
		t.neighbours[vm.Name] = m
	} else {
		delete(t.neighbours, vm.Name)
	}
	t.cached.outdated, t.lastAckedStale = true, true
}

// replace starts a new incarnation of a member.
func (t *Table) replace(now time.Time, old *member, vm core.VM) *member {
	m := &member{vm: vm, learnedAt: now}
	if old != nil {
		m.listed = old.listed
	}
	m.leaving = vm.State == core.VMLeaving
	t.members[vm.Name] = m
	t.relocate(m, vm)
	return m
}

// Acknowledged records that a member acknowledged a heartbeat that this VM sent at the given time.
func (t *Table) Acknowledged(name core.VMName, sent time.Time) {
	m := t.members[name]
	if m == nil || !sent.After(m.lastAcked) {
		return
	}
	m.lastAcked = sent
	if m.vm.Domain == t.self.Domain && !m.ended && sent.After(t.lastAcked) {
		t.lastAcked = sent
	}
}

// Learn records a VM that another member reported. It adds unknown VMs and newer incarnations only.
func (t *Table) Learn(now time.Time, vm core.VM) {
	if vm.Name == t.self.Name || vm.Name == "" {
		return
	}
	m := t.members[vm.Name]
	if m == nil || vm.Incarnation > m.vm.Incarnation {
		t.replace(now, m, vm)
	}
}

// ReplaceList replaces the platform's list. Entries have the state live or leaving and no incarnation.
func (t *Table) ReplaceList(now time.Time, vms []core.VM) {
	t.listedAt = now
	for _, m := range t.members {
		m.listed = false
	}
	for _, vm := range vms {
		if vm.Name == t.self.Name {
			t.selfListed = true
			continue
		}
		m := t.members[vm.Name]
		if m == nil {
			vm.Incarnation = 0
			m = t.replace(now, nil, vm)
		}
		m.listed = true
		t.adoptListed(now, m, vm)
	}
}

// adoptListed applies the address of a listed VM. The list lags, so the address from direct contact takes precedence.
func (t *Table) adoptListed(now time.Time, m *member, vm core.VM) {
	if t.stateOf(now, m) != core.VMGone && !m.lastContact.IsZero() {
		return
	}
	if vm.PeerAddress != m.vm.PeerAddress {
		m.vm.PeerAddress, m.ended, m.learnedAt = vm.PeerAddress, false, now
		t.cached.outdated, t.lastAckedStale = true, true
	}
}

// MarkEnded records that the process of a member has ended: its address refused a connection, or it sent Left.
func (t *Table) MarkEnded(name core.VMName, address string) {
	m := t.members[name]
	if m == nil || m.vm.PeerAddress != address || m.ended {
		return
	}
	m.ended = true
	t.cached.outdated, t.lastAckedStale = true, true
}

// Age returns how long a member has been silent.
func (t *Table) Age(now time.Time, name core.VMName) (time.Duration, bool) {
	m := t.members[name]
	if m == nil {
		return 0, false
	}
	return now.Sub(m.silentSince()), true
}

// LastAcknowledged returns the send time of the newest heartbeat that a member of the own failure domain acknowledged;
// zero when there is none.
func (t *Table) LastAcknowledged() time.Time {
	if !t.lastAckedStale {
		return t.lastAcked
	}
	t.lastAcked, t.lastAckedStale = time.Time{}, false
	for _, m := range t.neighbours {
		if !m.ended && m.lastAcked.After(t.lastAcked) {
			t.lastAcked = m.lastAcked
		}
	}
	return t.lastAcked
}

// SoleSurvivor reports whether every other member of the own failure domain has certainly ended. A member that the
// platform does not list counts as ended if it had been silent for GoneAfter at the time of the list.
func (t *Table) SoleSurvivor() bool {
	for _, m := range t.neighbours {
		delisted := !m.listed && t.listedAt.Sub(m.silentSince()) >= t.settings.GoneAfter
		if !m.ended && !delisted {
			return false
		}
	}
	return true
}

// Neighbours returns the other members of the own failure domain, ordered by name. It includes gone members, but not
// those that have certainly ended.
func (t *Table) Neighbours(now time.Time) []core.VM {
	var vms []core.VM
	for _, m := range t.neighbours {
		if !m.ended {
			vms = append(vms, t.withState(now, m))
		}
	}
	return sorted(vms)
}

// Find returns a member with its state at a time.
func (t *Table) Find(now time.Time, name core.VMName) (core.VM, bool) {
	m := t.members[name]
	if m == nil {
		return core.VM{}, false
	}
	return t.withState(now, m), true
}

func sorted(vms []core.VM) []core.VM {
	slices.SortFunc(vms, func(a, b core.VM) int { return cmp.Compare(a.Name, b.Name) })
	return vms
}

func (t *Table) withState(now time.Time, m *member) core.VM {
	vm := m.vm
	vm.State = t.stateOf(now, m)
	return vm
}

// stateOf applies the silence thresholds. A member of another failure domain is contacted only once a round, so
// maxContactGap is added to its thresholds.
func (t *Table) stateOf(now time.Time, m *member) core.VMState {
	state, _ := t.stateUntil(now, m)
	return state
}

// stateUntil returns the state of a member at a time and how long it lasts without further contact; 0 means forever.
func (t *Table) stateUntil(now time.Time, m *member) (core.VMState, time.Duration) {
	if m.ended {
		return core.VMGone, 0
	}
	silent := now.Sub(m.silentSince())
	if m.vm.Domain != t.self.Domain {
		silent -= t.maxContactGap()
	}
	switch {
	case silent >= t.settings.GoneAfter:
		return core.VMGone, 0
	case silent >= t.settings.SuspectAfter:
		return core.VMSuspect, t.settings.GoneAfter - silent
	case m.leaving:
		return core.VMLeaving, t.settings.SuspectAfter - silent
	default:
		return core.VMLive, t.settings.SuspectAfter - silent
	}
}
