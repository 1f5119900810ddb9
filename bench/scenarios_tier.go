package main

import (
	"context"
	"fmt"
	"time"

	"gooseberrylane.example/core"
	"gooseberrylane.example/standins/upstream"
)

func init() {
	registerScenario(repartition{})
	registerScenario(partition{})
	registerScenario(platformDown{})
	registerScenario(vmReplacement{})
	registerScenario(overload{})
}

// repartition publishes an index version with another layout of the first service, replica by replica.
type repartition struct{ noHooks }

const (
	publishFrom  = 0.2
	publishTo    = 0.5
	withdrawFrom = 0.7
	withdrawTo   = 0.9
)

func (repartition) Name() string { return "repartition" }

// Prepare gives the service a layout for each version that the run publishes: every second one has twice the shards.
// Look-ups of single shards are left out, because a caller cannot know the layout of the version that the VM will pin.
func (repartition) Prepare(p *plan) {
	service := p.deployment.Services[0]
	whole := service.Layouts[0].Shards
	halves := make([]core.Shard, 0, 2*len(whole))
	for _, shard := range whole {
		for _, half := range []string{"a", "b"} {
			halves = append(halves, core.Shard{Name: shard.Name + core.ShardName("-"+half), Group: shard.Group})
		}
	}
	versions := sidesPerRun*p.slices + 1
	for v := 2; v <= versions; v++ {
		shards := whole
		if v%2 == 0 {
			shards = halves
		}
		service.Layouts = append(service.Layouts, core.Layout{FirstVersion: core.IndexVersion(v), Shards: shards})
	}
	kept := p.streams[:0]
	for _, st := range p.streams {
		if st.service != service.Name || st.kind == fanOut {
			kept = append(kept, st)
		}
	}
	p.streams = kept
}

func (repartition) During(ctx context.Context, s *stage) error {
	version := s.version
	s.version++
	if err := publish(ctx, s, version, version+1, publishFrom, publishTo); err != nil {
		return err
	}
	return publish(ctx, s, version+1, version+1, withdrawFrom, withdrawTo)
}

// publish changes the version window of every upstream of the first service, spread over an interval of the slice.
func publish(ctx context.Context, s *stage, oldest, newest uint64, from, to float64) error {
	var ids []string
	for _, group := range s.deployment.Services[0].Groups {
		for u := range group.Upstreams {
			ids = append(ids, string(group.Upstreams[u].ID))
		}
	}
	s.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for i, id := range ids {
		if err := s.waitUntil(ctx, from+(to-from)*float64(i)/float64(len(ids))); err != nil {
			return err
		}
		call := upstream.PublishCall{Target: upstream.Target{IDs: []string{id}}, Oldest: oldest, Newest: newest}
		if err := s.control.Call(ctx, "/v1/publish", call, nil); err != nil {
			return err
		}
	}
	return nil
}

// partition cuts the last failure domain off from the others during an interval of the slice.
type partition struct{ noHooks }

const partitionEnd = 0.7

func (partition) Name() string { return "partition" }

func (partition) During(ctx context.Context, s *stage) error {
	if err := s.waitUntil(ctx, faultStart); err != nil {
		return err
	}
	s.markFault()
	s.network.isolate(domainCount-1, true)
	defer s.network.isolate(domainCount-1, false)
	return s.waitUntil(ctx, partitionEnd)
}

// platformDown takes the platform of the side down for the rest of the slice.
type platformDown struct{ noHooks }

func (platformDown) Name() string { return "platform-down" }

func (platformDown) During(ctx context.Context, s *stage) error {
	if err := s.waitUntil(ctx, faultStart); err != nil {
		return err
	}
	s.markFault()
	faults := s.fleet.platformFaults
	faults.Down = true
	return s.fleet.platformControl.Call(ctx, "/v1/faults", faults, nil)
}

func (platformDown) After(ctx context.Context, s *stage) error {
	return s.fleet.platformControl.Call(ctx, "/v1/faults", s.fleet.platformFaults, nil)
}

// vmReplacement replaces VMs one after another by planned stops. Each slice continues with the VM after the last one that
// the side replaced.
type vmReplacement struct{ noHooks }

const (
	replaceUntil = 0.9
	// replacePause lets the successor take over before the next VM stops.
	replacePause = 500 * time.Millisecond
)

func (vmReplacement) Name() string { return "vm-replacement" }

func (vmReplacement) During(ctx context.Context, s *stage) error {
	if err := s.waitUntil(ctx, faultStart/2); err != nil {
		return err
	}
	s.markFault()
	until := s.started.Add(time.Duration(replaceUntil * float64(s.length)))
	for time.Now().Before(until) {
		v := s.fleet.vms[s.fleet.replaced%len(s.fleet.vms)]
		s.fleet.replaced++
		if err := s.fleet.replace(ctx, v); err != nil {
			return fmt.Errorf("replace %s: %w", v.name, err)
		}
		timer := time.NewTimer(replacePause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
	return nil
}

// overload offers twice the capacity of every service below the highest class, and a moderate load to the highest.
type overload struct{ noHooks }

const (
	// overloadSlowFactor slows requests down, so that the upstreams reach their capacity at a rate that one machine can offer.
	overloadSlowFactor = 40
	overloadFactor     = 2
	topClassLoading    = 0.6
)

func (overload) Name() string { return "overload" }

func (overload) Prepare(p *plan) {
	top := topClass(p.deployment)
	for _, service := range p.deployment.Services {
		capacity := capacityOf(p, service, overloadSlowFactor)
		loading := topClassLoading
		if service.Rule.Class != top {
			loading = overloadFactor
			p.capacity[string(service.Name)] = capacity
		}
		scaleStreams(p.streams, service.Name, capacity*loading)
	}
}

func (overload) Before(ctx context.Context, s *stage) error {
	return s.changeFaults(ctx, s.upstreamIDs(), func(f *upstream.Faults) { f.SlowFactor = overloadSlowFactor })
}

// capacityOf returns the queries per second that the busiest group of a service can serve with the mix of its streams.
func capacityOf(p *plan, service *core.Service, slow float64) float64 {
	var queries, perGroup float64
	for _, st := range p.streams {
		if st.service != service.Name {
			continue
		}
		queries += st.rate
		if st.kind == fanOut {
			perGroup += st.rate
		} else {
			perGroup += st.rate / float64(len(service.Groups))
		}
	}
	if queries == 0 {
		return 0
	}
	slots := 0
	for u := range service.Groups[0].Upstreams {
		slots += service.Groups[0].Upstreams[u].Slots
	}
	busyTime := slow * float64(serviceTimeOf(p, service)) / float64(time.Second)
	return float64(slots) / busyTime * queries / perGroup
}

func serviceTimeOf(p *plan, service *core.Service) time.Duration {
	first := string(service.Groups[0].Upstreams[0].ID)
	for i := range p.deployment.Upstreams {
		if p.deployment.Upstreams[i].ID == first {
			return time.Duration(p.deployment.Upstreams[i].ServiceUS) * time.Microsecond
		}
	}
	return time.Millisecond
}

// scaleStreams scales the streams of a service to a total rate and keeps their proportions.
func scaleStreams(streams []stream, service core.ServiceName, rate float64) {
	total := 0.0
	for _, st := range streams {
		if st.service == service {
			total += st.rate
		}
	}
	for i := range streams {
		if streams[i].service == service && total > 0 {
			streams[i].rate *= rate / total
		}
	}
}
