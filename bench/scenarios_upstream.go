package main

import (
	"context"

	"gooseberrylane.example/standins/upstream"
)

func init() {
	registerScenario(steady{})
	registerScenario(stragglers{})
	registerScenario(replicaLoss{})
	registerScenario(shed{})
	registerScenario(coldStart{})
	registerScenario(drain{})
	registerScenario(silent{})
}

// faultStart is the fraction of a slice that passes before a fault.
const faultStart = 0.2

// steady has no faults.
type steady struct{ noHooks }

func (steady) Name() string { return "steady" }

// stragglers makes 1 in 100 answers take 20 times longer.
type stragglers struct{ noHooks }

const (
	stragglerShare  = 0.01
	stragglerFactor = 20
)

func (stragglers) Name() string { return "stragglers" }

func (stragglers) Before(ctx context.Context, s *stage) error {
	return s.changeFaults(ctx, s.upstreamIDs(), func(f *upstream.Faults) {
		f.StragglerShare, f.StragglerFactor = stragglerShare, stragglerFactor
	})
}

// replicaLoss kills one replica of every tenth group and of each service with a single group.
type replicaLoss struct{ noHooks }

const lossEvery = 10

func (replicaLoss) Name() string { return "replica-loss" }

func (replicaLoss) During(ctx context.Context, s *stage) error {
	if err := s.waitUntil(ctx, faultStart); err != nil {
		return err
	}
	s.markFault()
	return s.control.Call(ctx, "/v1/kill", upstream.Target{IDs: s.replicas(lossEvery)}, nil)
}

// shed makes one replica of every fourth group refuse 3 in 10 of its requests, and all others 1 in 50.
type shed struct{ noHooks }

const (
	shedEvery     = 4
	shedShare     = 0.3
	shedElsewhere = 0.02
)

func (shed) Name() string { return "shed" }

func (shed) Before(ctx context.Context, s *stage) error {
	if err := s.changeFaults(ctx, s.upstreamIDs(), func(f *upstream.Faults) { f.ShedShare = shedElsewhere }); err != nil {
		return err
	}
	return s.changeFaults(ctx, s.replicas(shedEvery), func(f *upstream.Faults) { f.ShedShare = shedShare })
}

// coldStart restarts one replica of every fourth group, which is then slow for a time.
type coldStart struct{ noHooks }

const (
	coldEvery  = 4
	coldMS     = 2000
	coldFactor = 5
)

func (coldStart) Name() string { return "cold-start" }

func (coldStart) During(ctx context.Context, s *stage) error {
	ids := s.replicas(coldEvery)
	if err := s.waitUntil(ctx, faultStart); err != nil {
		return err
	}
	s.markFault()
	target := upstream.Target{IDs: ids}
	if err := s.control.Call(ctx, "/v1/kill", target, nil); err != nil {
		return err
	}
	if err := s.changeFaults(ctx, ids, func(f *upstream.Faults) { f.ColdMS, f.ColdFactor = coldMS, coldFactor }); err != nil {
		return err
	}
	return s.control.Call(ctx, "/v1/restart", target, nil)
}

// drain drains one replica of every fifth group and of each service with a single group.
type drain struct{ noHooks }

const (
	drainEvery = 5
	// healthLagMS is the delay until the health endpoint reports that the upstream is draining.
	healthLagMS = 2000
)

func (drain) Name() string { return "drain" }

func (drain) During(ctx context.Context, s *stage) error {
	if err := s.waitUntil(ctx, faultStart); err != nil {
		return err
	}
	s.markFault()
	return s.changeFaults(ctx, s.replicas(drainEvery), func(f *upstream.Faults) {
		f.Draining, f.HealthLagMS = true, healthLagMS
	})
}

// silent stalls the open connections to one replica of every third group and the links to every fourth VM. New
// connections work.
type silent struct{ noHooks }

const (
	silentEvery   = 3
	silentVMEvery = 4
)

func (silent) Name() string { return "silent" }

func (silent) During(ctx context.Context, s *stage) error {
	if err := s.waitUntil(ctx, faultStart); err != nil {
		return err
	}
	s.markFault()
	for i, v := range s.fleet.vms {
		if i%silentVMEvery == 0 {
			v.proxy.StallConnections()
		}
	}
	return s.control.Call(ctx, "/v1/silence", upstream.Target{IDs: s.replicas(silentEvery)}, nil)
}
