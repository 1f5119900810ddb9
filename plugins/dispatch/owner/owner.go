// Package owner is the plug-in that brings sub-requests to the VMs that own their upstreams.
package owner

import (
	"context"
	"sync"
	"time"

	"go.uber.org/fx"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.DispatchKind, Name: "owner",
		Settings: func() any {
			return &Settings{MoveWaitMS: defaultMoveWaitMS, MaxFollows: defaultMaxFollows, HintMS: defaultHintMS}
		},
		Options: func(s any) fx.Option {
			return fx.Provide(func(lc fx.Lifecycle, p params) kinds.Dispatcher { return newDispatcher(lc, p, s.(*Settings)) })
		},
	})
}

const (
	defaultMoveWaitMS = 1000
	defaultMaxFollows = 4
	defaultHintMS     = 1000
)

// Settings of the plug-in.
type Settings struct {
	// MoveWaitMS is how long a sub-request waits at a VM that is taking over its upstream, in milliseconds. Default 1000.
	MoveWaitMS int64 `json:"move_wait_ms" validate:"gte=0,lte=60000"`
	// MaxFollows bounds how often a sub-request that was refused with not_owner is sent to the VM that the refusal
	// names. Default 4.
	MaxFollows int `json:"max_follows" validate:"gte=0,lte=16"`
	// HintMS is how long the VM that a refusal names is taken for the owner, in milliseconds. Default 1000.
	HintMS int64 `json:"hint_ms" validate:"gte=0,lte=60000"`
}

type params struct {
	fx.In
	State    *kernel.State
	Identity kernel.Identity
	Clock    kernel.Clock
	Executor kinds.Executor
	Peers    kinds.Peers
}

// pending is an attempt that was sent to another VM.
type pending struct {
	ctx     context.Context
	leg     core.Attempt
	vm      core.VM
	follows int
	deliver func(core.AttemptResult)
}

// running is an attempt that another VM asked for.
type running struct {
	vm       core.VMName
	started  core.Incarnation
	sequence uint64
}

type dispatcher struct {
	params
	// pending maps the sequence of an attempt of this VM to *pending; running maps running to its cancel function.
	pending  sync.Map
	running  sync.Map
	local    sync.Map
	hints    hints
	settings *Settings
	// base is cancelled when the dispatcher stops.
	base   context.Context
	cancel context.CancelFunc
	work   workGroup
}

func newDispatcher(lc fx.Lifecycle, p params, settings *Settings) kinds.Dispatcher {
	d := &dispatcher{params: p, settings: settings, work: workGroup{idle: make(chan struct{})}}
	d.base, d.cancel = context.WithCancel(context.Background())
	p.Peers.Handle(legsMessage{}, d.onLegs)
	p.Peers.Handle(resultsMessage{}, d.onResults)
	p.Peers.Handle(cancelMessage{}, d.onCancel)
	p.Peers.OnLinkDown(d.onLinkDown)
	lc.Append(fx.Hook{OnStop: d.shutdown})
	return d
}

