package websocket

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// backoffExpiry is how long an address is kept after its next permitted dial. Addresses of replaced VMs would accumulate
// without it.
const backoffExpiry = time.Minute

// backoff is the state of one address whose last dial failed.
type backoff struct {
	wait    time.Duration
	retryAt time.Time
}

// backoffs delays the next dial of an address after a failed one. Its lock is taken when links open and end, not for each
// message.
type backoffs struct {
	mu               sync.Mutex
	minWait, maxWait time.Duration
	random           *rand.Rand
	byAddress        map[string]backoff
	// failing is the length of byAddress, for reads without the lock.
	failing atomic.Int64
}

func (b *backoffs) init(settings *Settings, random *rand.Rand) {
	b.minWait = time.Duration(settings.BackoffMS) * time.Millisecond
	b.maxWait = time.Duration(settings.MaxBackoffMS) * time.Millisecond
	b.random, b.byAddress = random, make(map[string]backoff)
}

func (b *backoffs) allow(now time.Time, address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	state, failed := b.byAddress[address]
	return !failed || !now.Before(state.retryAt)
}

func (b *backoffs) failed(now time.Time, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for other, state := range b.byAddress {
		if now.Sub(state.retryAt) > backoffExpiry {
			delete(b.byAddress, other)
		}
	}
	wait := min(max(2*b.byAddress[address].wait, b.minWait), b.maxWait)
	// Half of the time is random, so that the VMs of a failure domain do not all dial a recovering VM at once.
	delay := wait/2 + time.Duration(b.random.Int64N(int64(wait/2)+1))
	b.byAddress[address] = backoff{wait: wait, retryAt: now.Add(delay)}
	b.failing.Store(int64(len(b.byAddress)))
}

// succeeded ends the back-off of an address after a dial that succeeded or a frame from its VM. It is called for each
// frame and takes no lock while no address fails.
func (b *backoffs) succeeded(address string) {
	if b.failing.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.byAddress, address)
	b.failing.Store(int64(len(b.byAddress)))
}
