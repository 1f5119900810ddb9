// Package reach detects failure domains that are unreachable. It observes the regular requests: a domain is unreachable
// when enough requests were sent to it and none of its upstreams has answered for a while, whatever the state of each
// upstream alone.
package reach

import (
	"sync"
	"sync/atomic"
	"time"

	"gooseberrylane.example/core"
)

// Settings of a Tracker.
type Settings struct {
	// SilentMS is how long all upstreams of a failure domain have to be silent, in milliseconds. Default 300.
	SilentMS int64 `json:"silent_ms" validate:"gte=1,lte=60000"`
	// MinRequests is the minimum number of requests sent to the domain during that time. Default 6.
	MinRequests int64 `json:"asked" validate:"gte=1,lte=100000"`
}

// Defaults returns the default settings.
func Defaults() Settings { return Settings{SilentMS: 300, MinRequests: 6} }

// domainState holds the observations of one failure domain.
type domainState struct {
	// silentSince is the Unix time in nanoseconds of the first request after the last answer, 0 when there is none.
	silentSince atomic.Int64
	// requests is the number of requests since the last answer.
	requests atomic.Int64
}

// Tracker holds the state of all failure domains. It is safe for concurrent use and takes no lock.
type Tracker struct {
	settings Settings
	// domains maps core.FailureDomain to *domainState.
	domains sync.Map
}

// New returns a tracker.
func New(settings Settings) *Tracker { return &Tracker{settings: settings} }

func (t *Tracker) domain(name core.FailureDomain) *domainState {
	if s, ok := t.domains.Load(name); ok {
		return s.(*domainState)
	}
	s, _ := t.domains.LoadOrStore(name, new(domainState))
	return s.(*domainState)
}

// RecordRequest records a request to an upstream of a domain.
func (t *Tracker) RecordRequest(now time.Time, name core.FailureDomain) {
	s := t.domain(name)
	s.requests.Add(1)
	if s.silentSince.Load() == 0 {
		s.silentSince.CompareAndSwap(0, now.UnixNano())
	}
}

// RecordResponse records any response from a domain, including a refusal or a failure.
func (t *Tracker) RecordResponse(name core.FailureDomain) {
	s := t.domain(name)
	if s.silentSince.Load() != 0 {
		s.requests.Store(0)
		s.silentSince.Store(0)
	}
}

// IsUnreachable reports whether a domain is unreachable from this VM.
func (t *Tracker) IsUnreachable(now time.Time, name core.FailureDomain) bool {
	s := t.domain(name)
	since := s.silentSince.Load()
	return since != 0 && now.UnixNano()-since > t.settings.SilentMS*int64(time.Millisecond) && s.requests.Load() >= t.settings.MinRequests
}

// MarkUnreachable marks a domain as unreachable after a failed probe, without requests of this VM.
func (t *Tracker) MarkUnreachable(now time.Time, name core.FailureDomain) {
	s := t.domain(name)
	s.requests.Store(t.settings.MinRequests)
	s.silentSince.Store(now.UnixNano() - (t.settings.SilentMS+1)*int64(time.Millisecond))
}
