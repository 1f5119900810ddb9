package main

import (
	"fmt"
	"io"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/core"
	"gooseberrylane.example/standins/deployment"
	"gooseberrylane.example/standins/upstream"
)

const testSeed = 7

func newTestDeployment(c *qt.C) *deployment.Deployment {
	d, err := deployment.New("directorate", testSeed)
	c.Assert(err, qt.IsNil)
	return d
}

// fullAnswer returns the correct and complete answer to a query.
func fullAnswer(q *arrival, service *core.Service, version core.IndexVersion) *answer {
	a := &answer{Code: core.CodeOK, Name: core.CodeOK.String(), RequestID: q.id, Snapshot: version}
	for shard := range expectedShards(q, service, version) {
		data := upstream.Data{Shard: string(shard), Version: uint64(version), Count: upstream.CountOf(string(shard), uint64(version))}
		a.Covered = append(a.Covered, coveredShard{Shard: shard, Data: data})
	}
	return a
}

// TestCheckAnswerFindsFaults guards against a benchmark that passes wrong answers.
func TestCheckAnswerFindsFaults(t *testing.T) {
	c := qt.New(t)
	service := newTestDeployment(c).Services[0]
	q := &arrival{service: service.Name, kind: fanOut, id: "q-1"}
	for _, test := range []struct {
		name         string
		change       func(*answer)
		wrong, mixed bool
	}{
		{"correct answer", func(*answer) {}, false, false},
		{"wrong count", func(a *answer) { a.Covered[3].Data.Count++ }, true, false},
		{"other version", func(a *answer) {
			data := &a.Covered[3].Data
			data.Version, data.Count = 2, upstream.CountOf(data.Shard, 2)
		}, false, true},
		{"data of another shard", func(a *answer) { a.Covered[3].Data = a.Covered[4].Data }, true, false},
		{"shard left out", func(a *answer) { a.Covered = a.Covered[1:] }, true, false},
		{"shard twice", func(a *answer) { a.Covered[1] = a.Covered[0] }, true, false},
		{"answer to another request", func(a *answer) { a.RequestID = "q-2" }, true, false},
		{"complete code with a missing shard", func(a *answer) { moveToMissing(a, core.CodeUnreachable) }, true, false},
		{"missing shard without a reason", func(a *answer) {
			moveToMissing(a, core.CodeOK)
			a.Code, a.Name = core.CodePartial, core.CodePartial.String()
		}, true, false},
		{"correct partial answer", func(a *answer) {
			moveToMissing(a, core.CodeUnreachable)
			a.Code, a.Name = core.CodePartial, core.CodePartial.String()
		}, false, false},
	} {
		a := fullAnswer(q, service, 1)
		test.change(a)
		v := checkAnswer(q, service, a)
		c.Check(v.wrong != "", qt.Equals, test.wrong, qt.Commentf("%s: %s", test.name, v.wrong))
		c.Check(v.mixed, qt.Equals, test.mixed, qt.Commentf("%s", test.name))
	}
}

// moveToMissing moves the first covered shard to the missing ones.
func moveToMissing(a *answer, reason core.Code) {
	a.Missing = append(a.Missing, missingShard{Shard: a.Covered[0].Shard, Code: reason, Reason: reason.String()})
	a.Covered = a.Covered[1:]
}

// TestCheckWrites guards against claims about non-idempotent requests that the upstreams contradict.
func TestCheckWrites(t *testing.T) {
	c := qt.New(t)
	ok := &answer{Code: core.CodeOK, Covered: make([]coveredShard, 1)}
	notRun := &answer{Code: core.CodePlatformUnavailable}
	unknown := &answer{Code: core.CodeOutcomeUnknown}
	falseNotRun, wrong, doubled := checkWrites(map[string][]*answer{
		"ran": {ok}, "refused": {notRun}, "false-not-run": {notRun}, "false-ok": {ok}, "unknown": {unknown}, "twice": {ok},
		"unanswered": nil, "unanswered-twice": nil,
	}, map[string]int{"ran": 1, "false-not-run": 1, "unknown": 1, "twice": 2, "unanswered": 1, "unanswered-twice": 2})
	c.Check(falseNotRun, qt.Equals, 1)
	c.Check(wrong, qt.Equals, 1)
	c.Check(doubled, qt.Equals, 2)
}

