package owner

import "sync/atomic"

// closing is the bit of workGroup.state that is set by Close.
const closing int64 = 1 << 62

// workGroup counts running work and can be closed while new work arrives, which a sync.WaitGroup does not allow.
type workGroup struct {
	state atomic.Int64
	idle  chan struct{}
}

// Go runs f on a new goroutine and returns true, or returns false after Close.
func (w *workGroup) Go(f func()) bool {
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

func (w *workGroup) done() {
	if w.state.Add(-1) == closing {
		close(w.idle)
	}
}

// Close refuses new work and returns a channel that is closed when all work has ended. It must be called only once.
func (w *workGroup) Close() <-chan struct{} {
	if w.state.Or(closing) == 0 {
		close(w.idle)
	}
	return w.idle
}
