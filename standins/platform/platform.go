// Package platform is a stand-in for the platform's object API: objects with versions, conditional updates and watches,
// and a list of VMs that lags behind changes. Tests can switch on faults.
package platform

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"
)

// Faults are the faults that are switched on. The zero value is a healthy platform.
type Faults struct {
	// Down closes each connection without an answer.
	Down bool `json:"down"`
	// ErrorShare of the calls fail with 503 before they take effect.
	ErrorShare float64 `json:"error_share"`
	// LostAnswerShare of the writes take effect and then lose their answer.
	LostAnswerShare float64 `json:"lost_answer_share"`
	// DelayMS delays each call, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// StaleShare of the reads return the version of the object before its last change.
	StaleShare float64 `json:"stale_share"`
	// ListLagMS is how long the previous list of VMs is reported after a change, in milliseconds.
	ListLagMS int64 `json:"list_lag_ms"`
	// WritesPerSecond and ReadsPerSecond limit the calls; those above are refused with 429. 0 means no limit. A watch
	// counts as a read when it starts.
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
}

// Counts holds the numbers of calls received, by kind. A watch counts as one call however long it waits.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Lists   uint64 `json:"lists"`
	Watches uint64 `json:"watches"`
	VMLists uint64 `json:"vm_lists"`
	// Refused counts calls that failed because of the fault Down or ErrorShare.
	Refused uint64 `json:"refused"`
	// Limited counts calls refused because of the rate limits.
	Limited uint64 `json:"limited"`
	// Waiting is the number of watches that are waiting now.
	Waiting int64 `json:"waiting"`
}

// Total returns the number of calls.
func (c Counts) Total() uint64 {
	return c.Reads + c.Writes + c.Lists + c.Watches + c.VMLists + c.Refused + c.Limited
}

// VM is one entry of the VM list.
type VM struct {
	Name        string `json:"name"`
	Domain      string `json:"domain"`
	PeerAddress string `json:"peer_address"`
	Leaving     bool   `json:"leaving"`
}

// MaxValueBytes is the largest value of an object.
const MaxValueBytes = 1 << 20

type object struct {
	value    []byte
	version  uint64
	previous *object
}

// Server is the stand-in. New creates it, Start starts it.
type Server struct {
	listen string
	server *http.Server

	mu      sync.Mutex
	random  *rand.Rand
	objects map[string]*object
	// keys holds the keys of objects in order.
	keys    []string
	version uint64
	// changed is closed and replaced when an object or the faults change.
	changed chan struct{}
	vms     []VM
	// previousVMs is the list of VMs before its last change, which was at vmsChanged.
	previousVMs []VM
	vmsChanged  time.Time
	writes      rateLimiter
	reads       rateLimiter
	faults      Faults
	counts      Counts
}

// New returns a platform that listens on an address once started.
func New(listen string, seed uint64) *Server {
	return &Server{
		listen: listen, random: rand.New(rand.NewPCG(seed, 2)), objects: make(map[string]*object), changed: make(chan struct{}),
	}
}

// Start listens and serves in the background.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", s.listen)
	if err != nil {
		return err
	}
	s.listen = listener.Addr().String()
	s.server = &http.Server{Handler: s.routes(), ReadHeaderTimeout: 10 * time.Second}
	go func() {
		if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	}()
	return nil
}

// Stop closes the listener and all connections.
func (s *Server) Stop() error { return s.server.Close() }

// Address returns the address that the platform listens on.
func (s *Server) Address() string { return s.listen }

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wakeWatches()
}

// SetVMs replaces the VM list.
func (s *Server) SetVMs(vms []VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.previousVMs, s.vmsChanged = s.vms, time.Now()
	s.vms = append([]VM(nil), vms...)
}

// Counts returns the numbers of calls received so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Keys returns the keys with a prefix in order.
func (s *Server) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.keysAfter(prefix, ""))
}

// keysAfter returns the keys with a prefix that sort after a key. The result shares memory with the server.
func (s *Server) keysAfter(prefix, after string) []string {
	first, found := slices.BinarySearch(s.keys, max(prefix, after))
	if found && after >= prefix {
		first++
	}
	end := first + sort.Search(len(s.keys)-first, func(i int) bool { return !strings.HasPrefix(s.keys[first+i], prefix) })
	return s.keys[first:end]
}

// put writes an object. A conditional write fails unless the object has the version ifVersion; 0 means that the object
// must not exist.
func (s *Server) put(key string, value []byte, ifVersion uint64, conditional bool) (uint64, bool) {
	old := s.objects[key]
	var oldVersion uint64
	if old != nil {
		oldVersion = old.version
	}
	if conditional && oldVersion != ifVersion {
		return 0, false
	}
	s.version++
	if old != nil {
		old.previous = nil
	} else {
		at, _ := slices.BinarySearch(s.keys, key)
		s.keys = slices.Insert(s.keys, at, key)
	}
	s.objects[key] = &object{value: value, version: s.version, previous: old}
	s.wakeWatches()
	return s.version, true
}

// remove deletes an object if it has the version ifVersion; 0 means any version.
func (s *Server) remove(key string, ifVersion uint64) (found, ok bool) {
	old := s.objects[key]
	if old == nil {
		return false, false
	}
	if ifVersion != 0 && old.version != ifVersion {
		return true, false
	}
	delete(s.objects, key)
	at, _ := slices.BinarySearch(s.keys, key)
	s.keys = slices.Delete(s.keys, at, at+1)
	s.wakeWatches()
	return true, true
}

func (s *Server) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}