// TestScheduleRepeats guards against sides that get different loads, and against wrong rates or shares.
func TestScheduleRepeats(t *testing.T) {
	c := qt.New(t)
	d := newTestDeployment(c)
	streams := streamsOf("directorate", 1000, true)
	const length = 20 * time.Second
	first, err := schedule(streams, d, testSeed, 0, length)
	c.Assert(err, qt.IsNil)
	second, err := schedule(streams, d, testSeed, 0, length)
	c.Assert(err, qt.IsNil)
	c.Check(fmt.Sprint(first), qt.Equals, fmt.Sprint(second))
	other, err := schedule(streams, d, testSeed, 1, length)
	c.Assert(err, qt.IsNil)
	c.Check(fmt.Sprint(first) == fmt.Sprint(other), qt.IsFalse)
	// The standard deviation of 20000 Poisson arrivals is 142.
	c.Check(len(first) > 19_000 && len(first) < 21_000, qt.IsTrue, qt.Commentf("seed %d: %d arrivals", testSeed, len(first)))
	fanOuts := 0
	for i := range first {
		if first[i].kind == fanOut {
			fanOuts++
		}
		c.Assert(i == 0 || first[i-1].at <= first[i].at, qt.IsTrue)
	}
	c.Check(fanOuts > 2700 && fanOuts < 3300, qt.IsTrue, qt.Commentf("seed %d: %d fan-outs", testSeed, fanOuts))
}

// TestFigures guards against quantiles and shares that are computed from the wrong counts.
func TestFigures(t *testing.T) {
	c := qt.New(t)
	service := newTestDeployment(c).Services[0]
	r := newSideRecord()
	for i := range 100 {
		q := &arrival{service: service.Name, kind: fanOut, id: fmt.Sprint("q-", i)}
		a := fullAnswer(q, service, 1)
		if i == 0 {
			moveToMissing(a, core.CodeShed)
			a.Code, a.Name = core.CodePartial, core.CodePartial.String()
		}
		o := outcome{query: q, answer: a, took: time.Duration(i+1) * time.Millisecond, sends: 1}
		for domain := range domainCount {
			o.reach[0][domain], o.reach[1][domain] = true, true
		}
		r.observe(&o, service, i >= 50, 60*time.Millisecond)
	}
	r.addCounts(map[string]upstream.Counts{"a": {Received: 50}}, map[string]upstream.Counts{"a": {Received: 50 + 3060, OverSlots: 2}})
	f := r.figures()
	c.Check(f["p50_ms"] >= 50 && f["p50_ms"] < 50.1, qt.IsTrue, qt.Commentf("%g", f["p50_ms"]))
	c.Check(f["p99_ms"] >= 99 && f["p99_ms"] < 99.2, qt.IsTrue, qt.Commentf("%g", f["p99_ms"]))
	c.Check(f["complete_fraction"], qt.Equals, 0.99)
	c.Check(f["coverage"], qt.Equals, 2999.0/3000)
	c.Check(f["coverage_reachable"], qt.Equals, 2999.0/3000)
	c.Check(f["unnamed"], qt.Equals, 0.0)
	c.Check(f["over_limit"], qt.Equals, 2.0)
	c.Check(f["wrong_answers"], qt.Equals, 0.0, qt.Commentf("%v", r.wrongSamples))
	c.Check(f["extra_load"] > 0.0199 && f["extra_load"] < 0.0201, qt.IsTrue)
	c.Check(r.settled.TotalCount(), qt.Equals, int64(50))
	c.Check(r.services[service.Name].inDeadline, qt.Equals, uint64(99))
	c.Check(r.services[service.Name].inSlice, qt.Equals, uint64(59))
	q := &arrival{service: service.Name, kind: write, shards: []core.ShardName{service.Layouts[0].Shards[0].Name}, id: "w"}
	r.observe(&outcome{query: q, answer: fullAnswer(q, service, 1), sends: 1}, service, true, time.Second)
	// A non-idempotent request counts among the work of its class.
	c.Check(r.services[service.Name].offered, qt.Equals, uint64(101))
	c.Check(r.services[service.Name].inDeadline, qt.Equals, uint64(100))
}

// TestEveryScenarioOfTheTargets guards against a scenario of the targets that is not registered, and against combined
// names that are not parsed.
func TestEveryScenarioOfTheTargets(t *testing.T) {
	c := qt.New(t)
	for _, name := range []string{
		"steady", "stragglers", "replica-loss", "shed", "cold-start", "drain", "repartition", "silent", "partition",
		"platform-down", "vm-replacement", "overload",
	} {
		found, err := findScenarios(name)
		c.Assert(err, qt.IsNil)
		c.Check(found[0].Name(), qt.Equals, name)
	}
	found, err := findScenarios("stragglers+drain")
	c.Assert(err, qt.IsNil)
	c.Check(found, qt.HasLen, 2)
	_, err = findScenarios("steady+storm")
	c.Check(err, qt.ErrorMatches, `unknown scenario "storm".*`)
}

