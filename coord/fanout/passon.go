package fanout

import "gooseberrylane.example/core"

// Statuses by which an answer promises that the request did not run and never will.
const (
	statusRequestTimeout     = 408
	statusMisdirected        = 421
	statusTooManyRequests    = 429
	statusServiceUnavailable = 503
)

// Statuses of failures.
const (
	minFailureStatus = 400
	maxFailureStatus = 599
)

// MayPassOn reports whether the failed reply of an upstream may become the answer to the caller as it is. It must be the upstream's own:
// without a signature, the bytes may be spoiled, and a status below 400 would look like a success. And it must not promise that the
// request did not run, as 408, 421, 429 and 503 do, when it ran.
func MayPassOn(r *core.Reply) bool {
	if r.Outcome != core.OutcomeRan || r.Code == core.CodeOK || r.Signature == "" {
		return false
	}
	switch r.Status {
	case statusRequestTimeout, statusMisdirected, statusTooManyRequests, statusServiceUnavailable:
		return false
	default:
		return r.Status >= minFailureStatus && r.Status <= maxFailureStatus
	}
}
