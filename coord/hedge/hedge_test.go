package hedge_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/coord/hedge"
	"gooseberrylane.example/core"
)

const seed = 7

var (
	now     = time.Unix(1000, 0)
	service = &core.Service{Name: "svc", Rule: core.Rule{HedgePercent: 2}}
)

// hedgedShare draws latencies, 1% of them 20 times longer, and returns the share that would be hedged.
func hedgedShare(p *hedge.Policy, random *rand.Rand, mean time.Duration, n int) float64 {
	hedged := 0
	for range n {
		latency := time.Duration(float64(mean) * (0.75 + 0.25*random.ExpFloat64()))
		if random.IntN(100) == 0 {
			latency *= 20
		}
		if delay, ok := p.Delay(service, "g"); ok && latency > delay {
			hedged++
			p.ObserveCancelled(service, "g", delay+mean)
			p.ObserveLatency(service, "g", mean)
			continue
		}
		p.ObserveLatency(service, "g", latency)
	}
	return float64(hedged) / float64(n)
}

// TestLearnedDelayFollowsTheLatency guards against a delay that hedges ordinary requests, or waits for stragglers, after the
// latency of a group changed in either direction. The bounds are the operator's share and 1%, the share of stragglers.
func TestLearnedDelayFollowsTheLatency(t *testing.T) {
	c := qt.New(t)
	p := hedge.New(hedge.Defaults())
	random := rand.New(rand.NewPCG(seed, 1))
	for _, mean := range []time.Duration{4 * time.Millisecond, 40 * time.Millisecond, 2 * time.Millisecond} {
		hedgedShare(p, random, mean, 5000)
		share := hedgedShare(p, random, mean, 50_000)
		c.Check(share > 0.01 && share <= 0.02, qt.IsTrue, qt.Commentf("seed %d, mean %v: share %v", seed, mean, share))
	}
}

// TestHedgesStayWithinTheirShare guards against extra load above the operator's share when every first attempt is slow.
func TestHedgesStayWithinTheirShare(t *testing.T) {
	c := qt.New(t)
	p := hedge.New(hedge.Defaults())
	const subRequests = 100_000
	hedged := 0
	for range subRequests {
		p.ObserveFirstAttempt(now, service)
		if p.Allow(now, service) {
			hedged++
		}
	}
	c.Assert(hedged <= subRequests*2/100+100, qt.IsTrue, qt.Commentf("%d hedges", hedged))
}

// TestNoDelayBeforeWarmUp guards against hedges for a group whose latency is not known yet, and for a service without
// hedging.
func TestNoDelayBeforeWarmUp(t *testing.T) {
	c := qt.New(t)
	p := hedge.New(hedge.Defaults())
	p.ObserveLatency(service, "g", time.Millisecond)
	_, ok := p.Delay(service, "g")
	c.Assert(ok, qt.IsFalse)
	off := &core.Service{Name: "off"}
	for range 100 {
		p.ObserveLatency(off, "g", time.Millisecond)
	}
	_, ok = p.Delay(off, "g")
	c.Assert(ok, qt.IsFalse)
}

// TestConcurrentObserversKeepTheEstimateInRange guards against lost updates that corrupt the estimate.
func TestConcurrentObserversKeepTheEstimateInRange(t *testing.T) {
	c := qt.New(t)
	var q hedge.Quantile
	var work sync.WaitGroup
	for range 8 {
		work.Go(func() {
			for i := range 10_000 {
				q.Observe(0.9, time.Duration(1+i%100)*time.Millisecond)
			}
		})
	}
	work.Wait()
	value, ok := q.Value()
	c.Assert(ok, qt.IsTrue)
	c.Assert(value > 50*time.Millisecond && value < 150*time.Millisecond, qt.IsTrue, qt.Commentf("%v", value))
}

// TestGroupsStartWithTheEstimateOfTheService guards against waiting for stragglers because each group alone has too few
// observations on this VM, one of them a straggler.
func TestGroupsStartWithTheEstimateOfTheService(t *testing.T) {
	c := qt.New(t)
	p := hedge.New(hedge.Defaults())
	const mean = 4 * time.Millisecond
	for i := range 30 {
		latency := mean
		if i == 3 {
			latency = 20 * mean
		}
		p.ObserveLatency(service, core.GroupName(rune('a'+i)), latency)
	}
	delay, ok := p.Delay(service, "b")
	c.Assert(ok, qt.IsTrue)
	c.Assert(delay < 4*mean, qt.IsTrue, qt.Commentf("%v", delay))
}

// TestStragglerAtTheStartDoesNotStopHedging guards against a process that sends no hedges for minutes because one of the
// first sub-requests was a straggler, and against a group with few sub-requests that never gets a delay.
func TestStragglerAtTheStartDoesNotStopHedging(t *testing.T) {
	c := qt.New(t)
	p := hedge.New(hedge.Defaults())
	p.ObserveLatency(service, "g0", 80*time.Millisecond)
	random := rand.New(rand.NewPCG(seed, 1))
	for range 99 {
		p.ObserveLatency(service, "g1", time.Duration(float64(4*time.Millisecond)*(0.75+0.25*random.ExpFloat64())))
	}
	delay, ok := p.Delay(service, "g0")
	c.Assert(ok, qt.IsTrue)
	// After half the latency of the straggler, a hedge can still be faster.
	c.Assert(delay < 40*time.Millisecond, qt.IsTrue, qt.Commentf("seed %d: %v", seed, delay))
}