// TestBoundsAreChecked guards against a bound that accepts a figure outside it, that is skipped because its figure is not
// measured, or that names a field that reports do not have.
func TestBoundsAreChecked(t *testing.T) {
	c := qt.New(t)
	checker, err := newBoundChecker("bounds.json")
	c.Assert(err, qt.IsNil)
	known := newSideRecord().figures()
	known["goodput"], known["top_class_in_deadline"] = 1, 1
	for _, b := range checker.bounds {
		_, ok := known[b.Field]
		c.Check(ok, qt.IsTrue, qt.Commentf("%s", b.Field))
		c.Check(b.Target == "", qt.IsFalse)
	}
	limit := 0.4
	checker = &boundChecker{bounds: []bound{{Scenario: "stragglers", Side: "ratio", Field: "p99_ms", Max: &limit}}}
	report := func(base, current float64) *report {
		r := &report{Scenario: "stragglers", Baseline: figures{"p99_ms": base}, Current: figures{"p99_ms": current}}
		r.Ratio = ratios(r.Baseline, r.Current)
		return r
	}
	c.Check(checker.check(&checker.bounds[0], report(100, 40)), qt.Equals, "")
	c.Check(checker.check(&checker.bounds[0], report(100, 41)), qt.Matches, ".*above 0.4")
	c.Check(checker.check(&checker.bounds[0], report(0, 41)), qt.Matches, ".*not measured")
	checker.add(report(100, 41))
	c.Check(checker.printBroken(io.Discard), qt.ErrorIs, errBound)
}

// TestCapacity guards against an overload that does not reach the capacity, or that overloads the highest class.
func TestCapacity(t *testing.T) {
	c := qt.New(t)
	d := newTestDeployment(c)
	p := &plan{deployment: d, streams: streamsOf("directorate", 100, true), capacity: make(map[string]float64)}
	// Five replicas with 2 slots and 2 ms per request serve 5000 requests per second.
	c.Check(capacityOf(p, serviceOf(d, "dealer-book"), 1), qt.Equals, 5000.0)
	overload{}.Prepare(p)
	rates := make(map[core.ServiceName]float64)
	for _, st := range p.streams {
		rates[st.service] += st.rate
	}
	c.Check(math.Round(rates["dealer-book"]), qt.Equals, overloadFactor*5000.0/overloadSlowFactor)
	c.Check(len(p.capacity), qt.Equals, 2)
	c.Check(p.capacity["harvest-logs"], qt.Equals, 0.0)
}

// TestParseStat guards against a program name with spaces that shifts the fields.
func TestParseStat(t *testing.T) {
	c := qt.New(t)
	line := "42 (a (b) c) S 1 42 42 0 -1 4194560 900 0 0 0 150 50 0 0 20 0 9 0 5000 1000000 2048 18446744073709551615 1 1 0"
	u, err := parseStat(line)
	c.Assert(err, qt.IsNil)
	c.Check(u.CPU, qt.Equals, 2*time.Second)
	c.Check(u.Resident, qt.Equals, int64(2048*pageBytes))
	_, err = parseStat("42 (a)")
	c.Check(err, qt.ErrorMatches, ".*short.*")
}

// TestPoliciesFallBack guards against a policy that fails on a revision that lacks its plug-ins.
func TestPoliciesFallBack(t *testing.T) {
	c := qt.New(t)
	plain := linkedPlugins(`
	_ "gooseberrylane.example/plugins/selection/random"
	_ "gooseberrylane.example/plugins/hedging/none"
	_ "gooseberrylane.example/plugins/retry/none"
	_ "gooseberrylane.example/plugins/admission/open"`)
	chosen, err := policies["current"].choices(plain)
	c.Assert(err, qt.IsNil)
	c.Check(chosen["selection"], qt.Equals, "random")
	plain["selection/adaptive"] = true
	chosen, err = policies["current"].choices(plain)
	c.Assert(err, qt.IsNil)
	c.Check(chosen["selection"], qt.Equals, "adaptive")
	_, err = policies["current"].choices(pluginSet{})
	c.Check(err, qt.ErrorMatches, "none of the plug-ins.*")
}

// TestFitLine guards against wrong slopes, and against a line through points that all have the same x.
func TestFitLine(t *testing.T) {
	c := qt.New(t)
	f, ok := fitLine([]float64{1, 2, 3, 4}, []float64{5, 7, 9, 11})
	c.Assert(ok, qt.IsTrue)
	c.Check(f, qt.Equals, fit{Slope: 2, Intercept: 3})
	f, ok = fitLine([]float64{0, 1, 2}, []float64{0, 3, 0})
	c.Assert(ok, qt.IsTrue)
	c.Check(f.Slope, qt.Equals, 0.0)
	// The residuals are -1, 2 and -1, with one degree of freedom, over a variation of x of 2.
	c.Check(math.Abs(f.Residual-math.Sqrt(6)) < 1e-9, qt.IsTrue)
	c.Check(math.Abs(f.SlopeError-math.Sqrt(3)) < 1e-9, qt.IsTrue)
	_, ok = fitLine([]float64{2, 2}, []float64{1, 3})
	c.Check(ok, qt.IsFalse)
}
