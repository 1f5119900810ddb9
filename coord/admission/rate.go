package admission

import (
	"sync"
	"sync/atomic"
	"time"

	"gooseberrylane.example/core"
)

const (
	// burst is the time whose queries a caller may send at once.
	burst = time.Second
	// maxCallers is the number of callers above which idle ones are forgotten.
	maxCallers = 20_000
)

type callerKey struct {
	service core.ServiceName
	caller  core.CallerName
}

// Rates bounds the queries per second of each caller. It is safe for concurrent use and takes no lock.
type Rates struct {
	// due maps callerKey to *atomic.Int64, the Unix time in nanoseconds at which the caller's queries are paid for.
	due   sync.Map
	count atomic.Int64
}

// Allow admits one query of a caller at a rate per second, or returns how long until the next is admitted.
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
		if over := next - now.UnixNano() - allowed; over > 0 {
			return time.Duration(over), false
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
		r.forgetIdle(now)
	}
	due, known := r.due.LoadOrStore(key, new(atomic.Int64))
	if !known {
		r.count.Add(1)
	}
	return due.(*atomic.Int64)
}

// forgetIdle removes callers that have no debt; they start with the same full burst.
func (r *Rates) forgetIdle(now time.Time) {
	r.due.Range(func(key, value any) bool {
		if value.(*atomic.Int64).Load() < now.UnixNano() {
			r.due.Delete(key)
			r.count.Add(-1)
		}
		return true
	})
}

// Share returns the part of a rate that one VM enforces: the limit divided by the live entry VMs.
func Share(rate float64, members *core.Members) float64 {
	live := 0
	for i := range members.All {
		if members.All[i].State == core.VMLive {
			live++
		}
	}
	return rate / float64(max(live, 1))
}

// IsOverloaded reports whether an answer shows that more queries run than the upstreams can serve.
func IsOverloaded(answer *core.Answer, took, had time.Duration) bool {
	if 2*took > had {
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
