package admission_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/coord/admission"
	"gooseberrylane.example/core"
)

func newThrottle() *admission.Throttle {
	return admission.NewThrottle(admission.ThrottleSettings{Least: 0.1, Lower: 0.5, Rise: 0.25, Floor: 0.5})
}

// offer sends requests of both classes in turn and returns how many of each started, of a hundred.
func offer(th *admission.Throttle, at time.Time, high, low core.Class) (started [2]int) {
	for i := range 200 {
		// Draws are spread evenly over each class.
		if class := []core.Class{high, low}[i%2]; th.Admit(at, class, float64(i/2)/100) {
			started[i%2]++
		}
	}
	return started
}

// TestThrottleHoldsBackLowerClassesFirst guards against a share that all classes lose alike, and a class that gets nothing.
func TestThrottleHoldsBackLowerClassesFirst(t *testing.T) {
	c := qt.New(t)
	th := newThrottle()
	c.Assert(offer(th, now, 1, 2), qt.Equals, [2]int{100, 100})
	share, lowered := th.Lower(now, now)
	c.Assert(lowered, qt.IsTrue)
	c.Assert(share, qt.Equals, 0.5)
	started := offer(th, now, 1, 2)
	c.Check(started[0] >= 95, qt.IsTrue, qt.Commentf("%v", started))
	c.Check(started[1] >= 25 && started[1] <= 30, qt.IsTrue, qt.Commentf("%v", started))
	// Ranks beyond the last class count as the last one.
	c.Check(th.Admit(now, 99, 0), qt.IsTrue)
	c.Check(th.Admit(now, -1, 0), qt.IsTrue)
}

// TestThrottleLowersOncePerRoundTrip guards against a share that falls to the least because of requests that started
// before the first of them was answered.
func TestThrottleLowersOncePerRoundTrip(t *testing.T) {
	c := qt.New(t)
	th := newThrottle()
	_, lowered := th.Lower(now.Add(50*time.Millisecond), now)
	c.Assert(lowered, qt.IsTrue)
	for range 20 {
		_, lowered = th.Lower(now.Add(60*time.Millisecond), now.Add(40*time.Millisecond))
		c.Assert(lowered, qt.IsFalse)
	}
	for i := range 20 {
		at := now.Add(time.Duration(100+i) * time.Millisecond)
		th.Lower(at, at)
	}
	c.Assert(th.Share(now.Add(119*time.Millisecond)), qt.Equals, 0.1)
}

// TestThrottleRecovers guards against requests that are held back after the load has ended.
func TestThrottleRecovers(t *testing.T) {
	c := qt.New(t)
	th := newThrottle()
	th.Lower(now, now)
	c.Assert(th.Recovery(now), qt.Equals, 2*time.Second)
	c.Assert(th.Share(now.Add(time.Second)), qt.Equals, 0.75)
	c.Assert(th.Share(now.Add(2*time.Second)), qt.Equals, 1.0)
	c.Assert(th.Recovery(now.Add(time.Minute)), qt.Equals, time.Duration(0))
	c.Assert(offer(th, now.Add(time.Minute), 1, 2), qt.Equals, [2]int{100, 100})
}
