package ownership

import (
	"time"

	"gooseberrylane.example/core"
)

func (m *Machine) beginClaim(id core.UpstreamID) {
	m.round++
	m.claims[id] = &claim{round: m.round, cleared: make(map[core.VMName]core.Incarnation), ages: make(map[core.VMName]ageReport)}
}

// sendClaims sends the open claims that are due. A claim is sent again to all members, including those that cleared it,
// to update their reports of the silence of others.
func (m *Machine) sendClaims(now time.Time, a *Actions) {
	var claimed []ClaimedUpstream
	for _, id := range sortedKeys(m.claims) {
		c := m.claims[id]
		if !c.sent.IsZero() && now.Sub(c.sent) < m.settings.Retry {
			continue
		}
		c.sent = now
		claimed = append(claimed, ClaimedUpstream{Upstream: id, Round: c.round})
	}
	if len(claimed) == 0 {
		return
	}
	message := Claim{From: m.table.Self(), Upstreams: claimed, Digest: m.table.Digest(now)}
	neighbours := m.table.Neighbours(now)
	for i := range neighbours {
		if neighbours[i].State != core.VMLive && neighbours[i].State != core.VMLeaving {
			message.Silent = append(message.Silent, neighbours[i].Name)
		}
	}
	for i := range neighbours {
		if neighbours[i].State != core.VMGone {
			a.send(neighbours[i], message)
		}
	}
}

// completeClaims takes ownership of the upstreams whose claims are complete.
func (m *Machine) completeClaims(now time.Time, a *Actions) {
	if !m.mayClaim(now) {
		return
	}
	neighbours := m.table.Neighbours(now)
	for _, id := range sortedKeys(m.claims) {
		c := m.claims[id]
		if !m.isComplete(now, c, neighbours) {
			continue
		}
		delete(m.claims, id)
		m.held[id] = c.cleared
		m.version++
		a.Changed = true
	}
}

// isComplete reports whether every neighbour has cleared a claim or is fenced.
func (m *Machine) isComplete(now time.Time, c *claim, neighbours []core.VM) bool {
	if c.sent.IsZero() {
		return false
	}
	for i := range neighbours {
		vm := &neighbours[i]
		if incarnation, ok := c.cleared[vm.Name]; ok && incarnation == vm.Incarnation {
			continue
		}
		if !m.fenced(now, c, vm) {
			return false
		}
	}
	return true
}

// fenced reports whether a neighbour has been silent to all members for so long that it no longer uses its upstreams.
func (m *Machine) fenced(now time.Time, c *claim, vm *core.VM) bool {
	age, known := m.table.Age(now, vm.Name)
	if !known || age < m.settings.FenceAfter {
		return false
	}
	for name, reported := range c.ages {
		if silence, ok := m.table.Age(now, name); !ok || silence >= m.settings.FenceAfter {
			// The reporting member has been silent since, so its report is stale.
			continue
		}
		age, listed := reported.ages[vm.Name]
		if !reported.included || (listed && age < m.settings.FenceAfter) {
			return false
		}
	}
	return true
}

// OnClaim answers a claim. Record the contact with the sender in the member table first.
func (m *Machine) OnClaim(now time.Time, message Claim) Actions {
	var a Actions
	if message.From.Domain != m.table.Self().Domain {
		return a
	}
	answers := make([]Answer, len(message.Upstreams))
	for i, claimed := range message.Upstreams {
		answers[i] = m.decide(now, &a, message.From, claimed)
	}
	reply := Clear{From: m.table.Self(), To: message.From.Incarnation, Answers: answers}
	if len(message.Silent) > 0 || message.Digest != m.table.Digest(now) {
		reply.HasAges, reply.Ages = true, m.ages(now)
	}
	a.send(message.From, reply)
	return a
}

// decide answers the claim of one upstream. Two claimants of an upstream both decide for the one with the higher score.
func (m *Machine) decide(now time.Time, a *Actions, from core.VM, claimed ClaimedUpstream) Answer {
	id := claimed.Upstream
	answer := Answer{Upstream: id, Round: claimed.Round, Verdict: VerdictCleared}
	outranks := !m.leaving && m.assignment.Outranks(id, m.table.Self().Name, from.Name)
	if m.held[id] != nil {
		if outranks {
			answer.Verdict = VerdictDenied
			return answer
		}
		m.release(a, id)
	}
	if waiting := m.releasing[id]; waiting != nil {
		waiting[from.Name] = waiter{vm: from, round: claimed.Round}
		answer.Verdict = VerdictPending
		return answer
	}
	if m.claims[id] != nil {
		if outranks {
			answer.Verdict = VerdictDenied
			return answer
		}
		delete(m.claims, id)
		a.Changed = true
	}
	answer.Others = m.possibleHolders(now, id, from.Name)
	m.recordCleared(id, from)
	return answer
}

