// Package faultproxy is a TCP proxy for tests and the benchmark. Rules, which may change at any time, delay, drop or reset
// traffic. Open connections can be stalled permanently while new ones work.
package faultproxy

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Rule is the treatment of connections. The zero value forwards all bytes without delay.
type Rule struct {
	// Delay is added in each direction.
	Delay time.Duration
	// Reset closes connections with a reset, existing ones at their next bytes and new ones when they are accepted.
	Reset bool
	// DropUp and DropDown discard bytes towards the target and towards the client; the connections stay open.
	DropUp, DropDown bool
}

// RuleFunc returns the rule for connections from a client address. It is called for each chunk of bytes and must not
// block.
type RuleFunc func(client netip.Addr) Rule

const (
	chunkBytes  = 64 << 10
	queueChunks = 256
	dialTimeout = 2 * time.Second
)

// Counts is the traffic of a proxy.
type Counts struct {
	Connections uint64
	BytesUp     uint64
	BytesDown   uint64
}

// Proxy forwards connections to a target. Create it with Listen.
type Proxy struct {
	listen string
	target string
	rule   atomic.Pointer[RuleFunc]

	connections, bytesUp, bytesDown atomic.Uint64

	mu       sync.Mutex
	listener net.Listener
	pairs    map[*pair]struct{}
	work     sync.WaitGroup
}

// Listen starts a proxy on an address towards a target.
func Listen(address, target string) (*Proxy, error) {
	p := &Proxy{listen: address, target: target, pairs: make(map[*pair]struct{})}
	p.SetRule(Rule{})
	return p, p.Open()
}

// Address returns the address that clients use.
func (p *Proxy) Address() string { return p.listen }

// SetRule replaces the rule for all clients.
func (p *Proxy) SetRule(rule Rule) { p.SetRuleFunc(func(netip.Addr) Rule { return rule }) }

// SetRuleFunc replaces the rules with one that depends on the client address.
func (p *Proxy) SetRuleFunc(f RuleFunc) { p.rule.Store(&f) }

// Counts returns the traffic of the proxy so far.
func (p *Proxy) Counts() Counts {
	return Counts{Connections: p.connections.Load(), BytesUp: p.bytesUp.Load(), BytesDown: p.bytesDown.Load()}
}

// Open listens again after Refuse. It does nothing while the proxy listens.
func (p *Proxy) Open() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", p.listen)
	if err != nil {
		return err
	}
	p.listener, p.listen = listener, listener.Addr().String()
	p.work.Go(func() { p.accept(listener) })
	return nil
}

// Refuse stops listening, so that new connections are refused, and resets the existing ones, as when the target's
// process ends.
func (p *Proxy) Refuse() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.reset()
	}
	if p.listener == nil {
		return nil
	}
	err := p.listener.Close()
	p.listener = nil
	return err
}

// StallConnections makes the open connections drop all bytes from now on, including the end of the stream, so that the
// endpoints see no error. New connections work.
func (p *Proxy) StallConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.stalled.Store(true)
	}
}

// Close stops the proxy and closes all its connections.
func (p *Proxy) Close() error {
	err := p.Refuse()
	p.work.Wait()
	return err
}

func (p *Proxy) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		p.connections.Add(1)
		p.work.Go(func() { p.forward(client) })
	}
}

func (p *Proxy) ruleFor(client net.Conn) Rule {
	address, err := netip.ParseAddrPort(client.RemoteAddr().String())
	if err != nil {
		return Rule{}
	}
	return (*p.rule.Load())(address.Addr())
}

func (p *Proxy) forward(client net.Conn) {
	rule := p.ruleFor(client)
	if rule.Reset {
		resetConn(client)
		return
	}
	// The TCP handshake takes one round trip.
	time.Sleep(2 * rule.Delay)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	target, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.target)
	cancel()
	if err != nil {
		resetConn(client)
		return
	}
	c := &pair{proxy: p, client: client, target: target, ended: make(chan struct{})}
	if !p.add(c) {
		c.reset()
		return
	}
	defer p.remove(c)
	var directions sync.WaitGroup
	directions.Go(func() { c.pump(client, target, true) })
	directions.Go(func() { c.pump(target, client, false) })
	directions.Wait()
	c.close()
}

func (p *Proxy) add(c *pair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil {
		return false
	}
	p.pairs[c] = struct{}{}
	return true
}

func (p *Proxy) remove(c *pair) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pairs, c)
}
