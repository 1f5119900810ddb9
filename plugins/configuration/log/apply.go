package log

import (
	"fmt"
	"time"

	"gooseberrylane.example/coord/config"
	"gooseberrylane.example/core"
)

// Sources of applied revisions in the log lines.
const (
	sourceStart    = "start"
	sourcePlatform = "platform"
	sourcePeer     = "peer"
	sourcePeerSet  = "peer_set"
	sourceConfirm  = "confirm"
)

// freshStep is the smallest change of the time of the last contact that is published while the set stays the same.
const freshStep = time.Second

// take adds changes to the log, publishes what they made possible and pushes it to peers. It reports whether any
// change was applied.
func (s *service) take(source string, changes ...config.Change) bool {
	s.mu.Lock()
	steps, err := s.log.Add(changes...)
	s.publish(source, steps)
	open := s.open
	s.mu.Unlock()
	if err != nil {
		s.Log.Error("config_change_refused", "source", source, "error", err.Error())
	}
	if open && len(steps) > 0 {
		s.push(steps)
	}
	return len(steps) > 0
}

// restore replaces the set of the log by a later one and publishes it. It reports whether the set was later.
func (s *service) restore(source string, set *core.ConfigSet) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := set.Revision
	restored, steps := s.log.Restore(set)
	if restored && s.open {
		if len(steps) == 0 {
			s.logApplied(revision, "", s.log.Digest(), source)
		}
		s.publish(source, steps)
		s.publishSet()
	}
	return restored
}

// publish logs applied steps and puts the set of the log in force. The caller holds mu.
func (s *service) publish(source string, steps []config.AppliedChange) {
	if !s.open || len(steps) == 0 {
		return
	}
	for i := range steps {
		s.logApplied(steps[i].Change.Revision, steps[i].Change.Plan, steps[i].Digest, source)
	}
	s.publishSet()
}

// publishSet puts the set of the log in force. From the first set on, the membership makes the VM ready as soon as the
// ownership of the upstreams is known.
func (s *service) publishSet() { s.State.SetConfig(s.log.Set()) }

// logApplied writes the line from which reverts and torn sets can be checked: revisions only grow, and a revision has
// the same digest on every VM.
func (s *service) logApplied(revision core.Revision, plan config.PlanID, digest uint64, source string) {
	s.Log.Info("config_applied", "revision", uint64(revision), "plan", string(plan), "digest", fmt.Sprintf("%016x", digest), "source", source)
}

// openLog puts the set that was found at the start in force.
func (s *service) openLog() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = true
	if s.log.Revision() == 0 {
		s.Log.Warn("config_waiting", "loaded", s.loaded)
		return
	}
	s.logApplied(s.log.Revision(), "", s.log.Digest(), sourceStart)
	s.publishSet()
}

// freshen notes that the set at a revision was the head of the log at a time.
func (s *service) freshen(revision core.Revision, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.log.Revision() >= revision && at.After(s.fresh) {
		s.fresh = at
	}
}

// contactAge returns the time since the last contact with the platform, or -1 when there was none.
func (s *service) contactAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fresh.IsZero() {
		return -1
	}
	return max(s.Clock.Now().Sub(s.fresh), 0)
}

// publishContact publishes the time of the last contact with the platform and whether the configuration may be old.
func (s *service) publishContact() {
	s.mu.Lock()
	fresh, open := s.fresh, s.open
	s.mu.Unlock()
	if !open {
		return
	}
	stale := fresh.IsZero() || s.Clock.Now().Sub(fresh) > millis(s.settings.StaleAfterMS)
	view := s.State.Load()
	if stale == view.Stale && fresh.Sub(view.LastPlatformContact) < freshStep {
		return
	}
	if stale != view.Stale {
		s.Log.Warn("config_stale_changed", "stale", stale, "revision", uint64(view.Config.Revision))
	}
	s.State.Update(func(v *core.View) { v.Stale, v.LastPlatformContact = stale, fresh })
}
