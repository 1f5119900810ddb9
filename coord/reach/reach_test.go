package reach_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/coord/reach"
)

var start = time.Unix(1000, 0)

// TestSilentDomainIsUnreachable guards against requests that keep waiting for a failure domain that is cut off.
func TestSilentDomainIsUnreachable(t *testing.T) {
	c := qt.New(t)
	tracker := reach.New(reach.Settings{SilentMS: 300, MinRequests: 6})
	for i := range 6 {
		tracker.RecordRequest(start.Add(time.Duration(i)*time.Millisecond), "b")
	}
	c.Assert(tracker.IsUnreachable(start.Add(299*time.Millisecond), "b"), qt.IsFalse)
	c.Assert(tracker.IsUnreachable(start.Add(301*time.Millisecond), "b"), qt.IsTrue)
	c.Assert(tracker.IsUnreachable(start.Add(time.Hour), "c"), qt.IsFalse)
	tracker.RecordResponse("b")
	c.Assert(tracker.IsUnreachable(start.Add(time.Hour), "b"), qt.IsFalse)
	tracker.MarkUnreachable(start, "b")
	c.Assert(tracker.IsUnreachable(start, "b"), qt.IsTrue)
}

// TestDomainWithFewRequestsIsReachable guards against a domain that counts as unreachable because of one slow upstream.
func TestDomainWithFewRequestsIsReachable(t *testing.T) {
	c := qt.New(t)
	tracker := reach.New(reach.Settings{SilentMS: 300, MinRequests: 6})
	for range 5 {
		tracker.RecordRequest(start, "b")
	}
	c.Assert(tracker.IsUnreachable(start.Add(time.Hour), "b"), qt.IsFalse)
	for i := range 100 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		tracker.RecordRequest(now, "c")
		if i%2 == 0 {
			tracker.RecordResponse("c")
		}
		c.Assert(tracker.IsUnreachable(now, "c"), qt.IsFalse)
	}
}
