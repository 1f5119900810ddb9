package store

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestOneLoopCallsTheStoreDuringAnOutage guards against an outage during which every loop of every VM calls the store,
// and against a loop that still waits after the recovery.
func TestOneLoopCallsTheStoreDuringAnOutage(t *testing.T) {
	c := qt.New(t)
	var o outage
	c.Assert(o.recordFailure("routes"), qt.IsNil)
	recovered := o.recordFailure("upstreams")
	c.Assert(recovered, qt.Not(qt.IsNil))
	c.Assert(o.recordFailure("routes"), qt.IsNil)
	o.recordSuccess()
	<-recovered
	o.recordSuccess()
	c.Assert(o.recordFailure("upstreams"), qt.IsNil)
}
