package fanout

import (
	"slices"
	"time"

	"gooseberrylane.example/core"
)

// Machine runs one plan. It has no clock and no I/O: the driver passes in the time, sends what the machine asks for and
// reports what came of it. It is not safe for concurrent use.
type Machine struct {
	plan     Plan
	policies Policies
	legs     []legState
	need     int
	// covered and failed count the legs that ended.
	covered, failed int
	// inTime counts the legs that were covered before the time of a partial answer, shed those that an upstream refused
	// because of its load.
	inTime, shed int
	// started is true once the first sends were handed out, ran once an upstream may have begun to work on the request.
	started, ran bool
	verdict      Verdict
	sends        []Send
}

type legState struct {
	tried []core.UpstreamID
	// sent counts the upstreams that got the leg, open the sends that have not ended, repeats those to an upstream that
	// had the leg before.
	sent, open, repeats int
	ended, shed         bool
	// waited is true once a hedge was due.
	waited  bool
	hedgeAt time.Time
}

// New returns the machine of a plan.
func New(plan Plan, policies Policies) *Machine {
	if plan.Attempts == 0 {
		plan.Attempts = plan.Route.MaxAttempts
	}
	return &Machine{plan: plan, policies: policies, legs: make([]legState, len(plan.Legs)), need: plan.needed()}
}

// AllowAllAttempts lifts the bound of the plan to that of the route.
func (m *Machine) AllowAllAttempts() { m.plan.Attempts = m.plan.Route.MaxAttempts }

// Start returns the first sends. A request that cannot be served with the known upstreams is refused at once.
func (m *Machine) Start(now time.Time) []Send {
	m.sends = m.sends[:0]
	for i := range m.legs {
		if !m.send(now, i, First) {
			m.fail(i)
		}
	}
	m.conclude(now)
	if m.verdict != Pending {
		// Nothing was sent yet, so nothing has to be.
		return nil
	}
	m.started = true
	return m.sends
}

// Finished handles the end of a send: its reply, or the failure to get one.
func (m *Machine) Finished(now time.Time, leg int, reply *core.Reply) []Send {
	m.sends = m.sends[:0]
	state := &m.legs[leg]
	state.open--
	if reply.Code == core.CodeConnectFailed {
		// The upstream never got the request, so it does not count towards the attempts.
		state.sent--
	} else if reply.Outcome != core.OutcomeNotRun {
		m.ran = true
	}
	if state.ended || m.verdict != Pending {
		return nil
	}
	m.noteLoad(now, state, reply)
	switch {
	case reply.Code == core.CodeOK:
		state.ended = true
		m.covered++
	case m.mayRetry(reply) && (state.open > 0 || m.retry(now, leg, reply)):
	case state.open == 0:
		m.fail(leg)
	}
	m.conclude(now)
	return m.sends
}

func (m *Machine) noteLoad(now time.Time, state *legState, reply *core.Reply) {
	switch {
	case reply.Code == core.CodeShed && !state.shed:
		state.shed = true
		m.shed++
	case reply.Code == core.CodeOK && now.Before(m.plan.Times.PartialAt):
		m.inTime++
	}
}

// Overloaded reports whether the request met upstreams that have more work than they can do: all that were asked for a
// single service refused it, or upstreams refused more legs of a gathered request than an answer may leave out, or most of
// its legs took too long. A few slow or full shards do not count.
func (m *Machine) Overloaded(now time.Time) bool {
	legs := len(m.legs)
	if m.plan.Route.Gather == nil {
		return m.shed > 0 && m.failed > 0
	}
	return m.shed > legs-m.need || (!now.Before(m.plan.Times.PartialAt) && 2*(legs-m.inTime) > legs)
}

// Shed returns the number of legs that an upstream refused because of its load.
func (m *Machine) Shed() int { return m.shed }

// mayRetry reports whether a leg that ended with a reply may be sent to another upstream.
func (m *Machine) mayRetry(reply *core.Reply) bool {
	if reply.Outcome == core.OutcomeNotRun {
		return true
	}
	return m.plan.Route.Idempotent && reply.Code != core.CodeBadRequest
}

// MaxRepeats bounds the sends of a leg to upstreams that had it before.
const MaxRepeats = 2

// retry sends a leg to another upstream. A connection that could not be opened cost no upstream anything. When the route
// allows no other upstream, one that lost its answer before is asked again.
func (m *Machine) retry(now time.Time, leg int, reply *core.Reply) bool {
	state := &m.legs[leg]
	switch {
	case reply.Code == core.CodeConnectFailed:
		return m.send(now, leg, Retry)
	case state.sent < m.plan.Attempts && m.hasUntried(leg):
		return m.mayAskAgain(now, leg) && m.send(now, leg, Retry)
	case reply.Outcome == core.OutcomeNotRun || !m.plan.Route.Idempotent || state.repeats >= MaxRepeats:
		return false
	default:
		return m.policies.AllowExtra(now, m.plan.Legs[leg].Service) && m.repeat(now, leg)
	}
}

// repeat sends a leg again to an upstream that had it, the one that failed last only if there is no other.
func (m *Machine) repeat(now time.Time, leg int) bool {
	state := &m.legs[leg]
	group := m.plan.Legs[leg].Group
	last := state.tried[len(state.tried)-1]
	excluded := make([]core.UpstreamID, 0, len(group.Upstreams))
	for i := range group.Upstreams {
		if id := group.Upstreams[i].ID; !slices.Contains(state.tried, id) || (id == last && len(state.tried) > 1) {
			excluded = append(excluded, id)
		}
	}
	upstream := m.policies.Choose(now, group, excluded)
	if upstream == nil {
		return false
	}
	state.repeats++
	state.open++
	m.sends = append(m.sends, Send{Leg: leg, Upstream: upstream, Reason: Retry})
	return true
}

