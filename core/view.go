package core

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"
	"time"
)

type (
	// VMName names an entry VM.
	VMName string
	// Incarnation identifies one process start of a VM; a later start has a higher value.
	Incarnation uint64
)

// VMState is the state of a VM as observed by another VM.
type VMState int

// VM states.
const (
	VMLive VMState = iota
	VMLeaving
	VMSuspect
	VMGone
)

// String returns the name of the state.
func (s VMState) String() string {
	names := [...]string{"live", "leaving", "suspect", "gone"}
	if s < 0 || int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// VM is one entry VM in a member list.
type VM struct {
	_           struct{}      `cbor:",toarray"`
	Name        VMName        `json:"name"`
	Incarnation Incarnation   `json:"incarnation"`
	Domain      FailureDomain `json:"domain"`
	PeerAddress string        `json:"peer_address"`
	State       VMState       `json:"state"`
}

// Members is the member list of one view. It is immutable once published.
type Members struct {
	Self VM
	// All holds every known VM, Self included, ordered by name.
	All []VM
	// Capacity holds the processing power, in cores, of the VMs that reported it.
	Capacity map[VMName]float64
}

// Find returns the VM with the given name, or nil.
func (m *Members) Find(name VMName) *VM {
	if m == nil {
		return nil
	}
	i, found := slices.BinarySearchFunc(m.All, name, func(vm VM, name VMName) int { return cmp.Compare(vm.Name, name) })
	if !found {
		return nil
	}
	return &m.All[i]
}

// Ownership is the assignment of upstreams to VMs as this VM assumes it. It is immutable once published, except that the
// lease can be extended and revoked.
type Ownership struct {
	// Owner holds the assumed owner of each upstream.
	Owner Map[UpstreamID, VMName]
	// Held is the set of upstreams that this VM may send work to while Lease is valid.
	Held map[UpstreamID]bool
	// Lease bounds the use of Held in time; nil means no bound.
	Lease *Lease
}

// MaySend reports whether this VM may send work to an upstream now. It must be called directly before each send, so that
// a VM that was paused does not send after its lease has expired.
func (o *Ownership) MaySend(id UpstreamID, now time.Time) bool {
	return o.Held[id] && (o.Lease == nil || o.Lease.Valid(now))
}

// Lease is the time until which a VM may use the upstreams that it owns. Consecutive views share it by pointer.
// Times are compared by the monotonic clock.
type Lease struct {
	base  time.Time
	until atomic.Int64
}

// NewLease returns an expired lease. base must carry a monotonic clock reading.
func NewLease(base time.Time) *Lease { return &Lease{base: base} }

// Extend sets the expiry of the lease.
func (l *Lease) Extend(until time.Time) { l.until.Store(int64(until.Sub(l.base))) }

// Revoke makes the lease expire at once.
func (l *Lease) Revoke() { l.until.Store(0) }

// Valid reports whether the lease has not expired at the given time.
func (l *Lease) Valid(now time.Time) bool { return int64(now.Sub(l.base)) < l.until.Load() }

// VersionWindow is the range of index versions that an upstream holds. The zero value means unknown.
type VersionWindow struct {
	Oldest IndexVersion `json:"oldest"`
	Newest IndexVersion `json:"newest"`
}

// Contains reports whether the window contains the version.
func (w VersionWindow) Contains(v IndexVersion) bool {
	return v >= w.Oldest && v <= w.Newest && w.Newest != 0
}

// UpstreamState holds the observations of this VM about one upstream. All fields are atomics: consecutive views share
// the value by pointer and requests update it without a lock.
type UpstreamState struct {
	// InFlight is the number of attempts that this VM has sent and that have not ended.
	InFlight atomic.Int64
	// Sent counts the attempts; Failed counts the failed ones, Shed those that were refused because of load.
	Sent, Failed, Shed atomic.Uint64
	// FirstUsed is the Unix time in nanoseconds of the first attempt since slow start was last reset, which ejections and
	// drains do; 0 before it.
	FirstUsed atomic.Int64
	// DrainSince is the Unix time in nanoseconds at which draining was first observed, 0 when not draining.
	DrainSince atomic.Int64
	// LeavingSince is the Unix time in nanoseconds at which an answer of the upstream first announced that it is leaving, 0
	// if none did. PausedUntil is the Unix time in nanoseconds until which the upstream wants no requests.
	LeavingSince, PausedUntil atomic.Int64
	// EjectedUntil is the Unix time in nanoseconds until which the upstream gets no new work.
	EjectedUntil atomic.Int64
	// ConsecutiveFailures counts consecutive failed attempts. Ejections counts ejections; it is reset after the upstream
	// has been out of ejection for as long as the last one lasted.
	ConsecutiveFailures, Ejections atomic.Int64
	// ColdUntil is the Unix time in nanoseconds until which the upstream is warming up after its start.
	ColdUntil atomic.Int64
	// LastChosen, LastShed and LastHedged are Unix times in nanoseconds of the last attempt, the last refusal because of
	// load and the last hedge of an attempt at this upstream.
	LastChosen, LastShed, LastHedged atomic.Int64
	// latency is the moving average of the latency in nanoseconds, as the bits of a float64.
	latency atomic.Uint64
	// failures is the moving average of failed attempts, as the bits of a float64.
	failures atomic.Uint64
	window   atomic.Pointer[VersionWindow]
}

// Latency returns the moving average of the latency, 0 before the first observation.
func (s *UpstreamState) Latency() time.Duration {
	return time.Duration(math.Float64frombits(s.latency.Load()))
}

// latencyWeight is the weight of a new observation in the moving average.
const latencyWeight = 0.1

// ObserveLatency adds one latency to the moving average.
func (s *UpstreamState) ObserveLatency(d time.Duration) {
	for {
		old := s.latency.Load()
		mean := math.Float64frombits(old)
		next := float64(d)
		if old != 0 {
			next = mean + latencyWeight*(float64(d)-mean)
		}
		if s.latency.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// failureWeight is the weight of a new attempt in the moving average of failures.
const failureWeight = 0.15

// ObserveFailure adds one attempt to the moving average of failures.
func (s *UpstreamState) ObserveFailure(failed bool) {
	x := 0.0
	if failed {
		x = 1
	}
	for {
		old := s.failures.Load()
		mean := math.Float64frombits(old)
		if s.failures.CompareAndSwap(old, math.Float64bits(mean+failureWeight*(x-mean))) {
			return
		}
	}
}

// FailureShare returns the moving average of failed attempts, between 0 and 1.
func (s *UpstreamState) FailureShare() float64 { return math.Float64frombits(s.failures.Load()) }

// ResetLatency clears the moving average, so that the next observation starts it again.
func (s *UpstreamState) ResetLatency() { s.latency.Store(0) }

// Window returns the last known range of index versions.
func (s *UpstreamState) Window() VersionWindow {
	if w := s.window.Load(); w != nil {
		return *w
	}
	return VersionWindow{}
}

// SetWindow stores the range of index versions. It ignores a range that is not later than the stored one, because results
// arrive out of order.
func (s *UpstreamState) SetWindow(w VersionWindow) {
	for {
		old := s.window.Load()
		if w.Newest == 0 || (old != nil && !w.isAfter(*old)) {
			return
		}
		if s.window.CompareAndSwap(old, &w) {
			return
		}
	}
}

// isAfter reports whether w is later than old. A running upstream never lowers a bound of its range.
func (w VersionWindow) isAfter(old VersionWindow) bool {
	return w.Newest > old.Newest || (w.Newest == old.Newest && w.Oldest > old.Oldest)
}

// SetWindowAfterMiss stores the range of an upstream that reported the version missing. It replaces a stored range that
// contains the version even by an earlier one, because a restarted upstream can hold older versions than before.
func (s *UpstreamState) SetWindowAfterMiss(missing IndexVersion, w VersionWindow) {
	old := s.window.Load()
	if w.Newest == 0 || w.Contains(missing) || old == nil || !old.Contains(missing) {
		s.SetWindow(w)
		return
	}
	// If the swap fails, a concurrent result has stored its range, which is equally recent.
	s.window.CompareAndSwap(old, &w)
}

// View is the state that a request works on, loaded once through one atomic pointer. It is immutable except for the
// atomics in Upstreams and in the lease of Ownership.
type View struct {
	Config    *ConfigSet
	Members   *Members
	Ownership *Ownership
	// Upstreams holds the observed state of each upstream of Config and Registered.
	Upstreams Map[UpstreamID, *UpstreamState]
	// Routes is the routing table in force, nil before the first.
	Routes *RoutingTable
	// Registered holds the upstreams of the services of Routes.
	Registered *RegisteredUpstreams
	// Ready is false until the VM has a configuration and while it stops.
	Ready bool
	// LastPlatformContact is the time of the last contact with the platform; zero before the first.
	LastPlatformContact time.Time
	// Stale is true when the last contact with the platform is too long ago, so the configuration may be outdated.
	Stale bool
}

// State returns the observed state of an upstream, or nil.
func (v *View) State(id UpstreamID) *UpstreamState { return v.Upstreams.Value(id) }

// InForce reports whether the VM serves queries with a configuration of at least the given revision. A VM applies a
// configuration before the owners of its upstreams are known, and refuses queries until then.
func (v *View) InForce(revision Revision) bool { return v.Ready && v.Config.Revision >= revision }
