package budget

import (
	"math"
	"sync/atomic"
	"time"
)

// windowSlots is the number of slots of a window. More slots approximate a sliding window more closely.
const windowSlots = 20

// Window limits extra requests to a share of the ordinary ones in any time span of a given length. Each VM enforces its own
// part of the allowance, so all VMs together stay within the whole. It is safe for concurrent use and lock-free.
type Window struct {
	slot   time.Duration
	origin time.Time
	ratio  float64
	slack  atomic.Uint64
	// ordinary and extra have one more slot than the window, because a span may begin inside a slot.
	ordinary, extra [windowSlots + 1]slotCount
}

// slotCount holds the number of a slot in the upper half and a count in the lower half, so that both change atomically.
type slotCount struct{ state atomic.Uint64 }

const countBits = 32

func (c *slotCount) add(number uint32, n int32) {
	for {
		old := c.state.Load()
		count := int32(uint32(old))
		if uint32(old>>countBits) != number {
			count = 0
		}
		if c.state.CompareAndSwap(old, uint64(number)<<countBits|uint64(uint32(count+n))) {
			return
		}
	}
}

// since returns the count, or 0 if the slot number is below oldest.
func (c *slotCount) since(oldest uint32) float64 {
	state := c.state.Load()
	if uint32(state>>countBits) < oldest {
		return 0
	}
	return float64(int32(uint32(state)))
}

// NewWindow returns a window of the given length. It allows ratio times the ordinary requests, plus slack, as extra
// requests.
func NewWindow(now time.Time, length time.Duration, ratio, slack float64) *Window {
	// The origin is two windows back, so that subtracting windowSlots from a slot number does not underflow.
	w := &Window{slot: length / windowSlots, origin: now.Add(-2 * length), ratio: ratio}
	w.SetSlack(slack)
	return w
}

// SetSlack replaces the constant part of the allowance, for use when the number of VMs that share it changes.
func (w *Window) SetSlack(slack float64) { w.slack.Store(math.Float64bits(slack)) }

func (w *Window) slotNumber(now time.Time) uint32 { return uint32(now.Sub(w.origin) / w.slot) }

// Count adds one ordinary request.
func (w *Window) Count(now time.Time) {
	n := w.slotNumber(now)
	w.ordinary[n%uint32(len(w.ordinary))].add(n, 1)
}

// Spend adds one extra request if the allowance permits it, and reports whether it did.
func (w *Window) Spend(now time.Time) bool {
	n := w.slotNumber(now)
	slot := &w.extra[n%uint32(len(w.extra))]
	// The request is counted before the check, so that concurrent requests cannot exceed the allowance together.
	slot.add(n, 1)
	oldest := n - windowSlots
	var ordinary, extra float64
	for i := range w.ordinary {
		extra += w.extra[i].since(oldest)
		// The oldest slot may be partly outside a span that ends now, so its ordinary requests are not counted.
		ordinary += w.ordinary[i].since(oldest + 1)
	}
	if extra <= w.ratio*ordinary+math.Float64frombits(w.slack.Load()) {
		return true
	}
	slot.add(n, -1)
	return false
}
