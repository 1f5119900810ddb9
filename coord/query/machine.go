// Package query is the state machine of one query: it decides which replicas get sub-requests, when to hedge and
// retry, when the query ends, and what the answer reports. A Machine does no I/O; it takes events and returns actions.
package query

import (
	"math/rand/v2"
	"time"

	"gooseberrylane.example/core"
)

// ActionKind is the kind of an Action.
type ActionKind int

// Action kinds.
const (
	// ActionSend sends Attempt.
	ActionSend ActionKind = iota + 1
	// ActionCancel cancels Attempt at its upstream.
	ActionCancel
)

// Action is one operation that the driver of a machine must carry out.
type Action struct {
	Kind    ActionKind
	Attempt core.Attempt
}

// Reasons of attempts in attempt reports.
const (
	reasonFirst = "first"
	reasonRetry = "retry"
	reasonHedge = "hedge"
)

// Config is the fixed input of a machine.
type Config struct {
	Query core.Query
	// Service is the service definition in View.
	Service *core.Service
	View    *core.View
	// Version is the index version that the query is pinned to, never 0.
	Version  core.IndexVersion
	Shards   []core.Shard
	Policies Policies
	Random   *rand.Rand
	// NextAttempt returns a new attempt ID. IDs are never reused.
	NextAttempt func() core.AttemptID
	// Margin is the time reserved before the deadline for returning the answer.
	Margin time.Duration
}

type attemptState struct {
	attempt core.Attempt
	shard   int
	reason  string
	sent    time.Time
	// report is the index of its report in Machine.reports, if the query requests them.
	report int
}

// Machine is the state of one query. It is not safe for concurrent use.
type Machine struct {
	cfg     Config
	started time.Time
	// cutOff is the deadline of the query less Config.Margin. Nothing is sent from then on.
	cutOff time.Time
	shards []shardState
	// attempts holds the attempts without a result.
	attempts map[core.AttemptID]*attemptState
	// firstAttempts holds the first attempts of all shards in one allocation. candidates is reused by each selection.
	firstAttempts []attemptState
	candidates    []Candidate
	// unfinished counts the shards that are not done.
	unfinished int
	reports    []core.AttemptReport
	actions    []Action
	// outcome is the outcome of a non-idempotent request that has no result.
	outcome core.Outcome
	ended   bool
}

// New returns a machine for one query.
func New(cfg Config) *Machine {
	return &Machine{cfg: cfg, attempts: make(map[core.AttemptID]*attemptState, len(cfg.Shards)), outcome: core.OutcomeNotRun}
}

// Start starts the query and returns the first actions. A query whose cut-off has passed sends nothing.
func (m *Machine) Start(now time.Time) []Action {
	m.started = now
	m.cutOff = m.cfg.Query.Deadline.Add(-m.cfg.Margin)
	m.shards = make([]shardState, len(m.cfg.Shards))
	m.firstAttempts = make([]attemptState, len(m.cfg.Shards))
	m.actions = make([]Action, 0, len(m.cfg.Shards))
	m.unfinished = len(m.shards)
	for i, shard := range m.cfg.Shards {
		state := &m.shards[i]
		state.shard = shard
		state.group = m.group(shard.Group)
		state.tried = state.triedBuffer[:0]
		state.open = state.openBuffer[:0]
	}
	if !now.Before(m.cutOff) {
		m.finishAll(now, core.CodeExpired)
		return m.flush()
	}
	for i := range m.shards {
		m.send(now, i, reasonFirst)
	}
	return m.flush()
}

func (m *Machine) group(name core.GroupName) *core.Group {
	if group := m.cfg.View.Config.Group(m.cfg.Service.Name, name); group != nil {
		return group
	}
	return m.cfg.Service.Group(name)
}

// Result handles the result of one attempt. Results of unknown or finished attempts are ignored.
func (m *Machine) Result(now time.Time, result core.AttemptResult) []Action {
	a, ok := m.attempts[result.Attempt]
	if !ok || m.ended {
		return nil
	}
	delete(m.attempts, result.Attempt)
	state := &m.shards[a.shard]
	state.removeOpen(a)
	m.endReport(now, a, &result)
	m.cfg.Policies.Selector.ObserveResult(now, m.cfg.View, state.group, a.attempt.Upstream, result.Code)
	if state.done {
		return m.flush()
	}
	m.validate(&result)
	if result.Code == core.CodeOK {
		m.cover(now, a, &result)
	} else {
		m.fail(now, a, &result)
	}
	return m.flush()
}

// validate turns unusable results into failures. The outcome of a result of another index version stays "ran", because
// only its data is unusable.
func (m *Machine) validate(result *core.AttemptResult) {
	switch {
	case result.Code == core.CodeOK && result.Outcome != core.OutcomeRan:
		// A success of a request that did not run is contradictory, so the outcome is unknown.
		result.Outcome, result.Code = core.OutcomeUnknown, core.CodeUpstreamError
	case result.Code == core.CodeOK && result.Version != m.cfg.Version:
		result.Code = core.CodeVersionMissing
	}
}

// Wake runs the timers that are due. Call it at the time that NextWake returned.
func (m *Machine) Wake(now time.Time) []Action {
	if m.ended {
		return nil
	}
	if !now.Before(m.cutOff) {
		m.finishAll(now, core.CodeDeadlineExceeded)
		return m.flush()
	}
	for i := range m.shards {
		state := &m.shards[i]
		if !state.done && isDue(now, state.retryAt) {
			state.retryAt = time.Time{}
			m.send(now, i, reasonRetry)
		}
		if !state.done && isDue(now, state.hedgeAt) {
			state.hedgeAt = time.Time{}
			m.hedge(now, i)
		}
	}
	return m.flush()
}

