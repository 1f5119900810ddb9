package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/coord/query"
	"gooseberrylane.example/coord/retry"
	"gooseberrylane.example/core"
)

const seed = 7

var (
	now     = time.Unix(1000, 0)
	service = &core.Service{Name: "svc", Rule: core.Rule{RetryPercent: 10}}
)

// TestRetriesStayWithinTheirShare guards against retries that multiply the load of a failing service.
func TestRetriesStayWithinTheirShare(t *testing.T) {
	c := qt.New(t)
	p := retry.New(retry.Defaults())
	random := rand.New(rand.NewPCG(seed, 1))
	const subRequests = 100_000
	retries := 0
	for range subRequests {
		p.ObserveFirstAttempt(now, service)
		if _, _, ok := p.Allow(now, random, service, query.Failure{Code: core.CodeShed, Attempts: 1, TimeLeft: time.Second}); ok {
			retries++
		}
	}
	// The operator allows 10%; the burst of 500 is added to it.
	c.Assert(retries <= subRequests/10+500, qt.IsTrue, qt.Commentf("seed %d: %d retries", seed, retries))
	c.Assert(retries >= subRequests/10, qt.IsTrue, qt.Commentf("seed %d: %d retries", seed, retries))
}

// TestFreeRetriesAreBoundedAndKeepTheBudget guards against endless redirects between VMs that both refuse as not the owner,
// and against a change of owners that uses up the retry budget.
func TestFreeRetriesAreBoundedAndKeepTheBudget(t *testing.T) {
	c := qt.New(t)
	p := retry.New(retry.Defaults())
	random := rand.New(rand.NewPCG(seed, 1))
	for _, code := range []core.Code{core.CodeNotOwner, core.CodeConnectFailed} {
		for range 10_000 {
			delay, free, ok := p.Allow(now, random, service, query.Failure{Code: code, Attempts: 1, TimeLeft: time.Second})
			c.Assert(ok && free, qt.IsTrue)
			c.Assert(delay, qt.Equals, time.Duration(0))
		}
	}
	f := query.Failure{Code: core.CodeNotOwner, TimeLeft: time.Second}
	for allowed := true; allowed; {
		f.Attempts++
		_, free, ok := p.Allow(now, random, service, f)
		if free {
			f.FreeRetries++
		}
		allowed = ok
	}
	settings := retry.Defaults()
	c.Assert(f.Attempts <= settings.MaxAttempts+settings.MaxFreeRetries, qt.IsTrue)
}

// TestDelayFitsTheDeadlineAndIsJittered guards against retries after the deadline and against synchronized retries of many
// queries.
func TestDelayFitsTheDeadlineAndIsJittered(t *testing.T) {
	c := qt.New(t)
	p := retry.New(retry.Defaults())
	random := rand.New(rand.NewPCG(seed, 1))
	seen := make(map[time.Duration]bool)
	for range 40 {
		f := query.Failure{Code: core.CodeConnectionLost, Attempts: 3, TimeLeft: 5 * time.Millisecond}
		if delay, _, ok := p.Allow(now, random, service, f); ok {
			c.Assert(delay < f.TimeLeft, qt.IsTrue)
			seen[delay] = true
		}
	}
	c.Assert(len(seen) > 1, qt.IsTrue, qt.Commentf("seed %d", seed))
	_, _, ok := p.Allow(now, random, service, query.Failure{Code: core.CodeNotOwner, Attempts: 1})
	c.Assert(ok, qt.IsFalse)
}
