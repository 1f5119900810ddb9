// Package classes is the plug-in that admits queries by class within limits on concurrent queries.
package classes

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/fx"

	"gooseberrylane.example/coord/admission"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.AdmissionKind, Name: "classes",
		Settings: func() any {
			return &Settings{
				Concurrency: defaultConcurrency, ServiceStart: defaultServiceStart, QueuePerClass: defaultQueuePerClass,
				RetryAfterMS: defaultRetryAfterMS,
			}
		},
		Options: func(s any) fx.Option {
			return fx.Provide(func(p params) kinds.Admission { return newAdmission(p, s.(*Settings)) })
		},
	})
}

const (
	defaultConcurrency   = 256
	defaultServiceStart  = 16
	defaultQueuePerClass = 256
	defaultRetryAfterMS  = 200
)

// Settings of the plug-in.
type Settings struct {
	// Concurrency bounds the concurrent queries on this VM. Default 256.
	Concurrency int `json:"concurrency" validate:"gte=1,lte=100000"`
	// ServiceStart is the initial bound for one service; it adapts between 1 and concurrency. Default 16.
	ServiceStart int `json:"service_start" validate:"gte=1,ltefield=Concurrency"`
	// QueuePerClass bounds the waiting queries of each class. Default 256.
	QueuePerClass int `json:"queue_per_class" validate:"gte=0,lte=100000"`
	// RetryAfterMS is the mean of the retry delay suggested to a refused caller, in milliseconds. Default 200.
	RetryAfterMS int64 `json:"retry_after_ms" validate:"gte=1,lte=600000"`
}

type params struct {
	fx.In
	State  *kernel.State
	Clock  kernel.Clock
	Random *kernel.Random
}

type gate = admission.Gate[chan struct{}]

type classes struct {
	params
	settings *Settings
	// vm bounds all queries; services maps core.ServiceName to the *gate of that service, whose upstreams no other
	// service uses.
	vm         *gate
	services   sync.Map
	rates      admission.Rates
	generators sync.Pool
}

func newAdmission(p params, settings *Settings) *classes {
	a := &classes{params: p, settings: settings}
	n := settings.Concurrency
	a.vm = admission.NewGate[chan struct{}](admission.GateSettings{Start: n, Min: n, Max: n, Queue: settings.QueuePerClass})
	a.generators.New = func() any { return p.Random.Generator() }
	return a
}

func (a *classes) service(name core.ServiceName) *gate {
	if g, ok := a.services.Load(name); ok {
		return g.(*gate)
	}
	g, _ := a.services.LoadOrStore(name, admission.NewGate[chan struct{}](admission.GateSettings{
		Start: a.settings.ServiceStart, Min: 1, Max: a.settings.Concurrency, Queue: a.settings.QueuePerClass,
	}))
	return g.(*gate)
}

// Enter implements kinds.Admission.
func (a *classes) Enter(ctx context.Context, q *core.Query, service *core.Service) (func(*core.Answer), time.Duration, error) {
	rate := admission.RatePerVM(service.Rule.RatePerCaller, a.State.Load().Members)
	if wait, ok := a.rates.Allow(a.Clock.Now(), service.Name, q.Caller, rate); !ok {
		return nil, wait + a.retryAfter(), core.Errorf(core.CodeRateLimited, "caller %q has used up its rate for service %q", q.Caller, service.Name)
	}
	serviceGate := a.service(service.Name)
	if err := a.enter(ctx, serviceGate, q, service); err != nil {
		return nil, a.retryAfter(), err
	}
	if err := a.enter(ctx, a.vm, q, service); err != nil {
		admit(serviceGate.Release())
		return nil, a.retryAfter(), err
	}
	entered := a.Clock.Now()
	return func(answer *core.Answer) {
		now := a.Clock.Now()
		elapsed := now.Sub(entered)
		overloaded := admission.IsOverloaded(answer, elapsed, q.Deadline.Sub(entered))
		admit(a.vm.Leave(now, elapsed, false))
		admit(serviceGate.Leave(now, elapsed, overloaded))
	}, 0, nil
}

func (a *classes) enter(ctx context.Context, g *gate, q *core.Query, service *core.Service) error {
	if g.TryEnter() {
		return nil
	}
	ready := make(chan struct{})
	ticket, admitted, ok := g.Enqueue(a.Clock.Now(), service.Rule.Class, q.Caller, q.Deadline, ready)
	if !ok {
		return core.Errorf(core.CodeOverloaded, "too many queries of service %q are running and waiting", service.Name)
	}
	admit(admitted)
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
	}
	if !g.Withdraw(ticket) {
		admit(g.Release())
	}
	if ctx.Err() == context.DeadlineExceeded {
		return core.Errorf(core.CodeExpired, "the query was not admitted before its deadline")
	}
	return core.Errorf(core.CodeNotRun, "the caller disconnected before the query was admitted")
}

func admit(tickets []*admission.Ticket[chan struct{}]) {
	for _, ticket := range tickets {
		close(ticket.Value)
	}
}

// retryAfter returns a random delay, so that refused callers do not all retry at once.
func (a *classes) retryAfter() time.Duration {
	generator := a.generators.Get().(*rand.Rand)
	defer a.generators.Put(generator)
	mean := float64(time.Duration(a.settings.RetryAfterMS) * time.Millisecond)
	return time.Duration((0.5 + generator.Float64()) * mean)
}
