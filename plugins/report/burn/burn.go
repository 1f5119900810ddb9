// Package burn is the plug-in that measures the service levels of the queries of this VM and publishes them as a metric
// that can be summed over the fleet.
package burn

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"gooseberrylane.example/coord/burn"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

// MetricName is the name of the published variable, a burn.Snapshot.
const MetricName = "service_levels"

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.ReportKind, Name: "burn",
		Settings: func() any { return &Settings{Default: burn.DefaultTargets, ReadoutMS: defaultReadoutMS} },
		Options: func(s any) fx.Option {
			return fx.Options(
				fx.Provide(func(lc fx.Lifecycle, p params) *recorder { return newRecorder(lc, p, s.(*Settings)) }),
				kinds.ProvideObserver(func(r *recorder) kinds.QueryObserver { return r }),
				kinds.ProvideMetric(func(r *recorder) kinds.Metric { return kinds.Metric{Name: MetricName, Value: r.value} }),
			)
		},
	})
}

const (
	defaultReadoutMS = 10_000
	// maxStripes bounds the memory per service: the buckets of a stripe take 24 KB.
	maxStripes = 4
)

// Settings of the plug-in.
type Settings struct {
	// Default holds the targets of services that Services does not list.
	Default burn.Targets `json:"default"`
	// Services lists the objectives of individual services. Default none.
	Services []burn.Objective `json:"services" validate:"dive"`
	// ReadoutMS is the interval at which the counters are added to the time slots, in milliseconds. Events are
	// attributed to time slots with a delay of at most this time. Default 10000.
	ReadoutMS int64 `json:"readout_ms" validate:"gte=100,lte=60000"`
}

// Check implements kernel.Checker.
func (s *Settings) Check() []kernel.Problem {
	var problems []kernel.Problem
	seen := make(map[core.ServiceName]bool)
	for _, objective := range s.Services {
		if seen[objective.Service] {
			problems = append(problems, kernel.Problem{Path: "services", Detail: "service " + string(objective.Service) + " has two objectives"})
		}
		seen[objective.Service] = true
	}
	return problems
}

type params struct {
	fx.In
	Identity kernel.Identity
	State    *kernel.State
	Clock    kernel.Clock
	Log      *slog.Logger
}

// service holds the measurements of one service.
type service struct {
	targets  burn.Targets
	recorder *burn.Recorder
	// series is guarded by the field readout of recorder.
	series burn.Series
}

type services map[core.ServiceName]*service

// recorder is provided by fx, so it must not embed params, which contains fx.In.
type recorder struct {
	params   params
	settings *Settings
	since    time.Time
	// services is replaced as a whole at the first query of a service, so that queries read it without a lock.
	services atomic.Pointer[services]
	// readout serializes the readers of the counters. It is never locked on the request path.
	readout sync.Mutex
}

func newRecorder(lc fx.Lifecycle, p params, settings *Settings) *recorder {
	r := &recorder{params: p, settings: settings, since: p.Clock.Now()}
	r.services.Store(&services{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				r.run(ctx)
			}()
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			<-done
			return nil
		},
	})
	return r
}

// run adds the counters to the time slots until ctx ends.
func (r *recorder) run(ctx context.Context) {
	ticker := time.NewTicker(time.Duration(r.settings.ReadoutMS) * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.advance()
		case <-ctx.Done():
			return
		}
	}
}

// QueryFinished implements kinds.QueryObserver.
func (r *recorder) QueryFinished(q *core.Query, answer *core.Answer, took time.Duration) {
	s := (*r.services.Load())[q.Service]
	if s == nil {
		if s = r.add(q.Service); s == nil {
			return
		}
	}
	s.recorder.Record(rand.Uint32(), burn.Event{
		Code: answer.Code, Latency: took, Requested: len(answer.Covered) + len(answer.Missing), Covered: len(answer.Covered),
	})
}

// add returns the measurements of a service and creates them if needed. It returns nil for a name that is not in the
// configuration, so that callers cannot exhaust memory with made-up names.
func (r *recorder) add(name core.ServiceName) *service {
	if r.params.State.Load().Config.Services[name] == nil {
		return nil
	}
	targets := r.targets(name)
	added := &service{targets: targets, recorder: burn.NewRecorder(targets.LatencyMS.Duration(), min(runtime.GOMAXPROCS(0), maxStripes))}
	for {
		old := r.services.Load()
		if s := (*old)[name]; s != nil {
			return s
		}
		next := make(services, len(*old)+1)
		for n, s := range *old {
			next[n] = s
		}
		next[name] = added
		if r.services.CompareAndSwap(old, &next) {
			return added
		}
	}
}

func (r *recorder) targets(name core.ServiceName) burn.Targets {
	for _, objective := range r.settings.Services {
		if objective.Service == name {
			return objective.Targets
		}
	}
	return r.settings.Default
}

// advance adds the counters to the time slots.
func (r *recorder) advance() {
	r.readout.Lock()
	defer r.readout.Unlock()
	r.advanceLocked()
}

func (r *recorder) advanceLocked() {
	now := r.params.Clock.Now()
	for _, s := range *r.services.Load() {
		total, buckets := s.recorder.Read()
		s.series.Advance(now, total, buckets)
	}
}

// value returns the burn.Snapshot of this VM.
func (r *recorder) value() any {
	r.readout.Lock()
	defer r.readout.Unlock()
	r.advanceLocked()
	snapshot := burn.Snapshot{
		VM: r.params.Identity.VM, Incarnation: r.params.Identity.Incarnation, Domain: r.params.Identity.Domain,
		Since: r.since.Unix(), AsOf: r.params.Clock.Now().Unix(), Services: []burn.ServiceSnapshot{},
	}
	for name, s := range *r.services.Load() {
		level, err := s.series.Snapshot(name, s.targets)
		if err != nil {
			r.params.Log.Error("service_levels_failed", "service", string(name), "error", err.Error())
			continue
		}
		snapshot.Services = append(snapshot.Services, level)
	}
	return snapshot
}
