package budget_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"gooseberrylane.example/coord/budget"
	_ "gooseberrylane.example/test/seed"
)

// TestWindowHoldsInEverySpan guards against extra requests above the allowance in a span that begins inside a slot, as a
// budget that is reset at fixed times would permit.
func TestWindowHoldsInEverySpan(t *testing.T) {
	const length, ratio, slack = 10 * time.Second, 0.2, 3
	rapid.Check(t, func(rt *rapid.T) {
		start := time.Unix(1000, 0)
		w := budget.NewWindow(start, length, ratio, slack)
		now := start
		var ordinary, extra []time.Time
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(rt, "ordinary") {
				w.Count(now)
				ordinary = append(ordinary, now)
			} else if w.Spend(now) {
				extra = append(extra, now)
			}
		}
		for _, end := range extra {
			begin := end.Add(-length)
			got, allowed := countIn(extra, begin, end), ratio*float64(countIn(ordinary, begin, end))+slack
			if float64(got) > allowed {
				rt.Fatalf("%d extra requests in the span to %v, allowed %.1f", got, end, allowed)
			}
		}
	})
}

func countIn(times []time.Time, begin, end time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(begin) && !t.After(end) {
			n++
		}
	}
	return n
}

// TestWindowSlack guards against a service with few requests that may never hedge or retry.
func TestWindowSlack(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	w := budget.NewWindow(now, 10*time.Second, 0.2, 2)
	c.Assert([]bool{w.Spend(now), w.Spend(now), w.Spend(now)}, qt.DeepEquals, []bool{true, true, false})
	c.Assert(w.Spend(now.Add(11*time.Second)), qt.IsTrue)
}
