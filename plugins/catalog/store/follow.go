package store

import (
	"context"
	"math/rand/v2"
	"time"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

// follow lists once and then watches. After a failed watch it lists again, because the watch may have missed changes.
func (f *follower) follow(ctx context.Context, what string, gather time.Duration, list func(context.Context) (kinds.Cursor, error), watch func(context.Context, kinds.Cursor) (kinds.Cursor, error)) {
	link := &link{follower: f, what: what, random: f.Random.Generator()}
	for ctx.Err() == nil {
		stale := f.allowStaleList()
		cursor, err := list(ctx)
		f.lists.Add(1)
		for err == nil {
			link.answered()
			f.checkStaleness(ctx)
			if stale && !f.allowStaleList() {
				// The list may lack what the store no longer tells in a watch.
				break
			}
			before := cursor
			if cursor, err = watch(ctx, cursor); err == nil && cursor != before {
				kernel.Sleep(ctx, gather)
			}
		}
		if err != nil {
			link.failed(ctx, err)
		}
	}
}

// link is what one loop knows of its connection to the store.
type link struct {
	*follower
	what   string
	random *rand.Rand
	// failedInRow counts calls without an answer; lostAt is the time of the first of them.
	failedInRow int
	lostAt      time.Time
}

// answered notes that the store answers.
func (l *link) answered() {
	if l.failedInRow == 0 {
		return
	}
	now := l.Clock.Now()
	l.outage.regained()
	if l.away.Swap(false) {
		l.mu.Lock()
		l.directory.StoreRecovered(now)
		l.mu.Unlock()
	}
	l.Log.Info("store_regained", "what", l.what, "failed_calls", l.failedInRow, "away_ms", now.Sub(l.lostAt).Milliseconds())
	l.failedInRow = 0
}

// failed waits before the next list. A history that is gone is no failure of the store, but lists of all VMs at once are
// spread out all the same.
func (l *link) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	l.failures.Add(1)
	length := millis(l.settings.RetryMS)
	if core.CodeOf(err) == core.CodeHistoryGone {
		l.Log.Info("store_history_gone", "what", l.what)
		l.checking.Lock()
		l.staleness.HistoryGone()
		l.checking.Unlock()
	} else {
		l.doubtStaleReads()
		if l.failedInRow == 0 {
			l.lostAt = l.Clock.Now()
			l.Log.Warn("store_lost", "what", l.what, "error", err.Error())
		}
		for range min(l.failedInRow, 10) {
			length = min(2*length, millis(l.settings.MaxRetryMS))
		}
		l.failedInRow++
		l.away.Store(true)
		if back := l.outage.lost(l.what); back != nil {
			l.awaitOther(ctx, back)
			return
		}
	}
	// The pause is spread by half of itself in both directions, so that VMs do not come back together.
	kernel.Sleep(ctx, time.Duration((0.5+l.random.Float64())*float64(length)))
}

// awaitOther waits until another loop has an answer. If that loop is stuck, this one asks by itself after a while.
func (l *link) awaitOther(ctx context.Context, back <-chan struct{}) {
	limited, cancel := context.WithTimeout(ctx, longestWait)
	defer cancel()
	select {
	case <-back:
		// Lists of all VMs at once are spread out.
		kernel.Sleep(ctx, time.Duration(l.random.Float64()*float64(millis(l.settings.RetryMS))))
	case <-limited.Done():
	}
}

// longestWait bounds the wait for another loop: two calls that time out, and the pauses between them.
const longestWait = 5 * time.Second
