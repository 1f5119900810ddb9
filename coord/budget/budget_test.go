package budget_test

import (
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/coord/budget"
)

// TestConcurrentSpendersShareOneBudget guards against extra load above the share when requests spend concurrently.
func TestConcurrentSpendersShareOneBudget(t *testing.T) {
	c := qt.New(t)
	b := budget.New(0, 100)
	for range 1000 {
		b.Earn(2)
	}
	var spent atomic.Int64
	var work sync.WaitGroup
	for range 8 {
		work.Go(func() {
			for range 10 {
				if b.Spend() {
					spent.Add(1)
				}
			}
		})
	}
	work.Wait()
	c.Assert(spent.Load(), qt.Equals, int64(20))
}

// TestTokensAreLimited guards against a burst of extra requests after a long time without any.
func TestTokensAreLimited(t *testing.T) {
	c := qt.New(t)
	b := budget.New(50, 10)
	for range 1000 {
		b.Earn(100)
	}
	spent := 0
	for b.Spend() {
		spent++
	}
	c.Assert(spent, qt.Equals, 10)
}
