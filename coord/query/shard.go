package query

import (
	"slices"
	"time"

	"gooseberrylane.example/core"
)

// Space inside a shard's state, so that the usual query allocates nothing per shard for it.
const (
	usualReplicas = 3
	usualOpen     = 2
)

// overdueFactor is how many times longer than the hedging delay an attempt may be silent before a retry is spent on it.
const overdueFactor = 1.5

// maxHedgedAttempts bounds the attempts of one sub-request that second requests bring it to.
const maxHedgedAttempts = 6

// replicaUse is what one sub-request knows of one replica.
type replicaUse struct {
	id    core.UpstreamID
	count int
	// excluded replicas must not be tried again.
	excluded bool
}

type shardState struct {
	shard core.Shard
	group *core.Group
	tried []replicaUse
	open  []*attempt
	// attempts counts all attempts, free those retries that cost no upstream anything.
	attempts, free int
	hedged         bool
	// overdue is set when the hedging budget did not allow a second request and a retry may be spent on it.
	overdue bool
	// sendAt is the time of the next attempt, zero when none is planned. sendTo and sendVia, when set, are the upstream
	// and the owner that the last refusal named.
	sendAt  time.Time
	sendTo  core.UpstreamID
	sendVia core.VMName
	hedgeAt time.Time
	done    bool
	covered bool
	data    []byte
	// reason is why the shard is not covered, 0 while nothing failed.
	reason core.Code

	triedSpace [usualReplicas]replicaUse
	openSpace  [usualOpen]*attempt
}

func (s *shardState) use(id core.UpstreamID) replicaUse {
	for i := range s.tried {
		if s.tried[i].id == id {
			return s.tried[i]
		}
	}
	return replicaUse{id: id}
}

func (s *shardState) count(id core.UpstreamID) {
	for i := range s.tried {
		if s.tried[i].id == id {
			s.tried[i].count++
			return
		}
	}
	s.tried = append(s.tried, replicaUse{id: id, count: 1})
}

func (s *shardState) hasOpen(id core.UpstreamID) bool {
	for _, a := range s.open {
		if a.leg.Upstream == id {
			return true
		}
	}
	return false
}

func (s *shardState) forget(a *attempt) {
	if i := slices.Index(s.open, a); i >= 0 {
		s.open = slices.Delete(s.open, i, i+1)
	}
}

// note stores what a failed attempt tells about the replica and about the shard. Of several reasons the one that
// claims least about replicas that were not heard stays.
func (s *shardState) note(id core.UpstreamID, code core.Code) {
	if weight(code) >= weight(s.reason) {
		s.reason = code
	}
	for i := range s.tried {
		if s.tried[i].id == id {
			s.tried[i].excluded = s.tried[i].excluded || excludes(code)
		}
	}
}

// weight orders reasons: version_missing, shed and unreachable apply to all replicas that were tried, so any other
// failure replaces them.
func weight(code core.Code) int {
	switch code {
	case 0:
		return 0
	case core.CodeCancelled:
		return 1
	case core.CodeVersionMissing:
		return 2
	case core.CodeUnreachable, core.CodeNotOwner, core.CodeDraining:
		return 3
	case core.CodeShed, core.CodeOverloaded:
		return 4
	default:
		return 5
	}
}

// excludes reports whether a replica that failed with the code must not be tried again for the same sub-request: it
// would refuse again, or the refusal asks to go elsewhere.
func excludes(code core.Code) bool {
	switch code {
	case core.CodeShed, core.CodeOverloaded, core.CodeVersionMissing, core.CodeDraining, core.CodeUnreachable:
		return true
	default:
		return false
	}
}

func (m *Machine) send(now time.Time, index int, reason string) {
	state := &m.shards[index]
	upstream, via := m.choose(now, state)
	if upstream == nil {
		if state.attempts == 0 {
			state.reason = m.noReplicaReason(state)
		}
		m.finish(state)
		return
	}
	if reason == reasonFirst {
		m.cfg.Policies.Hedger.ObserveLeg(now, m.cfg.Service)
		m.cfg.Policies.Retrier.ObserveLeg(now, m.cfg.Service)
	}
	m.dispatch(now, index, upstream, via, reason)
	m.planHedge(now, state)
}

func (m *Machine) planHedge(now time.Time, state *shardState) {
	if !m.cfg.Query.Idempotent || state.hedged {
		return
	}
	if delay, ok := m.cfg.Policies.Hedger.Delay(m.cfg.Service, state.shard.Group); ok {
		state.hedgeAt = now.Add(delay)
	}
}

// hedge sends a second request to a replica that has no open attempt of the sub-request. Selectors prefer those that
// were not tried.
func (m *Machine) hedge(now time.Time, index int) {
	state := &m.shards[index]
	if len(state.open) == 0 || state.hedged || state.attempts >= maxHedgedAttempts {
		return
	}
	upstream := m.selectFrom(now, m.usable(state, true))
	if upstream == nil || !m.allowHedge(now, state) {
		return
	}
	state.hedged = true
	m.dispatch(now, index, upstream, "", reasonHedge)
}

