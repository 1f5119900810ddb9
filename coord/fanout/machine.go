package fanout

import (
	"slices"
	"time"

	"gooseberrylane.example/core"
)

// Machine runs one plan. It has no clock and does no I/O: the driver passes in the time, makes the returned attempts and
// reports their results. It is not safe for concurrent use.
type Machine struct {
	plan     Plan
	policies Policies
	subs     []subState
	required int
	// covered and failed count the sub-requests that ended.
	covered, failed int
	// inTime counts the sub-requests that were covered before Times.PartialAt, shed those that any upstream shed.
	inTime, shed int
	// started is set once Start returned attempts, maybeRan if an upstream may have run the request.
	started, maybeRan bool
	verdict           Verdict
	sends             []Send
}

type subState struct {
	tried []core.UpstreamID
	// sent counts the upstreams that may have received the sub-request, open the unanswered attempts, repeats the attempts
	// at an upstream that had been tried before.
	sent, open, repeats int
	ended, shed         bool
	// hedgeWasDue is set once a hedge was due. Only the first due hedge may be deferred.
	hedgeWasDue bool
	hedgeAt     time.Time
	// resumeAt is set while the sub-request waits for the end of the pauses that all its replicas asked for.
	resumeAt time.Time
}

// New returns a machine for one plan.
func New(plan Plan, policies Policies) *Machine {
	if plan.Attempts == 0 {
		plan.Attempts = plan.Route.MaxAttempts
	}
	return &Machine{plan: plan, policies: policies, subs: make([]subState, len(plan.SubRequests)), required: plan.requiredCount(), maybeRan: plan.MaybeRan}
}

// AllowAllAttempts raises the limit on attempts from that of the plan to that of the route.
func (m *Machine) AllowAllAttempts() { m.plan.Attempts = m.plan.Route.MaxAttempts }

// Start returns the first attempts. A request that the known upstreams cannot serve is refused without an attempt.
func (m *Machine) Start(now time.Time) []Send {
	m.sends = m.sends[:0]
	if !now.Before(m.plan.Times.Deadline) {
		m.verdict = m.failureVerdict()
		return nil
	}
	for i := range m.subs {
		m.sendOrWait(now, i)
	}
	m.updateVerdict(now)
	if m.verdict != Pending {
		// The request ends here, so its attempts are not made.
		return nil
	}
	m.started = true
	return m.sends
}

// AttemptEnded handles the end of an attempt of sub-request sub: a reply of the upstream or a failure.
func (m *Machine) AttemptEnded(now time.Time, sub int, reply *core.Reply) []Send {
	m.sends = m.sends[:0]
	state := &m.subs[sub]
	state.open--
	if notSent(reply) {
		// The upstream did not receive the request, so the attempt does not count towards the limit.
		state.sent--
	} else if reply.Outcome != core.OutcomeNotRun {
		m.maybeRan = true
	}
	if state.ended || m.verdict != Pending {
		return nil
	}
	m.recordLoad(now, state, reply)
	if !now.Before(m.plan.Times.Deadline) {
		// The process may have been paused. The answer still counts, but nothing is sent any more.
		m.endLate(now, sub, reply)
		return nil
	}
	switch {
	case reply.Code == core.CodeOK:
		state.ended = true
		m.covered++
	case m.mayRetry(reply) && (state.open > 0 || m.retry(now, sub, reply)):
	case state.open == 0 && state.sent == 0 && m.waitForPause(now, sub):
	case state.open == 0:
		m.fail(sub)
	}
	m.updateVerdict(now)
	return m.sends
}

// endLate handles the end of an attempt after the deadline.
func (m *Machine) endLate(now time.Time, sub int, reply *core.Reply) {
	switch state := &m.subs[sub]; {
	case reply.Code == core.CodeOK:
		state.ended = true
		m.covered++
	case state.open == 0:
		m.fail(sub)
	}
	m.updateVerdict(now)
}

// notSent reports whether the upstream did not receive the request.
func notSent(reply *core.Reply) bool {
	switch reply.Code {
	case core.CodeConnectFailed, core.CodeUpstreamPaused, core.CodeExpired, core.CodeOverloaded:
		return true
	default:
		return false
	}
}

// sendOrWait makes the first attempt of a sub-request, lets it wait for the end of a pause, or fails it.
func (m *Machine) sendOrWait(now time.Time, sub int) {
	if !m.send(now, sub, First) && !m.waitForPause(now, sub) {
		m.fail(sub)
	}
}

