// Package selection chooses the replica for an attempt based on this VM's own observations.
package selection

import (
	"math/rand/v2"
	"time"

	"gooseberrylane.example/coord/eject"
	"gooseberrylane.example/coord/query"
	"gooseberrylane.example/core"
)

// Settings of a Policy.
type Settings struct {
	// SpillFactor is the ratio of the expected latencies of a local and a remote replica above which the remote one is
	// used. Default 2.
	SpillFactor float64 `json:"spill_factor" validate:"gte=1,lte=100"`
	// RemoteMS is added to the expected latency of a replica in another failure domain, in milliseconds. Default 3.
	RemoteMS float64 `json:"remote_ms" validate:"gte=0,lte=1000"`
	// SlowStartMS is the time over which a cold upstream ramps up to its full share, in milliseconds. Default 10000.
	SlowStartMS int64 `json:"slow_start_ms" validate:"gte=0,lte=600000"`
	// ShedMemoryMS is how long a shed or late attempt counts against a replica, in milliseconds.
	// Default 100.
	ShedMemoryMS int64 `json:"shed_memory_ms" validate:"gte=0,lte=60000"`
	// RefreshMS is the time without requests after which a replica gets one request to refresh its observations, in
	// milliseconds. Default 1000.
	RefreshMS int64 `json:"refresh_ms" validate:"gte=10,lte=600000"`
	// Ejection configures the ejection of replicas that perform much worse than their group.
	Ejection eject.Settings `json:"ejection"`
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		SpillFactor: 2, RemoteMS: 3, SlowStartMS: 10_000, ShedMemoryMS: 100, RefreshMS: 1000, Ejection: eject.Defaults(),
	}
}

const (
	// initialShare is the share of requests that a cold upstream gets at the beginning of its slow start.
	initialShare = 0.1
	// shedPenalty multiplies the expected latency of a replica that had a shed or late attempt within ShedMemoryMS.
	shedPenalty = 4
	// coldPenalty multiplies the expected latency of a replica that reports that it is still warming up.
	coldPenalty = 2
	// failurePenalty multiplies the share of failed attempts: a replica that fails a quarter of its attempts has three times
	// the expected latency, which accounts for the retries.
	failurePenalty = 8
	// assumedLatency is used for replicas without an observed latency.
	assumedLatency = float64(time.Millisecond)
)

// Policy implements query.Selector. It keeps its state in core.UpstreamState and is safe for concurrent use.
type Policy struct {
	settings Settings
	ejection *eject.Policy
}

// New returns a policy.
func New(settings Settings) *Policy {
	return &Policy{settings: settings, ejection: eject.New(settings.Ejection)}
}

// ObserveResult implements query.Selector.
func (p *Policy) ObserveResult(now time.Time, view *core.View, group *core.Group, id core.UpstreamID, code core.Code) {
	p.ejection.Observe(now, view, group, id, code)
}

// Select implements query.Selector. It filters the replicas in steps, each of which is skipped if no replica would remain:
// least tried, not ejected, admitted by slow start. A replica in the local failure domain is then preferred unless a
// remote one is expected to be much faster. A local replica that is due for a refresh precedes the last step.
func (p *Policy) Select(now time.Time, random *rand.Rand, candidates []query.Candidate) int {
	all := candidateSet{n: 0}
	for i := range candidates {
		all.add(i)
	}
	usable := all.filter(leastTried(candidates))
	usable = usable.filter(func(i int) bool { return !eject.IsEjected(now, candidates[i].State) })
	chosen := p.refresh(now, candidates, &usable)
	if chosen < 0 {
		usable = usable.filter(func(i int) bool { return p.admits(now, random, candidates[i].State) })
		chosen = p.best(now, random, candidates, &usable)
	}
	state := candidates[chosen].State
	state.LastChosen.Store(now.UnixNano())
	if state.FirstUsed.Load() == 0 {
		state.FirstUsed.CompareAndSwap(0, now.UnixNano())
	}
	return chosen
}

