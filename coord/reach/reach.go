// Package reach tells which failure domains answer. It learns from the requests that are sent anyway: a domain of which many
// upstreams were asked and none answers for a while is cut off, whatever each of them alone would seem to be.
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
	// Asked is how many requests must have been sent to the domain meanwhile. Default 6.
	Asked int64 `json:"asked" validate:"gte=1,lte=100000"`
}

// Defaults returns the default settings.
func Defaults() Settings { return Settings{SilentMS: 300, Asked: 6} }

// domainState is what is known of one failure domain.
type domainState struct {
	// since is the Unix time in nanoseconds of the first request after the last answer, 0 when none waits.
	since atomic.Int64
	asked atomic.Int64
}

// Tracker keeps the state of all failure domains. It is safe for concurrent use and takes no lock.
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

// Asked notes a request to an upstream of a domain.
func (t *Tracker) Asked(now time.Time, name core.FailureDomain) {
	s := t.domain(name)
	s.asked.Add(1)
	if s.since.Load() == 0 {
		s.since.CompareAndSwap(0, now.UnixNano())
	}
}

// Answered notes a sign of life from a domain, a refusal or a failure included.
func (t *Tracker) Answered(name core.FailureDomain) {
	s := t.domain(name)
	if s.since.Load() != 0 {
		s.asked.Store(0)
		s.since.Store(0)
	}
}

// Lost reports whether a domain is cut off from this VM.
func (t *Tracker) Lost(now time.Time, name core.FailureDomain) bool {
	s := t.domain(name)
	since := s.since.Load()
	return since != 0 && now.UnixNano()-since > t.settings.SilentMS*int64(time.Millisecond) && s.asked.Load() >= t.settings.Asked
}

// MarkLost takes the word of a failed probe for requests that were not sent.
func (t *Tracker) MarkLost(now time.Time, name core.FailureDomain) {
	s := t.domain(name)
	s.asked.Store(t.settings.Asked)
	s.since.Store(now.UnixNano() - (t.settings.SilentMS+1)*int64(time.Millisecond))
}
