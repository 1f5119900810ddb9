// Package intake decides how much memory and how many connections the callers of a VM may hold, which requests are refused
// because there is no room, and which connections are closed to make room.
package intake

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Limits bound what callers may hold. 0 means no limit.
type Limits struct {
	// Bytes bounds the memory of all requests together.
	Bytes int64
	// Connections bounds the connections.
	Connections int64
}

const (
	// SmallBytes is the size up to which a request may use the memory that is reserved for small ones. It holds the headers and
	// the body of an ordinary look-up.
	SmallBytes = 16 << 10
	// reserveShare is the share of Limits.Bytes that only small requests may use.
	reserveShare = 0.2
	// headShare is the share of Limits.Bytes for headers that are being received. It is separate, so that callers who do not finish
	// their headers keep no memory from requests with a body.
	headShare = 0.2
	// progressBytes is how much a caller must send or read to count as making progress, so that single bytes do not.
	progressBytes = 4 << 10
	// receiveStall is how long a caller must have sent nothing before its request or connection ends to make room. It is many
	// round trips between a caller and a VM.
	receiveStall = 200 * time.Millisecond
	// answerStall is the same time for an answer. It is longer because the request ran and cannot always be repeated.
	answerStall = time.Second
)

// Phase is what a connection is doing.
type Phase int32

// Phases of a connection.
const (
	// Waiting: the caller sends no request, or has not finished the headers of one.
	Waiting Phase = iota
	// Receiving: the caller sends the body of a request.
	Receiving
	// Serving: the request has been passed on, so the connection must not be closed.
	Serving
	// Answering: the caller reads the answer.
	Answering
	// Ending: the request was refused, and the connection is closed once the caller has read that.
	Ending
	// Evicted: the connection was chosen to make room, or is closed. This phase does not end.
	Evicted
)

// pool is a part of the memory of callers.
type pool int

const (
	// requestPool is for requests: their headers and bodies.
	requestPool pool = iota
	// headPool is for headers that are being received.
	headPool
	numPools
)

// unfinished is the phase of connections whose memory in a pool can be taken.
var unfinished = [numPools]Phase{requestPool: Receiving, headPool: Waiting}

// Holder is one connection of a caller. T is the type of its owner.
type Holder[T any] struct {
	// Owner is for use by the driver.
	Owner   T
	account *Account[T]
	phase   atomic.Int32
	// bytes is the memory that the connection holds in each pool.
	bytes [numPools]atomic.Int64
	// answer is the size of the answer that the caller reads.
	answer atomic.Int64
	// progressAt is when the caller made progress last, in nanoseconds of the Unix time; progress is what it has sent or read since.
	progressAt, progress atomic.Int64
}

// Account counts what callers hold. It does no I/O: the driver ends the connections that the account evicts. It is safe for
// concurrent use. A lock is taken only when a connection opens or closes and when there is no room.
type Account[T any] struct {
	// maxBytes is Limits.Bytes, or more after Fit.
	maxBytes       atomic.Int64
	maxConnections int64
	used           [numPools]atomic.Int64

	mu      sync.Mutex
	holders map[*Holder[T]]struct{}
}

// NewAccount returns an empty account.
func NewAccount[T any](limits Limits) *Account[T] {
	a := &Account[T]{maxConnections: limits.Connections, holders: make(map[*Holder[T]]struct{})}
	a.maxBytes.Store(limits.Bytes)
	if limits.Bytes == 0 {
		a.maxBytes.Store(math.MaxInt64)
	}
	if limits.Connections == 0 {
		a.maxConnections = math.MaxInt64
	}
	return a
}

// Fit raises the limit on memory so that a request whose body and whose headers take the given memory fits when callers hold nothing
// else. It reports whether that was necessary.
func (a *Account[T]) Fit(body, head int64) (raised bool) {
	needed := int64(math.Ceil(max(float64(body+head)/(1-reserveShare-headShare), float64(head)/headShare)))
	for {
		limit := a.maxBytes.Load()
		if limit >= needed {
			return raised
		}
		raised = a.maxBytes.CompareAndSwap(limit, needed)
	}
}

// Used returns the memory that callers hold, in bytes.
func (a *Account[T]) Used() int64 {
	return a.used[requestPool].Load() + a.used[headPool].Load()
}

