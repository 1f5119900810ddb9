package membership

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"gooseberrylane.example/core"
)

// Paused reports whether this VM did not run for so long that others may have taken over its work. Call it before
// any other event is handled.
func (t *Table) Paused(now time.Time) bool { return now.Sub(t.lastTick) > t.settings.PauseAfter }

// Tick marks that the VM runs. Call it several times in each PauseAfter.
func (t *Table) Tick(now time.Time) {
	t.lastTick = now
	if now.Sub(t.swept) < t.settings.Period {
		return
	}
	t.swept = now
	for name, m := range t.members {
		if !m.listed && now.Sub(m.seen()) >= t.settings.ForgetAfter+t.round() {
			delete(t.members, name)
			delete(t.neighbours, name)
			t.shown.outdated, t.ackedStale = true, true
		}
	}
}

// Contacts returns the members to send a heartbeat to in this period: all of the own failure domain and a few of the
// others. The others are drawn in rounds, so that each is contacted once in every round.
func (t *Table) Contacts(now time.Time, random *rand.Rand) []core.VM {
	var contacts []core.VM
	var gone []core.VMName
	for _, vm := range t.Neighbours(now) {
		if vm.State != core.VMGone {
			contacts = append(contacts, vm)
		}
	}
	for name, m := range t.neighbours {
		if t.stateOf(now, m) == core.VMGone && now.Sub(m.contacted) >= t.settings.RetryGone {
			gone = append(gone, name)
		}
	}
	for _, name := range append(gone, t.drawAcross(random)...) {
		contacts = append(contacts, t.withState(now, t.members[name]))
	}
	for _, vm := range contacts {
		t.members[vm.Name].contacted = now
	}
	return contacts
}

func (t *Table) drawAcross(random *rand.Rand) []core.VMName {
	var drawn []core.VMName
	for len(drawn) < t.settings.Across {
		if len(t.across) == 0 {
			if len(drawn) > 0 || !t.shuffleAcross(random) {
				return drawn
			}
		}
		name := t.across[0]
		t.across = t.across[1:]
		if m := t.members[name]; m != nil && m.vm.Domain != t.self.Domain {
			drawn = append(drawn, name)
		}
	}
	return drawn
}

// shuffleAcross begins a new round and reports whether there is anyone to contact.
func (t *Table) shuffleAcross(random *rand.Rand) bool {
	all := make([]core.VM, 0, len(t.members))
	for _, m := range t.members {
		if m.vm.Domain != t.self.Domain {
			all = append(all, m.vm)
		}
	}
	// The order of a map is random but not from the seed.
	for _, vm := range sorted(all) {
		t.across = append(t.across, vm.Name)
	}
	random.Shuffle(len(t.across), func(i, j int) { t.across[i], t.across[j] = t.across[j], t.across[i] })
	return len(t.across) > 0
}

// round is the longest time between two contacts to the same member of another failure domain.
func (t *Table) round() time.Duration {
	if t.settings.Across <= 0 {
		return 0
	}
	n := len(t.members) - len(t.neighbours)
	// The order differs from round to round, so two contacts can be almost two rounds apart.
	return 2 * time.Duration(n/t.settings.Across+1) * t.settings.Period
}

// wholeListMembers is the number of members up to which VMs tell each other about members of all failure domains. In
// a larger fleet the list takes hundreds of KB and never agrees, because each VM has heard other members of the other
// domains; then VMs tell about their own failure domain only, which each of them hears in full.
const wholeListMembers = 256

// Scoped reports whether digests and lists cover the own failure domain only.
func (t *Table) Scoped() bool { return len(t.members) > wholeListMembers }

// told returns the members that digests and lists may cover.
func (t *Table) told() map[core.VMName]*member {
	if t.Scoped() {
		return t.neighbours
	}
	return t.members
}

// Known returns the members that this VM has heard itself and that are not gone, and the VM itself, ordered by name.
// Only these are told to others, so that members that nobody hears are forgotten.
func (t *Table) Known(now time.Time) []core.VM {
	known := []core.VM{t.self}
	for _, m := range t.told() {
		if !m.heard.IsZero() && t.stateOf(now, m) != core.VMGone {
			known = append(known, t.withState(now, m))
		}
	}
	return sorted(known)
}

// Digest returns a hash of the names and incarnations of Known. Two VMs with the same digest know the same members.
func (t *Table) Digest(now time.Time) uint64 {
	digest := hash(t.self)
	for _, m := range t.told() {
		if !m.heard.IsZero() && t.stateOf(now, m) != core.VMGone {
			digest ^= hash(m.vm)
		}
	}
	return digest
}

// DigestOf returns a hash of the names and incarnations of the members of another failure domain that are not gone. It
// equals the Digest of a member of that domain when both know the same members.
func (t *Table) DigestOf(now time.Time, domain core.FailureDomain) uint64 {
	var digest uint64
	for _, m := range t.members {
		if m.vm.Domain == domain && t.stateOf(now, m) != core.VMGone {
			digest ^= hash(m.vm)
		}
	}
	return digest
}

// RecentDigest returns a digest of the time of the last tick or later. It is computed once for each tick.
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
	// Writes to a digest cannot fail.
	_, _ = d.WriteString(string(vm.Name))
	_, _ = d.Write(number[:])
	return d.Sum64()
}