func isDue(now, at time.Time) bool { return !at.IsZero() && !now.Before(at) }

// Abort ends the query early, for example because the caller disconnected.
func (m *Machine) Abort(now time.Time, reason core.Code) []Action {
	if m.ended {
		return nil
	}
	m.finishAll(now, reason)
	return m.flush()
}

// NextWake returns when Wake must be called next.
func (m *Machine) NextWake() time.Time {
	next := m.cutOff
	for i := range m.shards {
		state := &m.shards[i]
		if state.done {
			continue
		}
		if !state.retryAt.IsZero() && state.retryAt.Before(next) {
			next = state.retryAt
		}
		if !state.hedgeAt.IsZero() && state.hedgeAt.Before(next) {
			next = state.hedgeAt
		}
	}
	return next
}

// Done reports whether the answer is final.
func (m *Machine) Done() bool { return m.unfinished == 0 }

func (m *Machine) cover(now time.Time, a *attemptState, result *core.AttemptResult) {
	state := &m.shards[a.shard]
	m.cfg.Policies.Hedger.ObserveLatency(m.cfg.Service, state.shard.Group, now.Sub(a.sent))
	state.covered = true
	state.data = result.Data
	m.finish(state)
	m.cancelOpen(now, state)
}

// fail handles a failed attempt. A non-idempotent request is retried only if the result proves that it did not run.
func (m *Machine) fail(now time.Time, a *attemptState, result *core.AttemptResult) {
	state := &m.shards[a.shard]
	state.recordFailure(a.attempt.Upstream, result.Code)
	if !m.cfg.Query.Idempotent && result.Outcome != core.OutcomeNotRun {
		m.outcome = result.Outcome
		m.finish(state)
		return
	}
	if len(state.open) > 0 {
		m.hedgeAgain(now, state)
		return
	}
	state.hedgeAt = time.Time{}
	m.scheduleRetry(now, a, result)
}

// hedgeAgain schedules another hedge after an attempt or its hedge failed, because the other may never be answered.
func (m *Machine) hedgeAgain(now time.Time, state *shardState) {
	if !state.hedged {
		return
	}
	state.hedged, state.overdue = false, false
	m.scheduleHedge(now, state)
}

func (m *Machine) scheduleRetry(now time.Time, a *attemptState, result *core.AttemptResult) {
	state := &m.shards[a.shard]
	state.retryUpstream, state.retryVia = "", ""
	if result.Code == core.CodeNotOwner && result.Owner != "" && result.Owner != a.attempt.Via {
		state.retryUpstream, state.retryVia = a.attempt.Upstream, result.Owner
	}
	// A retry that cannot be sent must not be charged to the budget.
	if result.Code == core.CodeExpired || !now.Before(m.cutOff) || len(m.usable(state, false)) == 0 {
		m.finish(state)
		return
	}
	failure := Failure{Code: result.Code, Attempts: state.attempts, FreeRetries: state.freeRetries, TimeLeft: m.cutOff.Sub(now)}
	delay, free, ok := m.cfg.Policies.Retrier.Allow(now, m.cfg.Random, m.cfg.Service, failure)
	if !ok || !now.Add(delay).Before(m.cutOff) {
		m.reroute(now, a.shard, result.Code)
		return
	}
	if free {
		state.freeRetries++
	}
	if delay <= 0 {
		m.send(now, a.shard, reasonRetry)
		return
	}
	state.retryAt = now.Add(delay)
}

// reroute handles a sub-request whose retry was not allowed. If the VM that received it no longer owned the upstream, no
// upstream was reached, so the sub-request goes to an untried replica without a charge to the budget. Otherwise it ends.
func (m *Machine) reroute(now time.Time, index int, code core.Code) {
	state := &m.shards[index]
	if code == core.CodeNotOwner {
		if upstream := m.selectFrom(now, m.untried(state)); upstream != nil {
			m.dispatch(now, index, upstream, "", reasonRetry)
			m.scheduleHedge(now, state)
			return
		}
	}
	m.finish(state)
}

func (m *Machine) finish(state *shardState) {
	if state.done {
		return
	}
	state.done = true
	state.retryAt, state.hedgeAt = time.Time{}, time.Time{}
	m.unfinished--
}

// cancelOpen cancels the open attempts of a finished shard. Their results are still accepted, but ignored.
func (m *Machine) cancelOpen(now time.Time, state *shardState) {
	for _, a := range state.open {
		m.cfg.Policies.Hedger.ObserveCancelled(m.cfg.Service, state.shard.Group, now.Sub(a.sent))
		m.actions = append(m.actions, Action{Kind: ActionCancel, Attempt: a.attempt})
	}
}

// finishAll ends the query with its unfinished shards. Their reason becomes the given one if they have an open attempt or
// no reason yet, or if the query is cancelled.
func (m *Machine) finishAll(now time.Time, reason core.Code) {
	for i := range m.shards {
		state := &m.shards[i]
		if state.done {
			continue
		}
		if len(state.open) > 0 || state.reason == 0 || reason == core.CodeCancelled {
			state.reason = reason
		}
		if len(state.open) > 0 {
			m.outcome = core.OutcomeUnknown
		}
		m.finish(state)
		m.cancelOpen(now, state)
	}
	m.ended = true
}

// flush returns the collected actions and clears them.
func (m *Machine) flush() []Action {
	actions := m.actions
	m.actions = nil
	return actions
}
