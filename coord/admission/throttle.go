package admission

import (
	"sync/atomic"
	"time"

	"gooseberrylane.example/core"
)

// ThrottleSettings of a Throttle.
type ThrottleSettings struct {
	// Least is the smallest share of the requests that is started.
	Least float64
	// Lower multiplies the share after a sign of overload, Rise is added to it each second.
	Lower, Rise float64
	// Floor is the part of the share that each class gets whatever the load of the classes before it.
	Floor float64
}

// Throttle holds back requests to upstreams that get more work than they can do. Several VMs that do not know of each
// other's requests each lower the share of the requests that they start while their own ones meet overload, and raise it
// again with time. Higher classes are held back last. It is safe for concurrent use and takes no lock.
type Throttle struct {
	settings ThrottleSettings
	level    atomic.Pointer[throttleLevel]
	classes  atomic.Pointer[classLoad]
}

// throttleLevel is the share of the requests that was started at a time.
type throttleLevel struct {
	share float64
	at    time.Time
}

// classLoad is the part of the recent requests that belongs to each class.
type classLoad [core.MaxClass + 1]float64

// loadMemory is the number of requests over which the parts of the classes are averaged.
const loadMemory = 32

// NewThrottle returns a throttle that starts all requests.
func NewThrottle(settings ThrottleSettings) *Throttle {
	t := &Throttle{settings: settings}
	t.level.Store(&throttleLevel{share: 1})
	t.classes.Store(&classLoad{})
	return t
}

// Share returns the share of the requests that are started now.
func (t *Throttle) Share(now time.Time) float64 {
	level := t.level.Load()
	if level.share >= 1 {
		return 1
	}
	return min(level.share+t.settings.Rise*now.Sub(level.at).Seconds(), 1)
}

// Admit reports whether a request of a class may start. draw is a random number between 0 and 1.
func (t *Throttle) Admit(now time.Time, class core.Class, draw float64) bool {
	class = min(max(class, 0), core.MaxClass)
	load := t.count(class)
	share := t.Share(now)
	if share >= 1 {
		return true
	}
	ahead := 0.0
	for _, part := range load[:class] {
		ahead += part
	}
	return draw < max((share-ahead)/load[class], share*t.settings.Floor)
}

// count adds one request and returns the parts of the classes.
func (t *Throttle) count(class core.Class) *classLoad {
	for {
		old := t.classes.Load()
		next := new(classLoad)
		for c := range old {
			next[c] = old[c] * (1 - 1.0/loadMemory)
		}
		next[class] += 1.0 / loadMemory
		if t.classes.CompareAndSwap(old, next) {
			return next
		}
	}
}

// Recovery returns the time until all requests are started again, if no more of them meet overload.
func (t *Throttle) Recovery(now time.Time) time.Duration {
	return time.Duration((1 - t.Share(now)) / t.settings.Rise * float64(time.Second))
}

// Lower lowers the share because a request that ended met overload. One that started before the last change says nothing
// about it. The result is the new share, and whether it changed.
func (t *Throttle) Lower(now, started time.Time) (share float64, lowered bool) {
	level := t.level.Load()
	if started.Before(level.at) {
		return 0, false
	}
	share = max(t.Share(now)*t.settings.Lower, t.settings.Least)
	return share, t.level.CompareAndSwap(level, &throttleLevel{share: share, at: now})
}
