package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"time"
)

const maxPayload = 1 << 20

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/execute", s.execute)
	mux.HandleFunc("DELETE /v1/execute/{attempt}", s.cancel)
	mux.HandleFunc("GET /v1/execute/{attempt}", s.status)
	mux.HandleFunc("GET /v1/health", s.health)
	mux.HandleFunc("GET /v1/load", s.load)
	return mux
}

// Data is the body of a successful answer. Count depends only on the shard and the index version, so that a test can
// verify it.
type Data struct {
	Shard   string `json:"shard"`
	Version uint64 `json:"version"`
	Count   int    `json:"count"`
}

// CountOf returns the count that every replica of a shard reports at an index version.
func CountOf(shard string, version uint64) int {
	h := fnv.New32a()
	fmt.Fprintf(h, "%s/%d", shard, version)
	return int(h.Sum32()%1000) + 1
}

type request struct {
	id, attempt, shard string
	upstream           string
	idempotent         bool
	overLimit          bool
	version            uint64
	deadline           time.Time
}

func readRequest(r *http.Request) request {
	version, _ := strconv.ParseUint(r.Header.Get("X-Index-Version"), 10, 64)
	deadline, _ := strconv.ParseInt(r.Header.Get("X-Deadline-Us"), 10, 64)
	return request{
		id: r.Header.Get("X-Request-Id"), attempt: r.Header.Get("X-Attempt"), shard: r.Header.Get("X-Shard"),
		upstream: r.Header.Get("X-Upstream"), overLimit: overLimit(r),
		idempotent: r.Header.Get("X-Idempotent") != "0", version: version, deadline: time.UnixMicro(deadline),
	}
}

func (s *Server) execute(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxPayload)); err != nil {
		http.Error(w, "body", http.StatusBadRequest)
		return
	}
	req := readRequest(r)
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	duration, refusal, failed := s.admit(&req, cancel)
	s.setStateHeaders(w.Header(), false)
	if refusal != "" {
		refuse(w, refusal)
		return
	}
	defer s.finish(req.attempt)
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		s.updateCounts(func(c *Counts) {
			c.Cancelled++
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				c.CancelledByDeadline++
			}
		})
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	s.updateCounts(func(c *Counts) { c.Finished++ })
	if failed {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("X-Index-Version", strconv.FormatUint(req.version, 10))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Data{Shard: req.shard, Version: req.version, Count: CountOf(req.shard, req.version)})
}

func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set("X-Refused", reason)
	w.WriteHeader(http.StatusConflict)
}

// admit registers a request that may run and returns its duration and whether it fails, or the reason of a refusal.
func (s *Server) admit(req *request, cancel context.CancelFunc) (duration time.Duration, refusal string, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Received++
	if refusal = s.refusalReason(req); refusal != "" {
		return 0, refusal, false
	}
	s.counts.Started++
	s.counts.Running++
	s.counts.PeakRunning = max(s.counts.PeakRunning, s.counts.Running)
	s.running[req.attempt] = cancel
	if !req.idempotent {
		s.counts.NonIdempotentRun++
		s.writes[req.id]++
		if s.writes[req.id] > 1 {
			s.counts.DuplicateExecutions++
		}
	}
	return s.serviceTime(), "", s.random.Float64() < s.faults.ErrorShare
}

func (s *Server) refusalReason(req *request) string {
	switch {
	case req.upstream != "" && req.upstream != s.cfg.ID:
		s.counts.Misrouted++
		return "unknown_shard"
	case req.overLimit:
		return "overloaded"
	case !time.Now().Before(req.deadline):
		s.counts.Expired++
		return "expired"
	case s.faults.Draining:
		s.counts.RefusedDraining++
		if time.Since(s.drainingSince) > drainGrace {
			s.counts.ReceivedAfterDrainGrace++
		}
		return "draining"
	case req.version < s.oldest || req.version > s.newest:
		s.counts.VersionMissing++
		return "version_missing"
	case s.cfg.Slots > 0 && s.counts.Running >= int64(s.cfg.Slots):
		s.counts.OverSlots++
		s.counts.Shed++
		return "shed"
	case s.random.Float64() < s.faults.ShedShare:
		s.counts.Shed++
		return "shed"
	default:
		return ""
	}
}

// serviceTime draws a random service time around the mean: three quarters of the mean are fixed, the rest is
// exponentially distributed.
func (s *Server) serviceTime() time.Duration {
	mean := float64(time.Duration(s.cfg.ServiceUS) * time.Microsecond)
	duration := mean * (0.75 + 0.25*s.random.ExpFloat64())
	if s.faults.SlowFactor > 0 {
		duration *= s.faults.SlowFactor
	}
	if s.random.Float64() < s.faults.StragglerShare {
		duration *= s.faults.StragglerFactor
	}
	if cold := time.Duration(s.faults.ColdMS) * time.Millisecond; cold > 0 && time.Since(s.coldSince) < cold {
		duration *= s.faults.ColdFactor
	}
	return time.Duration(duration)
}

func (s *Server) finish(attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Running--
	delete(s.running, attempt)
}

func (s *Server) updateCounts(add func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&s.counts)
}

// setStateHeaders sets the headers with the window of index versions and the draining state. health is true in answers of
// the health endpoint, which may report draining late or not at all.
func (s *Server) setStateHeaders(h http.Header, health bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.Set("X-Window-Oldest", strconv.FormatUint(s.oldest, 10))
	h.Set("X-Window-Newest", strconv.FormatUint(s.newest, 10))
	if s.faults.Draining && !(health && s.hidesDraining(time.Now())) {
		h.Set("X-Draining", "1")
	}
}

// hidesDraining reports whether the health endpoint does not report draining yet, or never reports it.
func (s *Server) hidesDraining(now time.Time) bool {
	return s.faults.HealthAlwaysOK || now.Sub(s.drainingSince) < s.healthLag()
}

func (s *Server) healthLag() time.Duration {
	return time.Duration(s.faults.HealthLagMS) * time.Millisecond
}

// reportedLoad returns the number of running requests that the load endpoint reports, updated at most once per
// healthLag.
func (s *Server) reportedLoad(now time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.HealthAlwaysOK {
		return 0
	}
	if now.Sub(s.reportedAt) >= s.healthLag() {
		s.reported, s.reportedAt = s.counts.Running, now
	}
	return s.reported
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	cancel := s.running[r.PathValue("attempt")]
	s.mu.Unlock()
	if cancel == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	cancel()
	w.WriteHeader(http.StatusNoContent)
}

// status reports whether an attempt is running.
func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	_, running := s.running[r.PathValue("attempt")]
	s.mu.Unlock()
	if !running {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	s.setStateHeaders(w.Header(), true)
	w.WriteHeader(http.StatusOK)
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	running := s.reportedLoad(time.Now())
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]int64{"running": running, "slots": int64(s.cfg.Slots)})
}
