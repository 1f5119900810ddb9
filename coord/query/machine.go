// Package query decides, step by step, how one query runs: which sub-requests to send where, when to hedge, retry and
// give up, and what the answer may claim. A Machine does no I/O; it takes events and returns actions.
package query

import (
	"math/rand/v2"
	"slices"
	"time"

	"gooseberrylane.example/core"
)

// ActionKind tells what the driver of a machine has to do.
type ActionKind int

// Action kinds.
const (
	// ActionSend asks to send Leg.
	ActionSend ActionKind = iota + 1
	// ActionCancel asks to cancel the attempt of Leg at its upstream.
	ActionCancel
)

// Action is one step for the driver.
type Action struct {
	Kind ActionKind
	Leg  core.Leg
}

// Config is the fixed input of a machine.
type Config struct {
	Query core.Query
	// Service is the definition in force; it belongs to View.
	Service *core.Service
	View    *core.View
	// Version is the pinned index version; 0 lets the first result decide is not allowed for more than one shard.
	Version  core.IndexVersion
	Shards   []core.Shard
	Policies Policies
	Random   *rand.Rand
	// NextAttempt returns a new, never reused attempt ID.
	NextAttempt func() core.AttemptID
	// Margin is the time kept back before the deadline for returning the answer.
	Margin time.Duration
}

type attempt struct {
	leg    core.Leg
	shard  int
	reason string
	sent   time.Time
	report int
}

type shardState struct {
	shard    core.Shard
	group    *core.Group
	tried    map[core.UpstreamID]int
	open     int
	attempts int
	hedged   bool
	// sendAt is the time of the next attempt, zero when none is planned.
	sendAt  time.Time
	hedgeAt time.Time
	done    bool
	covered bool
	data    []byte
	reason  core.Code
	// exclude holds replicas that must not be tried again for this shard.
	exclude map[core.UpstreamID]bool
}

// Machine is the state of one query. It is not safe for concurrent use.
type Machine struct {
	cfg      Config
	started  time.Time
	cutOff   time.Time
	shards   []shardState
	attempts map[core.AttemptID]*attempt
	left     int
	reports  []core.AttemptReport
	actions  []Action
	unknown  bool
	ended    bool
}

// New returns a machine for one query.
func New(cfg Config) *Machine {
	return &Machine{cfg: cfg, attempts: make(map[core.AttemptID]*attempt, len(cfg.Shards))}
}

// Start begins the query and returns the first actions.
func (m *Machine) Start(now time.Time) []Action {
	m.started = now
	m.cutOff = m.cfg.Query.Deadline.Add(-m.cfg.Margin)
	m.shards = make([]shardState, len(m.cfg.Shards))
	m.left = len(m.shards)
	for i, shard := range m.cfg.Shards {
		state := &m.shards[i]
		state.shard = shard
		state.group = m.cfg.Service.Group(shard.Group)
		state.reason = core.CodeDeadlineExceeded
	}
	for i := range m.shards {
		m.send(now, i, "first")
	}
	return m.flush()
}

// Result handles the result of one attempt. A result of an unknown or finished attempt changes nothing.
func (m *Machine) Result(now time.Time, result core.LegResult) []Action {
	a, ok := m.attempts[result.Attempt]
	if !ok || m.ended {
		return nil
	}
	delete(m.attempts, result.Attempt)
	m.endReport(now, a, result)
	state := &m.shards[a.shard]
	state.open--
	if state.done {
		return m.flush()
	}
	if result.Outcome == core.OutcomeRan && result.Code == core.CodeOK {
		m.cover(now, a, result)
		return m.flush()
	}
	m.fail(now, a, result)
	return m.flush()
}

// Wake handles the passing of time. Call it at the time that NextWake returned.
func (m *Machine) Wake(now time.Time) []Action {
	if m.ended {
		return nil
	}
	if !now.Before(m.cutOff) {
		m.giveUpAll(core.CodeDeadlineExceeded)
		return m.flush()
	}
	for i := range m.shards {
		state := &m.shards[i]
		if state.done {
			continue
		}
		if !state.sendAt.IsZero() && !now.Before(state.sendAt) {
			state.sendAt = time.Time{}
			m.send(now, i, "retry")
		}
		if !state.done && !state.hedgeAt.IsZero() && !now.Before(state.hedgeAt) {
			state.hedgeAt = time.Time{}
			m.hedge(now, i)
		}
	}
	return m.flush()
}

// Abort ends the query early, for example because the caller went away.
func (m *Machine) Abort(reason core.Code) []Action {
	if m.ended {
		return nil
	}
	m.giveUpAll(reason)
	return m.flush()
}

