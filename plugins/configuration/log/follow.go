package log

import (
	"context"
	"time"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
)

const (
	// listLimit bounds the changes of one list call: each may have 1 MB, and the size of a platform answer is limited.
	listLimit = 32
	// initialBackoff is the mean wait after a failed call; it doubles with each consecutive failure.
	initialBackoff = 500 * time.Millisecond
	// watcherBackoff bounds the wait of watchers, on which other VMs depend, and of VMs without a configuration.
	watcherBackoff = 2 * time.Second
	// nonWatcherBackoff bounds the wait of the other VMs. They are many, and receive changes from peers.
	nonWatcherBackoff = 5 * time.Minute
)

// follow loads the initial set and then keeps the log up to date from the platform: watchers with long watches, other VMs
// only when no peer reports a recent contact with the platform.
func (s *service) follow() {
	s.loadInitial()
	random := s.Random.Generator()
	backoff := initialBackoff
	failed := false
	for s.base.Err() == nil {
		changed := s.State.Changed()
		if !s.needsPlatform() {
			s.wait(changed, millis(s.settings.CompareIntervalMS))
			continue
		}
		if err := s.followOnce(failed); err != nil {
			failed = true
			s.waitRetry(time.Duration((0.5 + random.Float64()) * float64(backoff)))
			backoff = min(2*backoff, s.maxBackoff())
			continue
		}
		failed, backoff = false, initialBackoff
		s.writeCheckpoint()
	}
}

func (s *service) maxBackoff() time.Duration {
	if s.currentPartners().watcher || s.Revision() == 0 {
		return watcherBackoff
	}
	return nonWatcherBackoff
}

// wait returns after d, or earlier when changed is closed or the VM stops.
func (s *service) wait(changed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-s.base.Done():
	}
}

// waitRetry waits d before the next call. It returns early when the VM becomes a watcher or stops.
func (s *service) waitRetry(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	wasWatcher := s.currentPartners().watcher
	for {
		changed := s.State.Changed()
		if s.currentPartners().watcher && !wasWatcher {
			return
		}
		select {
		case <-timer.C:
			return
		case <-changed:
		case <-s.base.Done():
			return
		}
	}
}

// needsPlatform reports whether this VM has to call the platform itself. A limit of two thirds of the stale time leaves
// time for a call before the configuration counts as stale.
func (s *service) needsPlatform() bool {
	if s.currentPartners().watcher || s.Revision() == 0 {
		return true
	}
	age := s.contactAge()
	return age < 0 || age > millis(s.settings.StaleAfterMS)*2/3
}

// followOnce reads changes from the platform: the whole log at first, later with a watch if this VM is a watcher or has no
// configuration, else with a list. After a failure it lists before it watches: the platform client admits only one probe
// call, and a waiting watch would block all other calls of the process.
func (s *service) followOnce(failed bool) error {
	if !s.isLoaded() {
		return s.load(s.base)
	}
	if failed || (!s.currentPartners().watcher && s.Revision() > 0) {
		return s.refresh(s.base)
	}
	after := s.logRevision()
	objects, err := s.Platform.Watch(s.base, changesPrefix, changeKey(after), millis(s.settings.WatchMS))
	if err != nil {
		return err
	}
	s.applyListed(objects)
	if len(objects) > 0 && s.logRevision() == after {
		// The next watch would return at once with the same changes.
		return core.Errorf(core.CodeInternal, "change %d was refused", after+1)
	}
	return nil
}

func (s *service) isLoaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded
}

// refresh reads the changes after the revision of this VM up to the end of the log.
func (s *service) refresh(ctx context.Context) error {
	for {
		after := s.logRevision()
		objects, err := s.Platform.List(ctx, changesPrefix, changeKey(after), listLimit)
		if err != nil {
			return err
		}
		s.applyListed(objects)
		if len(objects) < listLimit || s.logRevision() == after {
			s.mu.Lock()
			s.loaded = true
			s.mu.Unlock()
			return nil
		}
	}
}

// load reads the last checkpoint if it is ahead of the log, and the changes after it.
func (s *service) load(ctx context.Context) error {
	if err := s.readCheckpoint(ctx); err != nil {
		return err
	}
	return s.refresh(ctx)
}

// applyListed adds the changes returned by a list or a watch to the log.
func (s *service) applyListed(objects []kinds.Object) {
	now := s.Clock.Now()
	changes := s.decodeListed(objects)
	var last core.Revision
	if len(changes) > 0 {
		last = changes[len(changes)-1].Revision
		s.addChanges(sourcePlatform, changes...)
	}
	if len(changes) == len(objects) {
		s.recordContact(last, now)
	}
}

// loadInitial publishes the highest revision that the platform and the peers report within StartTimeoutMS.
func (s *service) loadInitial() {
	ctx, cancel := context.WithTimeout(s.base, millis(s.settings.StartTimeoutMS))
	defer cancel()
	loaded := make(chan error, 1)
	s.work.Go(func() { loaded <- s.load(ctx) })
	s.awaitMembers(ctx)
	queried := s.currentPartners().partners.All()
	for _, vm := range queried {
		s.send(vm, s.newRevisionMessage(true))
	}
	s.awaitPeers(ctx, queried)
	if err := <-loaded; err != nil {
		s.Log.Warn("config_platform_not_read", "error", err.Error())
	}
	s.publishInitial()
	s.publishContact()
}

// awaitMembers waits until the member list is not empty.
func (s *service) awaitMembers(ctx context.Context) {
	for {
		changed := s.State.Changed()
		if len(s.State.Load().Members.All) > 0 {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// awaitPeers waits until every queried peer has reported its revision and the log holds the highest of them.
func (s *service) awaitPeers(ctx context.Context, queried []core.VM) {
	for !s.peersCaughtUp(queried) {
		select {
		case <-s.peerReported:
		case <-ctx.Done():
			return
		}
	}
}

func (s *service) peersCaughtUp(queried []core.VM) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, vm := range queried {
		revision, ok := s.peerRevisions[vm.Name]
		if !ok || revision > s.log.Revision() {
			return false
		}
	}
	return true
}
