package kernel

import (
	crand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"time"
)

// Clock tells the time. Tests replace it.
type Clock interface {
	Now() time.Time
}

// SystemClock is the clock of the operating system.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// Random hands out independent random generators. It is safe for concurrent use.
type Random struct {
	mu  sync.Mutex
	src *rand.PCG
}

// NewRandom returns a source with a seed; seed 0 takes one from the operating system.
func NewRandom(seed uint64) *Random {
	if seed == 0 {
		var b [8]byte
		if _, err := crand.Read(b[:]); err == nil {
			seed = binary.LittleEndian.Uint64(b[:])
		}
	}
	return &Random{src: rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)}
}

// Generator returns a new generator for the use of one goroutine.
func (r *Random) Generator() *rand.Rand {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rand.New(rand.NewPCG(r.src.Uint64(), r.src.Uint64()))
}