// NextWake returns the time of the next Wake.
func (m *Machine) NextWake() time.Time {
	next := m.cutOff
	for i := range m.shards {
		state := &m.shards[i]
		if state.done {
			continue
		}
		if !state.sendAt.IsZero() && state.sendAt.Before(next) {
			next = state.sendAt
		}
		if !state.hedgeAt.IsZero() && state.hedgeAt.Before(next) {
			next = state.hedgeAt
		}
	}
	return next
}

// Done reports whether the answer is final.
func (m *Machine) Done() bool { return m.left == 0 }

// Answer returns the answer. It is complete once Done is true.
func (m *Machine) Answer() core.Answer {
	answer := core.Answer{
		RequestID: m.cfg.Query.RequestID,
		Version:   m.cfg.Version,
		Revision:  m.cfg.View.Config.Revision,
	}
	for i := range m.shards {
		state := &m.shards[i]
		if state.covered {
			answer.Covered = append(answer.Covered, core.ShardResult{Shard: state.shard.Name, Data: state.data})
		} else {
			answer.Missing = append(answer.Missing, core.MissingShard{Shard: state.shard.Name, Reason: state.reason})
		}
	}
	answer.Code = m.answerCode(&answer)
	if m.cfg.View.Stale {
		answer.Notes = append(answer.Notes, core.CodeConfigurationStale)
	}
	if m.cfg.Query.Explain {
		answer.Attempts = slices.Clone(m.reports)
	}
	return answer
}

func (m *Machine) answerCode(answer *core.Answer) core.Code {
	switch {
	case len(answer.Missing) == 0:
		return core.CodeOK
	case !m.cfg.Query.Idempotent && m.unknown:
		return core.CodeOutcomeUnknown
	case !m.cfg.Query.Idempotent:
		return notRunCode(answer.Missing[0].Reason)
	default:
		return core.CodePartial
	}
}

// notRunCode keeps a reason that proves that nothing ran, and maps other reasons to CodeNotRun.
func notRunCode(reason core.Code) core.Code {
	if reason.IsNotRun() || reason == core.CodeUpstreamError {
		return reason
	}
	return core.CodeNotRun
}

func (m *Machine) send(now time.Time, index int, reason string) {
	state := &m.shards[index]
	upstream := m.choose(now, state)
	if upstream == nil {
		m.noReplica(state)
		return
	}
	if reason == "first" {
		m.cfg.Policies.Hedger.ObserveLeg(now, m.cfg.Service)
		m.cfg.Policies.Retrier.ObserveLeg(now, m.cfg.Service)
	}
	m.dispatch(now, index, upstream, reason)
	if m.cfg.Query.Idempotent && !state.hedged && state.hedgeAt.IsZero() {
		if delay, ok := m.cfg.Policies.Hedger.Delay(m.cfg.Service, state.shard.Group); ok {
			state.hedgeAt = now.Add(delay)
		}
	}
}

func (m *Machine) hedge(now time.Time, index int) {
	state := &m.shards[index]
	if state.open == 0 || state.hedged {
		return
	}
	upstream := m.chooseOther(now, state)
	if upstream == nil || !m.cfg.Policies.Hedger.Allow(now, m.cfg.Service) {
		return
	}
	state.hedged = true
	m.dispatch(now, index, upstream, "hedge")
}

func (m *Machine) dispatch(now time.Time, index int, upstream *core.Upstream, reason string) {
	state := &m.shards[index]
	query := &m.cfg.Query
	leg := core.Leg{
		Attempt: m.cfg.NextAttempt(), Service: query.Service, Request: query.RequestID,
		Shard: state.shard.Name, Upstream: upstream.ID, Version: m.cfg.Version,
		NotAfter: m.cutOff, Idempotent: query.Idempotent, Class: m.cfg.Service.Rule.Class,
		Hedge: reason == "hedge", Payload: query.Payload,
	}
	if state.tried == nil {
		state.tried = make(map[core.UpstreamID]int, 2)
	}
	state.tried[upstream.ID]++
	state.open++
	state.attempts++
	a := &attempt{leg: leg, shard: index, reason: reason, sent: now}
	if query.Explain {
		a.report = len(m.reports)
		m.reports = append(m.reports, core.AttemptReport{
			Shard: state.shard.Name, Upstream: upstream.ID, Reason: reason, Sent: now.Sub(m.started),
		})
	}
	m.attempts[leg.Attempt] = a
	m.actions = append(m.actions, Action{Kind: ActionSend, Leg: leg})
}

func (m *Machine) choose(now time.Time, state *shardState) *core.Upstream {
	return m.selectFrom(now, state, func(id core.UpstreamID) bool { return !state.exclude[id] })
}

// chooseOther chooses among replicas that the sub-request has not tried yet.
func (m *Machine) chooseOther(now time.Time, state *shardState) *core.Upstream {
	return m.selectFrom(now, state, func(id core.UpstreamID) bool { return !state.exclude[id] && state.tried[id] == 0 })
}

