package log

import (
	"context"
	"time"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
)

const (
	// listLimit bounds the changes of one list: each may have 1 MB, and an answer of the platform is bounded.
	listLimit = 32
	// firstBackoff is the mean wait after a failed call; it doubles with each further failure.
	firstBackoff = 500 * time.Millisecond
	// watcherBackoff bounds the wait of the VMs that others depend on, and of VMs without a configuration.
	watcherBackoff = 2 * time.Second
	// otherBackoff bounds the wait of the other VMs. They are many, and changes reach them through peers.
	otherBackoff = 5 * time.Minute
)

// follow finds the first set and then keeps the log up to date from the platform: watchers by a long watch, other VMs
// only when no peer has had contact with it.
func (s *service) follow() {
	s.begin()
	random := s.Random.Generator()
	backoff := firstBackoff
	failed := false
	for s.base.Err() == nil {
		changed := s.State.Changed()
		if !s.wantsPlatform() {
			s.wait(changed, millis(s.settings.CompareMS))
			continue
		}
		if err := s.followOnce(failed); err != nil {
			failed = true
			s.waitRetry(time.Duration((0.5 + random.Float64()) * float64(backoff)))
			backoff = min(2*backoff, s.maxBackoff())
			continue
		}
		failed, backoff = false, firstBackoff
		s.writeCheckpoint()
	}
}

func (s *service) maxBackoff() time.Duration {
	if s.spread().watcher || s.Revision() == 0 {
		return watcherBackoff
	}
	return otherBackoff
}

// wait returns after a time, or earlier when changed is closed or the VM stops.
func (s *service) wait(changed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-s.base.Done():
	}
}

// waitRetry waits before the next try, but not longer once the VM becomes a watcher.
func (s *service) waitRetry(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	watched := s.spread().watcher
	for {
		changed := s.State.Changed()
		if s.spread().watcher && !watched {
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

// wantsPlatform reports whether this VM has to ask the platform itself. Two thirds of the stale time leave room for a
// call before the configuration counts as stale.
func (s *service) wantsPlatform() bool {
	if s.spread().watcher || s.Revision() == 0 {
		return true
	}
	age := s.contactAge()
	return age < 0 || age > millis(s.settings.StaleAfterMS)*2/3
}

// followOnce reads changes from the platform: the whole log at first, then by a watch if this VM is a watcher. After a
// failure a short call goes first: the platform client lets one trial call through, and a watch would hold up all other
// calls of the process while it waits.
func (s *service) followOnce(failed bool) error {
	if !s.isLoaded() {
		return s.load(s.base)
	}
	if failed || (!s.spread().watcher && s.Revision() > 0) {
		return s.refresh(s.base)
	}
	after := s.held()
	objects, err := s.Platform.Watch(s.base, changesPrefix, changeKey(after), millis(s.settings.WatchMS))
	if err != nil {
		return err
	}
	s.takeListed(objects)
	if len(objects) > 0 && s.held() == after {
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

// refresh reads the changes after the own revision up to the end of the log.
func (s *service) refresh(ctx context.Context) error {
	for {
		after := s.held()
		objects, err := s.Platform.List(ctx, changesPrefix, changeKey(after), listLimit)
		if err != nil {
			return err
		}
		s.takeListed(objects)
		if len(objects) < listLimit || s.held() == after {
			s.mu.Lock()
			s.loaded = true
			s.mu.Unlock()
			return nil
		}
	}
}

// load reads the last checkpoint if it is ahead, and the changes after it.
func (s *service) load(ctx context.Context) error {
	if err := s.readCheckpoint(ctx); err != nil {
		return err
	}
	return s.refresh(ctx)
}

// takeListed takes the answer to a list or a watch.
func (s *service) takeListed(objects []kinds.Object) {
	now := s.Clock.Now()
	changes := s.decodeListed(objects)
	var last core.Revision
	if len(changes) > 0 {
		last = changes[len(changes)-1].Revision
		s.take(sourcePlatform, changes...)
	}
	if len(changes) == len(objects) {
		s.freshen(last, now)
	}
}

// begin takes the highest revision that the platform and the peers offer within the start time.
func (s *service) begin() {
	ctx, cancel := context.WithTimeout(s.base, millis(s.settings.StartMS))
	defer cancel()
	loaded := make(chan error, 1)
	s.work.Go(func() { loaded <- s.load(ctx) })
	s.awaitMembers(ctx)
	asked := s.spread().partners.All()
	for _, vm := range asked {
		s.send(vm, s.ownRevision(true))
	}
	s.awaitPeers(ctx, asked)
	if err := <-loaded; err != nil {
		s.Log.Warn("config_platform_not_read", "error", err.Error())
	}
	s.openLog()
	s.publishContact()
}

// awaitMembers waits until the membership knows any VM.
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

// awaitPeers waits until every asked peer has told its revision and the log holds the highest of them.
func (s *service) awaitPeers(ctx context.Context, asked []core.VM) {
	for !s.allTold(asked) {
		select {
		case <-s.heard:
		case <-ctx.Done():
			return
		}
	}
}

func (s *service) allTold(asked []core.VM) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, vm := range asked {
		revision, ok := s.told[vm.Name]
		if !ok || revision > s.log.Revision() {
			return false
		}
	}
	return true
}