// Connections returns the number of open connections.
func (a *Account[T]) Connections() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.holders)
}

// Open admits a new connection. At the limit, it returns the connection that the driver must end first, and which counts until
// Close. If all connections are in use, it returns ok as false.
func (a *Account[T]) Open(now time.Time, owner T) (h, victim *Holder[T], ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if int64(len(a.holders)) >= a.maxConnections {
		if victim = a.evictLeastUseful(now); victim == nil {
			return nil, nil, false
		}
	}
	h = &Holder[T]{Owner: owner, account: a}
	h.progressAt.Store(now.UnixNano())
	a.holders[h] = struct{}{}
	return h, victim, true
}

// Close removes a connection. It must be called once the connection is closed.
func (h *Holder[T]) Close() {
	h.phase.Store(int32(Evicted))
	h.Release()
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	delete(h.account.holders, h)
}

// Enter records what the connection does from now on. It returns false if the connection was evicted; a request that has not
// been passed on must then be refused.
func (h *Holder[T]) Enter(now time.Time, phase Phase) bool {
	h.Touch(now)
	return h.Advance(phase)
}

// Touch records that the caller has made progress.
func (h *Holder[T]) Touch(now time.Time) {
	h.progressAt.Store(now.UnixNano())
	h.progress.Store(0)
}

// Advance is Enter for a phase in which the caller's last progress counts on.
func (h *Holder[T]) Advance(phase Phase) bool {
	for {
		current := h.phase.Load()
		if Phase(current) == Evicted {
			return false
		}
		if h.phase.CompareAndSwap(current, int32(phase)) {
			return true
		}
	}
}

// Phase returns what the connection does.
func (h *Holder[T]) Phase() Phase { return Phase(h.phase.Load()) }

// Progress records that the caller has sent or read n more bytes.
func (h *Holder[T]) Progress(now time.Time, n int) {
	if h.progress.Add(int64(n)) >= progressBytes {
		h.Touch(now)
	}
}

// Stalled returns how long the caller has made no progress.
func (h *Holder[T]) Stalled(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - h.progressAt.Load())
}

// Grow admits n more bytes of the request on the connection. victims are the connections whose requests the driver must end;
// their memory counts no longer. If there is no room, it returns ok as false.
func (h *Holder[T]) Grow(now time.Time, n int64) (victims []*Holder[T], ok bool) {
	return h.grow(requestPool, now, n)
}

// GrowHead is Grow for headers that are being received.
func (h *Holder[T]) GrowHead(now time.Time, n int64) (victims []*Holder[T], ok bool) {
	return h.grow(headPool, now, n)
}

func (h *Holder[T]) grow(p pool, now time.Time, n int64) (victims []*Holder[T], ok bool) {
	victims, ok = h.account.acquire(p, now, n, h.bytes[p].Load()+n <= SmallBytes, h)
	return victims, ok && h.add(p, n)
}

// add counts n admitted bytes, or gives them back if the connection was evicted in the meantime.
func (h *Holder[T]) add(p pool, n int64) bool {
	h.bytes[p].Add(n)
	if h.Phase() == Evicted {
		h.Release()
		return false
	}
	return true
}

// TryGrow is Grow if there is room without an eviction.
func (h *Holder[T]) TryGrow(n int64) bool {
	a := h.account
	return a.take(requestPool, n, a.limit(requestPool, h.bytes[requestPool].Load()+n <= SmallBytes)) && h.add(requestPool, n)
}

// Release gives back all memory of the connection.
func (h *Holder[T]) Release() {
	for p := range numPools {
		h.account.used[p].Add(-h.bytes[p].Swap(0))
	}
}

// Bytes returns the memory that the connection holds.
func (h *Holder[T]) Bytes() int64 {
	return h.bytes[requestPool].Load() + h.bytes[headPool].Load()
}

// Acquire admits n bytes of a request that came from another VM. Give them back with Return.
func (a *Account[T]) Acquire(now time.Time, n int64) (victims []*Holder[T], ok bool) {
	return a.acquire(requestPool, now, n, n <= SmallBytes, nil)
}

// Return gives back n bytes of Acquire.
func (a *Account[T]) Return(n int64) { a.used[requestPool].Add(-n) }

