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
		o.Wait = min(o.Wait, f.Freshness.CurrentWatch())
	}
	return o
}

// catchUpWait is the time that a watch waits which only collects the changes so far.
const catchUpWait = time.Millisecond

// listing is a list that was read. stale is true if it may lack changes that were made before it was read.
type listing struct {
	cursor kinds.Cursor
	stale  bool
}

// listReader reads one collection. list replaces what was read before, catchUp adds the changes after a position with a current read.
type listReader struct {
	list    func(allowStale bool) (kinds.Cursor, error)
	catchUp func(after kinds.Cursor) (kinds.Cursor, error)
}

// readList reads a list that is not older than anything that this process knows of, and at the start not older than the start. An
// older list could bring back an upstream that has left or a route that was withdrawn. The changes that a stale list lacks are read
// with one current call, which costs less than the pages of a current list.
func (f *follower) readList(r listReader) (listing, error) {
	if f.staleReads().Err() != nil {
		return f.readCurrentList(r)
	}
	newest := f.Freshness.Newest()
	cursor, err := f.recordRead(true)(r.list(true))
	if err != nil && core.CodeOf(err) != core.CodeNotFound && core.CodeOf(err) != core.CodeTableUnreadable {
		return listing{cursor: cursor}, err
	}
	if newest != 0 && cursor >= newest {
		return listing{cursor: cursor, stale: true}, err
	}
	next, err := f.recordRead(false)(r.catchUp(cursor))
	historyGone := core.CodeOf(err) == core.CodeHistoryGone
	if historyGone {
		f.Freshness.RecordHistoryGone()
	}
	if historyGone || (err == nil && next < newest) {
		f.Log.Info("stale_list_refused", "position", uint64(cursor), "newest", uint64(newest))
		return f.readCurrentList(r)
	}
	return listing{cursor: next}, err
}

func (f *follower) readCurrentList(r listReader) (listing, error) {
	cursor, err := f.recordRead(false)(r.list(false))
	return listing{cursor: cursor}, err
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