// allowHedge spends a second request from the hedging budget. When that is used up, the attempt gets more time, and then
// a retry is spent: an attempt that is silent for longer than nearly all others is a straggler or has lost its
// connection, and many of them at once use up the hedging budget.
func (m *Machine) allowHedge(now time.Time, state *shardState) bool {
	if m.cfg.Policies.Hedger.Allow(now, m.cfg.Service) {
		return true
	}
	if !state.overdue {
		state.overdue = true
		state.hedgeAt = now.Add(time.Duration((overdueFactor - 1) * float64(now.Sub(state.open[0].sent))))
		return false
	}
	failure := Failure{Code: core.CodeDeadlineExceeded, Attempts: state.attempts, Free: state.free, Left: m.cutOff.Sub(now)}
	_, _, ok := m.cfg.Policies.Retrier.Allow(now, m.cfg.Random, m.cfg.Service, failure)
	return ok
}

func (m *Machine) dispatch(now time.Time, index int, upstream *core.Upstream, via core.VMName, reason string) {
	state := &m.shards[index]
	query := &m.cfg.Query
	a := &m.firsts[index]
	if state.attempts > 0 {
		a = new(attempt)
	}
	*a = attempt{shard: index, reason: reason, sent: now, leg: core.Leg{
		Attempt: m.cfg.NextAttempt(), Service: query.Service, Request: query.RequestID,
		Shard: state.shard.Name, Upstream: upstream.ID, Version: m.cfg.Version,
		NotAfter: m.cutOff, Idempotent: query.Idempotent, Class: m.cfg.Service.Rule.Class, Caller: query.Caller,
		Via: via, Hedge: reason == reasonHedge, Payload: query.Payload,
	}}
	state.count(upstream.ID)
	state.open = append(state.open, a)
	state.attempts++
	if query.Explain {
		a.report = len(m.reports)
		m.reports = append(m.reports, core.AttemptReport{
			Shard: state.shard.Name, Upstream: upstream.ID, Reason: reason, Sent: now.Sub(m.started),
		})
	}
	m.attempts[a.leg.Attempt] = a
	m.actions = append(m.actions, Action{Kind: ActionSend, Leg: a.leg})
}

// choose returns the replica for the next attempt, and the VM to send it to when a refusal named one.
func (m *Machine) choose(now time.Time, state *shardState) (*core.Upstream, core.VMName) {
	candidates := m.usable(state, false)
	if state.sendTo != "" {
		to, via := state.sendTo, state.sendVia
		state.sendTo, state.sendVia = "", ""
		for i := range candidates {
			if candidates[i].Upstream.ID == to {
				return candidates[i].Upstream, via
			}
		}
	}
	return m.selectFrom(now, candidates), ""
}

func (m *Machine) selectFrom(now time.Time, candidates []Candidate) *core.Upstream {
	if len(candidates) == 0 {
		return nil
	}
	chosen := m.cfg.Policies.Selector.Select(now, m.cfg.Random, candidates)
	if chosen < 0 {
		return nil
	}
	return candidates[chosen].Upstream
}

// usable returns the replicas that may get an attempt: those that hold the pinned version as far as is known, else
// those that may reach it. With idle, replicas with an open attempt are left out. The result is valid until the next
// call.
func (m *Machine) usable(state *shardState, idle bool) []Candidate {
	m.candidates = m.candidates[:0]
	if state.group == nil {
		return nil
	}
	holds := 0
	for i := range state.group.Upstreams {
		upstream := &state.group.Upstreams[i]
		observed := m.cfg.View.State(upstream.ID)
		use := state.use(upstream.ID)
		if !m.mayUse(upstream, observed) || use.excluded || (idle && state.hasOpen(upstream.ID)) {
			continue
		}
		m.candidates = append(m.candidates, Candidate{
			Upstream: upstream, State: observed,
			Local: upstream.Domain == m.cfg.View.Members.Self.Domain, Tried: use.count,
		})
		// Replicas that hold the version are kept at the front.
		if window := observed.Window(); window.Newest == 0 || window.Holds(m.cfg.Version) {
			last := len(m.candidates) - 1
			m.candidates[holds], m.candidates[last] = m.candidates[last], m.candidates[holds]
			holds++
		}
	}
	if holds > 0 {
		return m.candidates[:holds]
	}
	return m.candidates
}

// untried returns the usable replicas that the sub-request did not try. The result is valid until the next call of usable.
func (m *Machine) untried(state *shardState) []Candidate {
	return slices.DeleteFunc(m.usable(state, false), func(c Candidate) bool { return c.Tried > 0 })
}

// mayUse applies what no policy may override: draining replicas get no new work, and rules bound the reach.
func (m *Machine) mayUse(upstream *core.Upstream, observed *core.UpstreamState) bool {
	if upstream.Draining || observed == nil || observed.DrainSince.Load() != 0 {
		return false
	}
	domains := m.cfg.Service.Rule.Domains
	return len(domains) == 0 || slices.Contains(domains, upstream.Domain)
}

func (m *Machine) noReplicaReason(state *shardState) core.Code {
	if state.group == nil || len(state.group.Upstreams) == 0 || len(m.cfg.Service.Rule.Domains) == 0 {
		return core.CodeNoReplica
	}
	for i := range state.group.Upstreams {
		if slices.Contains(m.cfg.Service.Rule.Domains, state.group.Upstreams[i].Domain) {
			return core.CodeNoReplica
		}
	}
	return core.CodeOutOfReach
}