// waitForPause lets a sub-request that no upstream received wait until a replica wants requests again, if an answer can
// still meet the latency objective then.
func (m *Machine) waitForPause(now time.Time, sub int) bool {
	state := &m.subs[sub]
	group := m.plan.SubRequests[sub].Group
	if group == nil {
		return false
	}
	resumeAt := m.policies.NextAt(now, group, state.tried)
	if !resumeAt.After(now) || resumeAt.After(m.plan.Times.PartialAt) {
		return false
	}
	state.resumeAt = resumeAt
	return true
}

// recordLoad updates the counts from which Overloaded is computed.
func (m *Machine) recordLoad(now time.Time, state *subState, reply *core.Reply) {
	switch {
	case reply.Code == core.CodeShed && !state.shed:
		state.shed = true
		m.shed++
	case reply.Code == core.CodeOK && now.Before(m.plan.Times.PartialAt):
		m.inTime++
	}
}

// Overloaded reports whether the request met overloaded upstreams: a request to a single service failed and was shed, a
// gathered request had more sub-requests shed than its coverage allows, or most of its sub-requests were late. A few slow
// or full shards are not enough.
func (m *Machine) Overloaded(now time.Time) bool {
	total := len(m.subs)
	if m.plan.Route.Gather == nil {
		return m.shed > 0 && m.failed > 0
	}
	return m.shed > total-m.required || (!now.Before(m.plan.Times.PartialAt) && 2*(total-m.inTime) > total)
}

// Shed returns the number of sub-requests that an upstream shed.
func (m *Machine) Shed() int { return m.shed }

// mayRetry reports whether a sub-request that failed with a reply may be sent again.
func (m *Machine) mayRetry(reply *core.Reply) bool {
	if reply.Outcome == core.OutcomeNotRun {
		return true
	}
	return m.plan.Route.Idempotent && reply.Code != core.CodeBadRequest
}

// MaxRepeats limits the attempts of a sub-request at upstreams that had been tried before.
const MaxRepeats = 2

// retry sends a sub-request to another upstream. A failed connection caused no work at an upstream, so its retry is not
// charged to the budget. If no further upstream is allowed, an idempotent sub-request that may have run is sent again to
// an upstream that was tried before.
func (m *Machine) retry(now time.Time, sub int, reply *core.Reply) bool {
	state := &m.subs[sub]
	switch {
	case notSent(reply):
		return m.send(now, sub, Retry)
	case state.sent < m.plan.Attempts && m.hasUntried(sub):
		return m.spendAttempt(now, sub) && m.send(now, sub, Retry)
	case reply.Outcome == core.OutcomeNotRun || !m.plan.Route.Idempotent || state.repeats >= MaxRepeats:
		return false
	default:
		return m.policies.AllowExtra(now, m.plan.SubRequests[sub].Service) && m.repeat(now, sub)
	}
}

// repeat sends a sub-request again to an upstream that was tried before, and to the last one only if there is no other.
func (m *Machine) repeat(now time.Time, sub int) bool {
	state := &m.subs[sub]
	group := m.plan.SubRequests[sub].Group
	last := state.tried[len(state.tried)-1]
	excluded := make([]core.UpstreamID, 0, len(group.Upstreams))
	for i := range group.Upstreams {
		if id := group.Upstreams[i].ID; !slices.Contains(state.tried, id) || (id == last && len(state.tried) > 1) {
			excluded = append(excluded, id)
		}
	}
	upstream := m.policies.Choose(now, group, excluded, Retry)
	if upstream == nil {
		return false
	}
	state.repeats++
	state.open++
	m.sends = append(m.sends, Send{SubRequest: sub, Upstream: upstream, Reason: Retry})
	return true
}

// spendAttempt charges one more upstream for a sub-request to the budget, or returns false if the budget or
// a limit does not allow it.
func (m *Machine) spendAttempt(now time.Time, sub int) bool {
	state := &m.subs[sub]
	if state.sent >= m.plan.Attempts || !m.hasUntried(sub) {
		return false
	}
	return m.policies.AllowExtra(now, m.plan.SubRequests[sub].Service)
}

func (m *Machine) hasUntried(sub int) bool {
	group := m.plan.SubRequests[sub].Group
	return group != nil && len(m.subs[sub].tried) < len(group.Upstreams)
}

// send sends a sub-request to an untried upstream, or returns false if there is none.
func (m *Machine) send(now time.Time, sub int, reason Reason) bool {
	state := &m.subs[sub]
	group := m.plan.SubRequests[sub].Group
	if group == nil {
		return false
	}
	upstream := m.policies.Choose(now, group, state.tried, reason)
	if upstream == nil {
		return false
	}
	state.tried = append(state.tried, upstream.ID)
	state.sent++
	state.open++
	state.hedgeAt = time.Time{}
	if m.plan.Route.Idempotent && state.sent < m.plan.Route.MaxAttempts && m.hasUntried(sub) {
		state.hedgeAt = now.Add(m.policies.HedgeDelay(m.plan.Route))
	}
	m.sends = append(m.sends, Send{SubRequest: sub, Upstream: upstream, Reason: reason})
	return true
}

