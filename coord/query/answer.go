package query

import (
	"slices"
	"time"

	"gooseberrylane.example/core"
)

// Answer returns the current answer. It is final once Done is true.
func (m *Machine) Answer() core.Answer {
	answer := core.Answer{
		RequestID: m.cfg.Query.RequestID,
		Version:   m.cfg.Version,
		Revision:  m.cfg.View.Config.Revision,
		Covered:   make([]core.ShardResult, 0, len(m.shards)),
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
	case m.cfg.Query.Idempotent:
		return core.CodePartial
	case m.outcome == core.OutcomeUnknown:
		return core.CodeOutcomeUnknown
	case m.outcome == core.OutcomeRan:
		// The request ran, so the code must not be one that means it did not.
		return core.CodeUpstreamError
	default:
		return notRunCode(answer.Missing[0].Reason)
	}
}

// notRunCode returns the reason if it states that the request did not run, else CodeNotRun.
func notRunCode(reason core.Code) core.Code {
	if reason.IsNotRun() {
		return reason
	}
	return core.CodeNotRun
}

func (m *Machine) endReport(now time.Time, a *attemptState, result *core.AttemptResult) {
	if !m.cfg.Query.Explain {
		return
	}
	report := &m.reports[a.report]
	report.Ended = now.Sub(m.started)
	report.Code, report.Outcome = result.Code, result.Outcome
}
