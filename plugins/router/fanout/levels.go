package fanout

import (
	"sync"
	"time"

	"gooseberrylane.example/coord/burn"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
)

// levels records the service levels of the routes that received requests. recorders maps levelKey to *burn.Recorder.
type levels struct{ recorders sync.Map }

// levelKey identifies a series. A change of a route's objective starts a new series.
type levelKey struct {
	route     core.RouteName
	objective time.Duration
}

func (l *levels) record(route *core.Route, event burn.Event) {
	key := levelKey{route.Name, route.Objective}
	recorder, ok := l.recorders.Load(key)
	if !ok {
		recorder, _ = l.recorders.LoadOrStore(key, burn.NewRecorder(route.Objective, 1))
	}
	recorder.(*burn.Recorder).Record(0, event)
}

// level is the published service level of one route since the start of the process.
type level struct {
	Route       core.RouteName `json:"route"`
	ObjectiveMS int64          `json:"objective_ms"`
	burn.Counts
	P50MS float64 `json:"p50_ms"`
	P90MS float64 `json:"p90_ms"`
	P99MS float64 `json:"p99_ms"`
}

func (l *levels) metric() kinds.Metric {
	return kinds.Metric{Name: "route_levels", Value: func() any {
		published := []level{}
		l.recorders.Range(func(key, value any) bool {
			counts, buckets := value.(*burn.Recorder).Read()
			latency := buckets.Histogram()
			quantile := func(q float64) float64 { return float64(latency.ValueAtQuantile(q)) / 1000 }
			k := key.(levelKey)
			published = append(published, level{
				Route: k.route, ObjectiveMS: k.objective.Milliseconds(), Counts: counts,
				P50MS: quantile(50), P90MS: quantile(90), P99MS: quantile(99),
			})
			return true
		})
		return published
	}}
}
