// Package peers is the plug-in that hands gathered requests to the VMs that coord/gatherers chooses, and that gathers for
// others.
package peers

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"gooseberrylane.example/coord/gatherers"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.DelegateKind, Name: "peers",
		Settings: func() any {
			return &Settings{Choice: gatherers.Defaults(), AcceptMS: defaultAcceptMS, AnswerShare: defaultAnswerShare, SuspectMS: defaultSuspectMS}
		},
		Options: func(s any) fx.Option {
			return fx.Provide(func(p params) provided {
				d := newDelegate(p, s.(*Settings))
				return provided{Delegate: d, Metrics: d.metrics()}
			})
		},
	})
}

const (
	defaultAcceptMS    = 30
	defaultAnswerShare = 1.5
	defaultSuspectMS   = 2000
)

// Settings of the plug-in.
type Settings struct {
	// Choice rules which VMs gather.
	Choice gatherers.Settings `json:"choice"`
	// AcceptMS is how long a VM may take to say that it gathers, in milliseconds. Default 30.
	AcceptMS int64 `json:"accept_ms" validate:"gte=1,lte=60000"`
	// AnswerShare is the time, as a share of the latency objective, after which the request runs on this VM although
	// another one gathers. Default 1.5.
	AnswerShare float64 `json:"answer_share" validate:"gt=0,lte=100"`
	// SuspectMS is how long a VM that did not answer gets no requests, in milliseconds. Default 2000.
	SuspectMS int64 `json:"suspect_ms" validate:"gte=0,lte=600000"`
}

type params struct {
	fx.In
	State    *kernel.State
	Clock    kernel.Clock
	Log      *slog.Logger
	Identity kernel.Identity
	Peers    kinds.Peers
	// Membership publishes the VMs to choose from.
	Membership kinds.Membership
}

type provided struct {
	fx.Out
	Delegate kinds.Delegate
	Metrics  []kinds.Metric `group:"metrics,flatten"`
}

type delegate struct {
	params
	settings *Settings
	sequence atomic.Uint64
	// pending maps the sequence number of a request that was handed over to *handover.
	pending sync.Map
	// suspects maps core.VMName to the time.Time until which the VM gets no requests.
	suspects sync.Map
	// gathering maps taskKey to the context.CancelFunc of a request of another VM.
	gathering sync.Map
	run       func(ctx context.Context, view *core.View, r *core.ForwardRequest) kinds.RoutedAnswer
	// handed, declined, lost and gathered count requests.
	handed, declined, lost, gathered atomic.Uint64
}

// handover is a request at another VM.
type handover struct {
	to       core.VMName
	accepted chan struct{}
	accept   sync.Once
	answered chan *answerMessage
	failed   chan struct{}
	fail     sync.Once
}

func newDelegate(p params, settings *Settings) *delegate {
	d := &delegate{params: p, settings: settings}
	p.Peers.Handle(gatherMessage{}, d.gather)
	p.Peers.Handle(acceptMessage{}, d.accepted)
	p.Peers.Handle(answerMessage{}, d.answered)
	p.Peers.Handle(abandonMessage{}, d.abandoned)
	p.Peers.OnLinkDown(d.linkDown)
	return d
}

// Serve implements kinds.Delegate.
func (d *delegate) Serve(run func(context.Context, *core.View, *core.ForwardRequest) kinds.RoutedAnswer) {
	d.run = run
}

// usable reports whether a VM answered lately, as far as this VM knows.
func (d *delegate) usable(vm core.VMName) bool {
	until, suspected := d.suspects.Load(vm)
	return !suspected || d.Clock.Now().After(until.(time.Time))
}

func (d *delegate) suspect(vm core.VMName, reason string) {
	d.lost.Add(1)
	d.suspects.Store(vm, d.Clock.Now().Add(time.Duration(d.settings.SuspectMS)*time.Millisecond))
	d.Log.Warn("gatherer_suspected", "peer", string(vm), "reason", reason, "for_ms", d.settings.SuspectMS)
}

// Delegate implements kinds.Delegate.
func (d *delegate) Delegate(ctx context.Context, view *core.View, route *core.Route, r *core.ForwardRequest) (kinds.RoutedAnswer, bool) {
	choice := gatherers.Request{
		Key: r.ID, Coverage: gatherers.Coverage(route.Gather, view.Registered), ConnectionLimit: gatherers.ConnectionLimit(route.Gather, view.Routes),
	}
	chosen := d.settings.Choice.Choose(view.Members, choice, d.usable)
	if len(chosen) == 0 {
		return kinds.RoutedAnswer{}, false
	}
	return d.handOver(ctx, view, route, r, chosen[0])
}

