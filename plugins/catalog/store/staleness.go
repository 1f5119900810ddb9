package store

import (
	"context"

	"gooseberrylane.example/coord/catalog"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func (f *follower) watchOptions(after kinds.Cursor) kinds.WatchOptions {
	f.checking.Lock()
	defer f.checking.Unlock()
	o := kinds.WatchOptions{After: after, Wait: millis(f.settings.WatchMS), AllowStale: f.settings.AllowStale && f.staleness.AllowStale()}
	if f.settings.AllowStale && !o.AllowStale {
		// The next check falls due while the store lags.
		o.Wait = min(o.Wait, catalog.RecheckAfter)
	}
	return o
}

func (f *follower) allowStaleList() bool {
	f.checking.Lock()
	defer f.checking.Unlock()
	return f.settings.AllowStale && f.staleness.AllowStaleList()
}

// doubtStaleReads makes the next watch wait for a check.
func (f *follower) doubtStaleReads() {
	f.checking.Lock()
	defer f.checking.Unlock()
	f.staleness.RequireCheck()
}

// checkStaleness compares a current and a stale read if that is due. When the check fails, watches ask for current data.
func (f *follower) checkStaleness(ctx context.Context) {
	f.checking.Lock()
	defer f.checking.Unlock()
	if !f.settings.AllowStale || !f.staleness.NeedsCheck(f.Clock.Now()) {
		return
	}
	current, err := f.Store.Position(ctx, false)
	if err != nil {
		f.Log.Info("staleness_unknown", "error", err.Error())
		return
	}
	kernel.Sleep(ctx, catalog.AcceptedLag)
	stale, err := f.Store.Position(ctx, true)
	if err != nil {
		f.Log.Info("staleness_unknown", "error", err.Error())
		return
	}
	f.staleness.RecordCheck(f.Clock.Now(), uint64(current), uint64(stale))
	f.Log.Info("staleness_checked", "current", uint64(current), "stale", uint64(stale), "allow_stale", f.staleness.AllowStale())
}