// mayAskAgain reports whether the limits allow one more upstream for a leg, and spends from the budget.
func (m *Machine) mayAskAgain(now time.Time, leg int) bool {
	state := &m.legs[leg]
	if state.sent >= m.plan.Attempts || !m.hasUntried(leg) {
		return false
	}
	return m.policies.AllowExtra(now, m.plan.Legs[leg].Service)
}

func (m *Machine) hasUntried(leg int) bool {
	group := m.plan.Legs[leg].Group
	return group != nil && len(m.legs[leg].tried) < len(group.Upstreams)
}

// send asks one more upstream for a leg, or reports that there is none.
func (m *Machine) send(now time.Time, leg int, reason Reason) bool {
	state := &m.legs[leg]
	group := m.plan.Legs[leg].Group
	if group == nil {
		return false
	}
	upstream := m.policies.Choose(now, group, state.tried)
	if upstream == nil {
		return false
	}
	state.tried = append(state.tried, upstream.ID)
	state.sent++
	state.open++
	state.hedgeAt = time.Time{}
	if m.plan.Route.Idempotent && state.sent < m.plan.Route.MaxAttempts && m.hasUntried(leg) {
		state.hedgeAt = now.Add(m.policies.HedgeDelay(m.plan.Route))
	}
	m.sends = append(m.sends, Send{Leg: leg, Upstream: upstream, Reason: reason})
	return true
}

func (m *Machine) fail(leg int) {
	m.legs[leg].ended = true
	m.failed++
}

// Wake handles the passing of time. The driver calls it at the time that Next returned.
func (m *Machine) Wake(now time.Time) []Send {
	m.sends = m.sends[:0]
	if m.verdict != Pending {
		return nil
	}
	for i := range m.legs {
		state := &m.legs[i]
		if state.ended || state.hedgeAt.IsZero() || now.Before(state.hedgeAt) {
			continue
		}
		wait := m.crowded() && !state.waited
		state.waited = true
		if wait || !m.mayAskAgain(now, i) || !m.send(now, i, Hedge) {
			// Legs may be answered until then, or the budget may have room again.
			state.hedgeAt = now.Add(m.policies.HedgeDelay(m.plan.Route))
		}
	}
	m.conclude(now)
	return m.sends
}

// crowded reports whether most legs of a gathered request wait for an answer although upstreams do answer others. Then they
// may have more work than they can do, and second requests would only add to it. Silent upstreams look alike, so a hedge
// waits for it only once.
func (m *Machine) crowded() bool {
	open := len(m.legs) - m.covered - m.failed
	return 2*open > len(m.legs) && m.covered+m.shed > 0
}

// Next returns when Wake has something to do. A hedge that is due already is done by the next Wake; all other times are
// after now while the request is pending.
func (m *Machine) Next(now time.Time) time.Time {
	next := m.plan.Times.GiveUp
	consider := func(t time.Time) {
		if t.Before(next) {
			next = t
		}
	}
	for i := range m.legs {
		if state := &m.legs[i]; !state.ended && !state.hedgeAt.IsZero() {
			consider(state.hedgeAt)
		}
	}
	if m.enough() {
		for _, t := range []time.Time{m.plan.Times.PartialAt, m.plan.Times.SettleAt} {
			if t.After(now) {
				consider(t)
			}
		}
	}
	return next
}

// conclude sets the verdict once nothing that may still happen is worth waiting for.
func (m *Machine) conclude(now time.Time) {
	switch {
	case m.covered == len(m.legs):
		m.verdict = Complete
	case m.covered+m.failed == len(m.legs) && m.enough():
		m.verdict = Partial
	case len(m.legs)-m.failed < m.need:
		m.verdict = m.failure()
	case m.enough() && m.timeForPartial(now):
		m.verdict = Partial
	case now.Before(m.plan.Times.GiveUp):
	case m.enough():
		m.verdict = Partial
	case m.wasSent():
		m.verdict = Expired
	default:
		m.verdict = m.failure()
	}
}

func (m *Machine) enough() bool { return m.plan.Route.Gather != nil && m.covered >= m.need }

// timeForPartial reports whether a partial answer now is better than a fuller one later: within the latency objective it
// is, and after it only when the rest has had its time.
func (m *Machine) timeForPartial(now time.Time) bool {
	times := m.plan.Times
	return (!now.Before(times.PartialAt) && now.Before(times.ObjectiveAt)) || !now.Before(times.SettleAt)
}

func (m *Machine) wasSent() bool {
	return m.ran || slices.ContainsFunc(m.legs, func(l legState) bool { return l.open > 0 })
}

// failure tells whether a request that cannot succeed may have run.
func (m *Machine) failure() Verdict {
	if m.ran || (m.started && m.wasSent()) {
		return Failed
	}
	return Refused
}

// Verdict returns how the request ended, or Pending.
func (m *Machine) Verdict() Verdict { return m.verdict }

// Covered returns the number of legs with a part and the number of all legs.
func (m *Machine) Covered() (covered, all int) { return m.covered, len(m.legs) }
