package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"gooseberrylane.example/core"
	"gooseberrylane.example/standins/deployment"
)

const (
	sidesPerRun = 2
	// settlePause lets a side recover from the faults of a slice before its next one.
	settlePause = 1200 * time.Millisecond
	// runSlack is the time that starts, pauses and stops of a run may take beyond the measured time.
	runSlack = 2 * time.Minute
)

// side is one of the two sides that a run compares.
type side struct {
	fleet  *fleet
	caller *caller
	record *sideRecord
}

// comparison is one run of one scenario with two sides on the same stand-ins.
type comparison struct {
	testbed   *testbed
	plan      *plan
	scenarios []scenario
	sides     [sidesPerRun]*side
}

// contender is the policy and the programs of one side.
type contender struct {
	name     string
	policy   policy
	binaries *binaries
}

// compare runs a scenario on two contenders. The report is nil if the run was aborted. An error beside a report means that
// a process did not stop cleanly.
func compare(ctx context.Context, o *options, s *starter, b *binaries, contenders [sidesPerRun]contender, name string) (*report, error) {
	ctx, cancel := context.WithTimeout(ctx, sidesPerRun*(o.warm+2*o.duration)+runSlack)
	defer cancel()
	chosen, err := findScenarios(name)
	if err != nil {
		return nil, err
	}
	folder := filepath.Join(o.folder, fmt.Sprintf("%s-%s", o.deployment, name))
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	p, err := newPlan(o, contenders, chosen)
	if err != nil {
		return nil, err
	}
	t, err := newTestbed(ctx, o, s, b, folder, p.deployment)
	if err != nil {
		return nil, err
	}
	c := &comparison{testbed: t, plan: p, scenarios: chosen}
	err = c.start(ctx, contenders)
	if err == nil {
		err = c.run(ctx)
	}
	if err != nil {
		// A report of an aborted run could be mistaken for one of a complete run.
		return nil, errors.Join(err, c.stop())
	}
	return newReport(c, name, contenders), c.stop()
}

func newPlan(o *options, contenders [sidesPerRun]contender, chosen []scenario) (*plan, error) {
	d, err := deployment.New(o.deployment, o.seed)
	if err != nil {
		return nil, err
	}
	withWrites := true
	for _, contender := range contenders {
		withWrites = withWrites && sharedPlugins(contender.binaries.plugins)["records"] == "platform"
	}
	p := &plan{
		deployment: d, streams: streamsOf(o.deployment, o.rate, withWrites), slices: o.slices(), capacity: make(map[string]float64),
	}
	for _, s := range chosen {
		s.Prepare(p)
	}
	return p, nil
}

func (c *comparison) start(ctx context.Context, contenders [sidesPerRun]contender) error {
	for i, contender := range contenders {
		f, err := startFleet(ctx, c.testbed, i, contender.name, contender.policy, contender.binaries, c.testbed.options.vms)
		if f != nil {
			c.sides[i] = &side{fleet: f, caller: newCaller(f), record: newSideRecord()}
		}
		if err != nil {
			return fmt.Errorf("start of %s: %w", contender.name, err)
		}
	}
	return nil
}

func (c *comparison) stop() error {
	var errs []error
	for _, s := range c.sides {
		if s != nil {
			s.caller.close()
			errs = append(errs, s.fleet.stop())
		}
	}
	c.testbed.upstreams.stop()
	return errors.Join(append(errs, c.testbed.network.reservation.Close())...)
}

// run measures the slices of both sides in turn. The order alternates from slice to slice, so that a drift of the
// machine's speed affects both sides equally.
func (c *comparison) run(ctx context.Context) error {
	for _, s := range c.sides {
		if err := c.warm(ctx, s); err != nil {
			return err
		}
	}
	for slice := range c.plan.slices {
		for turn := range sidesPerRun {
			s := c.sides[(slice+turn)%sidesPerRun]
			if err := c.runSlice(ctx, s, slice); err != nil {
				return fmt.Errorf("slice %d of %s: %w", slice, s.fleet.name, err)
			}
		}
	}
	return nil
}

