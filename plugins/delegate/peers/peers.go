// Package peers is the plug-in that hands over gathered requests to the gatherers that coord/gatherers chooses, and runs
// those that other VMs hand over.
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
	"gooseberrylane.example/plugins/internal/work"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.DelegateKind, Name: "peers",
		Settings: func() any {
			return &Settings{Choice: gatherers.Defaults(), AcceptTimeoutMS: defaultAcceptTimeoutMS, OpenTimeoutMS: defaultOpenTimeoutMS, SuspectMS: defaultSuspectMS}
		},
		Options: func(s any) fx.Option {
			return fx.Provide(func(lc fx.Lifecycle, p params) provided {
				d := newDelegate(p, s.(*Settings))
				// The links between VMs, which carry the answers, stop later.
				lc.Append(fx.Hook{OnStop: d.work.Stop})
				return provided{Delegate: d, Metrics: d.metrics()}
			})
		},
	})
}

const (
	defaultAcceptTimeoutMS = 30
	// defaultOpenTimeoutMS covers two handshakes of links, each of two round trips, on VMs with a tenth of a core.
	defaultOpenTimeoutMS = 150
	defaultSuspectMS     = 2000
)

// Settings of the plug-in.
type Settings struct {
	// Choice holds the settings of the choice of gatherers.
	Choice gatherers.Settings `json:"choice"`
	// AcceptTimeoutMS is the timeout for the acceptance of a request by a gatherer, in milliseconds. Default 30.
	AcceptTimeoutMS int64 `json:"accept_ms" validate:"gte=1,lte=60000"`
	// OpenTimeoutMS is added to AcceptTimeoutMS while the links to and from the gatherer may still have to be opened, in milliseconds.
	// Default 150.
	OpenTimeoutMS int64 `json:"open_ms" validate:"gte=0,lte=60000"`
	// SuspectMS is how long no requests are handed over to a VM that did not respond, in milliseconds. Default 2000.
	SuspectMS int64 `json:"suspect_ms" validate:"gte=0,lte=600000"`
}

func (s *Settings) acceptance() gatherers.Acceptance {
	return gatherers.Acceptance{
		Timeout: time.Duration(s.AcceptTimeoutMS) * time.Millisecond, OpenTimeout: time.Duration(s.OpenTimeoutMS) * time.Millisecond,
	}
}

type params struct {
	fx.In
	State    *kernel.State
	Clock    kernel.Clock
	Log      *slog.Logger
	Identity kernel.Identity
	Peers    kinds.Peers
	Catalog  kinds.Catalog
	Intake   kinds.Intake
	// Membership publishes the VMs from which gatherers are chosen.
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
	// pending maps sequence numbers to *handover.
	pending sync.Map
	// suspects maps core.VMName to the time.Time until which the VM receives no requests.
	suspects sync.Map
	// answering holds each core.VMName that has answered since a link to it last ended.
	answering sync.Map
	// gathering maps taskKey to *task; work counts them.
	gathering sync.Map
	work      *work.Group
	// run executes a request of another VM; it is nil until Serve is called.
	run func(ctx context.Context, r kinds.DelegatedRequest) kinds.RoutedAnswer
	// handedOver, declined, suspected and gathered count requests: those sent to gatherers, those that a gatherer declined,
	// those after which a gatherer became suspect, and those that this VM ran for others.
	handedOver, declined, suspected, gathered atomic.Uint64
}

// handover is a request that was handed over to a gatherer.
type handover struct {
	to           core.VMName
	accepted     chan struct{}
	acceptOnce   sync.Once
	answered     chan *answerMessage
	linkDown     chan struct{}
	linkDownOnce sync.Once
}

func newDelegate(p params, settings *Settings) *delegate {
	d := &delegate{params: p, settings: settings, work: work.NewGroup()}
	p.Peers.Handle(gatherMessage{}, d.handleGather)
	p.Peers.Handle(acceptMessage{}, d.handleAccept)
	p.Peers.Handle(answerMessage{}, d.handleAnswer)
	p.Peers.Handle(abandonMessage{}, d.handleAbandon)
	p.Peers.Handle(confirmMessage{}, d.handleConfirm)
	p.Peers.Handle(leavingMessage{}, d.handleLeaving)
	p.Peers.OnLinkDown(d.handleLinkDown)
	return d
}

