// Package stop decides during a planned stop which requests are still accepted and when those in progress are answered, whatever
// their state, because the process is about to end.
package stop

import "time"

const (
	// answerShare is the share of the stop after which all requests in progress are answered. The rest covers writing the answers and
	// the stop of the other parts.
	answerShare = 0.9
	// acceptShare is the share of the time until then in which requests are accepted. An accepted request has at least as long as the
	// stop has taken before; a later one can be served by another VM from its start.
	acceptShare = 0.5
)

// Schedule holds the times of one stop.
type Schedule struct {
	// AcceptUntil is the time from which requests are refused as not run.
	AcceptUntil time.Time
	// AnswerBy is the time at which the requests in progress are answered.
	AnswerBy time.Time
}

// NewSchedule returns the schedule of a stop that has begun and after whose end the process is killed.
func NewSchedule(begun, end time.Time) Schedule {
	answerAfter := time.Duration(answerShare * float64(end.Sub(begun)))
	return Schedule{AcceptUntil: begun.Add(time.Duration(acceptShare * float64(answerAfter))), AnswerBy: begun.Add(answerAfter)}
}

// Accepts reports whether a request that arrives now is accepted.
func (s Schedule) Accepts(now time.Time) bool { return now.Before(s.AcceptUntil) }
