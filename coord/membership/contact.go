package membership

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"gooseberrylane.example/core"
)

// Paused reports whether this VM was suspended for so long that other VMs may have taken over its upstreams. Call it
// before any other event is handled.
func (t *Table) Paused(now time.Time) bool { return now.Sub(t.lastTick) > t.settings.PauseAfter }

// Tick records that this VM is running and removes forgotten members. Call it several times in each PauseAfter.
func (t *Table) Tick(now time.Time) {
	t.lastTick = now
	if now.Sub(t.lastSweep) < t.settings.Period {
		return
	}
	t.lastSweep = now
	for name, m := range t.members {
		if !m.listed && now.Sub(m.silentSince()) >= t.settings.ForgetAfter+t.maxContactGap() {
			delete(t.members, name)
			delete(t.neighbours, name)
			t.cached.outdated, t.lastAckedStale = true, true
		}
	}
}

// Contacts returns the members to send a heartbeat to in this period: all members of the own failure domain and a few
// of other domains. Gone members of the own domain are contacted at intervals of RetryGone. Members of other domains are
// drawn in rounds, so that each is contacted once a round.
func (t *Table) Contacts(now time.Time, random *rand.Rand) []core.VM {
	var contacts []core.VM
	var gone []core.VMName
	for _, vm := range t.Neighbours(now) {
		if vm.State != core.VMGone {
			contacts = append(contacts, vm)
		}
	}
	for name, m := range t.neighbours {
		if t.stateOf(now, m) == core.VMGone && now.Sub(m.heartbeatSent) >= t.settings.RetryGone {
			gone = append(gone, name)
		}
	}
	for _, name := range append(gone, t.drawUncontacted(random)...) {
		contacts = append(contacts, t.withState(now, t.members[name]))
	}
	for _, vm := range contacts {
		t.members[vm.Name].heartbeatSent = now
	}
	return contacts
}

// drawUncontacted draws members of other failure domains from the current round. A new round starts only with the first
// draw of a period, so that no member is drawn twice in one period.
func (t *Table) drawUncontacted(random *rand.Rand) []core.VMName {
	var drawn []core.VMName
	for len(drawn) < t.settings.CrossDomainContacts {
		if len(t.uncontacted) == 0 {
			if len(drawn) > 0 || !t.startRound(random) {
				return drawn
			}
		}
		name := t.uncontacted[0]
		t.uncontacted = t.uncontacted[1:]
		if m := t.members[name]; m != nil && m.vm.Domain != t.self.Domain {
			drawn = append(drawn, name)
		}
	}
	return drawn
}

// startRound starts a new round and reports whether other failure domains have any members.
func (t *Table) startRound(random *rand.Rand) bool {
	all := make([]core.VM, 0, len(t.members))
	for _, m := range t.members {
		if m.vm.Domain != t.self.Domain {
			all = append(all, m.vm)
		}
	}
	// Map iteration order does not come from the seed, so the members are sorted before they are shuffled.
	for _, vm := range sorted(all) {
		t.uncontacted = append(t.uncontacted, vm.Name)
	}
	random.Shuffle(len(t.uncontacted), func(i, j int) { t.uncontacted[i], t.uncontacted[j] = t.uncontacted[j], t.uncontacted[i] })
	return len(t.uncontacted) > 0
}

// maxContactGap is the longest time between two contacts to the same member of another failure domain.
func (t *Table) maxContactGap() time.Duration {
	if t.settings.CrossDomainContacts <= 0 {
		return 0
	}
	n := len(t.members) - len(t.neighbours)
	// The order differs between rounds, so two contacts can be almost two rounds apart.
	return 2 * time.Duration(n/t.settings.CrossDomainContacts+1) * t.settings.Period
}

// maxUnscopedMembers is the number of members up to which digests and lists cover all failure domains. In a larger
// fleet such a list takes hundreds of KB and never converges, because each VM is in direct contact with different
// members of the other domains. Digests and lists then cover only the own failure domain, all of whose members are in
// direct contact.
const maxUnscopedMembers = 256

// DomainScoped reports whether digests and lists cover the own failure domain only.
func (t *Table) DomainScoped() bool { return len(t.members) > maxUnscopedMembers }

// scope returns the members that digests and lists may cover.
func (t *Table) scope() map[core.VMName]*member {
	if t.DomainScoped() {
		return t.neighbours
	}
	return t.members
}

// DirectMembers returns this VM and the members that it has been in direct contact with and that are not gone,
// ordered by name. Only these are reported to others, so that a member without direct contact to any VM is forgotten.
func (t *Table) DirectMembers(now time.Time) []core.VM {
	direct := []core.VM{t.self}
	for _, m := range t.scope() {
		if !m.lastContact.IsZero() && t.stateOf(now, m) != core.VMGone {
			direct = append(direct, t.withState(now, m))
		}
	}
	return sorted(direct)
}

// Digest returns a hash of the names and incarnations of DirectMembers. Two VMs with the same digest are assumed to have
// the same DirectMembers.
func (t *Table) Digest(now time.Time) uint64 {
	digest := hash(t.self)
	for _, m := range t.scope() {
		if !m.lastContact.IsZero() && t.stateOf(now, m) != core.VMGone {
			digest ^= hash(m.vm)
		}
	}
	return digest
}

// DomainDigest returns a hash of the names and incarnations of the members of another failure domain that are not gone.
// It equals the Digest of a member of that domain when both have the same members.
func (t *Table) DomainDigest(now time.Time, domain core.FailureDomain) uint64 {
	var digest uint64
	for _, m := range t.members {
		if m.vm.Domain == domain && t.stateOf(now, m) != core.VMGone {
			digest ^= hash(m.vm)
		}
	}
	return digest
}

// RecentDigest returns the digest as of the last tick or later. It is computed at most once a tick.
func (t *Table) RecentDigest(now time.Time) uint64 {
	if t.digestAt.IsZero() || t.digestAt.Before(t.lastTick) {
		t.digest, t.digestAt = t.Digest(now), now
	}
	return t.digest
}

func hash(vm core.VM) uint64 {
	var d xxhash.Digest
	d.Reset()
	var number [8]byte
	for i := range number {
		number[i] = byte(vm.Incarnation >> (8 * i))
	}
	// Writes to an xxhash digest never fail.
	_, _ = d.WriteString(string(vm.Name))
	_, _ = d.Write(number[:])
	return d.Sum64()
}