// Serve implements kinds.Delegate.
func (d *delegate) Serve(run func(context.Context, kinds.DelegatedRequest) kinds.RoutedAnswer) {
	d.run = run
}

// usable reports whether a VM is not suspect.
func (d *delegate) usable(vm core.VMName) bool {
	until, suspected := d.suspects.Load(vm)
	return !suspected || d.Clock.Now().After(until.(time.Time))
}

// suspect excludes a VM from the choice of gatherers for Settings.SuspectMS.
func (d *delegate) suspect(vm core.VMName, reason string) {
	d.suspected.Add(1)
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
	h := &handover{to: to.Name, accepted: make(chan struct{}), answered: make(chan *answerMessage, 1), linkDown: make(chan struct{})}
	m := newGatherMessage(r, view.Routes.Version, d.Clock.Now())
	m.Sequence, m.Incarnation = d.sequence.Add(1), d.Identity.Incarnation
	d.pending.Store(m.Sequence, h)
	defer d.pending.Delete(m.Sequence)
	d.handedOver.Add(1)
	d.Log.Info("gather_handed_over", "request", string(r.ID), "peer", string(to.Name), "peer_domain", string(to.Domain), "table", uint64(m.TableVersion))
	if err := d.Peers.Send(ctx, to, m); err != nil {
		if core.CodeOf(err) == core.CodeOverloaded {
			d.Log.Info("gather_kept", "request", string(r.ID), "reason", err.Error())
		} else {
			d.suspect(to.Name, err.Error())
		}
		return kinds.RoutedAnswer{}, kinds.NotDelegated
	}
	if answer, outcome := d.awaitAcceptance(ctx, r, to, h); outcome != kinds.Delegated || answer.Status != 0 {
		if outcome == kinds.MaybeDelegated || ctx.Err() != nil {
			d.abandon(to, &m)
		}
		return answer, outcome
	}
	if err := d.Peers.Send(ctx, to, confirmMessage{Sequence: m.Sequence, Incarnation: m.Incarnation}); err != nil {
		d.Log.Info("confirm_undelivered", "request", string(r.ID), "peer", string(to.Name), "error", err.Error())
	}
	answer := d.awaitAnswer(ctx, route, r, to, h)
	if ctx.Err() != nil {
		d.abandon(to, &m)
	}
	return answer, kinds.Delegated
}

// assumedVMs is the number of VMs among which an allowance is divided until the members are known. It is above the number of
// VMs of any deployment so far, so the shares never exceed the whole.
const assumedVMs = 160

// Share implements kinds.Delegate.
func (d *delegate) Share(view *core.View, service core.ServiceName) float64 {
	if len(view.Members.All) == 0 {
		return 1.0 / assumedVMs
	}
	limit := view.Routes.Services[service].MaxConnections
	return d.settings.Choice.Share(view.Members, limit)
}

// awaitAcceptance waits until the gatherer accepts the request. It returns Delegated without an answer if it does.
func (d *delegate) awaitAcceptance(ctx context.Context, r *core.ForwardRequest, to core.VM, h *handover) (kinds.RoutedAnswer, kinds.DelegateOutcome) {
	_, answered := d.answering.Load(to.Name)
	timer := time.NewTimer(d.settings.acceptance().Wait(answered))
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
	case <-h.linkDown:
		d.suspect(to.Name, "the link failed")
	case <-timer.C:
		d.suspect(to.Name, "no acceptance in time")
	case <-ctx.Done():
		return callerDisconnected, kinds.Delegated
	}
	return kinds.RoutedAnswer{}, kinds.MaybeDelegated
}