func (m *Machine) selectFrom(now time.Time, state *shardState, allowed func(core.UpstreamID) bool) *core.Upstream {
	if state.group == nil {
		return nil
	}
	candidates := make([]Candidate, 0, len(state.group.Upstreams))
	for i := range state.group.Upstreams {
		upstream := &state.group.Upstreams[i]
		observed := m.cfg.View.State(upstream.ID)
		if !m.mayUse(upstream, observed) || !allowed(upstream.ID) {
			continue
		}
		candidates = append(candidates, Candidate{
			Upstream: upstream, State: observed,
			Local: upstream.Domain == m.cfg.View.Members.Self.Domain, Tried: state.tried[upstream.ID],
		})
	}
	if len(candidates) == 0 {
		return nil
	}
	chosen := m.cfg.Policies.Selector.Select(now, m.cfg.Random, candidates)
	if chosen < 0 {
		return nil
	}
	return candidates[chosen].Upstream
}

// mayUse applies what no policy may override: draining replicas get no new work, and rules bound the reach.
func (m *Machine) mayUse(upstream *core.Upstream, observed *core.UpstreamState) bool {
	if upstream.Draining || observed == nil || observed.DrainSince.Load() != 0 {
		return false
	}
	domains := m.cfg.Service.Rule.Domains
	return len(domains) == 0 || slices.Contains(domains, upstream.Domain)
}

func (m *Machine) noReplica(state *shardState) {
	if state.open > 0 {
		return
	}
	if state.attempts == 0 {
		state.reason = m.noReplicaReason(state)
	}
	m.finish(state)
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

func (m *Machine) cover(now time.Time, a *attempt, result core.LegResult) {
	state := &m.shards[a.shard]
	if result.Version != m.cfg.Version {
		m.fail(now, a, core.LegResult{Attempt: result.Attempt, Outcome: core.OutcomeNotRun, Code: core.CodeVersionMissing})
		return
	}
	m.cfg.Policies.Hedger.ObserveLatency(m.cfg.Service, state.shard.Group, now.Sub(a.sent))
	state.covered = true
	state.data = result.Data
	m.finish(state)
	m.cancelOpen(a.shard)
}

// fail decides what follows a failed attempt. A non-idempotent request is sent again only after proof that it did not
// run.
func (m *Machine) fail(now time.Time, a *attempt, result core.LegResult) {
	state := &m.shards[a.shard]
	state.reason = result.Code
	if state.exclude == nil {
		state.exclude = make(map[core.UpstreamID]bool, 2)
	}
	if excludes(result.Code) {
		state.exclude[a.leg.Upstream] = true
	}
	if !m.cfg.Query.Idempotent && result.Outcome != core.OutcomeNotRun {
		m.unknown = result.Outcome == core.OutcomeUnknown
		m.finish(state)
		return
	}
	if state.open > 0 || !state.sendAt.IsZero() {
		return
	}
	delay, ok := m.retryDelay(now, state, result)
	if !ok || !now.Add(delay).Before(m.cutOff) {
		m.finish(state)
		return
	}
	if delay <= 0 {
		m.send(now, a.shard, "retry")
		return
	}
	state.sendAt = now.Add(delay)
}

func (m *Machine) retryDelay(now time.Time, state *shardState, result core.LegResult) (time.Duration, bool) {
	if result.Code == core.CodeCancelled || result.Code == core.CodeExpired {
		return 0, false
	}
	return m.cfg.Policies.Retrier.Allow(now, m.cfg.Random, m.cfg.Service, state.attempts)
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

func (m *Machine) finish(state *shardState) {
	if state.done {
		return
	}
	state.done = true
	state.sendAt, state.hedgeAt = time.Time{}, time.Time{}
	m.left--
}

func (m *Machine) cancelOpen(shard int) {
	if m.shards[shard].open == 0 {
		return
	}
	for _, a := range m.attempts {
		if a.shard == shard {
			m.actions = append(m.actions, Action{Kind: ActionCancel, Leg: a.leg})
		}
	}
}

func (m *Machine) giveUpAll(reason core.Code) {
	for i := range m.shards {
		state := &m.shards[i]
		if state.done {
			continue
		}
		if state.open > 0 {
			state.reason = reason
			m.unknown = m.unknown || !m.cfg.Query.Idempotent
		}
		m.finish(state)
		m.cancelOpen(i)
	}
	m.ended = true
}

func (m *Machine) endReport(now time.Time, a *attempt, result core.LegResult) {
	if !m.cfg.Query.Explain {
		return
	}
	report := &m.reports[a.report]
	report.Ended = now.Sub(m.started)
	report.Code, report.Outcome = result.Code, result.Outcome
}

func (m *Machine) flush() []Action {
	actions := m.actions
	m.actions = nil
	return actions
}