func leastTried(candidates []query.Candidate) func(int) bool {
	least := candidates[0].Tried
	for i := range candidates {
		least = min(least, candidates[i].Tried)
	}
	return func(i int) bool { return candidates[i].Tried == least }
}

// refresh returns a local replica that has had no request for RefreshMS, or -1. The compare-and-swap limits the refresh to
// one request. Remote replicas are skipped: with thousands of VMs, refreshing them would cause considerable load.
func (p *Policy) refresh(now time.Time, candidates []query.Candidate, usable *candidateSet) int {
	limit := now.Add(-time.Duration(p.settings.RefreshMS) * time.Millisecond).UnixNano()
	for _, i := range usable.list() {
		last := candidates[i].State.LastChosen.Load()
		if candidates[i].Local && last != 0 && last < limit && candidates[i].State.LastChosen.CompareAndSwap(last, now.UnixNano()) {
			return i
		}
	}
	return -1
}

// admits reports whether slow start allows a request to a replica. The share of allowed requests grows with the time since
// its first use.
func (p *Policy) admits(now time.Time, random *rand.Rand, state *core.UpstreamState) bool {
	length := time.Duration(p.settings.SlowStartMS) * time.Millisecond
	first := state.FirstUsed.Load()
	age := time.Duration(0)
	if first != 0 {
		age = now.Sub(time.Unix(0, first))
	}
	if age >= length {
		return true
	}
	share := initialShare + (1-initialShare)*float64(max(age, 0))/float64(length)
	return random.Float64() < share
}

// best returns the better of a local and a remote replica, each chosen by twoChoices.
func (p *Policy) best(now time.Time, random *rand.Rand, candidates []query.Candidate, usable *candidateSet) int {
	local := candidateSet{}
	remote := candidateSet{}
	for _, i := range usable.list() {
		if candidates[i].Local {
			local.add(i)
		} else {
			remote.add(i)
		}
	}
	bestLocal, bestRemote := p.twoChoices(now, random, candidates, &local), p.twoChoices(now, random, candidates, &remote)
	if bestLocal < 0 || bestRemote < 0 {
		return max(bestLocal, bestRemote)
	}
	if p.score(now, &candidates[bestLocal]) > p.settings.SpillFactor*p.score(now, &candidates[bestRemote]) {
		return bestRemote
	}
	return bestLocal
}

// twoChoices draws two replicas at random and returns the better one, so that VMs with the same view do not all choose the
// same replica. It returns -1 if there is none.
func (p *Policy) twoChoices(now time.Time, random *rand.Rand, candidates []query.Candidate, from *candidateSet) int {
	switch from.n {
	case 0:
		return -1
	case 1:
		return from.list()[0]
	}
	first := random.IntN(from.n)
	second := random.IntN(from.n - 1)
	if second >= first {
		second++
	}
	a, b := from.list()[first], from.list()[second]
	if p.score(now, &candidates[b]) < p.score(now, &candidates[a]) {
		return b
	}
	return a
}

// isRecent reports whether a shed or late attempt, at a Unix time in nanoseconds, is within ShedMemoryMS.
func (p *Policy) isRecent(now time.Time, at int64) bool {
	return at != 0 && now.Sub(time.Unix(0, at)) < time.Duration(p.settings.ShedMemoryMS)*time.Millisecond
}

// score returns the expected time to a result, in nanoseconds.
func (p *Policy) score(now time.Time, c *query.Candidate) float64 {
	latency := float64(c.State.Latency())
	if latency == 0 {
		latency = assumedLatency
	}
	score := latency * (1 + float64(max(c.State.InFlight.Load(), 0))/float64(max(c.Upstream.Slots, 1)))
	if p.isRecent(now, c.State.LastShed.Load()) || p.isRecent(now, c.State.LastHedged.Load()) {
		score *= shedPenalty
	}
	score *= 1 + failurePenalty*c.State.FailureShare()
	if now.UnixNano() < c.State.ColdUntil.Load() {
		score *= coldPenalty
	}
	if !c.Local {
		score += p.settings.RemoteMS * float64(time.Millisecond)
	}
	return score
}
