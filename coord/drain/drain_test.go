package drain_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/coord/drain"
)

var now = time.Unix(1000, 0)

// TestFirstSignOfAnyKindEndsNewWork guards against work for an upstream that said that it leaves in only one way.
func TestFirstSignOfAnyKindEndsNewWork(t *testing.T) {
	c := qt.New(t)
	var answered, told drain.Tracker
	c.Assert(answered.Answered(now, true), qt.Equals, drain.Began)
	c.Assert(told.Health(now, true), qt.Equals, drain.Began)
	c.Assert(answered.Leaving() && told.Leaving(), qt.IsTrue)
	c.Assert(told.Answered(now, true), qt.Equals, drain.Unchanged)
}

// TestHealthThatNeverToldIsNotBelieved guards against new work for a leaving upstream whose health endpoint claims all
// is well, and against an upstream that never gets work again.
func TestHealthThatNeverToldIsNotBelieved(t *testing.T) {
	c := qt.New(t)
	var d drain.Tracker
	d.Answered(now, true)
	c.Assert(d.Health(now.Add(10*time.Second), false), qt.Equals, drain.Unchanged)
	c.Assert(d.Health(now.Add(drain.ReturnAfter), false), qt.Equals, drain.Ended)
	c.Assert(d.Leaving(), qt.IsFalse)
}

// TestUpstreamThatIsBackTakesWork guards against an upstream that stays out after it came back, by its health endpoint
// or by a restart.
func TestUpstreamThatIsBackTakesWork(t *testing.T) {
	c := qt.New(t)
	var told, restarted drain.Tracker
	told.Health(now, true)
	c.Assert(told.Health(now.Add(time.Second), false), qt.Equals, drain.Ended)
	restarted.Answered(now, true)
	restarted.Gone()
	c.Assert(restarted.Health(now.Add(time.Second), false), qt.Equals, drain.Ended)
	// A refused connection before any sign proves nothing later.
	var early drain.Tracker
	early.Gone()
	early.Answered(now, true)
	c.Assert(early.Health(now.Add(time.Second), false), qt.Equals, drain.Unchanged)
}
