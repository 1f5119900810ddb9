package websocket

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// backoffExpiry is the time after which a failed dial is forgotten, so that addresses of replaced VMs do not add up.
const backoffExpiry = time.Minute

// backoff is the state of one address whose last dial failed.
type backoff struct {
	wait    time.Duration
	retryAt time.Time
}

// backoffs space out the dials of addresses that fail. They are used when links open and end, not for each message.
type backoffs struct {
	mu          sync.Mutex
	first, most time.Duration
	random      *rand.Rand
	byAddress   map[string]backoff
	// failing is the length of byAddress, for a look without the lock.
	failing atomic.Int64
}

func (b *backoffs) init(settings *Settings, random *rand.Rand) {
	b.first = time.Duration(settings.BackoffMS) * time.Millisecond
	b.most = time.Duration(settings.MaxBackoffMS) * time.Millisecond
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
	wait := min(max(2*b.byAddress[address].wait, b.first), b.most)
	// Half of the time is random, so that the VMs of a domain do not dial a VM that returns all at once.
	pause := wait/2 + time.Duration(b.random.Int64N(int64(wait/2)+1))
	b.byAddress[address] = backoff{wait: wait, retryAt: now.Add(pause)}
	b.failing.Store(int64(len(b.byAddress)))
}

// succeeded ends the back-off of an address from which the VM was heard. It is called for each frame.
func (b *backoffs) succeeded(address string) {
	if b.failing.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.byAddress, address)
	b.failing.Store(int64(len(b.byAddress)))
}
