package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Limits of list and watch calls.
const (
	maxListed = 1000
	// maxListedBytes limits the values of one answer, because 1000 values of 1 MB would exceed the answer size limit of
	// clients.
	maxListedBytes = 32 << 20
	maxWatchWait   = 60 * time.Second
)

// Listed is one object in the answer to a list or watch call.
type Listed struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{key...}", s.withFaults(false, s.get))
	mux.HandleFunc("PUT /v1/objects/{key...}", s.withFaults(true, s.putObject))
	mux.HandleFunc("DELETE /v1/objects/{key...}", s.withFaults(true, s.deleteObject))
	mux.HandleFunc("GET /v1/list", s.withFaults(false, s.list))
	mux.HandleFunc("GET /v1/watch", s.withFaults(false, s.watch))
	mux.HandleFunc("GET /v1/vms", s.withFaults(false, s.listVMs))
	return mux
}

// abort closes the connection without an answer.
func abort() { panic(http.ErrAbortHandler) }

// withFaults wraps the handler of a call with the faults that are switched on.
func (s *Server) withFaults(write bool, handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		faults := s.faults
		failed := s.random.Float64() < faults.ErrorShare
		answerLost := write && s.random.Float64() < faults.LostAnswerShare
		limited := !faults.Down && !s.allow(write, &faults)
		switch {
		case limited:
			s.counts.Limited++
		case faults.Down || failed:
			s.counts.Refused++
		}
		s.mu.Unlock()
		if faults.Down {
			abort()
		}
		if limited {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		if faults.DelayMS > 0 {
			select {
			case <-time.After(time.Duration(faults.DelayMS) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
		if failed {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if answerLost {
			handle(discardWriter{header: make(http.Header)}, r)
			abort()
		}
		handle(w, r)
	}
}

// allow reports whether a call is within the rate limits of the platform.
func (s *Server) allow(write bool, faults *Faults) bool {
	if write {
		return s.writes.allow(time.Now(), faults.WritesPerSecond)
	}
	return s.reads.allow(time.Now(), faults.ReadsPerSecond)
}

// discardWriter is the response writer of a call whose answer is lost.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header       { return d.header }
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (discardWriter) WriteHeader(int)             {}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.counts.Reads++
	o := s.objects[r.PathValue("key")]
	if o != nil && s.random.Float64() < s.faults.StaleShare {
		o = o.previous
	}
	s.mu.Unlock()
	if o == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", etag(o.version))
	_, _ = w.Write(o.value)
}

func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

func parseETag(text string) (uint64, error) {
	return strconv.ParseUint(strings.Trim(text, `"`), 10, 64)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	ifVersion, conditional, err := parseCondition(r)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.counts.Writes++
	version, ok := s.put(r.PathValue("key"), value, ifVersion, conditional)
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	w.Header().Set("ETag", etag(version))
	w.WriteHeader(http.StatusOK)
}

func parseCondition(r *http.Request) (ifVersion uint64, conditional bool, err error) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, true, nil
	}
	match := r.Header.Get("If-Match")
	if match == "" {
		return 0, false, nil
	}
	ifVersion, err = parseETag(match)
	return ifVersion, true, err
}

func (s *Server) deleteObject(w http.ResponseWriter, r *http.Request) {
	ifVersion, _, err := parseCondition(r)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.counts.Writes++
	found, ok := s.remove(r.PathValue("key"), ifVersion)
	s.mu.Unlock()
	switch {
	case !found:
		w.WriteHeader(http.StatusNotFound)
	case !ok:
		w.WriteHeader(http.StatusPreconditionFailed)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit < 1 || limit > maxListed {
		limit = maxListed
	}
	s.mu.Lock()
	s.counts.Lists++
	listed := s.listed(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"), limit)
	s.mu.Unlock()
	writeJSON(w, listed)
}

func (s *Server) listed(prefix, after string, limit int) []Listed {
	listed := []Listed{}
	bytes := 0
	for _, key := range s.keysAfter(prefix, after) {
		o := s.objects[key]
		bytes += len(o.value)
		if len(listed) == limit || (len(listed) > 0 && bytes > maxListedBytes) {
			break
		}
		listed = append(listed, Listed{Key: key, Value: o.value, Version: o.version})
	}
	return listed
}

// watch waits until there are objects whose keys sort after a given key.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	waitMS, err := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	wait := time.Duration(waitMS) * time.Millisecond
	if err != nil || wait < 0 || wait > maxWatchWait {
		wait = maxWatchWait
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	s.counts.Watches++
	s.counts.Waiting++
	for {
		listed, changed := s.listed(prefix, after, maxListed), s.changed
		down := s.faults.Down
		if len(listed) > 0 || down {
			s.counts.Waiting--
			s.mu.Unlock()
			if down {
				abort()
			}
			writeJSON(w, listed)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			s.updateCounts(func(c *Counts) { c.Waiting-- })
			writeJSON(w, []Listed{})
			return
		case <-r.Context().Done():
			s.updateCounts(func(c *Counts) { c.Waiting-- })
			return
		}
		s.mu.Lock()
	}
}

func (s *Server) updateCounts(add func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&s.counts)
}

func (s *Server) listVMs(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.counts.VMLists++
	vms := append([]VM{}, s.listedVMs(time.Now())...)
	s.mu.Unlock()
	writeJSON(w, vms)
}

// listedVMs returns the list of VMs that is reported at a given time.
func (s *Server) listedVMs(now time.Time) []VM {
	if now.Sub(s.vmsChanged) < time.Duration(s.faults.ListLagMS)*time.Millisecond {
		return s.previousVMs
	}
	return s.vms
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
