package query

import (
	"slices"
	"time"

	"gooseberrylane.example/core"
)

// Sizes of the buffers inside shardState, so that most queries need no further allocation per shard.
const (
	inlineReplicas = 3
	inlineOpen     = 2
)

// overdueFactor times the hedging delay is how long an attempt may stay unanswered before its hedge may be charged as a
// retry.
const overdueFactor = 1.5

// maxHedgedAttempts is the number of attempts of one sub-request from which on no hedge is sent.
const maxHedgedAttempts = 6

// replicaUse is the state of one replica within one sub-request.
type replicaUse struct {
	id core.UpstreamID
	// count is the number of attempts at the replica.
	count int
	// excluded means that the replica must not be tried again.
	excluded bool
}

type shardState struct {
	shard core.Shard
	group *core.Group
	tried []replicaUse
	open  []*attemptState
	// attempts counts all attempts, freeRetries the retries that were not charged to the budget.
	attempts, freeRetries int
	hedged                bool
	// overdue is set if the hedging budget was used up when the hedge was due. The hedge may be charged as a retry later.
	overdue bool
	// retryAt is the time of the scheduled retry, or zero. retryUpstream and retryVia, if set, are the upstream that
	// refused the last attempt and the owner that the refusal named.
	retryAt       time.Time
	retryUpstream core.UpstreamID
	retryVia      core.VMName
	hedgeAt       time.Time
	done          bool
	covered       bool
	data          []byte
	// reason is why the shard is not covered, 0 if no attempt failed.
	reason core.Code

	triedBuffer [inlineReplicas]replicaUse
	openBuffer  [inlineOpen]*attemptState
}

// use returns the state of a replica, which has a count of 0 before its first attempt.
func (s *shardState) use(id core.UpstreamID) replicaUse {
	for i := range s.tried {
		if s.tried[i].id == id {
			return s.tried[i]
		}
	}
	return replicaUse{id: id}
}

// countAttempt adds an attempt at a replica.
func (s *shardState) countAttempt(id core.UpstreamID) {
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
		if a.attempt.Upstream == id {
			return true
		}
	}
	return false
}

func (s *shardState) removeOpen(a *attemptState) {
	if i := slices.Index(s.open, a); i >= 0 {
		s.open = slices.Delete(s.open, i, i+1)
	}
}

// recordFailure records a failed attempt for the replica and for the shard. Of several reasons, the one with the highest
// reasonPriority is kept.
func (s *shardState) recordFailure(id core.UpstreamID, code core.Code) {
	if reasonPriority(code) >= reasonPriority(s.reason) {
		s.reason = code
	}
	for i := range s.tried {
		if s.tried[i].id == id {
			s.tried[i].excluded = s.tried[i].excluded || excludes(code)
		}
	}
}

// reasonPriority orders reasons. version_missing, shed and unreachable imply that they apply to all tried replicas, so
// any other failure replaces them.
func reasonPriority(code core.Code) int {
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

// excludes reports whether a replica that failed with the code must not be tried again for the same sub-request, because
// it would refuse again or the refusal redirects to another replica.
func excludes(code core.Code) bool {
	switch code {
	case core.CodeShed, core.CodeOverloaded, core.CodeVersionMissing, core.CodeDraining, core.CodeUnreachable:
		return true
	default:
		return false
	}
}

// send chooses a replica for the next attempt of a sub-request, or ends the sub-request if there is none.
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
		m.cfg.Policies.Hedger.ObserveFirstAttempt(now, m.cfg.Service)
		m.cfg.Policies.Retrier.ObserveFirstAttempt(now, m.cfg.Service)
	}
	m.dispatch(now, index, upstream, via, reason)
	m.scheduleHedge(now, state)
}

func (m *Machine) scheduleHedge(now time.Time, state *shardState) {
	if !m.cfg.Query.Idempotent || state.hedged {
		return
	}
	if delay, ok := m.cfg.Policies.Hedger.Delay(m.cfg.Service, state.shard.Group); ok {
		state.hedgeAt = now.Add(delay)
	}
}

// hedge sends a hedge to a replica that has no open attempt of the sub-request. Selectors prefer untried replicas.
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

