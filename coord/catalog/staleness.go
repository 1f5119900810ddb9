package catalog

import "time"

// Staleness decides whether changes may be followed by reads that the store answers from old data. Such reads are cheap
// and usually as new as others, but fall seconds behind when the store has lost its history. It is not safe for concurrent
// use. The zero value asks for a check.
type Staleness struct {
	checked bool
	lagging bool
	// gone is true between the loss of the history and the next check.
	gone bool
	// checkAt is when a store that lagged is checked again.
	checkAt time.Time
}

// AcceptedLag is how far stale reads may be behind: together with the pauses of a follower, a change is still known well
// within the 3 s after which it must be in force. The stale read of a check follows the current one after this time.
const AcceptedLag = 800 * time.Millisecond

// RecheckAfter is the time between two checks of a store that lags.
const RecheckAfter = 4 * time.Second

// NeedsCheck reports whether the positions of a current and of a stale read have to be compared before the next watch.
func (s *Staleness) NeedsCheck(now time.Time) bool {
	return !s.checked || (s.lagging && !now.Before(s.checkAt))
}

// Checked takes the positions of a current read and of a stale one that followed it after AcceptedLag.
func (s *Staleness) Checked(now time.Time, current, stale uint64) {
	s.checked, s.gone, s.lagging, s.checkAt = true, false, stale < current, now.Add(RecheckAfter)
}

// HistoryGone tells that the store dropped its history.
func (s *Staleness) HistoryGone() { s.checked, s.gone = false, true }

// Doubt asks for a check: a watch broke off, which it also does when the store drops its history.
func (s *Staleness) Doubt() { s.checked = false }

// AllowStale reports whether stale reads are as new as others, as far as is known.
func (s *Staleness) AllowStale() bool { return s.checked && !s.lagging }

// AllowStaleList reports whether a list may be stale. One before the first check is followed by watches that are current
// or as good as that, which tell what it lacks.
func (s *Staleness) AllowStaleList() bool { return !s.gone && !s.lagging }
