// Package budget limits extra requests, such as retries and hedges, to a share of the first attempts.
package budget

import "sync/atomic"

// unit is one token in a balance. Balances are in millionths of a token, so that fractions of a percent add up.
const unit = 1_000_000

// Bucket is a token bucket: each first attempt adds a share of a token, and each extra request spends one token. It is safe
// for concurrent use and lock-free. The zero value is empty.
type Bucket struct {
	balance atomic.Int64
	limit   int64
}

// New returns a bucket with initial tokens that holds at most limit tokens.
func New(initial, limit int) *Bucket {
	b := &Bucket{limit: int64(limit) * unit}
	b.balance.Store(min(int64(initial)*unit, b.limit))
	return b
}

// Earn adds percent/100 tokens.
func (b *Bucket) Earn(percent float64) {
	earned := int64(percent * unit / 100)
	for {
		old := b.balance.Load()
		next := min(old+earned, b.limit)
		if next == old || b.balance.CompareAndSwap(old, next) {
			return
		}
	}
}

// Spend removes one token, or returns false if there is none.
func (b *Bucket) Spend() bool {
	for {
		old := b.balance.Load()
		if old < unit {
			return false
		}
		if b.balance.CompareAndSwap(old, old-unit) {
			return true
		}
	}
}
