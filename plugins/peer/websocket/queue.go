package websocket

import (
	"slices"
	"sync/atomic"

	"gooseberrylane.example/kernel/kinds"
)

// item is one encoded message that waits on a link.
type item struct {
	message kinds.Message
	frame   []byte
	next    *item
	// counted is the memory that counts towards Settings.MaxBulkBytes until the message has left the link.
	counted int64
}

// queue is a lock-free queue from many senders to one writer, bounded in length and in bytes.
type queue struct {
	head      atomic.Pointer[item]
	length    atomic.Int64
	bytes     atomic.Int64
	maxLength int64
	maxBytes  int64
	// ready wakes the writer, space wakes one sender.
	ready chan struct{}
	space chan struct{}
}

// closedQueue is the head of a closed queue.
var closedQueue = &item{}

type pushResult int

const (
	pushed pushResult = iota
	queueFull
	queueClosed
)

func newQueue(maxLength int, maxBytes int64) *queue {
	return &queue{maxLength: int64(maxLength), maxBytes: maxBytes, ready: make(chan struct{}, 1), space: make(chan struct{}, 1)}
}

// push adds a message unless the queue is full or closed.
func (q *queue) push(i *item) pushResult {
	size := int64(len(i.frame))
	length, bytes := q.length.Add(1), q.bytes.Add(size)
	if length > q.maxLength || bytes > q.maxBytes {
		q.uncount(size)
		return queueFull
	}
	for {
		i.next = q.head.Load()
		if i.next == closedQueue {
			q.uncount(size)
			return queueClosed
		}
		if q.head.CompareAndSwap(i.next, i) {
			notify(q.ready)
			return pushed
		}
	}
}

// uncount subtracts one message from the counters.
func (q *queue) uncount(size int64) {
	q.length.Add(-1)
	q.bytes.Add(-size)
}

// take removes all messages in the order in which they were pushed.
func (q *queue) take() []*item { return q.collect(q.head.Swap(nil)) }

// close removes all messages and refuses later ones.
func (q *queue) close() []*item { return q.collect(q.head.Swap(closedQueue)) }

// collect returns the messages of a detached list, oldest first, and subtracts them from the counters.
func (q *queue) collect(head *item) []*item {
	var items []*item
	for i := head; i != nil && i != closedQueue; i = i.next {
		items = append(items, i)
		q.uncount(int64(len(i.frame)))
	}
	slices.Reverse(items)
	for _, i := range items {
		i.next = nil
	}
	if len(items) > 0 {
		notify(q.space)
	}
	return items
}

// notify wakes the receiver of c. It does not block if a wake-up is already buffered.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func messages(items []*item) []kinds.Message {
	list := make([]kinds.Message, len(items))
	for n, i := range items {
		list[n] = i.message
	}
	return list
}