// allowHedge charges a hedge to the hedging budget. If that is used up, the attempt gets more time, and then the hedge is
// charged as a retry: an attempt that takes longer than nearly all others is a straggler or has lost its connection, and
// many such attempts at once use up the hedging budget.
func (m *Machine) allowHedge(now time.Time, state *shardState) bool {
	if m.cfg.Policies.Hedger.Allow(now, m.cfg.Service) {
		return true
	}
	if !state.overdue {
		state.overdue = true
		state.hedgeAt = now.Add(time.Duration((overdueFactor - 1) * float64(now.Sub(state.open[0].sent))))
		return false
	}
	failure := Failure{Code: core.CodeDeadlineExceeded, Attempts: state.attempts, FreeRetries: state.freeRetries, TimeLeft: m.cutOff.Sub(now)}
	_, _, ok := m.cfg.Policies.Retrier.Allow(now, m.cfg.Random, m.cfg.Service, failure)
	return ok
}

// dispatch adds an attempt at a given replica.
func (m *Machine) dispatch(now time.Time, index int, upstream *core.Upstream, via core.VMName, reason string) {
	state := &m.shards[index]
	query := &m.cfg.Query
	a := &m.firstAttempts[index]
	if state.attempts > 0 {
		a = new(attemptState)
	}
	*a = attemptState{shard: index, reason: reason, sent: now, attempt: core.Attempt{
		ID: m.cfg.NextAttempt(), Service: query.Service, Request: query.RequestID,
		Shard: state.shard.Name, Upstream: upstream.ID, Version: m.cfg.Version,
		NotAfter: m.cutOff, Idempotent: query.Idempotent, Class: m.cfg.Service.Rule.Class, Caller: query.Caller,
		Via: via, Hedge: reason == reasonHedge, Payload: query.Payload,
	}}
	state.countAttempt(upstream.ID)
	state.open = append(state.open, a)
	state.attempts++
	if query.Explain {
		a.report = len(m.reports)
		m.reports = append(m.reports, core.AttemptReport{
			Shard: state.shard.Name, Upstream: upstream.ID, Reason: reason, Sent: now.Sub(m.started),
		})
	}
	m.attempts[a.attempt.ID] = a
	m.actions = append(m.actions, Action{Kind: ActionSend, Attempt: a.attempt})
}

// choose returns the replica for the next attempt and, if a refusal named an owner, the VM to send it through.
func (m *Machine) choose(now time.Time, state *shardState) (*core.Upstream, core.VMName) {
	candidates := m.usable(state, false)
	if state.retryUpstream != "" {
		to, via := state.retryUpstream, state.retryVia
		state.retryUpstream, state.retryVia = "", ""
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

// usable returns the replicas that may get an attempt: those that hold the pinned version or whose versions are unknown,
// or else all others. If idleOnly is set, replicas with an open attempt are left out. The result is valid until the next
// call.
func (m *Machine) usable(state *shardState, idleOnly bool) []Candidate {
	m.candidates = m.candidates[:0]
	if state.group == nil {
		return nil
	}
	holders := 0
	for i := range state.group.Upstreams {
		upstream := &state.group.Upstreams[i]
		observed := m.cfg.View.State(upstream.ID)
		use := state.use(upstream.ID)
		if !m.isEligible(upstream, observed) || use.excluded || (idleOnly && state.hasOpen(upstream.ID)) {
			continue
		}
		m.candidates = append(m.candidates, Candidate{
			Upstream: upstream, State: observed,
			Local: upstream.Domain == m.cfg.View.Members.Self.Domain, Tried: use.count,
		})
		// Replicas that hold the version, or whose versions are unknown, are moved to the front.
		if window := observed.Window(); window.Newest == 0 || window.Contains(m.cfg.Version) {
			last := len(m.candidates) - 1
			m.candidates[holders], m.candidates[last] = m.candidates[last], m.candidates[holders]
			holders++
		}
	}
	if holders > 0 {
		return m.candidates[:holders]
	}
	return m.candidates
}

// untried returns the usable replicas without an attempt of the sub-request. The result is valid until the next call of
// usable.
func (m *Machine) untried(state *shardState) []Candidate {
	return slices.DeleteFunc(m.usable(state, false), func(c Candidate) bool { return c.Tried > 0 })
}

// isEligible applies the rules that no policy may override: draining replicas get no new work, and the service's rule
// may restrict the failure domains.
func (m *Machine) isEligible(upstream *core.Upstream, observed *core.UpstreamState) bool {
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
