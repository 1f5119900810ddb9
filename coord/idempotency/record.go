// Package idempotency decides how to handle a non-idempotent request, from its record in the store. A record is written
// before the request is sent, and only the process that the record names as its holder may send the request.
package idempotency

import (
	"time"

	"gooseberrylane.example/core"
)

// State is the state of a record.
type State string

// Record states.
const (
	// Started means that the holder may have sent the request.
	Started State = "started"
	// Ran means that the request ran.
	Ran State = "ran"
	// NotRun means that the request certainly did not run, so it may be claimed again.
	NotRun State = "not_run"
	// Unknown means that the request was sent and its outcome cannot be determined.
	Unknown State = "unknown"
)

// Record is the stored state of one non-idempotent request.
type Record struct {
	State       State
	Holder      core.VMName
	Incarnation core.Incarnation
	// Nonce distinguishes the claims of one process.
	Nonce uint64
	// Claims is the number of times that the request was claimed.
	Claims int
	// Fingerprint identifies the content of the request, so that the reuse of an ID for another request is refused.
	Fingerprint uint64
	// Deadline is the latest time at which the request may begin at an upstream.
	Deadline time.Time
	Outcome  core.Outcome
	// Answer is the encoded answer, nil when none is stored.
	Answer []byte
}

// Decision is how to handle a request.
type Decision int

// Decisions.
const (
	// Create means: create the record, and send the request only if the creation succeeded.
	Create Decision = iota + 1
	// Reclaim means: replace the record at the version that was read, and send the request only if that succeeded.
	Reclaim
	// Send means that the record belongs to this claim, so the request may be sent once.
	Send
	// Replay means: return the recorded outcome.
	Replay
	// Running means that the holder may still be running the request.
	Running
	// Lost means that the outcome cannot be determined.
	Lost
	// Mismatch means that the ID belongs to a request with different content.
	Mismatch
)

// Claim identifies one attempt to claim a request.
type Claim struct {
	VM          core.VMName
	Incarnation core.Incarnation
	Nonce       uint64
	Fingerprint uint64
}

// Decide returns how to handle a request given its record; record is nil when there is none. grace is added to the
// record's deadline to allow for clock skew between VMs.
func Decide(record *Record, claim Claim, now time.Time, grace time.Duration) Decision {
	switch {
	case record == nil:
		return Create
	case record.Fingerprint != claim.Fingerprint:
		return Mismatch
	case record.State == NotRun:
		return Reclaim
	case record.State == Ran:
		return Replay
	case record.State == Unknown:
		return Lost
	case record.Holder == claim.VM && record.Incarnation == claim.Incarnation && record.Nonce == claim.Nonce:
		return Send
	case now.After(record.Deadline.Add(grace)):
		// The request can no longer begin, but no outcome is recorded: the holder ended, or its write was lost.
		return Lost
	default:
		return Running
	}
}

// Begin returns the record that a claim writes. previous is the record that this one replaces, or nil.
func Begin(previous *Record, claim Claim, deadline time.Time) Record {
	claims := 1
	if previous != nil {
		claims = previous.Claims + 1
	}
	return Record{
		State: Started, Holder: claim.VM, Incarnation: claim.Incarnation, Nonce: claim.Nonce,
		Claims: claims, Fingerprint: claim.Fingerprint, Deadline: deadline,
	}
}

// Finish returns the record after the request ended with an outcome.
func Finish(record Record, outcome core.Outcome, answer []byte) Record {
	record.Outcome = outcome
	switch outcome {
	case core.OutcomeRan:
		record.State, record.Answer = Ran, answer
	case core.OutcomeNotRun:
		record.State = NotRun
	default:
		record.State = Unknown
	}
	return record
}
