package store

import (
	"context"
	"time"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
)

// staleReads returns a context that ends when reads must be current; see kinds.Freshness.
func (f *follower) staleReads() context.Context {
	if f.settings.AllowStale {
		return f.Freshness.StaleReads()
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	return ended
}

// watchOptions returns the options of the next watch.
func (f *follower) watchOptions(after kinds.Cursor, allowStale bool) kinds.WatchOptions {
	o := kinds.WatchOptions{After: after, Wait: millis(f.settings.WatchMS), AllowStale: allowStale}
	if f.settings.AllowStale && !allowStale {
		// While the store lags, the watch ends in time for the next comparison.
		o.Wait = min(o.Wait, f.Freshness.RecheckAfter())
	}
	return o
}

// listReader reads one collection. list replaces what was read before, catchUp adds the changes after a position with a current read.
type listReader struct {
	list    func(allowStale bool) (kinds.Cursor, error)
	catchUp func(after kinds.Cursor) (kinds.Cursor, error)
}

// catchUpWait is the time that a watch waits which only collects the changes so far.
const catchUpWait = time.Millisecond

// readList reads a list that is not older than anything that this process knows of, and at the start not older than the start. An
// older list could bring back an upstream that has left or a route that was withdrawn. The changes that a stale list lacks are read
// with one current call, which costs less than the pages of a current list.
func (f *follower) readList(r listReader) (kinds.Cursor, error) {
	if f.staleReads().Err() != nil {
		return f.recordRead(false)(r.list(false))
	}
	newest := f.Freshness.Newest()
	cursor, err := f.recordRead(true)(r.list(true))
	if err != nil && core.CodeOf(err) != core.CodeNotFound && core.CodeOf(err) != core.CodeTableUnreadable {
		return cursor, err
	}
	if newest != 0 && cursor >= newest {
		return cursor, err
	}
	next, err := f.recordRead(false)(r.catchUp(cursor))
	if (err == nil && next < newest) || core.CodeOf(err) == core.CodeHistoryGone {
		f.Log.Info("stale_list_refused", "position", uint64(cursor), "newest", uint64(newest))
		return f.recordRead(false)(r.list(false))
	}
	return next, err
}

// recordRead returns a function that records the position of a read and returns its arguments.
func (f *follower) recordRead(stale bool) func(kinds.Cursor, error) (kinds.Cursor, error) {
	return func(cursor kinds.Cursor, err error) (kinds.Cursor, error) {
		if err == nil {
			f.Freshness.RecordRead(cursor, stale)
		}
		return cursor, err
	}
}
