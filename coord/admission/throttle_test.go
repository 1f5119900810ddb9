package admission_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/coord/admission"
	"gooseberrylane.example/core"
)

func newThrottle() *admission.Throttle {
	return admission.NewThrottle(admission.ThrottleSettings{MinShare: 0.1, DecreaseFactor: 0.5, IncreasePerSecond: 0.25, MinClassShare: 0.5})
}

// offer offers 100 requests of each class, alternating, and returns how many of each were admitted.
func offer(th *admission.Throttle, at time.Time, high, low core.Class) (admitted [2]int) {
	for i := range 200 {
		// The draws are evenly distributed within each class.
		if class := []core.Class{high, low}[i%2]; th.Admit(at, class, float64(i/2)/100) {
			admitted[i%2]++
		}
	}
	return admitted
}

// TestThrottleRejectsLowerClassesFirst guards against rejecting all classes equally, and against starving a class.
func TestThrottleRejectsLowerClassesFirst(t *testing.T) {
	c := qt.New(t)
	th := newThrottle()
	c.Assert(offer(th, now, 1, 2), qt.Equals, [2]int{100, 100})
	share, lowered := th.Lower(now, now)
	c.Assert(lowered, qt.IsTrue)
	c.Assert(share, qt.Equals, 0.5)
	admitted := offer(th, now, 1, 2)
	c.Check(admitted[0] >= 95, qt.IsTrue, qt.Commentf("%v", admitted))
	c.Check(admitted[1] >= 25 && admitted[1] <= 30, qt.IsTrue, qt.Commentf("%v", admitted))
	// Classes out of range count as the nearest valid class.
	c.Check(th.Admit(now, 99, 0), qt.IsTrue)
	c.Check(th.Admit(now, -1, 0), qt.IsTrue)
}

// TestThrottleLowersOncePerRoundTrip guards against a share that drops to the minimum because of requests that started
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

// TestThrottleRecovers guards against rejecting requests after the overload has ended.
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
