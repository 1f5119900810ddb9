package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"gooseberrylane.example/standins/deployment"
)

// scenario is a fault or a kind of load. Its hooks are called for each slice of each side; several scenarios combine.
type scenario interface {
	// Name is the name on the command line.
	Name() string
	// Prepare changes the plan before anything starts.
	Prepare(p *plan)
	// Before is called before the measured time.
	Before(ctx context.Context, s *stage) error
	// During is called at the start of the measured time, concurrently with the load, and returns before that time ends.
	During(ctx context.Context, s *stage) error
	// After is called after the measured time. Faults of upstreams and network partitions are removed without it.
	After(ctx context.Context, s *stage) error
}

// noHooks is embedded by scenarios that do not need every hook.
type noHooks struct{}

func (noHooks) Prepare(*plan)                        {}
func (noHooks) Before(context.Context, *stage) error { return nil }
func (noHooks) During(context.Context, *stage) error { return nil }
func (noHooks) After(context.Context, *stage) error  { return nil }

// plan holds the deployment and the load of a run; scenarios change it before the start.
type plan struct {
	deployment *deployment.Deployment
	streams    []stream
	slices     int
	// capacity is the rate that the upstreams of each overloaded service can serve, in queries per second.
	capacity map[string]float64
}

// stage is one slice of one side.
type stage struct {
	*testbed
	fleet  *fleet
	slice  int
	length time.Duration
	// random draws the targets of faults. It has the same seed on both sides.
	random  *rand.Rand
	started time.Time
	// faultAt is the time from the start to the first fault, in nanoseconds plus 1; 0 means that no fault has started.
	faultAt atomic.Int64
}

// settleTime is the time after a fault in which the targets allow late answers.
const settleTime = time.Second

// waitUntil waits until a fraction of the measured time has passed.
func (s *stage) waitUntil(ctx context.Context, elapsed float64) error {
	due := s.started.Add(time.Duration(elapsed * float64(s.length)))
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// markFault records the current time as the start of the first fault.
func (s *stage) markFault() { s.faultAt.CompareAndSwap(0, int64(time.Since(s.started))+1) }

// settled reports whether a query that starts at an offset is unaffected by the first fault.
func (s *stage) settled(at time.Duration) bool {
	fault := s.faultAt.Load()
	if fault == 0 {
		return true
	}
	from := time.Duration(fault - 1)
	return at+queryDeadline < from || at > from+settleTime
}

// replicas returns one replica of every n-th group of each service with more than one group, and one of every other
// service.
func (s *stage) replicas(every int) []string {
	var ids []string
	for _, service := range s.deployment.Services {
		offset := s.random.IntN(every)
		for g := range service.Groups {
			if len(service.Groups) > 1 && g%every != offset {
				continue
			}
			upstreams := service.Groups[g].Upstreams
			ids = append(ids, string(upstreams[s.random.IntN(len(upstreams))].ID))
		}
	}
	return ids
}

var scenarios = make(map[string]scenario)

// registerScenario adds a scenario. It panics if the name is already registered, which is a programming error.
func registerScenario(s scenario) {
	if _, taken := scenarios[s.Name()]; taken {
		panic("bench: scenario " + s.Name() + " registered twice")
	}
	scenarios[s.Name()] = s
}

func scenarioNames() []string {
	names := make([]string, 0, len(scenarios))
	for name := range scenarios {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// findScenarios returns the scenarios of a combined name such as "stragglers+drain".
func findScenarios(name string) ([]scenario, error) {
	var found []scenario
	for _, single := range strings.Split(name, "+") {
		s, ok := scenarios[single]
		if !ok {
			return nil, fmt.Errorf("unknown scenario %q; known are %s", single, strings.Join(scenarioNames(), ", "))
		}
		found = append(found, s)
	}
	return found, nil
}
