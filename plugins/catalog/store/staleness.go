package store

import (
	"context"

	"gooseberrylane.example/coord/catalog"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func (f *follower) watchOptions(after kinds.Cursor) kinds.WatchOptions {
	f.stalenessMu.Lock()
	defer f.stalenessMu.Unlock()
	o := kinds.WatchOptions{After: after, Wait: millis(f.settings.WatchMS), AllowStale: f.settings.AllowStale && f.staleness.AllowStale()}
	if f.settings.AllowStale && !o.AllowStale {
		// While the store lags, the watch ends in time for the next check.
		o.Wait = min(o.Wait, catalog.RecheckAfter)
	}
	return o
}

func (f *follower) allowStaleList() bool {
	f.stalenessMu.Lock()
	defer f.stalenessMu.Unlock()
	return f.settings.AllowStale && f.staleness.AllowStaleList()
}

// requireStalenessCheck makes a check due before the next watch.
func (f *follower) requireStalenessCheck() {
	f.stalenessMu.Lock()
	defer f.stalenessMu.Unlock()
	f.staleness.RequireCheck()
}

// checkStaleness compares the positions of a current and a stale read if a check is due. If a read fails, watches use
// current reads until the next check.
func (f *follower) checkStaleness(ctx context.Context) {
	f.stalenessMu.Lock()
	defer f.stalenessMu.Unlock()
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