// handOver asks a VM to gather and waits for its answer. It gives up early enough for this VM to run the request itself.
func (d *delegate) handOver(ctx context.Context, view *core.View, route *core.Route, r *core.ForwardRequest, to core.VM) (kinds.RoutedAnswer, bool) {
	h := &handover{to: to.Name, accepted: make(chan struct{}), answered: make(chan *answerMessage, 1), failed: make(chan struct{})}
	m := newGatherMessage(r, view.Routes.Version, d.Clock.Now())
	m.Sequence, m.Started = d.sequence.Add(1), d.Identity.Incarnation
	d.pending.Store(m.Sequence, h)
	defer d.pending.Delete(m.Sequence)
	d.handed.Add(1)
	d.Log.Info("gather_handed_over", "request", string(r.ID), "peer", string(to.Name), "peer_domain", string(to.Domain), "table", uint64(m.Table))
	if err := d.Peers.Send(ctx, to, m); err != nil {
		d.suspect(to.Name, err.Error())
		return kinds.RoutedAnswer{}, false
	}
	timer := time.NewTimer(time.Duration(d.settings.AcceptMS) * time.Millisecond)
	defer timer.Stop()
	accepted := h.accepted
	for {
		select {
		case <-accepted:
			accepted = nil
			limit := r.Arrived.Add(time.Duration(d.settings.AnswerShare * float64(route.Objective)))
			timer.Reset(limit.Sub(d.Clock.Now()))
		case a := <-h.answered:
			return d.take(r, to, a)
		case <-h.failed:
			d.suspect(to.Name, "the link failed")
			return kinds.RoutedAnswer{}, false
		case <-timer.C:
			d.abandon(to, &m)
			if accepted != nil {
				d.suspect(to.Name, "no sign that it gathers")
			} else {
				d.Log.Warn("gather_late", "request", string(r.ID), "peer", string(to.Name))
			}
			return kinds.RoutedAnswer{}, false
		case <-ctx.Done():
			d.abandon(to, &m)
			return kinds.RoutedAnswer{Status: statusCallerGone, Error: core.Errorf(core.CodeCancelled, "the caller has gone")}, true
		}
	}
}

// statusCallerGone is the status of an answer that nobody reads.
const statusCallerGone = 502

// take handles the answer of the VM that was asked.
func (d *delegate) take(r *core.ForwardRequest, to core.VM, a *answerMessage) (kinds.RoutedAnswer, bool) {
	if a.Declined != core.CodeOK {
		d.declined.Add(1)
		d.Log.Info("gather_declined", "request", string(r.ID), "peer", string(to.Name), "code", a.Declined.String())
		return kinds.RoutedAnswer{}, false
	}
	answer := a.answer()
	d.Log.Info("gather_answered", "request", string(r.ID), "peer", string(to.Name), "status", answer.Status, "took_ms", float64(d.Clock.Now().Sub(r.Arrived).Microseconds())/1000)
	return answer, true
}

// abandon tells the VM that its answer is not wanted any more.
func (d *delegate) abandon(to core.VM, m *gatherMessage) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.settings.AcceptMS)*time.Millisecond)
	defer cancel()
	if err := d.Peers.Send(ctx, to, abandonMessage{Sequence: m.Sequence, Started: m.Started}); err != nil {
		d.Log.Info("abandon_undelivered", "request", string(m.ID), "peer", string(to.Name), "error", err.Error())
	}
}

func (d *delegate) find(sequence uint64, started core.Incarnation) *handover {
	if started != d.Identity.Incarnation {
		return nil
	}
	if h, ok := d.pending.Load(sequence); ok {
		return h.(*handover)
	}
	return nil
}

func (d *delegate) accepted(_ core.VM, m kinds.Message) {
	a := m.(*acceptMessage)
	if h := d.find(a.Sequence, a.Started); h != nil {
		h.accept.Do(func() { close(h.accepted) })
	}
}

func (d *delegate) answered(_ core.VM, m kinds.Message) {
	a := m.(*answerMessage)
	if h := d.find(a.Sequence, a.Started); h != nil {
		select {
		case h.answered <- a:
		default:
			// A second answer to the same request says nothing new.
		}
	}
}

// linkDown fails the requests at a VM whose link ended with messages that may not have arrived.
func (d *delegate) linkDown(down kinds.LinkDown) {
	d.pending.Range(func(_, value any) bool {
		if h := value.(*handover); h.to == down.VM.Name {
			h.fail.Do(func() { close(h.failed) })
		}
		return true
	})
}

func (d *delegate) metrics() []kinds.Metric {
	metric := func(name string, value *atomic.Uint64) kinds.Metric {
		return kinds.Metric{Name: name, Value: func() any { return value.Load() }}
	}
	return []kinds.Metric{
		metric("gathers_handed_over", &d.handed), metric("gathers_declined", &d.declined),
		metric("gathers_lost", &d.lost), metric("gathers_for_others", &d.gathered),
	}
}
