// Package peers is the plug-in that hands gathered requests to the VMs that coord/gatherers chooses, and that gathers for
// others.
package peers

import (
	"context"
	"log/slog"
	"net/http"
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
			return &Settings{Choice: gatherers.Defaults(), AcceptMS: defaultAcceptMS, SuspectMS: defaultSuspectMS}
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
	defaultAcceptMS  = 30
	defaultSuspectMS = 2000
)

// Settings of the plug-in.
type Settings struct {
	// Choice rules which VMs gather.
	Choice gatherers.Settings `json:"choice"`
	// AcceptMS is how long a VM may take to say that it gathers, in milliseconds. Default 30.
	AcceptMS int64 `json:"accept_ms" validate:"gte=1,lte=60000"`
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
	// gathering maps taskKey to *task.
	gathering sync.Map
	run       func(ctx context.Context, r kinds.DelegatedRequest) kinds.RoutedAnswer
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
	p.Peers.Handle(confirmMessage{}, d.confirmed)
	p.Peers.OnLinkDown(d.linkDown)
	return d
}

// Serve implements kinds.Delegate.
func (d *delegate) Serve(run func(context.Context, kinds.DelegatedRequest) kinds.RoutedAnswer) {
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
func (d *delegate) Delegate(ctx context.Context, view *core.View, route *core.Route, r *core.ForwardRequest) (kinds.RoutedAnswer, kinds.DelegateOutcome) {
	choice := gatherers.Request{
		Key: r.ID, Coverage: gatherers.Coverage(route.Gather, view.Registered), ConnectionLimit: gatherers.ConnectionLimit(route.Gather, view.Routes),
	}
	chosen := d.settings.Choice.Choose(view.Members, choice, d.usable)
	if len(chosen) == 0 {
		return kinds.RoutedAnswer{}, kinds.NotDelegated
	}
	to := chosen[0]
	h := &handover{to: to.Name, accepted: make(chan struct{}), answered: make(chan *answerMessage, 1), failed: make(chan struct{})}
	m := newGatherMessage(r, view.Routes.Version, d.Clock.Now())
	m.Sequence, m.Started = d.sequence.Add(1), d.Identity.Incarnation
	d.pending.Store(m.Sequence, h)
	defer d.pending.Delete(m.Sequence)
	d.handed.Add(1)
	d.Log.Info("gather_handed_over", "request", string(r.ID), "peer", string(to.Name), "peer_domain", string(to.Domain), "table", uint64(m.Table))
	if err := d.Peers.Send(ctx, to, m); err != nil {
		d.suspect(to.Name, err.Error())
		return kinds.RoutedAnswer{}, kinds.NotDelegated
	}
	if answer, outcome := d.awaitAccept(ctx, r, to, h); outcome != kinds.Delegated || answer.Status != 0 {
		if outcome == kinds.MaybeDelegated || ctx.Err() != nil {
			d.abandon(to, &m)
		}
		return answer, outcome
	}
	if err := d.Peers.Send(ctx, to, confirmMessage{Sequence: m.Sequence, Started: m.Started}); err != nil {
		d.Log.Info("confirm_undelivered", "request", string(r.ID), "peer", string(to.Name), "error", err.Error())
	}
	answer := d.awaitAnswer(ctx, route, r, to, h)
	if ctx.Err() != nil {
		d.abandon(to, &m)
	}
	return answer, kinds.Delegated
}

// assumedVMs is how many VMs share an allowance while the others are not known. It is above the number of VMs of any
// deployment so far, so the shares never exceed the whole.
const assumedVMs = 160

// Share implements kinds.Delegate.
func (d *delegate) Share(view *core.View, service core.ServiceName) float64 {
	if len(view.Members.All) == 0 {
		return 1.0 / assumedVMs
	}
	limit := view.Routes.Services[service].MaxConnections
	return d.settings.Choice.Share(view.Members, limit)
}

// awaitAccept waits until the VM says that it gathers. Delegated without an answer means that it does.
func (d *delegate) awaitAccept(ctx context.Context, r *core.ForwardRequest, to core.VM, h *handover) (kinds.RoutedAnswer, kinds.DelegateOutcome) {
	timer := time.NewTimer(time.Duration(d.settings.AcceptMS) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-h.accepted:
		return kinds.RoutedAnswer{}, kinds.Delegated
	case a := <-h.answered:
		if a.Declined != core.CodeOK {
			d.declined.Add(1)
			d.Log.Info("gather_declined", "request", string(r.ID), "peer", string(to.Name), "code", a.Declined.String())
			return kinds.RoutedAnswer{}, kinds.NotDelegated
		}
		return a.answer(), kinds.Delegated
	case <-h.failed:
		d.suspect(to.Name, "the link failed")
	case <-timer.C:
		d.suspect(to.Name, "no sign that it gathers")
	case <-ctx.Done():
		return callerGone, kinds.Delegated
	}
	return kinds.RoutedAnswer{}, kinds.MaybeDelegated
}

// callerGone is an answer that nobody reads.
var callerGone = kinds.RoutedAnswer{Status: http.StatusBadGateway, Error: core.Errorf(core.CodeCancelled, "the caller has gone")}

// awaitAnswer waits for the answer of a VM that gathers. The request is not run here any more: with what the other VM may
// have sent, that could pass the attempts that the route allows. A caller that is told at once can ask again.
func (d *delegate) awaitAnswer(ctx context.Context, route *core.Route, r *core.ForwardRequest, to core.VM, h *handover) kinds.RoutedAnswer {
	limit := route.Timeout
	if r.Timeout > 0 {
		limit = min(limit, r.Timeout)
	}
	timer := time.NewTimer(limit - d.Clock.Now().Sub(r.Arrived))
	defer timer.Stop()
	select {
	case a := <-h.answered:
		answer := a.answer()
		d.Log.Info("gather_answered", "request", string(r.ID), "peer", string(to.Name), "status", answer.Status, "took_ms", float64(d.Clock.Now().Sub(r.Arrived).Microseconds())/1000)
		return answer
	case <-h.failed:
		d.suspect(to.Name, "the link failed")
		d.Log.Warn("gather_lost", "request", string(r.ID), "peer", string(to.Name))
		return kinds.RoutedAnswer{Status: http.StatusBadGateway, Error: core.Errorf(core.CodeConnectionLost, "the VM that gathered does not answer")}
	case <-timer.C:
		d.suspect(to.Name, "no answer in time")
		return kinds.RoutedAnswer{Status: http.StatusGatewayTimeout, Error: core.Errorf(core.CodeOutcomeUnknown, "no answer in time")}
	case <-ctx.Done():
		return callerGone
	}
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