// shutdown lets the sub-requests of other VMs finish, bounded by ctx.
func (d *dispatcher) shutdown(ctx context.Context) error {
	defer d.cancel()
	select {
	case <-d.work.Close():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Send implements kinds.Dispatcher.
func (d *dispatcher) Send(ctx context.Context, legs []core.Attempt, deliver func(core.AttemptResult)) {
	d.route(ctx, legs, nil, 0, deliver)
}

// route sends legs to via, or else to the believed owners of their upstreams.
func (d *dispatcher) route(ctx context.Context, legs []core.Attempt, via *core.VM, follows int, deliver func(core.AttemptResult)) {
	view := d.State.Load()
	remote := make(map[core.VM][]core.Attempt)
	for _, leg := range legs {
		owner := d.target(view, &leg, via)
		switch {
		case owner.Name == d.Identity.VM:
			d.runLocal(ctx, leg, follows, deliver)
		case owner.PeerAddress == "":
			notDelivered([]core.Attempt{leg}, deliver)
		default:
			remote[owner] = append(remote[owner], leg)
		}
	}
	for owner, group := range remote {
		d.sendRemote(ctx, owner, group, follows, deliver)
	}
}

func (d *dispatcher) target(view *core.View, leg *core.Attempt, via *core.VM) core.VM {
	switch {
	case via != nil:
		return *via
	case leg.Via != "":
		return located(view, leg.Via)
	default:
		return d.hints.owner(d.Clock.Now(), leg.Upstream, view)
	}
}

func (d *dispatcher) runLocal(ctx context.Context, leg core.Attempt, follows int, deliver func(core.AttemptResult)) {
	work, cancel := context.WithDeadline(ctx, leg.NotAfter)
	d.local.Store(leg.ID.Sequence, cancel)
	begun := d.work.Go(func() {
		result := d.execute(work, leg)
		d.local.Delete(leg.ID.Sequence)
		cancel()
		p := &pending{ctx: ctx, leg: leg, vm: core.VM{Name: d.Identity.VM}, follows: follows, deliver: deliver}
		d.finish(p, result, nil)
	})
	if !begun {
		d.local.Delete(leg.ID.Sequence)
		cancel()
		deliver(core.AttemptResult{Attempt: leg.ID, Outcome: core.OutcomeNotRun, Code: core.CodeNotOwner})
	}
}

// execute runs a leg. While this VM is taking over the upstream, the leg waits, because it is at the right VM.
func (d *dispatcher) execute(ctx context.Context, leg core.Attempt) core.AttemptResult {
	timer := time.NewTimer(time.Duration(d.settings.MoveWaitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		changed := d.State.Changed()
		result := d.Executor.Execute(ctx, leg)
		if result.Code != core.CodeNotOwner || result.Owner != d.Identity.VM {
			return result
		}
		select {
		case <-changed:
		case <-timer.C:
			return result
		case <-ctx.Done():
			return result
		}
	}
}

// finish delivers a result, or sends the leg on when the VM that was asked named another owner. Such a leg certainly
// did not run. named is where that owner is, nil when the VM that was asked did not tell.
func (d *dispatcher) finish(p *pending, result core.AttemptResult, named *core.VM) {
	if result.Code != core.CodeNotOwner {
		p.deliver(result)
		return
	}
	d.hints.forget(p.leg.Upstream, p.vm.Name)
	if result.Owner == "" {
		// The VM that was asked knows no better one; the own belief may have changed since the leg was sent.
		result.Owner = d.State.Load().Ownership.Owner.Value(p.leg.Upstream)
	}
	if result.Owner == "" || result.Owner == p.vm.Name || p.follows >= d.settings.MaxFollows || p.ctx.Err() != nil {
		p.deliver(result)
		return
	}
	owner := located(d.State.Load(), result.Owner)
	if owner.PeerAddress == "" && named != nil {
		owner = *named
	}
	// A VM that is leaving may still hold the upstream, but must not be asked by later sub-requests.
	if owner.State == core.VMLive && owner.PeerAddress != "" {
		d.hints.store(p.leg.Upstream, owner, d.Clock.Now().Add(time.Duration(d.settings.HintMS)*time.Millisecond))
	}
	d.route(p.ctx, []core.Attempt{p.leg}, &owner, p.follows+1, p.deliver)
}

func (d *dispatcher) sendRemote(ctx context.Context, vm core.VM, legs []core.Attempt, follows int, deliver func(core.AttemptResult)) {
	for i := range legs {
		d.pending.Store(legs[i].ID.Sequence, &pending{ctx: ctx, leg: legs[i], vm: vm, follows: follows, deliver: deliver})
	}
	if err := d.Peers.Send(ctx, vm, encodeLegs(legs)); err != nil {
		for i := range legs {
			if _, open := d.pending.LoadAndDelete(legs[i].ID.Sequence); open {
				notDelivered(legs[i:i+1], deliver)
			}
		}
		return
	}
	context.AfterFunc(ctx, func() { d.forget(vm, legs) })
}

func notDelivered(legs []core.Attempt, deliver func(core.AttemptResult)) {
	for i := range legs {
		deliver(core.AttemptResult{Attempt: legs[i].ID, Outcome: core.OutcomeNotRun, Code: core.CodeUnreachable})
	}
}

// forget cancels the attempts that are still open when the query ends.
func (d *dispatcher) forget(vm core.VM, legs []core.Attempt) {
	open := make([]core.Attempt, 0, len(legs))
	for i := range legs {
		if _, ok := d.pending.LoadAndDelete(legs[i].ID.Sequence); ok {
			open = append(open, legs[i])
		}
	}
	d.sendCancel(vm, open)
}

// Cancel implements kinds.Dispatcher.
func (d *dispatcher) Cancel(legs []core.Attempt) {
	remote := make(map[core.VMName][]core.Attempt)
	for _, leg := range legs {
		if cancel, ok := d.local.Load(leg.ID.Sequence); ok {
			cancel.(context.CancelFunc)()
			continue
		}
		if p, ok := d.pending.Load(leg.ID.Sequence); ok {
			owner := p.(*pending).vm.Name
			remote[owner] = append(remote[owner], leg)
		}
	}
	for owner, group := range remote {
		if vm := d.State.Load().Members.Find(owner); vm != nil {
			d.sendCancel(*vm, group)
		}
	}
}

func (d *dispatcher) sendCancel(vm core.VM, legs []core.Attempt) {
	if len(legs) == 0 {
		return
	}
	m := cancelMessage{From: d.Identity.VM, Started: d.Identity.Incarnation}
	for i := range legs {
		m.Sequences = append(m.Sequences, legs[i].ID.Sequence)
	}
	// A lost cancellation only costs work: the upstream ends the attempt at its deadline.
	_ = d.Peers.Send(d.base, vm, m)
}

func (d *dispatcher) onLegs(from core.VM, message kinds.Message) {
	m := message.(*legsMessage)
	for i := range m.Legs {
		leg := m.leg(i)
		key := running{vm: leg.ID.VM, started: leg.ID.Incarnation, sequence: leg.ID.Sequence}
		ctx, cancel := context.WithDeadline(d.base, leg.NotAfter)
		if _, doubled := d.running.LoadOrStore(key, cancel); doubled {
			cancel()
			continue
		}
		begun := d.work.Go(func() {
			defer cancel()
			result := d.execute(ctx, leg)
			d.running.Delete(key)
			// A lost result looks like a late one to the other VM.
			_ = d.Peers.Send(d.base, from, resultsMessage{Started: m.Started, Results: []wireResult{d.encode(result)}})
		})
		if !begun {
			d.running.Delete(key)
			cancel()
			d.refuse(from, m.Started, &leg)
		}
	}
}

// encode returns a result for another VM. A refusal tells where the owner is.
func (d *dispatcher) encode(result core.AttemptResult) wireResult {
	wire := encodeResult(result)
	if result.Code == core.CodeNotOwner && result.Owner != "" {
		wire.OwnerVM = d.State.Load().Members.Find(result.Owner)
	}
	return wire
}

// refuse answers a leg that arrived while this VM stops, and names the VM that took over if it is known. The refusal is
// lost when the link has ended already; the other VM then treats the leg as one whose outcome is unknown.
func (d *dispatcher) refuse(to core.VM, started core.Incarnation, leg *core.Attempt) {
	result := core.AttemptResult{Attempt: leg.ID, Outcome: core.OutcomeNotRun, Code: core.CodeNotOwner}
	if owner := d.State.Load().Ownership.Owner.Value(leg.Upstream); owner != d.Identity.VM {
		result.Owner = owner
	}
	go func() {
		_ = d.Peers.Send(d.base, to, resultsMessage{Started: started, Results: []wireResult{d.encode(result)}})
	}()
}

func (d *dispatcher) onResults(_ core.VM, message kinds.Message) {
	m := message.(*resultsMessage)
	if m.Started != d.Identity.Incarnation {
		return
	}
	for i := range m.Results {
		value, ok := d.pending.LoadAndDelete(m.Results[i].Sequence)
		if !ok {
			continue
		}
		p := value.(*pending)
		d.finish(p, m.Results[i].result(p.leg.ID), m.Results[i].OwnerVM)
	}
}

func (d *dispatcher) onCancel(_ core.VM, message kinds.Message) {
	m := message.(*cancelMessage)
	for _, sequence := range m.Sequences {
		if cancel, ok := d.running.Load(running{vm: m.From, started: m.Started, sequence: sequence}); ok {
			cancel.(context.CancelFunc)()
		}
	}
}
