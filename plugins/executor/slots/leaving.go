package slots

import (
	"sync"
	"sync/atomic"

	"gooseberrylane.example/coord/drain"
	"gooseberrylane.example/core"
)

// leaving shares a drain tracker between the goroutines of a target. Requests read one atomic.
type leaving struct {
	flag    atomic.Bool
	mu      sync.Mutex
	tracker drain.Tracker
}

func (l *leaving) now() bool { return l.flag.Load() }

func (l *leaving) sign(apply func(*drain.Tracker) drain.Change) drain.Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	change := apply(&l.tracker)
	l.flag.Store(l.tracker.Draining())
	return change
}

// answered handles the sign of leaving in an answer to a leg.
func (e *executor) answered(t *target) {
	if t.leaving.now() {
		return
	}
	e.apply(t, t.leaving.sign(func(d *drain.Tracker) drain.Change { return d.Answered(e.Clock.Now(), true) }))
}

// healthTold handles an answer of the health endpoint, or a refused connection.
func (e *executor) healthTold(t *target, draining, refused bool) {
	e.apply(t, t.leaving.sign(func(d *drain.Tracker) drain.Change {
		if refused {
			d.ProcessEnded()
			return drain.Unchanged
		}
		return d.Health(e.Clock.Now(), draining)
	}))
}

func (e *executor) apply(t *target, change drain.Change) {
	state := e.State.Load().State(t.upstream.ID)
	if state == nil {
		return
	}
	switch change {
	case drain.Began:
		state.DrainSince.CompareAndSwap(0, e.Clock.Now().UnixNano())
		t.pool.CloseIdle()
		t.refuseWaiting(core.CodeDraining)
		e.Log.Info("upstream_draining", "upstream", string(t.upstream.ID))
	case drain.Ended:
		// The upstream that is back may be another process: it starts slowly and its latency is learned anew.
		state.ResetLatency()
		state.FirstUsed.Store(0)
		state.DrainSince.Store(0)
		e.Log.Info("upstream_back", "upstream", string(t.upstream.ID))
		e.done.Go(func() { t.pool.Warm(e.base, e.warmConnections(t)) })
	case drain.Unchanged:
	}
}
