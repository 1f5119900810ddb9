package limit_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"gooseberrylane.example/coord/limit"
	"gooseberrylane.example/core"
)

var epoch = time.Unix(1_000_000, 0)

func item(class core.Class, flow string, deadlineMS int) *limit.Item[int] {
	return &limit.Item[int]{Class: class, Flow: flow, Deadline: epoch.Add(time.Duration(deadlineMS) * time.Millisecond)}
}

// TestHighestClassFirstAndFairBetweenCallers guards against items of a high class that wait for a lower one, and against
// starvation of callers by one with many items.
func TestHighestClassFirstAndFairBetweenCallers(t *testing.T) {
	c := qt.New(t)
	q := limit.NewQueue[int](100, limit.EarliestDeadline)
	for i := range 10 {
		q.Push(item(1, "busy", i))
	}
	q.Push(item(1, "quiet", 99))
	q.Push(item(0, "busy", 500))
	var served []string
	for next := q.Pop(); next != nil; next = q.Pop() {
		served = append(served, fmt.Sprint(next.Class, next.Flow))
	}
	c.Assert(served[:4], qt.DeepEquals, []string{"0busy", "1busy", "1quiet", "1busy"})
	c.Assert(served, qt.HasLen, 12)
}

// TestFullQueueEvictsTheLowestClass guards against a full queue that refuses an item of a higher class than the queued ones,
// and against one that evicts an item for another of the same class.
func TestFullQueueEvictsTheLowestClass(t *testing.T) {
	c := qt.New(t)
	q := limit.NewQueue[int](2, limit.EarliestDeadline)
	low := item(3, "a", 2)
	q.Push(item(3, "a", 1))
	q.Push(low)
	c.Assert(q.Push(item(0, "b", 9)), qt.Equals, low)
	again := item(3, "c", 0)
	c.Assert(q.Push(again), qt.Equals, again)
	c.Assert(q.Len(), qt.Equals, 2)
}

// TestQueueIsConsistent guards against lost, duplicated or misplaced items for any order of pushes, pops and removals.
func TestQueueIsConsistent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		order := rapid.SampledFrom([]limit.Order{limit.EarliestDeadline, limit.NewestFirst}).Draw(rt, "order")
		size := rapid.IntRange(0, 8).Draw(rt, "limit")
		q := limit.NewQueue[int](size, order)
		waiting := make(map[*limit.Item[int]]bool)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 2).Draw(rt, "step") {
			case 0:
				next := item(core.Class(rapid.IntRange(0, 3).Draw(rt, "class")), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "flow"), rapid.IntRange(0, 9).Draw(rt, "deadline"))
				waiting[next] = true
				if refused := q.Push(next); refused != nil {
					delete(waiting, refused)
				}
			case 1:
				popped := q.Pop()
				for other := range waiting {
					if popped == nil || other.Class < popped.Class {
						rt.Fatalf("an item of class %d was passed over", other.Class)
					}
				}
				delete(waiting, popped)
			case 2:
				for one := range waiting {
					if !q.Remove(one) || q.Remove(one) {
						rt.Fatalf("a queued item was not removed exactly once")
					}
					delete(waiting, one)
					break
				}
			}
			if q.Len() != len(waiting) || q.Len() > size {
				rt.Fatalf("length %d, %d waiting, limit %d", q.Len(), len(waiting), size)
			}
		}
	})
}

// TestCanFinish guards against queueing items that are bound to miss their deadline.
func TestCanFinish(t *testing.T) {
	c := qt.New(t)
	var e limit.Estimate
	c.Assert(e.CanFinish(epoch, epoch, 10, 1), qt.IsTrue)
	e.Observe(10 * time.Millisecond)
	c.Assert(e.CanFinish(epoch, epoch.Add(30*time.Millisecond), 1, 1), qt.IsTrue)
	c.Assert(e.CanFinish(epoch, epoch.Add(29*time.Millisecond), 1, 1), qt.IsFalse)
	c.Assert(e.CanFinish(epoch, epoch.Add(29*time.Millisecond), 1, 2), qt.IsTrue)
}
