package log

import (
	"math"
	"time"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
)

// revisionMessage reports the revision of the sender. The receiver sends the changes that the sender lacks or requests
// those that it lacks itself.
type revisionMessage struct {
	Revision core.Revision
	// ContactAgeMS is the time since Revision was last known to be the head of the log, in milliseconds; -1 means never.
	ContactAgeMS int64
	// Reply requests that the receiver replies with its revision only: a starting VM queries several peers, then requests
	// the changes from one.
	Reply bool
}

// changesMessage carries changes in order, each encoded as on the platform.
type changesMessage struct {
	// Head is the log revision of the sender.
	Head    core.Revision
	Changes [][]byte
}

// changesRequest requests the changes after a revision.
type changesRequest struct {
	After core.Revision
}

// setMessage carries a whole set to a VM that is too far behind for single changes.
type setMessage struct {
	Revision core.Revision
	Data     []byte
}

// progressRequest requests the revision in force.
type progressRequest struct {
	ID uint64
}

// progressAnswer reports the revision in force.
type progressAnswer struct {
	ID       uint64
	Revision core.Revision
}

// MessageName implements kinds.Message.
func (revisionMessage) MessageName() string { return "config_revision" }

// MessageName implements kinds.Message.
func (changesMessage) MessageName() string { return "config_changes" }

// MessageName implements kinds.Message.
func (changesRequest) MessageName() string { return "config_changes_request" }

// MessageName implements kinds.Message.
func (setMessage) MessageName() string { return "config_set" }

// MessageName implements kinds.Message.
func (progressRequest) MessageName() string { return "config_progress_request" }

// MessageName implements kinds.Message.
func (progressAnswer) MessageName() string { return "config_progress_answer" }

// inbound is a message with its sender.
type inbound struct {
	from    core.VM
	message kinds.Message
}

func (s *service) handleMessages() {
	for _, prototype := range []kinds.Message{revisionMessage{}, changesMessage{}, changesRequest{}, setMessage{}, progressRequest{}} {
		s.Peers.Handle(prototype, func(from core.VM, m kinds.Message) {
			select {
			case s.inbox <- inbound{from: from, message: m}:
			default:
			}
		})
	}
	s.Peers.Handle(progressAnswer{}, s.onProgressAnswer)
	s.Peers.OnLinkDown(s.onLinkDown)
}

func (s *service) newRevisionMessage(requestReply bool) revisionMessage {
	age := s.contactAge()
	m := revisionMessage{Revision: s.logRevision(), ContactAgeMS: age.Milliseconds(), Reply: requestReply}
	if age < 0 {
		m.ContactAgeMS = -1
	}
	return m
}

// maxContactAgeMS is the maximum of time.Duration in milliseconds. A larger age would overflow to a contact in the
// future, which would hide that the configuration is stale.
const maxContactAgeMS = math.MaxInt64 / int64(time.Millisecond)

// contact returns the time of the platform contact that a message reports, or false if it reports none.
func (m *revisionMessage) contact(now time.Time) (time.Time, bool) {
	if m.ContactAgeMS < 0 || m.ContactAgeMS > maxContactAgeMS {
		return time.Time{}, false
	}
	return now.Add(-millis(m.ContactAgeMS)), true
}
