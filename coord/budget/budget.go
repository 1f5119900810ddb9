// Package budget bounds extra work, such as retries and second requests, to a share of the ordinary work.
package budget

import "sync/atomic"

// unit is one whole token; balances are kept in parts of it so that shares of a percent add up.
const unit = 1_000_000

// Bucket is a token bucket that ordinary work fills: each piece of it earns a share of a token, and each extra piece
// spends one token. It is safe for concurrent use and takes no lock. The zero value is empty.
type Bucket struct {
	balance atomic.Int64
	limit   int64
}

// New returns a bucket that holds initial tokens and never more than limit tokens.
func New(initial, limit int) *Bucket {
	b := &Bucket{limit: int64(limit) * unit}
	b.balance.Store(min(int64(initial)*unit, b.limit))
	return b
}

// Earn adds percent hundredths of a token.
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

// Spend takes one token, or reports that there is none.
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