// warm offers load that is not measured, so that the daemons learn latencies.
func (c *comparison) warm(ctx context.Context, s *side) error {
	arrivals, err := schedule(c.plan.streams, c.plan.deployment, c.testbed.options.seed, -1, c.testbed.options.warm)
	if err != nil {
		return err
	}
	tag(arrivals, "w", s.fleet.side)
	s.caller.run(ctx, arrivals, func(outcome) {})
	_, err = c.testbed.awaitIdle(ctx)
	return err
}

// tag makes the request IDs of a side unique, because the sides share the upstreams.
func tag(arrivals []arrival, phase string, side int) {
	for i := range arrivals {
		arrivals[i].id = fmt.Sprintf("%s-%s%d", arrivals[i].id, phase, side)
	}
}

func (c *comparison) runSlice(ctx context.Context, s *side, slice int) error {
	st, arrivals, err := c.newStage(ctx, s, slice)
	if err != nil {
		return err
	}
	if err := c.before(ctx, st); err != nil {
		return err
	}
	counts, err := c.testbed.counts(ctx)
	if err != nil {
		return err
	}
	cpu := s.fleet.cpu()
	err = c.measure(ctx, s, st, arrivals)
	after, idleErr := c.testbed.awaitIdle(ctx)
	if err := errors.Join(err, idleErr); err != nil {
		return err
	}
	s.record.addCounts(counts, after)
	s.record.daemonCPU += s.fleet.cpu() - cpu
	s.record.measured += st.length
	runs, err := c.testbed.writes(ctx)
	if err != nil {
		return err
	}
	s.record.addWrites(runs)
	return c.after(ctx, st)
}

func (c *comparison) newStage(ctx context.Context, s *side, slice int) (*stage, []arrival, error) {
	o := c.testbed.options
	length := o.duration / time.Duration(c.plan.slices)
	arrivals, err := schedule(c.plan.streams, c.plan.deployment, o.seed, slice, length)
	if err != nil {
		return nil, nil, err
	}
	tag(arrivals, "s", s.fleet.side)
	st := &stage{
		testbed: c.testbed, fleet: s.fleet, slice: slice, length: length,
		random: rand.New(rand.NewPCG(o.seed, uint64(slice)+1_000_000)),
	}
	return st, arrivals, c.testbed.control.Call(ctx, "/v1/seed", map[string]uint64{"seed": o.seed + uint64(slice)}, nil)
}

func (c *comparison) before(ctx context.Context, st *stage) error {
	for _, scenario := range c.scenarios {
		if err := scenario.Before(ctx, st); err != nil {
			return err
		}
	}
	return nil
}

// measure offers the load of a slice while the scenarios inject their faults.
func (c *comparison) measure(ctx context.Context, s *side, st *stage, arrivals []arrival) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	st.started = time.Now()
	failures := make(chan error, len(c.scenarios))
	for _, scenario := range c.scenarios {
		go func() { failures <- scenario.During(ctx, st) }()
	}
	notSent := s.caller.run(ctx, arrivals, func(o outcome) {
		service := serviceOf(c.plan.deployment, core.ServiceName(o.query.service))
		s.record.observe(&o, service, st.settled(o.query.at), st.length)
	})
	s.record.notSent += uint64(notSent)
	var errs []error
	for range c.scenarios {
		errs = append(errs, <-failures)
	}
	return errors.Join(errs...)
}

// after removes the faults of the scenarios and lets the side recover.
func (c *comparison) after(ctx context.Context, st *stage) error {
	var errs []error
	for _, scenario := range c.scenarios {
		errs = append(errs, scenario.After(ctx, st))
	}
	errs = append(errs, c.testbed.heal(ctx))
	select {
	case <-time.After(settlePause):
	case <-ctx.Done():
		errs = append(errs, ctx.Err())
	}
	return errors.Join(errs...)
}

// cpu returns the CPU time of the running daemons. The time of daemons that have exited is not included.
func (f *fleet) cpu() time.Duration {
	var total time.Duration
	for _, v := range f.vms {
		if u, err := v.proc.usage(); err == nil {
			total += u.CPU
		}
	}
	return total
}
