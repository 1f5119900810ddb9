package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"gooseberrylane.example/core"
	"gooseberrylane.example/standins/deployment"
)

// streamKind is the kind of query in a stream.
type streamKind int

const (
	// fanOut is a query to all shards of a service.
	fanOut streamKind = iota
	// lookUp is a query to one shard.
	lookUp
	// multiShard is a query to some shards.
	multiShard
	// write is a non-idempotent request to one shard.
	write
)

// stream is a Poisson stream of queries to one service.
type stream struct {
	service core.ServiceName
	kind    streamKind
	// rate is in queries per second.
	rate float64
	// count is the number of shards of a query of kind multiShard.
	count int
}

// share is the fraction of a deployment's queries that belong to one stream.
type share struct {
	service  core.ServiceName
	kind     streamKind
	fraction float64
}

// mixes are the proportions of each deployment's queries; docs/benchmark.md gives the reasons.
var mixes = map[string][]share{
	"directorate": {
		{"harvest-logs", fanOut, 0.15},
		{"harvest-logs", lookUp, 0.35},
		{"dealer-book", lookUp, 0.30},
		{"farm-contacts", lookUp, 0.15},
		{"dealer-book", write, 0.05},
	},
	"pukk": {
		{"billing", fanOut, 0.10},
		{"billing", lookUp, 0.20},
		{"driver-app", lookUp, 0.40},
		{"phone-desk", lookUp, 0.25},
		{"driver-app", write, 0.05},
	},
}

// streamsOf returns the streams of a deployment at a total rate. Without records on the platform a daemon refuses
// non-idempotent requests, so their stream is left out.
func streamsOf(name string, rate float64, withWrites bool) []stream {
	var streams []stream
	for _, s := range mixes[name] {
		if s.kind != write || withWrites {
			streams = append(streams, stream{service: s.service, kind: s.kind, rate: s.fraction * rate})
		}
	}
	return streams
}

// arrival is one query of the load.
type arrival struct {
	// at is the intended start, from the start of the slice.
	at      time.Duration
	service core.ServiceName
	kind    streamKind
	// shards are the shards of the query; empty means all.
	shards []core.ShardName
	caller core.CallerName
	// number chooses the VM.
	number uint64
	id     string
}

// callerCount is the number of callers that send queries.
const callerCount = 20

// maxArrivals bounds the queries of one slice.
const maxArrivals = 500_000

// schedule draws the arrivals of a slice. The same seed and slice give the same arrivals on both sides.
func schedule(streams []stream, d *deployment.Deployment, seed uint64, slice int, length time.Duration) ([]arrival, error) {
	random := rand.New(rand.NewPCG(seed, uint64(slice)+1))
	var arrivals []arrival
	for _, s := range streams {
		service := serviceOf(d, s.service)
		if service == nil {
			return nil, fmt.Errorf("the deployment has no service %q", s.service)
		}
		shards := service.Layouts[0].Shards
		for at := nextArrival(random, 0, s.rate); at < length; at = nextArrival(random, at, s.rate) {
			arrivals = append(arrivals, arrival{
				at: at, service: s.service, kind: s.kind, shards: drawShards(random, s, shards),
				caller: core.CallerName(fmt.Sprintf("desk-%02d", random.IntN(callerCount))), number: random.Uint64(),
			})
			if len(arrivals) > maxArrivals {
				return nil, fmt.Errorf("more than %d queries in a slice", maxArrivals)
			}
		}
	}
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].at < arrivals[j].at })
	for i := range arrivals {
		arrivals[i].id = fmt.Sprintf("q-%d-%d-%d", seed, slice, i)
	}
	return arrivals, nil
}

// drawShards returns the shards of a query; nil means all.
func drawShards(random *rand.Rand, s stream, shards []core.Shard) []core.ShardName {
	switch s.kind {
	case fanOut:
		return nil
	case multiShard:
		names := make([]core.ShardName, s.count)
		for i, at := range random.Perm(len(shards))[:s.count] {
			names[i] = shards[at].Name
		}
		return names
	default:
		return []core.ShardName{shards[random.IntN(len(shards))].Name}
	}
}

func nextArrival(random *rand.Rand, at time.Duration, rate float64) time.Duration {
	if rate <= 0 {
		return math.MaxInt64
	}
	return at + time.Duration(random.ExpFloat64()/rate*float64(time.Second))
}

func serviceOf(d *deployment.Deployment, name core.ServiceName) *core.Service {
	i := slices.IndexFunc(d.Services, func(s *core.Service) bool { return s.Name == name })
	if i < 0 {
		return nil
	}
	return d.Services[i]
}

// topClass returns the highest class of a deployment, which has the lowest number.
func topClass(d *deployment.Deployment) core.Class {
	top := core.MaxClass
	for _, service := range d.Services {
		top = min(top, service.Rule.Class)
	}
	return top
}
