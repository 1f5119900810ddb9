package store

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestOneLoopAsksDuringAnOutage guards against calls of every loop of every VM to a store that does not answer, and against a
// loop that waits for ever.
func TestOneLoopAsksDuringAnOutage(t *testing.T) {
	c := qt.New(t)
	var o outage
	c.Assert(o.lost("routes"), qt.IsNil)
	wait := o.lost("upstreams")
	c.Assert(wait, qt.Not(qt.IsNil))
	c.Assert(o.lost("routes"), qt.IsNil)
	o.regained()
	<-wait
	o.regained()
	c.Assert(o.lost("upstreams"), qt.IsNil)
}