func (m *Machine) recordCleared(id core.UpstreamID, vm core.VM) {
	if m.clearedFor[id] == nil {
		m.clearedFor[id] = make(map[core.VMName]core.VM)
	}
	m.clearedFor[id][vm.Name] = vm
}

// possibleHolders returns the VMs that this VM cleared an upstream for or that reported that they hold it.
func (m *Machine) possibleHolders(now time.Time, id core.UpstreamID, except core.VMName) []core.VM {
	found := make(map[core.VMName]core.VM)
	for name, vm := range m.clearedFor[id] {
		found[name] = vm
	}
	for name, h := range m.holdings {
		if vm, ok := m.table.Find(now, name); h.upstreams[id] && ok {
			found[name] = vm
		}
	}
	delete(found, except)
	var list []core.VM
	for _, name := range sortedKeys(found) {
		list = append(list, found[name])
	}
	return list
}

// ages lists the neighbours that this VM had contact with within FenceAfter.
func (m *Machine) ages(now time.Time) []Age {
	var ages []Age
	for _, vm := range m.table.Neighbours(now) {
		if age, ok := m.table.Age(now, vm.Name); ok && age < m.settings.FenceAfter {
			ages = append(ages, Age{VM: vm, Age: age})
		}
	}
	return ages
}

// OnClear handles the answer to a claim. VMs in the answer become members, which have to clear the claim as well.
func (m *Machine) OnClear(now time.Time, message Clear) Actions {
	var a Actions
	if message.To != m.table.Self().Incarnation {
		return a
	}
	reported := ageReport{included: message.HasAges, ages: make(map[core.VMName]time.Duration, len(message.Ages))}
	for _, age := range message.Ages {
		m.table.Learn(now, age.VM)
		reported.ages[age.VM.Name] = age.Age
	}
	for _, answer := range message.Answers {
		for _, vm := range answer.Others {
			m.table.Learn(now, vm)
		}
		c := m.claims[answer.Upstream]
		if c == nil || c.round != answer.Round {
			continue
		}
		c.ages[message.From.Name] = reported
		if answer.Verdict == VerdictCleared {
			c.cleared[message.From.Name] = message.From.Incarnation
		} else {
			delete(c.cleared, message.From.Name)
		}
	}
	m.completeClaims(now, &a)
	return a
}

// NeedsHoldings reports whether this VM lacks the given version of the holdings of a member.
func (m *Machine) NeedsHoldings(vm core.VM, version uint64) bool {
	h, known := m.holdings[vm.Name]
	if !known || h.incarnation != vm.Incarnation {
		return version != 0
	}
	return h.version < version
}

// OnHoldings records what a member holds. When two VMs hold the same upstream, the one with the lower score
// releases it.
func (m *Machine) OnHoldings(now time.Time, message Holdings) Actions {
	var a Actions
	old, known := m.holdings[message.From.Name]
	if message.From.Domain != m.table.Self().Domain || (known && old.incarnation == message.From.Incarnation && old.version > message.Version) {
		return a
	}
	h := memberHoldings{incarnation: message.From.Incarnation, version: message.Version, upstreams: make(map[core.UpstreamID]bool, len(message.Upstreams))}
	for _, id := range message.Upstreams {
		h.upstreams[id] = true
		m.yield(&a, id, message.From)
		m.contest(now, &a, id, message.From)
	}
	m.holdings[message.From.Name] = h
	a.Changed = true
	return a
}

// yield releases an upstream that a rival with a higher score also holds. If the rival cleared this VM's claim, the
// report that it holds the upstream is stale.
func (m *Machine) yield(a *Actions, id core.UpstreamID, rival core.VM) {
	clearedBy := m.held[id]
	if clearedBy == nil {
		return
	}
	if incarnation, ok := clearedBy[rival.Name]; ok && incarnation >= rival.Incarnation {
		return
	}
	if m.assignment.Outranks(id, rival.Name, m.table.Self().Name) {
		m.release(a, id)
	}
}

// contest reports the holder with the higher score to the other one when two members hold the same upstream.
func (m *Machine) contest(now time.Time, a *Actions, id core.UpstreamID, from core.VM) {
	for name, h := range m.holdings {
		if name == from.Name || !h.upstreams[id] {
			continue
		}
		vm, ok := m.table.Find(now, name)
		if !ok {
			continue
		}
		low, high := from, vm
		if m.assignment.Outranks(id, low.Name, high.Name) {
			low, high = high, low
		}
		a.send(low, Contest{From: m.table.Self(), To: low.Incarnation, Upstream: id, Rival: high})
	}
}

// OnContest handles a member's report that a rival holds the same upstream.
func (m *Machine) OnContest(message Contest) Actions {
	var a Actions
	if message.To == m.table.Self().Incarnation {
		m.yield(&a, message.Upstream, message.Rival)
	}
	return a
}
