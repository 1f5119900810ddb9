package admission

import (
	"sync"
	"sync/atomic"
	"time"

	"gooseberrylane.example/core"
)

const (
	// burst is the time whose allowance of queries a caller may use at once.
	burst = time.Second
	// maxCallers is the number of callers above which idle ones are removed.
	maxCallers = 20_000
)

type callerKey struct {
	service core.ServiceName
	caller  core.CallerName
}

// Rates limits the queries per second of each caller. It is safe for concurrent use and takes no lock.
type Rates struct {
	// due maps callerKey to *atomic.Int64, the Unix time in nanoseconds up to which the caller has used its rate.
	due   sync.Map
	count atomic.Int64
}

// Allow admits one query of a caller at a rate per second, or returns the time until the next one is admitted.
func (r *Rates) Allow(now time.Time, service core.ServiceName, caller core.CallerName, rate float64) (wait time.Duration, ok bool) {
	if rate <= 0 {
		return 0, true
	}
	due := r.caller(now, callerKey{service, caller})
	cost := int64(float64(time.Second) / rate)
	allowed := max(int64(burst), cost)
	for {
		old := due.Load()
		next := max(old, now.UnixNano()) + cost
		if excess := next - now.UnixNano() - allowed; excess > 0 {
			return time.Duration(excess), false
		}
		if due.CompareAndSwap(old, next) {
			return 0, true
		}
	}
}

func (r *Rates) caller(now time.Time, key callerKey) *atomic.Int64 {
	if due, ok := r.due.Load(key); ok {
		return due.(*atomic.Int64)
	}
	if r.count.Load() >= maxCallers {
		r.removeIdle(now)
	}
	due, known := r.due.LoadOrStore(key, new(atomic.Int64))
	if !known {
		r.count.Add(1)
	}
	return due.(*atomic.Int64)
}

// removeIdle removes callers whose full burst is available, because a new entry has the same state.
func (r *Rates) removeIdle(now time.Time) {
	r.due.Range(func(key, value any) bool {
		if value.(*atomic.Int64).Load() < now.UnixNano() {
			r.due.Delete(key)
			r.count.Add(-1)
		}
		return true
	})
}

// RatePerVM returns the share of a rate that one VM enforces: the rate divided by the number of live VMs.
func RatePerVM(rate float64, members *core.Members) float64 {
	live := 0
	for i := range members.All {
		if members.All[i].State == core.VMLive {
			live++
		}
	}
	return rate / float64(max(live, 1))
}

// IsOverloaded reports whether an answer indicates overloaded upstreams: the query took more than half of the available
// time, or a shard is missing because of load.
func IsOverloaded(answer *core.Answer, took, available time.Duration) bool {
	if 2*took > available {
		return true
	}
	for _, missing := range answer.Missing {
		switch missing.Reason {
		case core.CodeOverloaded, core.CodeShed, core.CodeExpired:
			return true
		}
	}
	return false
}
