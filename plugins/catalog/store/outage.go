package store

import "sync"

// outage lets one loop at a time ask a store that does not answer; the others wait for its success, so that an outage costs
// few calls. The zero value is a store that answers.
type outage struct {
	mu sync.Mutex
	// asking is the loop that asks, empty while the store answers; back is closed when it has an answer.
	asking string
	back   chan struct{}
}

// lost tells that a loop got no answer. It returns nil when the loop goes on asking, else what it has to wait for.
func (o *outage) lost(loop string) <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.asking == "" {
		o.asking, o.back = loop, make(chan struct{})
	}
	if o.asking == loop {
		return nil
	}
	return o.back
}

// regained tells that the store answers.
func (o *outage) regained() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.asking != "" {
		o.asking = ""
		close(o.back)
	}
}
