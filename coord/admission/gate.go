// Package admission decides which queries start at an entry VM, which wait and which are refused before anything ran.
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
	// decrease is the factor by which a sign of overload lowers an adaptive bound, at most once per decreaseEvery.
	decrease      = 0.9
	decreaseEvery = 100 * time.Millisecond
)

// GateSettings bound the queries of one gate.
type GateSettings struct {
	// Start, Min and Max are bounds on the queries that run at the same time. Min and Max may be equal.
	Start, Min, Max int
	// Queue bounds the waiting queries of each class.
	Queue int
}

// Ticket is a waiting query. Value belongs to the driver.
type Ticket[T any] struct {
	item  limit.Item[*Ticket[T]]
	Value T
}

// Gate bounds the queries that run at the same time. Within its bounds the number adapts: signs of overload lower it,
// queries that end well while it is fully used raise it. Waiting queries are served by class, and callers of a class in
// turn. It is safe for concurrent use; a query that need not wait takes no lock.
type Gate[T any] struct {
	settings GateSettings
	running  atomic.Int64
	waiting  atomic.Int64
	// bound holds the bits of a float64; its whole part is in force.
	bound    atomic.Uint64
	lowered  atomic.Int64
	estimate limit.Estimate

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

// Bound returns how many queries may run at the same time now.
func (g *Gate[T]) Bound() int { return int(math.Float64frombits(g.bound.Load())) }

// Running returns the number of running queries.
func (g *Gate[T]) Running() int { return int(g.running.Load()) }

// TryEnter admits a query that need not wait.
func (g *Gate[T]) TryEnter() bool { return g.waiting.Load() == 0 && g.take() }

func (g *Gate[T]) take() bool {
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

// Wait makes a query wait. It returns the tickets that are admitted at once, which may contain the new one, or false
// when the query is refused: the queue of its class is full, or its turn would come too late for its deadline.
func (g *Gate[T]) Wait(now time.Time, class core.Class, caller core.CallerName, deadline time.Time, value T) (ticket *Ticket[T], admitted []*Ticket[T], ok bool) {
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
	return ticket, g.serve(), true
}

// Withdraw ends the wait of a query, and reports whether it was still waiting. If not, it was admitted and must leave.
func (g *Gate[T]) Withdraw(ticket *Ticket[T]) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queues[ticket.item.Class].Remove(&ticket.item) {
		return false
	}
	g.waiting.Add(-1)
	return true
}

// Leave ends a running query that took a time, and returns the tickets that are admitted now.
func (g *Gate[T]) Leave(now time.Time, took time.Duration, overloaded bool) []*Ticket[T] {
	full := g.running.Load() >= int64(g.Bound())
	if overloaded {
		g.lower(now)
	} else {
		g.estimate.Observe(took)
		if full {
			g.change(func(bound float64) float64 { return bound + 1/bound })
		}
	}
	return g.Return()
}

// Return ends a query that did not run, and returns the tickets that are admitted now.
func (g *Gate[T]) Return() []*Ticket[T] {
	g.running.Add(-1)
	if g.waiting.Load() == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.serve()
}

func (g *Gate[T]) lower(now time.Time) {
	last := g.lowered.Load()
	if now.UnixNano()-last < int64(decreaseEvery) || !g.lowered.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	g.change(func(bound float64) float64 { return bound * decrease })
}

func (g *Gate[T]) change(f func(float64) float64) {
	for {
		old := g.bound.Load()
		next := f(math.Float64frombits(old))
		next = min(max(next, float64(g.settings.Min)), float64(g.settings.Max))
		if g.bound.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// serve admits waiting queries while the bound allows. The caller holds the lock.
func (g *Gate[T]) serve() []*Ticket[T] {
	var admitted []*Ticket[T]
	for class := range g.queues {
		for g.queues[class].Len() > 0 && g.take() {
			admitted = append(admitted, g.queues[class].Pop().Value)
			g.waiting.Add(-1)
		}
	}
	return admitted
}
