package owner

import (
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestWorkThatArrivesWhileClosingIsRefusedOrFinished guards against a stop that ends before the sub-requests of another VM
// which arrived at the same time.
func TestWorkThatArrivesWhileClosingIsRefusedOrFinished(t *testing.T) {
	c := qt.New(t)
	for range 200 {
		w := workGroup{idle: make(chan struct{})}
		var begun, ended atomic.Int64
		var senders sync.WaitGroup
		for range 8 {
			senders.Go(func() {
				if w.Go(func() { ended.Add(1) }) {
					begun.Add(1)
				}
			})
		}
		<-w.Close()
		atClose := ended.Load()
		senders.Wait()
		c.Assert(begun.Load(), qt.Equals, atClose)
		c.Assert(w.Go(func() {}), qt.IsFalse)
	}
}