// limit returns the limit on the memory of a pool for a request.
func (a *Account[T]) limit(p pool, small bool) int64 {
	all := a.maxBytes.Load()
	heads := int64(headShare * float64(all))
	switch {
	case p == headPool:
		return heads
	case small:
		return all - heads
	default:
		return all - heads - int64(reserveShare*float64(all))
	}
}

// take admits n bytes if there is room.
func (a *Account[T]) take(p pool, n, limit int64) bool {
	if a.used[p].Add(n) <= limit {
		return true
	}
	a.used[p].Add(-n)
	return false
}

func (a *Account[T]) acquire(p pool, now time.Time, n int64, small bool, requester *Holder[T]) (victims []*Holder[T], ok bool) {
	limit := a.limit(p, small)
	if a.take(p, n, limit) {
		return nil, true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	available := limit - a.used[p].Load()
	for _, c := range a.stalled(now, unfinished[p], receiveStall, func(h *Holder[T]) int64 { return h.bytes[p].Load() }) {
		if available >= n {
			break
		}
		if c == requester {
			continue
		}
		available += c.bytes[p].Load()
		victims = append(victims, c)
	}
	if available < n {
		return nil, false
	}
	evicted := victims[:0]
	for _, v := range victims {
		if v.evict(unfinished[p]) {
			evicted = append(evicted, v)
		}
	}
	// A request may have been passed on in the meantime, so that its memory was not freed.
	return evicted, a.take(p, n, limit)
}

// evict takes the memory of a connection that is in a phase, and reports whether it was.
func (h *Holder[T]) evict(phase Phase) bool {
	if !h.phase.CompareAndSwap(int32(phase), int32(Evicted)) {
		return false
	}
	h.Release()
	return true
}

// stalled returns the connections in a phase whose callers have made no progress for some time and that hold memory. Those come first
// whose memory, weighted by that time, is largest.
func (a *Account[T]) stalled(now time.Time, phase Phase, atLeast time.Duration, held func(*Holder[T]) int64) []*Holder[T] {
	cost := make(map[*Holder[T]]float64)
	var found []*Holder[T]
	for h := range a.holders {
		stalled, bytes := h.Stalled(now), held(h)
		if h.Phase() != phase || stalled < atLeast || bytes == 0 {
			continue
		}
		cost[h] = float64(bytes) * stalled.Seconds()
		found = append(found, h)
	}
	slices.SortFunc(found, func(x, y *Holder[T]) int { return cmp.Compare(cost[y], cost[x]) })
	return found
}

// EnterAnswering records that the caller reads the answer of n bytes to the request in service. The answer to a refused request leaves the
// connection as it is.
func (h *Holder[T]) EnterAnswering(now time.Time, n int64) {
	h.answer.Store(n)
	h.Touch(now)
	h.phase.CompareAndSwap(int32(Serving), int32(Answering))
}

// EvictUnreadAnswers evicts connections whose callers do not read their answers, until these have n bytes together or none is left.
// Those come first whose answer, weighted by the time without progress, is largest.
func (a *Account[T]) EvictUnreadAnswers(now time.Time, n int64) (victims []*Holder[T]) {
	a.mu.Lock()
	defer a.mu.Unlock()
	evicted := int64(0)
	for _, h := range a.stalled(now, Answering, answerStall, func(h *Holder[T]) int64 { return h.answer.Load() }) {
		if evicted >= n {
			break
		}
		if h.evict(Answering) {
			evicted += h.answer.Load()
			victims = append(victims, h)
		}
	}
	return victims
}

// evictLeastUseful evicts a connection for a new one: one whose refusal should have been read, else one whose request has stalled, else one
// without a request, else one whose answer is not read. Among several, it is the one without progress for longest.
func (a *Account[T]) evictLeastUseful(now time.Time) *Holder[T] {
	for _, candidate := range []struct {
		phase Phase
		stall time.Duration
	}{{Ending, receiveStall}, {Receiving, receiveStall}, {Waiting, receiveStall}, {Answering, answerStall}} {
		var longest *Holder[T]
		for h := range a.holders {
			if h.Phase() == candidate.phase && h.Stalled(now) >= candidate.stall && (longest == nil || h.Stalled(now) > longest.Stalled(now)) {
				longest = h
			}
		}
		if longest != nil && longest.evict(candidate.phase) {
			return longest
		}
	}
	return nil
}
