package upstream

import (
	"errors"
	"fmt"
	"net/http"
	"sync"

	"gooseberrylane.example/standins/control"
)

// Host runs several upstreams in one process and handles control calls for them.
type Host struct {
	order   []string
	servers map[string]*Server

	mu   sync.Mutex
	down map[string]bool
}

// Target selects upstreams by ID; an empty list selects all.
type Target struct {
	IDs []string `json:"ids"`
}

// FaultsCall sets the faults of upstreams.
type FaultsCall struct {
	Target
	Faults Faults `json:"faults"`
}

// PublishCall changes the index versions that upstreams hold.
type PublishCall struct {
	Target
	Oldest uint64 `json:"oldest"`
	Newest uint64 `json:"newest"`
}

// SeedCall seeds the random number generators of upstreams again.
type SeedCall struct {
	Target
	Seed uint64 `json:"seed"`
}

// NewHost starts upstreams. If one fails to start, it stops the others.
func NewHost(configs []Config) (*Host, error) {
	h := &Host{servers: make(map[string]*Server, len(configs)), down: make(map[string]bool)}
	for _, cfg := range configs {
		if h.servers[cfg.ID] != nil {
			return nil, errors.Join(fmt.Errorf("upstream %q is configured twice", cfg.ID), h.Stop())
		}
		s := New(cfg)
		if err := s.Start(); err != nil {
			return nil, errors.Join(err, h.Stop())
		}
		h.servers[cfg.ID] = s
		h.order = append(h.order, cfg.ID)
	}
	return h, nil
}

// Stop ends all upstreams.
func (h *Host) Stop() error { return h.kill(Target{}) }

// Addresses returns the address of each upstream.
func (h *Host) Addresses() map[string]string {
	addresses := make(map[string]string, len(h.servers))
	for id, s := range h.servers {
		addresses[id] = s.Address()
	}
	return addresses
}

// Counts returns the counters of each upstream.
func (h *Host) Counts() map[string]Counts {
	counts := make(map[string]Counts, len(h.servers))
	for id, s := range h.servers {
		counts[id] = s.Counts()
	}
	return counts
}

// Writes returns how often each non-idempotent request ran on all upstreams together, by request ID.
func (h *Host) Writes() map[string]int {
	total := make(map[string]int)
	for _, s := range h.servers {
		for id, n := range s.Writes() {
			total[id] += n
		}
	}
	return total
}

// each calls f for the selected upstreams in the order of the target, or of the configuration if it selects all.
func (h *Host) each(target Target, f func(*Server) error) error {
	ids := target.IDs
	if len(ids) == 0 {
		ids = h.order
	}
	for _, id := range ids {
		if h.servers[id] == nil {
			return fmt.Errorf("unknown upstream %q", id)
		}
	}
	for _, id := range ids {
		if err := f(h.servers[id]); err != nil {
			return fmt.Errorf("upstream %q: %w", id, err)
		}
	}
	return nil
}

func (h *Host) kill(target Target) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.each(target, func(s *Server) error {
		if h.down[s.ID()] {
			return nil
		}
		h.down[s.ID()] = true
		return s.Kill()
	})
}

func (h *Host) restart(target Target) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.each(target, func(s *Server) error {
		if !h.down[s.ID()] {
			return nil
		}
		if err := s.Start(); err != nil {
			return err
		}
		delete(h.down, s.ID())
		return nil
	})
}

type empty struct{}

// Control returns the handler of the control calls.
func (h *Host) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/addresses", control.Handle(func(empty) (map[string]string, error) { return h.Addresses(), nil }))
	mux.HandleFunc("POST /v1/counts", control.Handle(func(empty) (map[string]Counts, error) { return h.Counts(), nil }))
	mux.HandleFunc("POST /v1/writes", control.Handle(func(empty) (map[string]int, error) { return h.Writes(), nil }))
	mux.HandleFunc("POST /v1/kill", control.Handle(func(t Target) (empty, error) { return empty{}, h.kill(t) }))
	mux.HandleFunc("POST /v1/restart", control.Handle(func(t Target) (empty, error) { return empty{}, h.restart(t) }))
	mux.HandleFunc("POST /v1/faults", control.Handle(func(call FaultsCall) (empty, error) {
		return empty{}, h.each(call.Target, func(s *Server) error { s.SetFaults(call.Faults); return nil })
	}))
	mux.HandleFunc("POST /v1/drain", control.Handle(func(t Target) (empty, error) {
		return empty{}, h.each(t, func(s *Server) error { s.Drain(); return nil })
	}))
	mux.HandleFunc("POST /v1/publish", control.Handle(func(call PublishCall) (empty, error) {
		return empty{}, h.each(call.Target, func(s *Server) error { s.Publish(call.Oldest, call.Newest); return nil })
	}))
	mux.HandleFunc("POST /v1/silence", control.Handle(func(t Target) (empty, error) {
		return empty{}, h.each(t, func(s *Server) error { s.StallConnections(); return nil })
	}))
	mux.HandleFunc("POST /v1/seed", control.Handle(func(call SeedCall) (empty, error) {
		return empty{}, h.each(call.Target, func(s *Server) error { s.Reseed(call.Seed); return nil })
	}))
	return mux
}
