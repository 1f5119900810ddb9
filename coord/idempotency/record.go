// Package idempotency decides what may be done with a non-idempotent request, from the record of it that is kept on
// the platform. A record is created before the request is sent and only its creator may send.
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
	// NotRun means that the request certainly did not run; it may be claimed again.
	NotRun State = "not_run"
	// Unknown means that the request was sent and that its outcome will not become known.
	Unknown State = "unknown"
)

// Record is what is kept of one non-idempotent request.
type Record struct {
	State       State
	Holder      core.VMName
	Incarnation core.Incarnation
	// Nonce tells the claims of one process apart.
	Nonce uint64
	// Claims counts how often the request was claimed.
	Claims int
	// Fingerprint identifies the content of the request, so that an ID that is reused for another request is refused.
	Fingerprint uint64
	// Deadline is the latest time at which the request may begin at an upstream.
	Deadline time.Time
	Outcome  core.Outcome
	// Answer is the encoded answer, nil when none is kept.
	Answer []byte
}

// Decision is what to do with a request.
type Decision int

// Decisions.
const (
	// Create asks to create the record, and to send only if the creation took effect.
	Create Decision = iota + 1
	// Reclaim asks to replace the record at the version that was read, and to send only if that took effect.
	Reclaim
	// Send means that the record is this claim's own, so the request may be sent once.
	Send
	// Replay asks to return the recorded outcome.
	Replay
	// Running means that the holder may still be working on the request.
	Running
	// Lost means that the outcome will not become known.
	Lost
	// Mismatch means that the ID belongs to a request with another content.
	Mismatch
)

// Claim identifies one try to claim a request.
type Claim struct {
	VM          core.VMName
	Incarnation core.Incarnation
	Nonce       uint64
	Fingerprint uint64
}

// Decide tells what to do with a request when the record reads as given; record is nil when there is none. grace is
// added to the record's deadline to allow for the difference between clocks of VMs.
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
		// The holder wrote no outcome although the request can no longer begin: it ended, or its write was lost.
		return Lost
	default:
		return Running
	}
}

// Begin returns the record that a claim writes. previous is the record that it replaces, or nil.
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
