package log

import (
	"fmt"
	"time"

	"gooseberrylane.example/coord/config"
	"gooseberrylane.example/core"
)

// Values of the log attribute source: where an applied revision came from.
const (
	sourceStart    = "start"
	sourcePlatform = "platform"
	sourcePeer     = "peer"
	sourcePeerSet  = "peer_set"
	sourceConfirm  = "confirm"
)

// contactStep is the smallest advance of the time of last contact that is published while the set stays the same.
const contactStep = time.Second

// addChanges adds changes to the log, then publishes the applied ones and pushes them to peers. It reports whether any
// change was applied.
func (s *service) addChanges(source string, changes ...config.Change) bool {
	s.mu.Lock()
	applied, err := s.log.Add(changes...)
	s.publish(source, applied)
	published := s.published
	s.mu.Unlock()
	if err != nil {
		s.Log.Error("config_change_refused", "source", source, "error", err.Error())
	}
	if published && len(applied) > 0 {
		s.push(applied)
	}
	return len(applied) > 0
}

// restore replaces the set of the log with a later one and publishes it. It reports whether the set was later.
func (s *service) restore(source string, set *core.ConfigSet) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := set.Revision
	restored, applied := s.log.Restore(set)
	if restored && s.published {
		if len(applied) == 0 {
			s.logApplied(revision, "", s.log.Digest(), source)
		}
		s.publish(source, applied)
		s.publishSet()
	}
	return restored
}

// publish logs the applied changes and puts the set of the log in force. The caller holds mu.
func (s *service) publish(source string, applied []config.AppliedChange) {
	if !s.published || len(applied) == 0 {
		return
	}
	for i := range applied {
		s.logApplied(applied[i].Change.Revision, applied[i].Change.Plan, applied[i].Digest, source)
	}
	s.publishSet()
}

// publishSet puts the set of the log in force. Once a set is in force, the membership makes the VM ready as soon as
// upstream ownership is known.
func (s *service) publishSet() { s.State.SetConfig(s.log.Set()) }

// logApplied writes the log line that allows checks for reverts and torn sets: revisions only increase, and a revision
// has the same digest on every VM.
func (s *service) logApplied(revision core.Revision, plan config.PlanID, digest uint64, source string) {
	s.Log.Info("config_applied", "revision", uint64(revision), "plan", string(plan), "digest", fmt.Sprintf("%016x", digest), "source", source)
}

// publishInitial puts the set that was loaded at the start in force.
func (s *service) publishInitial() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.published = true
	if s.log.Revision() == 0 {
		s.Log.Warn("config_waiting", "loaded", s.loaded)
		return
	}
	s.logApplied(s.log.Revision(), "", s.log.Digest(), sourceStart)
	s.publishSet()
}

// recordContact records that a revision was the head of the log at a time.
func (s *service) recordContact(revision core.Revision, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.log.Revision() >= revision && at.After(s.lastContact) {
		s.lastContact = at
	}
}

// contactAge returns the time since the last contact with the platform, or -1 if there was none.
func (s *service) contactAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastContact.IsZero() {
		return -1
	}
	return max(s.Clock.Now().Sub(s.lastContact), 0)
}

// publishContact publishes the time of the last contact with the platform and whether the configuration is stale.
func (s *service) publishContact() {
	s.mu.Lock()
	lastContact, published := s.lastContact, s.published
	s.mu.Unlock()
	if !published {
		return
	}
	stale := lastContact.IsZero() || s.Clock.Now().Sub(lastContact) > millis(s.settings.StaleAfterMS)
	view := s.State.Load()
	if stale == view.Stale && lastContact.Sub(view.LastPlatformContact) < contactStep {
		return
	}
	if stale != view.Stale {
		s.Log.Warn("config_stale_changed", "stale", stale, "revision", uint64(view.Config.Revision))
	}
	s.State.Update(func(v *core.View) { v.Stale, v.LastPlatformContact = stale, lastContact })
}
