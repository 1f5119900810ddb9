package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"gooseberrylane.example/bench/capacity"
	"gooseberrylane.example/core"
	"gooseberrylane.example/standins/deployment"
)

// Sizes and times of the measurements.
const (
	// slopeIdle is a multiple of the 10 s that a watch of the store waits.
	slopeIdle = 10 * time.Second
	// slopePause lets the start-up traffic of the daemons subside. It exceeds the 6 s after which unresponsive members are
	// removed, because start-up messages in a fleet of 40 still took 12 KB/s per VM after 2 s.
	slopePause = 8 * time.Second
	slopeLoad  = 5 * time.Second
	// slopeSubRequests is the rate of sub-requests per second at every point, so that points differ in one variable only.
	slopeSubRequests = 1200
	slopeVMs         = 6
	slopeReplicas    = 2
	slopesTimeout    = 20 * time.Minute
	connectionPause  = time.Second
)

var (
	vmSizes         = []int{5, 10, 20, 40}
	upstreamSizes   = []int{17, 34, 68, 136}
	shardSizes      = []int{1, 5, 15, 30, 60, 120}
	connectionSizes = []int{0, 250, 500, 1000}
)

// point holds the figures measured at one size.
type point struct {
	X       float64 `json:"x"`
	Figures figures `json:"figures"`
}

// experiment is a series of points over one variable.
type experiment struct {
	Name   string         `json:"name"`
	X      string         `json:"x"`
	Points []point        `json:"points"`
	Fits   map[string]fit `json:"fits"`
}

func (e *experiment) add(x int, f figures) {
	e.Points = append(e.Points, point{X: float64(x), Figures: f})
}

// fitAll fits a line to each figure.
func (e *experiment) fitAll() {
	e.Fits = make(map[string]fit)
	names := make(map[string]bool)
	for _, p := range e.Points {
		for name := range p.Figures {
			names[name] = true
		}
	}
	for name := range names {
		var x, y []float64
		for _, p := range e.Points {
			if value, ok := p.Figures[name]; ok {
				x, y = append(x, p.X), append(y, value)
			}
		}
		if f, ok := fitLine(x, y); ok {
			e.Fits[name] = f
		}
	}
}

// slopesReport is the object that -scenario slopes prints.
type slopesReport struct {
	Scenario    string            `json:"scenario"`
	Deployment  string            `json:"deployment"`
	Seed        uint64            `json:"seed"`
	Commit      string            `json:"commit"`
	Processors  int               `json:"processors"`
	Plugins     map[string]string `json:"plugins"`
	Experiments []*experiment     `json:"experiments"`
	// CPURatio is the CPU time of a sub-request in the tier over that in the bare fan-out, from the slopes over shards.
	CPURatio float64 `json:"cpu_ratio"`
	// Capacity holds the slopes of state and control of one VM up to the large size, measured in this process.
	Capacity []*capacity.Experiment `json:"capacity"`
}

// slopes measures one series after the other.
type slopes struct {
	options  *options
	starter  *starter
	binaries *binaries
	report   *slopesReport
}

func runSlopes(ctx context.Context, o *options, s *starter, b *binaries) error {
	ctx, cancel := context.WithTimeout(ctx, slopesTimeout)
	defer cancel()
	m := &slopes{options: o, starter: s, binaries: b, report: &slopesReport{
		Scenario: slopesName, Deployment: o.deployment, Seed: o.seed, Commit: o.commit, Processors: runtime.NumCPU(),
	}}
	for _, measure := range []func(context.Context) error{m.overVMs, m.overUpstreams, m.overShards, m.overConnections} {
		if err := measure(ctx); err != nil {
			return err
		}
	}
	for _, e := range m.report.Experiments {
		e.fitAll()
	}
	m.report.CPURatio = cpuRatio(m.report.Experiments)
	var err error
	if m.report.Capacity, err = capacity.Run(ctx, capacity.LargeSizes(), o.seed, os.Stderr); err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(m.report)
}

func cpuRatio(experiments []*experiment) float64 {
	perSubRequest := make(map[string]float64)
	for _, e := range experiments {
		perSubRequest[e.Name] = e.Fits["cpu_us_per_query"].Slope
	}
	if bare := perSubRequest["bare_shards"]; bare > 0 {
		return perSubRequest["shards"] / bare
	}
	return 0
}

func (m *slopes) addExperiment(name, x string) *experiment {
	e := &experiment{Name: name, X: x}
	m.report.Experiments = append(m.report.Experiments, e)
	fmt.Fprintln(os.Stderr, "bench: slopes over", name)
	return e
}

// setup is one started testbed with one side.
type setup struct {
	testbed *testbed
	fleet   *fleet
	caller  *caller
}

func (m *slopes) open(ctx context.Context, name string, d *deployment.Deployment, vms int) (*setup, error) {
	folder := filepath.Join(m.options.folder, name)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	t, err := newTestbed(ctx, m.options, m.starter, m.binaries, folder, d)
	if err != nil {
		return nil, err
	}
	f, err := startFleet(ctx, t, 0, "current", policies[m.options.policy], m.binaries, vms)
	if err != nil {
		return nil, err
	}
	m.report.Plugins = f.plugins
	return &setup{testbed: t, fleet: f, caller: newCaller(f)}, nil
}

func (s *setup) close() error {
	s.caller.close()
	err := s.fleet.stop()
	s.testbed.upstreams.stop()
	return errors.Join(err, s.testbed.network.reservation.Close())
}

func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// idle measures a side without load.
func (s *setup) idle(ctx context.Context) (figures, error) {
	if err := wait(ctx, slopePause); err != nil {
		return nil, err
	}
	before, err := s.fleet.read(ctx)
	if err != nil {
		return nil, err
	}
	if err := wait(ctx, slopeIdle); err != nil {
		return nil, err
	}
	after, err := s.fleet.read(ctx)
	if err != nil {
		return nil, err
	}
	return idleFigures(before, after, len(s.fleet.vms)), nil
}

// load measures a side while it answers queries of one stream, and checks the answers.
func (s *setup) load(ctx context.Context, st stream, idle figures) (figures, error) {
	arrivals, err := schedule([]stream{st}, s.testbed.deployment, s.testbed.options.seed, st.count, slopeLoad)
	if err != nil {
		return nil, err
	}
	tag(arrivals, fmt.Sprintf("k%d-v%d-", st.count, len(s.fleet.vms)), 0)
	before, err := s.fleet.read(ctx)
	if err != nil {
		return nil, err
	}
	record := newSideRecord()
	service := serviceOf(s.testbed.deployment, st.service)
	s.caller.run(ctx, arrivals, func(o outcome) { record.observe(&o, service, true, slopeLoad) })
	if _, err := s.testbed.awaitIdle(ctx); err != nil {
		return nil, err
	}
	after, err := s.fleet.read(ctx)
	if err != nil {
		return nil, err
	}
	f := loadFigures(before, after, idle, len(s.fleet.vms), record.queries)
	f["complete_fraction"] = fraction(record.complete, record.queries)
	f["p99_ms"] = quantileMS(record.all, 99)
	return f, nil
}

func slopeStream(service core.ServiceName, shards int) stream {
	return stream{service: service, kind: multiShard, count: shards, rate: slopeSubRequests / float64(shards)}
}
