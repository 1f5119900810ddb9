// Package limit holds the bounded waiting lines of the tier: work of a higher class goes first, callers or services
// share a class fairly, and work that cannot finish before its deadline is refused early.
package limit

import (
	"slices"
	"time"

	"gooseberrylane.example/core"
)

// Order is the order of the work of one flow.
type Order int

// Orders.
const (
	// EarliestDeadline serves the work whose deadline comes first.
	EarliestDeadline Order = iota
	// LastIn serves the newest work first.
	LastIn
)

const classes = int(core.MaxClass) + 1

// Item is one piece of waiting work.
type Item[T any] struct {
	Class    core.Class
	Flow     string
	Deadline time.Time
	Value    T
	flow     *flow[T]
}

// flow is the waiting work of one caller or service in one class.
type flow[T any] struct {
	name  string
	items []*Item[T]
}

// Queue is a bounded waiting line. It is not safe for concurrent use.
type Queue[T any] struct {
	order  Order
	limit  int
	length int
	// rings hold the flows of each class that have waiting work; the first is served next.
	rings [classes][]*flow[T]
	count [classes]int
}

// NewQueue returns a queue for at most limit items.
func NewQueue[T any](limit int, order Order) *Queue[T] { return &Queue[T]{limit: limit, order: order} }

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.length }

// Ahead returns the number of items that are served before a new item of a class, if nothing else arrives.
func (q *Queue[T]) Ahead(class core.Class) int {
	ahead := 0
	for c := 0; c <= int(clampClass(class)); c++ {
		ahead += q.count[c]
	}
	return ahead
}

func clampClass(class core.Class) core.Class { return min(max(class, 0), core.MaxClass) }

// Push adds an item. A full queue makes room by giving up the item of the lowest class that would be served last, and
// returns it; it returns the new item itself when no waiting item has a lower class.
func (q *Queue[T]) Push(item *Item[T]) (refused *Item[T]) {
	item.Class = clampClass(item.Class)
	if q.length >= q.limit {
		refused = q.lowest(item.Class)
		if refused == nil {
			return item
		}
		q.Remove(refused)
	}
	f := q.flowOf(item)
	item.flow = f
	f.items = slices.Insert(f.items, q.position(f, item), item)
	q.length++
	q.count[item.Class]++
	return refused
}

func (q *Queue[T]) flowOf(item *Item[T]) *flow[T] {
	for _, f := range q.rings[item.Class] {
		if f.name == item.Flow {
			return f
		}
	}
	f := &flow[T]{name: item.Flow}
	q.rings[item.Class] = append(q.rings[item.Class], f)
	return f
}

func (q *Queue[T]) position(f *flow[T], item *Item[T]) int {
	if q.order == LastIn {
		return 0
	}
	i := len(f.items)
	for i > 0 && f.items[i-1].Deadline.After(item.Deadline) {
		i--
	}
	return i
}

// lowest returns the last item of the longest flow of the lowest class below a class, or nil.
func (q *Queue[T]) lowest(than core.Class) *Item[T] {
	for c := classes - 1; c > int(than); c-- {
		var longest *flow[T]
		for _, f := range q.rings[c] {
			if longest == nil || len(f.items) > len(longest.items) {
				longest = f
			}
		}
		if longest != nil {
			return longest.items[len(longest.items)-1]
		}
	}
	return nil
}

// Pop removes and returns the item to serve next, or nil when the queue is empty.
func (q *Queue[T]) Pop() *Item[T] {
	for c := range q.rings {
		if len(q.rings[c]) == 0 {
			continue
		}
		f := q.rings[c][0]
		item := f.items[0]
		q.Remove(item)
		// The flow goes to the end of the ring, so that each flow is served once per round.
		if len(f.items) > 0 {
			q.rings[c] = append(q.rings[c][1:], f)
		}
		return item
	}
	return nil
}

// Remove takes an item out, and reports whether it was waiting.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	f := item.flow
	if f == nil {
		return false
	}
	i := slices.Index(f.items, item)
	if i < 0 {
		return false
	}
	f.items = slices.Delete(f.items, i, i+1)
	item.flow = nil
	q.length--
	q.count[item.Class]--
	if len(f.items) == 0 {
		ring := q.rings[item.Class]
		q.rings[item.Class] = slices.Delete(ring, slices.Index(ring, f), slices.Index(ring, f)+1)
	}
	return true
}
