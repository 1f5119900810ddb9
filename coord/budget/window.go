package budget

import (
	"math"
	"sync/atomic"
	"time"
)

// windowSlots is the number of equal parts of a window. More parts follow a sliding window more closely.
const windowSlots = 20

// Window bounds extra requests to a share of the ordinary ones in any span of a given length. One VM keeps within its own
// part of the allowance, so all VMs together keep within the whole. It is safe for concurrent use and takes no lock.
type Window struct {
	slot   time.Duration
	origin time.Time
	ratio  float64
	slack  atomic.Uint64
	// ordinary and extra have one slot more than the window, because a span may begin inside a slot.
	ordinary, extra [windowSlots + 1]slotCount
}

// slotCount holds the number of a slot in its upper half and a count in its lower half, so that both change together.
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

// since returns the count unless the slot is older than a number.
func (c *slotCount) since(oldest uint32) float64 {
	state := c.state.Load()
	if uint32(state>>countBits) < oldest {
		return 0
	}
	return float64(int32(uint32(state)))
}

// NewWindow returns a window of a length. ratio is the share of ordinary requests and slack the constant that extra
// requests may reach together.
func NewWindow(now time.Time, length time.Duration, ratio, slack float64) *Window {
	// The origin lies one window back, so that no slot in use has a number below the size of the window.
	w := &Window{slot: length / windowSlots, origin: now.Add(-2 * length), ratio: ratio}
	w.SetSlack(slack)
	return w
}

// SetSlack replaces the constant part of the allowance, for when the number of VMs that share it changed.
func (w *Window) SetSlack(slack float64) { w.slack.Store(math.Float64bits(slack)) }

func (w *Window) number(now time.Time) uint32 { return uint32(now.Sub(w.origin) / w.slot) }

// Count adds one ordinary request.
func (w *Window) Count(now time.Time) {
	n := w.number(now)
	w.ordinary[n%uint32(len(w.ordinary))].add(n, 1)
}

// Spend adds one extra request if the allowance has room, and reports whether it had.
func (w *Window) Spend(now time.Time) bool {
	n := w.number(now)
	slot := &w.extra[n%uint32(len(w.extra))]
	// The request is counted before the check, so that requests at the same time cannot overrun the allowance together.
	slot.add(n, 1)
	oldest := n - windowSlots
	var ordinary, extra float64
	for i := range w.ordinary {
		extra += w.extra[i].since(oldest)
		// The oldest slot may lie outside of a span that ends now: its ordinary requests earn nothing.
		ordinary += w.ordinary[i].since(oldest + 1)
	}
	if extra <= w.ratio*ordinary+math.Float64frombits(w.slack.Load()) {
		return true
	}
	slot.add(n, -1)
	return false
}
