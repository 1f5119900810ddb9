package platform

import "time"

// allowance counts calls against a rate. It saves up the calls of one second.
type allowance struct {
	saved float64
	last  time.Time
}

// take uses one call, or reports that the rate is used up. A rate of 0 is no bound.
func (a *allowance) take(now time.Time, rate float64) bool {
	if rate <= 0 {
		return true
	}
	if a.last.IsZero() {
		a.saved = rate
	} else {
		a.saved = min(a.saved+rate*now.Sub(a.last).Seconds(), rate)
	}
	a.last = now
	if a.saved < 1 {
		return false
	}
	a.saved--
	return true
}