// callerDisconnected is the answer to a request whose caller has disconnected. It is discarded.
var callerDisconnected = kinds.RoutedAnswer{Status: http.StatusBadGateway, Error: core.Errorf(core.CodeCancelled, "the caller disconnected")}

// awaitAnswer waits for the answer of a gatherer that accepted the request. If none arrives, this VM does not run the request
// itself: together with the attempts of the gatherer, that could exceed the attempts that the route allows. The caller
// receives the error immediately and can retry.
func (d *delegate) awaitAnswer(ctx context.Context, route *core.Route, r *core.ForwardRequest, to core.VM, h *handover) kinds.RoutedAnswer {
	timeout := route.Timeout
	if r.Timeout > 0 {
		timeout = min(timeout, r.Timeout)
	}
	timer := time.NewTimer(timeout - d.Clock.Now().Sub(r.Arrived))
	defer timer.Stop()
	select {
	case a := <-h.answered:
		answer := a.answer()
		d.Log.Info("gather_answered", "request", string(r.ID), "peer", string(to.Name), "status", answer.Status, "took_ms", float64(d.Clock.Now().Sub(r.Arrived).Microseconds())/1000)
		return answer
	case <-h.linkDown:
		d.suspect(to.Name, "the link failed")
		d.Log.Warn("gather_lost", "request", string(r.ID), "peer", string(to.Name))
		return kinds.RoutedAnswer{Status: http.StatusBadGateway, Error: core.Errorf(core.CodeConnectionLost, "the link to the gatherer failed")}
	case <-timer.C:
		d.suspect(to.Name, "no answer in time")
		return kinds.RoutedAnswer{Status: http.StatusGatewayTimeout, Error: core.Errorf(core.CodeOutcomeUnknown, "no answer in time")}
	case <-ctx.Done():
		return callerDisconnected
	}
}

// abandon notifies the gatherer that its answer is no longer needed.
func (d *delegate) abandon(to core.VM, m *gatherMessage) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.settings.AcceptTimeoutMS)*time.Millisecond)
	defer cancel()
	if err := d.Peers.Send(ctx, to, abandonMessage{Sequence: m.Sequence, Incarnation: m.Incarnation}); err != nil {
		d.Log.Info("abandon_undelivered", "request", string(m.ID), "peer", string(to.Name), "error", err.Error())
	}
}

func (d *delegate) findHandover(sequence uint64, incarnation core.Incarnation) *handover {
	if incarnation != d.Identity.Incarnation {
		return nil
	}
	if h, ok := d.pending.Load(sequence); ok {
		return h.(*handover)
	}
	return nil
}

func (d *delegate) handleAccept(from core.VM, m kinds.Message) {
	a := m.(*acceptMessage)
	d.answering.Store(from.Name, true)
	if h := d.findHandover(a.Sequence, a.Incarnation); h != nil {
		h.acceptOnce.Do(func() { close(h.accepted) })
	}
}

func (d *delegate) handleAnswer(from core.VM, m kinds.Message) {
	a := m.(*answerMessage)
	d.answering.Store(from.Name, true)
	if h := d.findHandover(a.Sequence, a.Incarnation); h != nil {
		select {
		case h.answered <- a:
		default:
			// A duplicate answer is ignored.
		}
	}
}

// handleLinkDown fails the requests that were handed over to a VM whose link ended, because messages may be lost.
func (d *delegate) handleLinkDown(down kinds.LinkDown) {
	d.answering.Delete(down.VM.Name)
	d.pending.Range(func(_, value any) bool {
		if h := value.(*handover); h.to == down.VM.Name {
			h.linkDownOnce.Do(func() { close(h.linkDown) })
		}
		return true
	})
}

func (d *delegate) metrics() []kinds.Metric {
	metric := func(name string, value *atomic.Uint64) kinds.Metric {
		return kinds.Metric{Name: name, Value: func() any { return value.Load() }}
	}
	return []kinds.Metric{
		metric("gathers_handed_over", &d.handedOver), metric("gathers_declined", &d.declined),
		metric("gathers_lost", &d.suspected), metric("gathers_for_others", &d.gathered),
	}
}
