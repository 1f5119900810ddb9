package stop_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/coord/stop"
)

// TestAcceptedRequestHasTime guards against a stop that accepts a request shortly before its end.
func TestAcceptedRequestHasTime(t *testing.T) {
	c := qt.New(t)
	begun := time.Unix(1000, 0)
	for _, length := range []time.Duration{time.Second, 6 * time.Second, 30 * time.Second} {
		s := stop.NewSchedule(begun, begun.Add(length))
		c.Check(s.Accepts(begun), qt.IsTrue)
		c.Check(s.Accepts(s.AcceptUntil), qt.IsFalse)
		c.Check(s.AnswerBy.Sub(s.AcceptUntil) >= s.AcceptUntil.Sub(begun), qt.IsTrue)
		// The last sixth of the stop begins before the requests in progress are answered.
		c.Check(s.AnswerBy.Sub(begun) >= length*5/6, qt.IsTrue)
		c.Check(s.AnswerBy.Before(begun.Add(length)), qt.IsTrue)
	}
}
