// Package upstream is a stand-in for the upstreams of a deployment: shards with slots, connection limits, a delay for new
// connections, index versions, load shedding, draining, cancellation and deadlines. Tests can switch on faults.
package upstream

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Config describes one upstream.
type Config struct {
	ID          string `json:"id"`
	Listen      string `json:"listen"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	// OpenCostMS is the time until a new connection is served, in milliseconds.
	OpenCostMS int64 `json:"open_cost_ms"`
	// ServiceUS is the mean service time of a request, in microseconds.
	ServiceUS int64  `json:"service_us"`
	Seed      uint64 `json:"seed"`
	// Oldest and Newest bound the index versions held at the start.
	Oldest uint64 `json:"oldest"`
	Newest uint64 `json:"newest"`
}

// Faults are the faults that are switched on. The zero value is a healthy upstream.
type Faults struct {
	// StragglerShare of the requests take StragglerFactor times longer.
	StragglerShare  float64 `json:"straggler_share"`
	StragglerFactor float64 `json:"straggler_factor"`
	// SlowFactor multiplies the time of every request; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// ShedShare of the requests are refused with the reason shed.
	ShedShare float64 `json:"shed_share"`
	// ErrorShare of the requests run and end with an error.
	ErrorShare float64 `json:"error_share"`
	// Draining refuses new requests and reports draining in every answer.
	Draining bool `json:"draining"`
	// ColdMS is how long requests take ColdFactor times longer after a start or a change of the faults, in milliseconds.
	ColdMS     int64   `json:"cold_ms"`
	ColdFactor float64 `json:"cold_factor"`
	// HealthAlwaysOK makes the health and load endpoints always report a healthy, idle upstream.
	HealthAlwaysOK bool `json:"health_lies"`
	// HealthLagMS is the delay with which the health and load endpoints report changes, in milliseconds.
	HealthLagMS int64 `json:"health_lag_ms"`
}

// Counts are the counters of an upstream.
type Counts struct {
	Connections     int64 `json:"connections"`
	PeakConnections int64 `json:"peak_connections"`
	// OverConnections counts connections opened above the limit; requests on them are refused.
	OverConnections uint64 `json:"over_connections"`
	Running         int64  `json:"running"`
	PeakRunning     int64  `json:"peak_running"`
	// OverSlots counts the part of Shed that arrived while every slot was in use.
	OverSlots uint64 `json:"over_slots"`
	// Misrouted counts requests that name another upstream.
	Misrouted uint64 `json:"misrouted"`
	Received  uint64 `json:"received"`
	Started   uint64 `json:"begun"`
	Finished  uint64 `json:"finished"`
	Cancelled uint64 `json:"cancelled"`
	// CancelledByDeadline counts the part of Cancelled that reached the deadline.
	CancelledByDeadline uint64 `json:"cancelled_by_deadline"`
	Shed                uint64 `json:"shed"`
	Expired             uint64 `json:"expired"`
	VersionMissing      uint64 `json:"version_missing"`
	RefusedDraining     uint64 `json:"refused_draining"`
	// ReceivedAfterDrainGrace counts the part of RefusedDraining that arrived after drainGrace.
	ReceivedAfterDrainGrace uint64 `json:"late_after_drain"`
	// DuplicateExecutions counts repeated executions of non-idempotent requests.
	DuplicateExecutions uint64 `json:"doubled_requests"`
	// NonIdempotentRun counts executions of non-idempotent requests.
	NonIdempotentRun uint64 `json:"non_idempotent_run"`
}

// drainGrace is how long new requests are still expected after the start of draining.
const drainGrace = 3 * time.Second

// Server is one upstream. New creates it, Start starts it.
type Server struct {
	cfg    Config
	server *http.Server

	mu     sync.Mutex
	random *rand.Rand
	faults Faults
	// coldSince is the start of the period with cold caches: the last start or change of the faults.
	coldSince time.Time
	// drainingSince is when draining started.
	drainingSince time.Time
	oldest        uint64
	newest        uint64
	// reported is the number of running requests that the load endpoint reports, last updated at reportedAt.
	reported   int64
	reportedAt time.Time
	running    map[string]context.CancelFunc
	// writes counts the executions of non-idempotent requests by request ID.
	writes map[string]int
	counts Counts
	conns  map[*upstreamConn]struct{}
}

// New returns an upstream that is not started.
func New(cfg Config) *Server {
	if cfg.Newest == 0 {
		cfg.Oldest, cfg.Newest = 1, 1
	}
	return &Server{
		cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 1)), oldest: cfg.Oldest, newest: cfg.Newest, coldSince: time.Now(),
		running: make(map[string]context.CancelFunc), writes: make(map[string]int),
		conns: make(map[*upstreamConn]struct{}),
	}
}

// Start listens and serves in the background. An upstream that was killed may be started again at the same address.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", s.cfg.Listen)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.coldSince = time.Now()
	s.mu.Unlock()
	s.cfg.Listen = listener.Addr().String()
	s.server = &http.Server{Handler: s.routes(), ReadHeaderTimeout: 10 * time.Second, ConnState: s.trackConn, ConnContext: withConn}
	server := s.server
	go func() {
		if err := server.Serve(&delayedListener{Listener: listener, server: s}); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			panic(err)
		}
	}()
	return nil
}

// Address returns the address that the upstream listens on.
func (s *Server) Address() string { return s.cfg.Listen }

// ID returns the name of the upstream.
func (s *Server) ID() string { return s.cfg.ID }

// Kill closes the listener and all connections at once, like the loss of the replica.
func (s *Server) Kill() error { return s.server.Close() }

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Draining && !s.faults.Draining {
		s.drainingSince = time.Now()
	}
	s.faults, s.coldSince = f, time.Now()
}

// Drain switches on the fault Draining and keeps the other faults.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.Draining {
		s.faults.Draining, s.drainingSince = true, time.Now()
	}
}

// Reseed seeds the random number generator again, so that two runs on one stand-in have the same sequence of draws.
func (s *Server) Reseed(seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.random = rand.New(rand.NewPCG(s.cfg.Seed, seed))
}

// Writes returns how often each non-idempotent request ran on this upstream, by request ID.
func (s *Server) Writes() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.writes)
}

// Publish sets the window of index versions held.
func (s *Server) Publish(oldest, newest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest, s.newest = oldest, newest
}

// StallConnections discards all further data, in both directions, on the connections that are open now, without closing
// them. New connections work.
func (s *Server) StallConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.stalled.Store(true)
	}
}

// Counts returns the current counters.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Server) trackConn(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*upstreamConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = struct{}{}
		s.counts.Connections++
		s.counts.PeakConnections = max(s.counts.PeakConnections, s.counts.Connections)
		if s.cfg.Connections > 0 && s.counts.Connections > int64(s.cfg.Connections) {
			s.counts.OverConnections++
			c.overLimit.Store(true)
		}
	case http.StateClosed, http.StateHijacked:
		if _, ok := s.conns[c]; ok {
			delete(s.conns, c)
			s.counts.Connections--
		}
	}
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// overLimit reports whether a request arrived on a connection above the limit.
func overLimit(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*upstreamConn)
	return ok && c.overLimit.Load()
}

// delayedListener delays the first data of each new connection by OpenCostMS.
type delayedListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *delayedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &upstreamConn{Conn: c, ready: time.Now().Add(time.Duration(l.server.cfg.OpenCostMS) * time.Millisecond)}, nil
}

// upstreamConn is a connection that is not read before ready and that can be stalled.
type upstreamConn struct {
	net.Conn
	ready time.Time
	// stalled is set when all further data is discarded. overLimit is set when the connection was opened above the limit.
	stalled, overLimit atomic.Bool
}

// Read implements net.Conn. Bytes received on a stalled connection are discarded.
func (c *upstreamConn) Read(p []byte) (int, error) {
	if wait := time.Until(c.ready); wait > 0 {
		time.Sleep(wait)
	}
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.stalled.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. Bytes written to a stalled connection are discarded.
func (c *upstreamConn) Write(p []byte) (int, error) {
	if c.stalled.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}
