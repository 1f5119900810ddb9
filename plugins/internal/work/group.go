// Package work counts the work that plug-ins do for other VMs, so that a stop can wait for it.
package work

import (
	"context"
	"sync/atomic"
)

// closing is the bit of Group.state that is set by Close.
const closing int64 = 1 << 62

// Group counts running work and can be closed while new work arrives, which a sync.WaitGroup does not allow.
type Group struct {
	state atomic.Int64
	idle  chan struct{}
}

// NewGroup returns a group without work.
func NewGroup() *Group { return &Group{idle: make(chan struct{})} }

// Stop refuses new work and waits until the running work has ended, or until ctx ends. It must be called only once.
func (w *Group) Stop(ctx context.Context) error {
	select {
	case <-w.Close():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Go runs f on a new goroutine and returns true, or returns false after Close.
func (w *Group) Go(f func()) bool {
	for {
		old := w.state.Load()
		if old&closing != 0 {
			return false
		}
		if w.state.CompareAndSwap(old, old+1) {
			break
		}
	}
	go func() {
		defer w.done()
		f()
	}()
	return true
}

func (w *Group) done() {
	if w.state.Add(-1) == closing {
		close(w.idle)
	}
}

// Close refuses new work and returns a channel that is closed when all work has ended. It must be called only once.
func (w *Group) Close() <-chan struct{} {
	if w.state.Or(closing) == 0 {
		close(w.idle)
	}
	return w.idle
}
