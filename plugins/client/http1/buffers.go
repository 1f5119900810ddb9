package http1

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// freeBodyBytes is the size up to which a buffered answer does not count towards the limit of the VM. Most answers are smaller, so
// that they cost no bookkeeping.
const freeBodyBytes = 4 << 10

var (
	errBodyTooLarge = errs.New("the body of the answer exceeds max_answer_bytes")
	errBuffersFull  = errs.New("the answers that the VM holds exceed max_buffered_bytes")
)

// buffers bounds the memory for the answers that a VM holds at the same time.
type buffers struct {
	limit int64
	used  atomic.Int64
	// makeRoom ends answers of n bytes that their callers do not read, and reports whether there were any; nil ends none.
	makeRoom func(n int64) bool
}

// releaseTime is how long a read waits until the answers that were ended for it are released, checked every releaseCheck.
const (
	releaseTime  = 200 * time.Millisecond
	releaseCheck = 5 * time.Millisecond
)

func (b *buffers) acquire(n int64) bool {
	if b.tryAcquire(n) {
		return true
	}
	if b.makeRoom == nil || !b.makeRoom(n) {
		return false
	}
	for waited := time.Duration(0); waited < releaseTime; waited += releaseCheck {
		time.Sleep(releaseCheck)
		if b.tryAcquire(n) {
			return true
		}
	}
	return false
}

func (b *buffers) tryAcquire(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *buffers) release(n int64) { b.used.Add(-n) }

// read reads a body of at most maxBytes. A buffer larger than freeBodyBytes counts until holder ends.
func (b *buffers) read(body io.Reader, length, maxBytes int64, holder context.Context) ([]byte, error) {
	if length > maxBytes {
		return nil, errBodyTooLarge
	}
	size := int64(freeBodyBytes)
	if length >= 0 {
		// One more byte lets the last read report the end of the body. An upstream may announce more than it sends, so the
		// buffer of a long body grows with what arrives.
		size = min(length+1, freeBodyBytes)
	}
	buffer, charged := make([]byte, 0, size), int64(0)
	for {
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case int64(len(buffer)) > maxBytes:
			err = errBodyTooLarge
		case err == io.EOF:
			b.releaseAfter(holder, charged)
			return buffer, nil
		case err == nil && len(buffer) == cap(buffer):
			grown := min(2*int64(cap(buffer)), maxBytes+1)
			if !b.acquire(grown) {
				err = errBuffersFull
				break
			}
			next := make([]byte, len(buffer), grown)
			copy(next, buffer)
			b.release(charged)
			buffer, charged = next, grown
		}
		if err != nil {
			b.release(charged)
			return nil, err
		}
	}
}

// releaseAfter releases a charge when the holder of the answer ends.
func (b *buffers) releaseAfter(holder context.Context, charged int64) {
	if charged == 0 {
		return
	}
	if holder == nil {
		b.release(charged)
		return
	}
	context.AfterFunc(holder, func() { b.release(charged) })
}
