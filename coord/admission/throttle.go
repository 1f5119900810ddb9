package admission

import (
	"sync/atomic"
	"time"

	"gooseberrylane.example/core"
)

// ThrottleSettings are the settings of a Throttle.
type ThrottleSettings struct {
	// MinShare is the minimum share of requests that is admitted.
	MinShare float64
	// DecreaseFactor multiplies the share after an overloaded request. IncreasePerSecond is added to the share per second.
	DecreaseFactor, IncreasePerSecond float64
	// MinClassShare is the part of the share that is guaranteed to each class, whatever the load of higher classes.
	MinClassShare float64
}

// Throttle rejects a share of the requests to overloaded upstreams. Each VM lowers the admitted share when its own requests
// meet overload and raises it over time, without coordination with other VMs. Lower classes are rejected first. It is safe
// for concurrent use and lock-free.
type Throttle struct {
	settings ThrottleSettings
	level    atomic.Pointer[throttleLevel]
	classes  atomic.Pointer[classLoad]
}

// throttleLevel is the admitted share at the time of its last change.
type throttleLevel struct {
	share float64
	at    time.Time
}

// classLoad is the share of each class in the recent requests.
type classLoad [core.MaxClass + 1]float64

// loadWindow is the number of requests over which the shares of the classes are averaged.
const loadWindow = 32

// NewThrottle returns a throttle that admits all requests.
func NewThrottle(settings ThrottleSettings) *Throttle {
	t := &Throttle{settings: settings}
	t.level.Store(&throttleLevel{share: 1})
	t.classes.Store(&classLoad{})
	return t
}

// Share returns the current share of requests that is admitted.
func (t *Throttle) Share(now time.Time) float64 {
	level := t.level.Load()
	if level.share >= 1 {
		return 1
	}
	return min(level.share+t.settings.IncreasePerSecond*now.Sub(level.at).Seconds(), 1)
}

// Admit reports whether a request of a class is admitted. draw is a random number between 0 and 1.
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
	return draw < max((share-ahead)/load[class], share*t.settings.MinClassShare)
}

// count adds one request and returns the shares of the classes.
func (t *Throttle) count(class core.Class) *classLoad {
	for {
		old := t.classes.Load()
		next := new(classLoad)
		for c := range old {
			next[c] = old[c] * (1 - 1.0/loadWindow)
		}
		next[class] += 1.0 / loadWindow
		if t.classes.CompareAndSwap(old, next) {
			return next
		}
	}
}

// Recovery returns the time until all requests are admitted again if no further request meets overload.
func (t *Throttle) Recovery(now time.Time) time.Duration {
	return time.Duration((1 - t.Share(now)) / t.settings.IncreasePerSecond * float64(time.Second))
}

// Lower lowers the share after a request that met overload. Requests that started before the last change are ignored,
// because they do not reflect it. It returns the new share and whether it changed.
func (t *Throttle) Lower(now, started time.Time) (share float64, lowered bool) {
	level := t.level.Load()
	if started.Before(level.at) {
		return 0, false
	}
	share = max(t.Share(now)*t.settings.DecreaseFactor, t.settings.MinShare)
	return share, t.level.CompareAndSwap(level, &throttleLevel{share: share, at: now})
}
