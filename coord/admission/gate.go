// Package admission decides which queries start at an entry VM, which are queued and which are refused.
package admission

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"gooseberrylane.example/coord/limit"
	"gooseberrylane.example/core"
)

const (
	// decreaseFactor multiplies an adaptive bound after an overloaded query, at most once per decreaseInterval.
	decreaseFactor   = 0.9
	decreaseInterval = 100 * time.Millisecond
)

// GateSettings are the limits of a Gate.
type GateSettings struct {
	// Start, Min and Max are the initial, minimum and maximum bound on concurrent queries. Min and Max may be equal.
	Start, Min, Max int
	// Queue limits the queued queries of each class.
	Queue int
}

// Ticket is a queued query. Value is for use by the caller.
type Ticket[T any] struct {
	item  limit.Item[*Ticket[T]]
	Value T
}

// Gate limits concurrent queries with an adaptive bound: overloaded queries lower it, and other queries that end while it is
// fully used raise it. Queued queries are admitted by class, and within a class round-robin by caller. It is safe for
// concurrent use; a query that need not wait takes no lock.
type Gate[T any] struct {
	settings GateSettings
	running  atomic.Int64
	waiting  atomic.Int64
	// bound holds the bits of a float64, of which the integer part is enforced.
	bound        atomic.Uint64
	lastDecrease atomic.Int64
	estimate     limit.Estimate

	mu     sync.Mutex
	queues [core.MaxClass + 1]*limit.Queue[*Ticket[T]]
}

// NewGate returns a gate.
func NewGate[T any](settings GateSettings) *Gate[T] {
	g := &Gate[T]{settings: settings}
	g.bound.Store(math.Float64bits(float64(settings.Start)))
	for class := range g.queues {
		g.queues[class] = limit.NewQueue[*Ticket[T]](settings.Queue, limit.EarliestDeadline)
	}
	return g
}

// Bound returns the current bound on concurrent queries.
func (g *Gate[T]) Bound() int { return int(math.Float64frombits(g.bound.Load())) }

// Running returns the number of running queries.
func (g *Gate[T]) Running() int { return int(g.running.Load()) }

// TryEnter admits a query if it need not wait.
func (g *Gate[T]) TryEnter() bool { return g.waiting.Load() == 0 && g.tryAcquire() }

func (g *Gate[T]) tryAcquire() bool {
	for {
		n := g.running.Load()
		if n >= int64(g.Bound()) {
			return false
		}
		if g.running.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Enqueue queues a query. It returns the tickets that are admitted at once, which may include the new one, or false if the
// query is refused: the queue of its class is full, or it is not expected to finish before its deadline.
func (g *Gate[T]) Enqueue(now time.Time, class core.Class, caller core.CallerName, deadline time.Time, value T) (ticket *Ticket[T], admitted []*Ticket[T], ok bool) {
	class = min(max(class, 0), core.MaxClass)
	ticket = &Ticket[T]{Value: value}
	ticket.item = limit.Item[*Ticket[T]]{Class: class, Flow: string(caller), Deadline: deadline, Value: ticket}
	g.mu.Lock()
	defer g.mu.Unlock()
	ahead := 0
	for c := range class + 1 {
		ahead += g.queues[c].Len()
	}
	if int(g.running.Load()) >= g.Bound() && !g.estimate.CanFinish(now, deadline, ahead, g.Bound()) {
		return nil, nil, false
	}
	if refused := g.queues[class].Push(&ticket.item); refused != nil {
		return nil, nil, false
	}
	g.waiting.Add(1)
	return ticket, g.admitQueued(), true
}

// Withdraw removes a query from its queue, and reports whether it was queued. If not, it was admitted and needs a Leave.
func (g *Gate[T]) Withdraw(ticket *Ticket[T]) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queues[ticket.item.Class].Remove(&ticket.item) {
		return false
	}
	g.waiting.Add(-1)
	return true
}

// Leave ends a query that ran for the time took, and returns the tickets that are admitted as a result.
func (g *Gate[T]) Leave(now time.Time, took time.Duration, overloaded bool) []*Ticket[T] {
	full := g.running.Load() >= int64(g.Bound())
	if overloaded {
		g.decrease(now)
	} else {
		g.estimate.Observe(took)
		if full {
			g.updateBound(func(bound float64) float64 { return bound + 1/bound })
		}
	}
	return g.Release()
}

// Release ends an admitted query that did not run, and returns the tickets that are admitted as a result.
func (g *Gate[T]) Release() []*Ticket[T] {
	g.running.Add(-1)
	if g.waiting.Load() == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admitQueued()
}

func (g *Gate[T]) decrease(now time.Time) {
	last := g.lastDecrease.Load()
	if now.UnixNano()-last < int64(decreaseInterval) || !g.lastDecrease.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	g.updateBound(func(bound float64) float64 { return bound * decreaseFactor })
}

func (g *Gate[T]) updateBound(f func(float64) float64) {
	for {
		old := g.bound.Load()
		next := f(math.Float64frombits(old))
		next = min(max(next, float64(g.settings.Min)), float64(g.settings.Max))
		if g.bound.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// admitQueued admits queued queries up to the bound. The caller holds the lock.
func (g *Gate[T]) admitQueued() []*Ticket[T] {
	var admitted []*Ticket[T]
	for class := range g.queues {
		for g.queues[class].Len() > 0 && g.tryAcquire() {
			admitted = append(admitted, g.queues[class].Pop().Value)
			g.waiting.Add(-1)
		}
	}
	return admitted
}
