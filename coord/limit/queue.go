// Package limit provides bounded queues: higher classes are served first, callers or services share a class fairly, and
// work that cannot finish before its deadline is refused early.
package limit

import (
	"slices"
	"time"

	"gooseberrylane.example/core"
)

// Order is the order in which the items of one flow are served.
type Order int

// Orders.
const (
	// EarliestDeadline serves the item with the earliest deadline first.
	EarliestDeadline Order = iota
	// NewestFirst serves the newest item first.
	NewestFirst
)

const classes = int(core.MaxClass) + 1

// Item is one queued item.
type Item[T any] struct {
	Class    core.Class
	Flow     string
	Deadline time.Time
	Value    T
	flow     *flow[T]
}

// flow holds the queued items of one caller or service in one class.
type flow[T any] struct {
	name  string
	items []*Item[T]
}

// Queue is a bounded queue. It is not safe for concurrent use.
type Queue[T any] struct {
	order  Order
	limit  int
	length int
	// rings holds the non-empty flows of each class; the first flow is served next.
	rings [classes][]*flow[T]
	count [classes]int
}

// NewQueue returns a queue for at most limit items.
func NewQueue[T any](limit int, order Order) *Queue[T] { return &Queue[T]{limit: limit, order: order} }

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return q.length }

// Ahead returns the number of items that are served before a new item of a class if no other item arrives.
func (q *Queue[T]) Ahead(class core.Class) int {
	ahead := 0
	for c := 0; c <= int(clampClass(class)); c++ {
		ahead += q.count[c]
	}
	return ahead
}

func clampClass(class core.Class) core.Class { return min(max(class, 0), core.MaxClass) }

// Push adds an item. If the queue is full, it evicts and returns an item of the lowest class, the last of the longest flow.
// If no queued item has a lower class than the new one, it returns the new item itself.
func (q *Queue[T]) Push(item *Item[T]) (refused *Item[T]) {
	item.Class = clampClass(item.Class)
	if q.length >= q.limit {
		refused = q.evictionCandidate(item.Class)
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
	if q.order == NewestFirst {
		return 0
	}
	i := len(f.items)
	for i > 0 && f.items[i-1].Deadline.After(item.Deadline) {
		i--
	}
	return i
}

// evictionCandidate returns the last item of the longest flow of the lowest class below a class, or nil.
func (q *Queue[T]) evictionCandidate(class core.Class) *Item[T] {
	for c := classes - 1; c > int(class); c-- {
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

// Pop removes and returns the item to serve next, or nil if the queue is empty.
func (q *Queue[T]) Pop() *Item[T] {
	for c := range q.rings {
		if len(q.rings[c]) == 0 {
			continue
		}
		f := q.rings[c][0]
		item := f.items[0]
		q.Remove(item)
		// The flow moves to the end of the ring, so that flows are served round-robin.
		if len(f.items) > 0 {
			q.rings[c] = append(q.rings[c][1:], f)
		}
		return item
	}
	return nil
}

// Remove removes an item and reports whether it was queued.
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
