package gatherers

import "time"

// Acceptance decides how long a VM waits for a gatherer to accept a request.
type Acceptance struct {
	// Timeout is for a gatherer that has answered over the present links; without an answer in time it does not respond.
	Timeout time.Duration
	// OpenTimeout is added for a gatherer that has not: the links in both directions are opened first, which is not silence.
	OpenTimeout time.Duration
}

// Wait returns the time to wait. answered tells whether the gatherer has answered since a link to it last ended.
func (a Acceptance) Wait(answered bool) time.Duration {
	if answered {
		return a.Timeout
	}
	return a.Timeout + a.OpenTimeout
}
