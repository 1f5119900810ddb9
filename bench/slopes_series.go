package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"gooseberrylane.example/standins/deployment"
)

const (
	// vmsShards is the number of shards of a query in the series over VMs and upstreams.
	vmsShards = 8
	// shardsPerGroup is the number of shards of each group in the series over shards.
	shardsPerGroup = 4
)

// overVMs measures the idle use and the cost of queries at several numbers of VMs, with the upstreams of the deployment.
func (m *slopes) overVMs(ctx context.Context) error {
	idle, loaded := m.addExperiment("vms_idle", "VMs"), m.addExperiment("vms_loaded", "VMs")
	for _, n := range vmSizes {
		d, err := deployment.New(m.options.deployment, m.options.seed)
		if err != nil {
			return err
		}
		if err := m.point(ctx, fmt.Sprintf("vms-%d", n), d, n, n, idle, loaded); err != nil {
			return err
		}
	}
	return nil
}

// overUpstreams measures the same at several numbers of upstreams with the same VMs.
func (m *slopes) overUpstreams(ctx context.Context) error {
	idle, loaded := m.addExperiment("upstreams_idle", "upstreams"), m.addExperiment("upstreams_loaded", "upstreams")
	for _, n := range upstreamSizes {
		d := deployment.Uniform(m.options.seed, n/slopeReplicas, slopeReplicas, 1)
		if err := m.point(ctx, fmt.Sprintf("upstreams-%d", n), d, slopeVMs, len(d.Upstreams), idle, loaded); err != nil {
			return err
		}
	}
	return nil
}

// point starts a setup and measures it idle and under load.
func (m *slopes) point(ctx context.Context, name string, d *deployment.Deployment, vms, x int, idle, loaded *experiment) (err error) {
	s, err := m.open(ctx, name, d, vms)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, s.close()) }()
	idleUse, err := s.idle(ctx)
	if err != nil {
		return err
	}
	idle.add(x, idleUse)
	loadUse, err := s.load(ctx, slopeStream(d.Services[0].Name, vmsShards), idleUse)
	if err != nil {
		return err
	}
	loaded.add(x, loadUse)
	return nil
}

// overShards measures queries of several numbers of shards in the tier and, on the same upstreams, in a bare fan-out.
func (m *slopes) overShards(ctx context.Context) (err error) {
	groups := shardSizes[len(shardSizes)-1] / shardsPerGroup
	d := deployment.Uniform(m.options.seed, groups, slopeReplicas, shardsPerGroup)
	s, err := m.open(ctx, "shards", d, slopeVMs)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, s.close()) }()
	idleUse, err := s.idle(ctx)
	if err != nil {
		return err
	}
	bare, err := m.startBare(ctx, s)
	if err != nil {
		return err
	}
	defer bare.process.stop()
	tier, plain := m.addExperiment("shards", "shards of a query"), m.addExperiment("bare_shards", "shards of a query")
	for _, n := range shardSizes {
		st := slopeStream(d.Services[0].Name, n)
		f, err := s.load(ctx, st, idleUse)
		if err != nil {
			return err
		}
		tier.add(n, f)
		if f, err = bare.load(ctx, st); err != nil {
			return err
		}
		plain.add(n, f)
	}
	return nil
}

// bareSide is the bare fan-out in a process of its own.
type bareSide struct {
	process *process
	setup   *setup
	caller  *caller
}

const bareHost = 249

func (m *slopes) startBare(ctx context.Context, s *setup) (*bareSide, error) {
	raw, err := json.Marshal(s.testbed.deployment.Services)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(s.testbed.folder, "services.json")
	if err := os.WriteFile(path, raw, 0o644); err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	v := &vm{name: "bare", ip: s.testbed.network.ip(1, 0, bareHost)}
	v.proc, err = m.starter.start("bare", s.testbed.folder, daemonEnv, self, bareCommand, path, v.address(callerPort))
	if err != nil {
		return nil, err
	}
	f := &fleet{name: "bare", testbed: s.testbed, deployment: s.testbed.deployment, vms: []*vm{v}}
	v.serving.Store(true)
	return &bareSide{process: v.proc, setup: s, caller: newCaller(f)}, waitListening(ctx, v.address(callerPort))
}

// waitListening waits until an address accepts connections.
func waitListening(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err == nil {
			return c.Close()
		}
		if waitErr := wait(ctx, readyPoll); waitErr != nil {
			return err
		}
	}
}

// load measures the bare fan-out on one stream. Its idle use is negligible and is not subtracted.
func (s *bareSide) load(ctx context.Context, st stream) (figures, error) {
	t := s.setup.testbed
	arrivals, err := schedule([]stream{st}, t.deployment, t.options.seed, st.count, slopeLoad)
	if err != nil {
		return nil, err
	}
	before, err := s.process.usage()
	if err != nil {
		return nil, err
	}
	record := newSideRecord()
	service := serviceOf(t.deployment, st.service)
	s.caller.run(ctx, arrivals, func(o outcome) { record.observe(&o, service, true, slopeLoad) })
	after, err := s.process.usage()
	if err != nil {
		return nil, err
	}
	cpu := float64((after.CPU - before.CPU).Microseconds())
	return figures{
		"queries": float64(record.queries), "complete_fraction": fraction(record.complete, record.queries),
		"cpu_us_per_query":       cpu / float64(max(record.queries, 1)),
		"cpu_us_per_sub_request": cpu / float64(max(record.queries, 1)) / float64(st.count),
		"p99_ms":                 quantileMS(record.all, 99),
	}, nil
}

// overConnections measures the memory of a VM at several numbers of idle connections of callers.
func (m *slopes) overConnections(ctx context.Context) (err error) {
	e := m.addExperiment("caller_connections", "connections")
	d := deployment.Uniform(m.options.seed, domainCount, slopeReplicas, 1)
	s, err := m.open(ctx, "connections", d, domainCount)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, s.close()) }()
	var open []net.Conn
	defer func() {
		for _, c := range open {
			c.Close()
		}
	}()
	v := s.fleet.vms[0]
	for _, n := range connectionSizes {
		for len(open) < n {
			c, err := idleConnection(ctx, v.address(callerPort))
			if err != nil {
				return err
			}
			open = append(open, c)
		}
		if err := wait(ctx, connectionPause); err != nil {
			return err
		}
		u, err := v.proc.usage()
		if err != nil {
			return err
		}
		vars, err := s.fleet.vars(ctx, v)
		if err != nil {
			return err
		}
		e.add(n, figures{"resident_bytes": float64(u.Resident), "go_total_bytes": vars["go_total_bytes"], "goroutines": vars["go_goroutines"]})
	}
	return nil
}

// idleConnection opens a connection and makes one call on it.
func idleConnection(ctx context.Context, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if _, err := c.Write([]byte("GET /v1/ready HTTP/1.1\r\nHost: vm\r\n\r\n")); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	if _, err := c.Read(make([]byte, 4096)); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return c, nil
}
