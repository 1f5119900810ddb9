package selection_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/coord/query"
	"gooseberrylane.example/coord/selection"
	"gooseberrylane.example/core"
)

const seed = 7

var now = time.Unix(1_000_000, 0)

// warm returns a replica past its slow start, with an observed latency.
func warm(local bool, latency time.Duration) query.Candidate {
	state := &core.UpstreamState{}
	state.FirstUsed.Store(now.Add(-time.Hour).UnixNano())
	state.LastChosen.Store(now.UnixNano())
	state.ObserveLatency(latency)
	return query.Candidate{Upstream: &core.Upstream{Slots: 2}, State: state, Local: local}
}

// counts returns how often each candidate is chosen in 1000 selections.
func counts(candidates []query.Candidate) []int {
	p := selection.New(selection.Defaults())
	random := rand.New(rand.NewPCG(seed, 1))
	n := make([]int, len(candidates))
	for range 1000 {
		n[p.Select(now, random, candidates)]++
	}
	return n
}

// TestLocalFailureDomainIsPreferred guards against requests to remote replicas that are hardly faster, and against staying
// local when the local replicas are much slower.
func TestLocalFailureDomainIsPreferred(t *testing.T) {
	c := qt.New(t)
	n := counts([]query.Candidate{warm(true, 6*time.Millisecond), warm(false, 4*time.Millisecond)})
	c.Assert(n[0], qt.Equals, 1000)
	n = counts([]query.Candidate{warm(true, 60*time.Millisecond), warm(false, 4*time.Millisecond), warm(false, 4*time.Millisecond)})
	c.Assert(n[0], qt.Equals, 0)
	// Spill-over is spread: no remote replica gets nearly all of it.
	c.Assert(min(n[1], n[2]) > 250, qt.IsTrue, qt.Commentf("seed %d: %v", seed, n))
}

// TestEjectedReplicasAreAvoided guards against choosing an ejected replica while another one is available, and against
// choosing none when all are ejected.
func TestEjectedReplicasAreAvoided(t *testing.T) {
	c := qt.New(t)
	bad, good := warm(true, time.Millisecond), warm(false, 50*time.Millisecond)
	bad.State.EjectedUntil.Store(now.Add(time.Second).UnixNano())
	c.Assert(counts([]query.Candidate{bad, good})[0], qt.Equals, 0)
	c.Assert(counts([]query.Candidate{bad})[0], qt.Equals, 1000)
}

// TestColdReplicaStartsSlowly guards against a full share of requests for an upstream that has just started.
func TestColdReplicaStartsSlowly(t *testing.T) {
	c := qt.New(t)
	cold := warm(true, time.Millisecond)
	cold.State.FirstUsed.Store(now.UnixNano())
	n := counts([]query.Candidate{cold, warm(true, time.Millisecond)})
	c.Assert(n[0] > 0 && n[0] < 200, qt.IsTrue, qt.Commentf("seed %d: %v", seed, n))
}

// TestBusyReplicasGetFewerRequests guards against choosing a replica that shed or has many requests in flight, whatever
// its health endpoint reports.
func TestBusyReplicasGetFewerRequests(t *testing.T) {
	c := qt.New(t)
	shed, busy, idle := warm(true, 4*time.Millisecond), warm(true, 4*time.Millisecond), warm(true, 4*time.Millisecond)
	shed.State.LastShed.Store(now.UnixNano())
	busy.State.InFlight.Store(4)
	n := counts([]query.Candidate{shed, busy, idle})
	c.Assert(n[2] > n[0]+n[1], qt.IsTrue, qt.Commentf("seed %d: %v", seed, n))
}

// TestIdleLocalReplicaIsTriedAgain guards against a replica that stays unused forever because it was slow once.
func TestIdleLocalReplicaIsTriedAgain(t *testing.T) {
	c := qt.New(t)
	slow := warm(true, time.Second)
	slow.State.LastChosen.Store(now.Add(-2 * time.Second).UnixNano())
	n := counts([]query.Candidate{slow, warm(true, time.Millisecond)})
	c.Assert(n[0], qt.Equals, 1)
}