func (m *Machine) fail(sub int) {
	m.subs[sub].ended = true
	m.failed++
}

// Wake runs the timers that are due. The driver calls it at the time that Next returned.
func (m *Machine) Wake(now time.Time) []Send {
	m.sends = m.sends[:0]
	if m.verdict != Pending {
		return nil
	}
	if !now.Before(m.plan.Times.Deadline) {
		m.updateVerdict(now)
		return nil
	}
	for i := range m.subs {
		state := &m.subs[i]
		if !state.ended && !state.resumeAt.IsZero() && !now.Before(state.resumeAt) {
			state.resumeAt = time.Time{}
			m.sendOrWait(now, i)
			continue
		}
		if state.ended || state.hedgeAt.IsZero() || now.Before(state.hedgeAt) {
			continue
		}
		deferHedge := m.mostUnanswered() && !state.hedgeWasDue
		state.hedgeWasDue = true
		if deferHedge || !m.spendAttempt(now, i) || !m.send(now, i, Hedge) {
			// At the next due time, more sub-requests may be answered or the budget may allow the hedge.
			state.hedgeAt = now.Add(m.policies.HedgeDelay(m.plan.Route))
		}
	}
	m.updateVerdict(now)
	return m.sends
}

// mostUnanswered reports whether most sub-requests of a gathered request are unanswered although some have been answered.
// The upstreams may be overloaded then, and hedges would add to their load. Because unresponsive upstreams cannot be
// distinguished from overloaded ones, a hedge is deferred only once.
func (m *Machine) mostUnanswered() bool {
	open := len(m.subs) - m.covered - m.failed
	return 2*open > len(m.subs) && m.covered+m.shed > 0
}

// Next returns when Wake must be called next. The time of an overdue hedge may be before now; all other times are after now
// while the request is pending.
func (m *Machine) Next(now time.Time) time.Time {
	next := m.plan.Times.Deadline
	consider := func(t time.Time) {
		if t.Before(next) {
			next = t
		}
	}
	for i := range m.subs {
		state := &m.subs[i]
		if !state.ended && !state.hedgeAt.IsZero() {
			consider(state.hedgeAt)
		}
		if !state.ended && !state.resumeAt.IsZero() {
			consider(state.resumeAt)
		}
	}
	if m.coversEnough() {
		for _, t := range []time.Time{m.plan.Times.PartialAt, m.plan.Times.LatePartialAt} {
			if t.After(now) {
				consider(t)
			}
		}
	}
	return next
}

// updateVerdict sets the verdict once waiting longer cannot improve the answer or is not worth the latency.
func (m *Machine) updateVerdict(now time.Time) {
	switch {
	case m.covered == len(m.subs):
		m.verdict = Complete
	case m.covered+m.failed == len(m.subs) && m.coversEnough():
		m.verdict = Partial
	case len(m.subs)-m.failed < m.required:
		m.verdict = m.failureVerdict()
	case m.coversEnough() && m.partialIsDue(now):
		m.verdict = Partial
	case now.Before(m.plan.Times.Deadline):
	case m.coversEnough():
		m.verdict = Partial
	case m.mayHaveRun():
		m.verdict = Expired
	default:
		m.verdict = m.failureVerdict()
	}
}

func (m *Machine) coversEnough() bool { return m.plan.Route.Gather != nil && m.covered >= m.required }

// partialIsDue reports whether a partial answer is returned now instead of waiting for more coverage: between PartialAt and
// ObjectiveAt, and again from LatePartialAt.
func (m *Machine) partialIsDue(now time.Time) bool {
	times := m.plan.Times
	return (!now.Before(times.PartialAt) && now.Before(times.ObjectiveAt)) || !now.Before(times.LatePartialAt)
}

func (m *Machine) mayHaveRun() bool {
	return m.maybeRan || slices.ContainsFunc(m.subs, func(s subState) bool { return s.open > 0 })
}

// failureVerdict returns the verdict on a request that cannot succeed: Failed if it may have run, else Refused.
func (m *Machine) failureVerdict() Verdict {
	if m.maybeRan || (m.started && m.mayHaveRun()) {
		return Failed
	}
	return Refused
}

// Verdict returns how the request ended, or Pending if it has not ended.
func (m *Machine) Verdict() Verdict { return m.verdict }

// Required returns the number of sub-requests that an answer must cover.
func (m *Machine) Required() int { return m.required }

// Covered returns the number of covered sub-requests and the number of all sub-requests.
func (m *Machine) Covered() (covered, all int) { return m.covered, len(m.subs) }
