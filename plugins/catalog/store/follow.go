package store

import (
	"context"
	"math/rand/v2"
	"time"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

type (
	listFunc  = func(context.Context) (listing, error)
	watchFunc = func(context.Context, kinds.WatchOptions) (kinds.Cursor, error)
)

// follow lists a collection once and then watches it. After a failed watch it lists again, because the watch may have missed
// changes. It pauses for coalesce after each watch that reported a change.
func (f *follower) follow(ctx context.Context, collection string, coalesce time.Duration, list listFunc, watch watchFunc) {
	l := &loop{follower: f, collection: collection, random: f.Random.Generator()}
	l.list, l.watch = protectedList(f, collection, list), protectedWatch(f, collection, watch)
	for ctx.Err() == nil {
		listed, err := l.list(ctx)
		f.lists.Add(1)
		for cursor := listed.cursor; err == nil; {
			l.recordSuccess()
			if listed.stale && f.staleReads().Err() != nil {
				// The store lags or dropped its history, so the stale list may lack changes that watches do not report.
				break
			}
			cursor, err = l.followOnce(ctx, cursor, coalesce)
		}
		if err != nil {
			l.handleError(ctx, err)
		}
	}
}

// followOnce does one watch and the pause after it. It gives them up when stale reads turn out to lag, and returns the cursor unchanged.
func (l *loop) followOnce(ctx context.Context, cursor kinds.Cursor, coalesce time.Duration) (kinds.Cursor, error) {
	stale := l.staleReads()
	allowStale := stale.Err() == nil
	started := l.Clock.Now()
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if allowStale {
		defer context.AfterFunc(stale, cancel)()
	}
	next, err := l.watch(watchCtx, l.watchOptions(cursor, allowStale))
	if err != nil && allowStale && stale.Err() != nil && ctx.Err() == nil {
		l.Log.Info("watch_given_up", "what", l.collection, "position", uint64(cursor), "waited_ms", l.Clock.Now().Sub(started).Milliseconds())
		return cursor, nil
	}
	if err != nil {
		return cursor, err
	}
	if !allowStale || next > cursor {
		l.Freshness.RecordRead(next, allowStale)
	}
	if next != cursor {
		kernel.Sleep(watchCtx, coalesce)
	}
	return next, nil
}

// protectedList returns a list whose panics are errors, so that an unexpected entry does not end the process.
func protectedList(f *follower, collection string, list listFunc) listFunc {
	return func(ctx context.Context) (listed listing, err error) {
		if panicked := kernel.Protect(f.Log, "list of "+collection, func() { listed, err = list(ctx) }); panicked != nil {
			return listing{}, panicked
		}
		return listed, err
	}
}

// protectedWatch does the same for a watch.
func protectedWatch(f *follower, collection string, watch watchFunc) watchFunc {
	return func(ctx context.Context, o kinds.WatchOptions) (cursor kinds.Cursor, err error) {
		if panicked := kernel.Protect(f.Log, "watch of "+collection, func() { cursor, err = watch(ctx, o) }); panicked != nil {
			return 0, panicked
		}
		return cursor, err
	}
}

// loop is the state of the list-and-watch loop of one collection.
type loop struct {
	*follower
	collection string
	list       listFunc
	watch      watchFunc
	random     *rand.Rand
	// consecutiveFailures counts calls that the store did not answer; failingSince is the time of the first of them.
	consecutiveFailures int
	failingSince        time.Time
}

// recordSuccess records an answer of the store.
func (l *loop) recordSuccess() {
	if l.consecutiveFailures == 0 {
		return
	}
	now := l.Clock.Now()
	l.outage.recordSuccess()
	if l.unavailable.Swap(false) {
		l.mu.Lock()
		l.directory.StoreRecovered(now)
		l.mu.Unlock()
	}
	l.Log.Info("store_regained", "what", l.collection, "failed_calls", l.consecutiveFailures, "away_ms", now.Sub(l.failingSince).Milliseconds())
	l.consecutiveFailures = 0
}

// handleError records a failed call and pauses before the next list. A dropped history is not an outage of the store, but
// the pause spreads the lists of all VMs.
func (l *loop) handleError(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	l.failures.Add(1)
	pause := millis(l.settings.RetryMS)
	if core.CodeOf(err) == core.CodeHistoryGone {
		l.Log.Info("store_history_gone", "what", l.collection)
		l.Freshness.RecordHistoryGone()
	} else {
		l.Freshness.RecordUnavailable()
		if l.consecutiveFailures == 0 {
			l.failingSince = l.Clock.Now()
			l.Log.Warn("store_lost", "what", l.collection, "error", err.Error())
		}
		for range min(l.consecutiveFailures, 10) {
			pause = min(2*pause, millis(l.settings.MaxRetryMS))
		}
		l.consecutiveFailures++
		l.unavailable.Store(true)
		if recovered := l.outage.recordFailure(l.collection); recovered != nil {
			l.awaitRecovery(ctx, recovered)
			return
		}
	}
	// The pause is randomised by half in both directions, so that VMs do not retry at the same time.
	kernel.Sleep(ctx, time.Duration((0.5+l.random.Float64())*float64(pause)))
}

// awaitRecovery waits until the prober receives an answer, at most for maxRecoveryWait in case that loop is stuck.
func (l *loop) awaitRecovery(ctx context.Context, recovered <-chan struct{}) {
	waitCtx, cancel := context.WithTimeout(ctx, maxRecoveryWait)
	defer cancel()
	select {
	case <-recovered:
		// The pause spreads the lists of all VMs.
		kernel.Sleep(ctx, time.Duration(l.random.Float64()*float64(millis(l.settings.RetryMS))))
	case <-waitCtx.Done():
	}
}

// maxRecoveryWait covers two calls that time out and the pauses between them.
const maxRecoveryWait = 5 * time.Second
