package store

import "sync"

// outage lets only one loop call a store that does not answer. The other loops wait for its success, so that an outage
// causes few calls. The zero value means that there is no outage.
type outage struct {
	mu sync.Mutex
	// prober is the loop that calls the store, empty without an outage. recovered is closed when the outage ends.
	prober    string
	recovered chan struct{}
}

// recordFailure records a call without an answer. It returns nil if the loop is the prober, else the channel that it must
// wait for.
func (o *outage) recordFailure(loop string) <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.prober == "" {
		o.prober, o.recovered = loop, make(chan struct{})
	}
	if o.prober == loop {
		return nil
	}
	return o.recovered
}

// recordSuccess records an answer of the store, which ends the outage.
func (o *outage) recordSuccess() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.prober != "" {
		o.prober = ""
		close(o.recovered)
	}
}
