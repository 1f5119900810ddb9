package slots

import (
	"sync"
	"sync/atomic"

	"gooseberrylane.example/coord/drain"
	"gooseberrylane.example/core"
)

// drainState shares a drain tracker between the goroutines of a target. Requests read one atomic.
type drainState struct {
	draining atomic.Bool
	mu       sync.Mutex
	tracker  drain.Tracker
}

func (s *drainState) active() bool { return s.draining.Load() }

func (s *drainState) update(signal func(*drain.Tracker) drain.Change) drain.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	change := signal(&s.tracker)
	s.draining.Store(s.tracker.Draining())
	return change
}

// onDrainingAnswer handles an answer to an attempt, or a signal from another VM, that reports draining.
func (e *executor) onDrainingAnswer(t *target) {
	if t.drain.active() {
		return
	}
	e.applyDrainChange(t, t.drain.update(func(d *drain.Tracker) drain.Change { return d.Answered(e.Clock.Now(), true) }))
}

// onHealth handles a response of the health endpoint, or a refused connection.
func (e *executor) onHealth(t *target, draining, refused bool) {
	e.applyDrainChange(t, t.drain.update(func(d *drain.Tracker) drain.Change {
		if refused {
			d.ProcessEnded()
			return drain.Unchanged
		}
		return d.Health(e.Clock.Now(), draining)
	}))
}

func (e *executor) applyDrainChange(t *target, change drain.Change) {
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
		// The upstream may be a new process, so its latency is reset and slow start applies.
		state.ResetLatency()
		state.FirstUsed.Store(0)
		state.DrainSince.Store(0)
		e.Log.Info("upstream_back", "upstream", string(t.upstream.ID))
		e.background.Go(func() { t.pool.Warm(e.base, e.warmConnections(t)) })
	case drain.Unchanged:
	}
}
