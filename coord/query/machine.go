// Package query decides, step by step, how one query runs: which sub-requests to send where, when to hedge, retry and
// give up, and what the answer may claim. A Machine does no I/O; it takes events and returns actions.
package query

import (
	"math/rand/v2"
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

// Reasons of attempts in reports.
const (
	reasonFirst = "first"
	reasonRetry = "retry"
	reasonHedge = "hedge"
)

// Config is the fixed input of a machine.
type Config struct {
	Query core.Query
	// Service is the definition in force; it belongs to View.
	Service *core.Service
	View    *core.View
	// Version is the pinned index version, never 0.
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

// Machine is the state of one query. It is not safe for concurrent use.
type Machine struct {
	cfg      Config
	started  time.Time
	cutOff   time.Time
	shards   []shardState
	attempts map[core.AttemptID]*attempt
	// firsts holds the first attempts of all shards in one allocation; candidates is reused by each selection.
	firsts     []attempt
	candidates []Candidate
	left       int
	reports    []core.AttemptReport
	actions    []Action
	// outcome is what a non-idempotent request may claim when it has no result.
	outcome core.Outcome
	ended   bool
}

// New returns a machine for one query.
func New(cfg Config) *Machine {
	return &Machine{cfg: cfg, attempts: make(map[core.AttemptID]*attempt, len(cfg.Shards)), outcome: core.OutcomeNotRun}
}

// Start begins the query and returns the first actions. A query whose time is up sends nothing.
func (m *Machine) Start(now time.Time) []Action {
	m.started = now
	m.cutOff = m.cfg.Query.Deadline.Add(-m.cfg.Margin)
	m.shards = make([]shardState, len(m.cfg.Shards))
	m.firsts = make([]attempt, len(m.cfg.Shards))
	m.actions = make([]Action, 0, len(m.cfg.Shards))
	m.left = len(m.shards)
	for i, shard := range m.cfg.Shards {
		state := &m.shards[i]
		state.shard = shard
		state.group = m.group(shard.Group)
		state.tried = state.triedSpace[:0]
		state.open = state.openSpace[:0]
	}
	if !now.Before(m.cutOff) {
		m.giveUpAll(now, core.CodeExpired)
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

// Result handles the result of one attempt. A result of an unknown or finished attempt changes nothing.
func (m *Machine) Result(now time.Time, result core.LegResult) []Action {
	a, ok := m.attempts[result.Attempt]
	if !ok || m.ended {
		return nil
	}
	delete(m.attempts, result.Attempt)
	state := &m.shards[a.shard]
	state.forget(a)
	m.endReport(now, a, &result)
	m.cfg.Policies.Selector.ObserveResult(now, m.cfg.View, state.group, a.leg.Upstream, result.Code)
	if state.done {
		return m.flush()
	}
	m.check(&result)
	if result.Code == core.CodeOK {
		m.cover(now, a, &result)
	} else {
		m.fail(now, a, &result)
	}
	return m.flush()
}

// check turns results that cannot be used into failures. A request that ran at another index version did run: only
// its result is useless.
func (m *Machine) check(result *core.LegResult) {
	switch {
	case result.Code == core.CodeOK && result.Outcome != core.OutcomeRan:
		// A success that did not run contradicts itself and proves nothing.
		result.Outcome, result.Code = core.OutcomeUnknown, core.CodeUpstreamError
	case result.Code == core.CodeOK && result.Version != m.cfg.Version:
		result.Code = core.CodeVersionMissing
	}
}

// Wake handles the passing of time. Call it at the time that NextWake returned.
func (m *Machine) Wake(now time.Time) []Action {
	if m.ended {
		return nil
	}
	if !now.Before(m.cutOff) {
		m.giveUpAll(now, core.CodeDeadlineExceeded)
		return m.flush()
	}
	for i := range m.shards {
		state := &m.shards[i]
		if !state.done && isDue(now, state.sendAt) {
			state.sendAt = time.Time{}
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

// Abort ends the query early, for example because the caller went away.
func (m *Machine) Abort(now time.Time, reason core.Code) []Action {
	if m.ended {
		return nil
	}
	m.giveUpAll(now, reason)
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

func (m *Machine) cover(now time.Time, a *attempt, result *core.LegResult) {
	state := &m.shards[a.shard]
	m.cfg.Policies.Hedger.ObserveLatency(m.cfg.Service, state.shard.Group, now.Sub(a.sent))
	state.covered = true
	state.data = result.Data
	m.finish(state)
	m.cancelOpen(now, state)
}

// fail decides what follows a failed attempt. A non-idempotent request is sent again only after proof that it did not
// run.
func (m *Machine) fail(now time.Time, a *attempt, result *core.LegResult) {
	state := &m.shards[a.shard]
	state.note(a.leg.Upstream, result.Code)
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
	m.planRetry(now, a, result)
}

// hedgeAgain plans another second request after one of two attempts failed: the other one may be silent.
func (m *Machine) hedgeAgain(now time.Time, state *shardState) {
	if !state.hedged {
		return
	}
	state.hedged, state.overdue = false, false
	m.planHedge(now, state)
}

func (m *Machine) planRetry(now time.Time, a *attempt, result *core.LegResult) {
	state := &m.shards[a.shard]
	state.sendTo, state.sendVia = "", ""
	if result.Code == core.CodeNotOwner && result.Owner != "" && result.Owner != a.leg.Via {
		state.sendTo, state.sendVia = a.leg.Upstream, result.Owner
	}
	// A retry that cannot be sent must not use up the budget.
	if result.Code == core.CodeExpired || !now.Before(m.cutOff) || len(m.usable(state, false)) == 0 {
		m.finish(state)
		return
	}
	failure := Failure{Code: result.Code, Attempts: state.attempts, Free: state.free, Left: m.cutOff.Sub(now)}
	delay, free, ok := m.cfg.Policies.Retrier.Allow(now, m.cfg.Random, m.cfg.Service, failure)
	if !ok || !now.Add(delay).Before(m.cutOff) {
		m.reroute(now, a.shard, result.Code)
		return
	}
	if free {
		state.free++
	}
	if delay <= 0 {
		m.send(now, a.shard, reasonRetry)
		return
	}
	state.sendAt = now.Add(delay)
}

// reroute ends a sub-request that gets no retry, unless the VM that was asked had given up the upstream. Then the leg
// reached no upstream, so it goes to a replica that was not tried without being counted as a retry.
func (m *Machine) reroute(now time.Time, index int, code core.Code) {
	state := &m.shards[index]
	if code == core.CodeNotOwner {
		if upstream := m.selectFrom(now, m.untried(state)); upstream != nil {
			m.dispatch(now, index, upstream, "", reasonRetry)
			m.planHedge(now, state)
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
	state.sendAt, state.hedgeAt = time.Time{}, time.Time{}
	m.left--
}

// cancelOpen cancels the attempts of a finished shard. Their results are still accepted, and ignored.
func (m *Machine) cancelOpen(now time.Time, state *shardState) {
	for _, a := range state.open {
		m.cfg.Policies.Hedger.ObserveCancelled(m.cfg.Service, state.shard.Group, now.Sub(a.sent))
		m.actions = append(m.actions, Action{Kind: ActionCancel, Leg: a.leg})
	}
}

func (m *Machine) giveUpAll(now time.Time, reason core.Code) {
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

func (m *Machine) flush() []Action {
	actions := m.actions
	m.actions = nil
	return actions
}
