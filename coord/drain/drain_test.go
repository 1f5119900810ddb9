package drain_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/coord/drain"
)

var now = time.Unix(1000, 0)

// TestFirstSignalOfAnyKindStopsNewWork guards against new work for an upstream whose draining only one signal reported.
func TestFirstSignalOfAnyKindStopsNewWork(t *testing.T) {
	c := qt.New(t)
	var answered, reported drain.Tracker
	c.Assert(answered.Answered(now, true), qt.Equals, drain.Began)
	c.Assert(reported.Health(now, true), qt.Equals, drain.Began)
	c.Assert(answered.Draining() && reported.Draining(), qt.IsTrue)
	c.Assert(reported.Answered(now, true), qt.Equals, drain.Unchanged)
}

// TestHealthThatNeverReportedDrainingIsIgnored guards against new work for a draining upstream whose health endpoint
// reports healthy, and against an upstream that never receives work again.
func TestHealthThatNeverReportedDrainingIsIgnored(t *testing.T) {
	c := qt.New(t)
	var d drain.Tracker
	d.Answered(now, true)
	c.Assert(d.Health(now.Add(10*time.Second), false), qt.Equals, drain.Unchanged)
	c.Assert(d.Health(now.Add(drain.ReturnAfter), false), qt.Equals, drain.Ended)
	c.Assert(d.Draining(), qt.IsFalse)
}

// TestReturnedUpstreamReceivesWork guards against an upstream that receives no work after its health endpoint or a
// restart ended the draining.
func TestReturnedUpstreamReceivesWork(t *testing.T) {
	c := qt.New(t)
	var reported, restarted drain.Tracker
	reported.Health(now, true)
	c.Assert(reported.Health(now.Add(time.Second), false), qt.Equals, drain.Ended)
	restarted.Answered(now, true)
	restarted.ProcessEnded()
	c.Assert(restarted.Health(now.Add(time.Second), false), qt.Equals, drain.Ended)
	// A refused connection before the first draining signal does not count.
	var refusedEarly drain.Tracker
	refusedEarly.ProcessEnded()
	refusedEarly.Answered(now, true)
	c.Assert(refusedEarly.Health(now.Add(time.Second), false), qt.Equals, drain.Unchanged)
}
