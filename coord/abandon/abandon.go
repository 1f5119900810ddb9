// Package abandon decides how long an attempt continues whose answer is no longer needed, because another replica has answered or
// the request has ended.
//
// It answers the load of upstreams with hardly a free slot: work that nobody waits for delays the requests behind it. While upstreams
// have free slots, and single ones are only paused for a moment, an attempt may continue, so that its connection can be used again.
package abandon

import (
	"math"
	"sync/atomic"
	"time"
)

// Settings of a Policy.
type Settings struct {
	// BusyShare is the share of slow attempts from which the upstreams count as busy.
	BusyShare float64
	// Window is the number of attempts over which the share is averaged.
	Window float64
	// Linger is how long an attempt may continue after the request has ended while the upstreams are not busy.
	Linger time.Duration
}

// Policy observes the attempts at the upstreams of some services. It is safe for concurrent use and takes no lock.
type Policy struct {
	settings Settings
	// slow is the moving average of slow attempts, as the bits of a float64.
	slow atomic.Uint64
}

// New returns a policy for upstreams that are not busy.
func New(settings Settings) *Policy { return &Policy{settings: settings} }

// Observe adds an attempt that has ended. slow tells whether it took so long that a second replica was due.
func (p *Policy) Observe(slow bool) {
	x := 0.0
	if slow {
		x = 1
	}
	for {
		old := p.slow.Load()
		mean := math.Float64frombits(old)
		if p.slow.CompareAndSwap(old, math.Float64bits(mean+(x-mean)/p.settings.Window)) {
			return
		}
	}
}

// SlowShare returns the moving average of slow attempts, between 0 and 1.
func (p *Policy) SlowShare() float64 { return math.Float64frombits(p.slow.Load()) }

// Linger returns how long an attempt may continue that is no longer needed. 0 means that it ends at once.
func (p *Policy) Linger() time.Duration {
	if p.SlowShare() >= p.settings.BusyShare {
		return 0
	}
	return p.settings.Linger
}
