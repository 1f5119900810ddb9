// Package owner is the plug-in that sends attempts to the VMs that own their upstreams.
package owner

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"go.uber.org/fx"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
	"gooseberrylane.example/plugins/internal/work"
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
	// MoveWaitMS limits the wait of a sub-request at a VM that is taking over its upstream, in milliseconds. Default 1000.
	MoveWaitMS int64 `json:"move_wait_ms" validate:"gte=0,lte=60000"`
	// MaxFollows limits how often a sub-request that is refused with not_owner is sent on to the VM that the refusal
	// names. Default 4.
	MaxFollows int `json:"max_follows" validate:"gte=0,lte=16"`
	// HintMS is how long the VM that a refusal names is assumed to be the owner, in milliseconds. Default 1000.
	HintMS int64 `json:"hint_ms" validate:"gte=0,lte=60000"`
}

type params struct {
	fx.In
	State    *kernel.State
	Identity kernel.Identity
	Clock    kernel.Clock
	Log      *slog.Logger
	Executor kinds.Executor
	Peers    kinds.Peers
}

// pendingAttempt is an attempt that was sent to another VM.
type pendingAttempt struct {
	ctx     context.Context
	attempt core.Attempt
	vm      core.VM
	// follows is how often the attempt was sent on after a not_owner refusal.
	follows int
	deliver func(core.AttemptResult)
}

// runningKey identifies an attempt that this VM runs for another VM.
type runningKey struct {
	vm          core.VMName
	incarnation core.Incarnation
	sequence    uint64
}

type dispatcher struct {
	params
	// pending maps the sequence number of an attempt sent to another VM to *pendingAttempt.
	pending sync.Map
	// running maps each runningKey to the cancel function of the attempt.
	running sync.Map
	// local maps the sequence number of an attempt of this VM on its own upstreams to its cancel function.
	local    sync.Map
	hints    hints
	settings *Settings
	// base is cancelled when the dispatcher stops.
	base   context.Context
	cancel context.CancelFunc
	work   *work.Group
}

func newDispatcher(lc fx.Lifecycle, p params, settings *Settings) kinds.Dispatcher {
	d := &dispatcher{params: p, settings: settings, work: work.NewGroup()}
	d.base, d.cancel = context.WithCancel(context.Background())
	p.Peers.Handle(attemptsMessage{}, d.onAttempts)
	p.Peers.Handle(resultsMessage{}, d.onResults)
	p.Peers.Handle(cancelMessage{}, d.onCancel)
	p.Peers.OnLinkDown(d.onLinkDown)
	lc.Append(fx.Hook{OnStop: d.shutdown})
	return d
}

// shutdown waits until the running attempts have ended, or until ctx ends.
func (d *dispatcher) shutdown(ctx context.Context) error {
	defer d.cancel()
	return d.work.Stop(ctx)
}

// Send implements kinds.Dispatcher.
func (d *dispatcher) Send(ctx context.Context, attempts []core.Attempt, deliver func(core.AttemptResult)) {
	d.route(ctx, attempts, nil, 0, deliver)
}

// route sends attempts to via if it is set, and otherwise to the VM that each attempt names or to the assumed owner of its
// upstream.
func (d *dispatcher) route(ctx context.Context, attempts []core.Attempt, via *core.VM, follows int, deliver func(core.AttemptResult)) {
	view := d.State.Load()
	remote := make(map[core.VM][]core.Attempt)
	for _, attempt := range attempts {
		owner := d.target(view, &attempt, via)
		switch {
		case owner.Name == d.Identity.VM:
			d.runLocal(ctx, attempt, follows, deliver)
		case owner.PeerAddress == "":
			deliverUnreachable([]core.Attempt{attempt}, deliver)
		default:
			remote[owner] = append(remote[owner], attempt)
		}
	}
	for owner, group := range remote {
		d.sendRemote(ctx, owner, group, follows, deliver)
	}
}

// target returns the VM to send an attempt to.
func (d *dispatcher) target(view *core.View, attempt *core.Attempt, via *core.VM) core.VM {
	switch {
	case via != nil:
		return *via
	case attempt.Via != "":
		return findVM(view, attempt.Via)
	default:
		return d.hints.owner(d.Clock.Now(), attempt.Upstream, view)
	}
}

// runLocal runs an attempt on an upstream of this VM in the background.
func (d *dispatcher) runLocal(ctx context.Context, attempt core.Attempt, follows int, deliver func(core.AttemptResult)) {
	attemptCtx, cancel := kernel.WithDeadline(ctx, d.Clock, attempt.NotAfter)
	d.local.Store(attempt.ID.Sequence, cancel)
	started := d.work.Go(func() {
		result := d.protectedExecute(attemptCtx, attempt)
		d.local.Delete(attempt.ID.Sequence)
		cancel()
		p := &pendingAttempt{ctx: ctx, attempt: attempt, vm: core.VM{Name: d.Identity.VM}, follows: follows, deliver: deliver}
		d.finish(p, result, nil)
	})
	if !started {
		d.local.Delete(attempt.ID.Sequence)
		cancel()
		deliver(core.AttemptResult{Attempt: attempt.ID, Outcome: core.OutcomeNotRun, Code: core.CodeNotOwner})
	}
}

// protectedExecute is execute and turns a panic into an unknown outcome.
func (d *dispatcher) protectedExecute(ctx context.Context, attempt core.Attempt) core.AttemptResult {
	result := core.AttemptResult{Attempt: attempt.ID, Outcome: core.OutcomeUnknown, Code: core.CodeInternal}
	_ = kernel.Protect(d.Log, "attempt", func() { result = d.execute(ctx, attempt) })
	return result
}

// execute runs an attempt on this VM. It waits, up to MoveWaitMS, while this VM is the owner but does not hold the
// upstream yet.
func (d *dispatcher) execute(ctx context.Context, attempt core.Attempt) core.AttemptResult {
	timer := time.NewTimer(time.Duration(d.settings.MoveWaitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		changed := d.State.Changed()
		result := d.Executor.Execute(ctx, attempt)
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

// finish delivers a result, or sends the attempt on if the answering VM refused it with not_owner and another owner is
// assumed. A refused attempt has not run. ownerVM is the member entry that the refusal includes for the owner, or nil.
func (d *dispatcher) finish(p *pendingAttempt, result core.AttemptResult, ownerVM *core.VM) {
	if result.Code != core.CodeNotOwner {
		p.deliver(result)
		return
	}
	d.hints.forget(p.attempt.Upstream, p.vm.Name)
	if result.Owner == "" {
		// The refusal names no owner; the published ownership may have changed since the attempt was sent.
		result.Owner = d.State.Load().Ownership.Owner.Value(p.attempt.Upstream)
	}
	if result.Owner == "" || result.Owner == p.vm.Name || p.follows >= d.settings.MaxFollows || p.ctx.Err() != nil {
		p.deliver(result)
		return
	}
	owner := findVM(d.State.Load(), result.Owner)
	if owner.PeerAddress == "" && ownerVM != nil {
		owner = *ownerVM
	}
	// A VM that is leaving may still hold the upstream, but later attempts must not be sent to it.
	if owner.State == core.VMLive && owner.PeerAddress != "" {
		d.hints.store(p.attempt.Upstream, owner, d.Clock.Now().Add(time.Duration(d.settings.HintMS)*time.Millisecond))
	}
	d.route(p.ctx, []core.Attempt{p.attempt}, &owner, p.follows+1, p.deliver)
}

// sendRemote sends attempts to a VM, and cancels those without a result when ctx ends.
func (d *dispatcher) sendRemote(ctx context.Context, vm core.VM, attempts []core.Attempt, follows int, deliver func(core.AttemptResult)) {
	for i := range attempts {
		d.pending.Store(attempts[i].ID.Sequence, &pendingAttempt{ctx: ctx, attempt: attempts[i], vm: vm, follows: follows, deliver: deliver})
	}
	if err := d.Peers.Send(ctx, vm, encodeAttempts(attempts)); err != nil {
		for i := range attempts {
			if _, open := d.pending.LoadAndDelete(attempts[i].ID.Sequence); open {
				deliverUnreachable(attempts[i:i+1], deliver)
			}
		}
		return
	}
	context.AfterFunc(ctx, func() { d.cancelOpen(vm, attempts) })
}

func deliverUnreachable(attempts []core.Attempt, deliver func(core.AttemptResult)) {
	for i := range attempts {
		deliver(core.AttemptResult{Attempt: attempts[i].ID, Outcome: core.OutcomeNotRun, Code: core.CodeUnreachable})
	}
}

// cancelOpen drops the attempts without a result when the query ends, and cancels them at the owner.
func (d *dispatcher) cancelOpen(vm core.VM, attempts []core.Attempt) {
	open := make([]core.Attempt, 0, len(attempts))
	for i := range attempts {
		if _, ok := d.pending.LoadAndDelete(attempts[i].ID.Sequence); ok {
			open = append(open, attempts[i])
		}
	}
	d.sendCancel(vm, open)
}

// Cancel implements kinds.Dispatcher.
func (d *dispatcher) Cancel(attempts []core.Attempt) {
	remote := make(map[core.VM][]core.Attempt)
	for _, attempt := range attempts {
		if cancel, ok := d.local.Load(attempt.ID.Sequence); ok {
			cancel.(context.CancelFunc)()
			continue
		}
		if p, ok := d.pending.Load(attempt.ID.Sequence); ok {
			// The member list may not contain an owner that a refusal named.
			owner := p.(*pendingAttempt).vm
			remote[owner] = append(remote[owner], attempt)
		}
	}
	for owner, group := range remote {
		if vm := d.State.Load().Members.Find(owner.Name); vm != nil {
			owner = *vm
		}
		d.sendCancel(owner, group)
	}
}

func (d *dispatcher) sendCancel(vm core.VM, attempts []core.Attempt) {
	if len(attempts) == 0 {
		return
	}
	m := cancelMessage{From: d.Identity.VM, Incarnation: d.Identity.Incarnation}
	for i := range attempts {
		m.Sequences = append(m.Sequences, attempts[i].ID.Sequence)
	}
	// A lost cancellation only wastes work: the upstream ends the attempt at its deadline.
	_ = d.Peers.Send(d.base, vm, m)
}

func (d *dispatcher) onAttempts(from core.VM, message kinds.Message) {
	m := message.(*attemptsMessage)
	for i := range m.Attempts {
		attempt := m.attempt(i)
		key := runningKey{vm: attempt.ID.VM, incarnation: attempt.ID.Incarnation, sequence: attempt.ID.Sequence}
		ctx, cancel := kernel.WithDeadline(d.base, d.Clock, attempt.NotAfter)
		if _, duplicate := d.running.LoadOrStore(key, cancel); duplicate {
			cancel()
			continue
		}
		started := d.work.Go(func() {
			defer cancel()
			result := d.protectedExecute(ctx, attempt)
			d.running.Delete(key)
			// The requesting VM treats a lost result like a late one.
			_ = d.Peers.Send(d.base, from, resultsMessage{Incarnation: m.Incarnation, Results: []wireResult{d.encode(result)}})
		})
		if !started {
			d.running.Delete(key)
			cancel()
			d.refuse(from, m.Incarnation, &attempt)
		}
	}
}

// encode returns the wire form of a result. A not_owner refusal includes the member entry of the owner if there is one.
func (d *dispatcher) encode(result core.AttemptResult) wireResult {
	wire := encodeResult(result)
	if result.Code == core.CodeNotOwner && result.Owner != "" {
		wire.OwnerVM = d.State.Load().Members.Find(result.Owner)
	}
	return wire
}

// refuse refuses an attempt that arrived while this VM is stopping, and names the new owner if there is one. If the
// link is already down, the refusal is lost and the requesting VM treats the outcome as unknown.
func (d *dispatcher) refuse(to core.VM, incarnation core.Incarnation, attempt *core.Attempt) {
	result := core.AttemptResult{Attempt: attempt.ID, Outcome: core.OutcomeNotRun, Code: core.CodeNotOwner}
	if owner := d.State.Load().Ownership.Owner.Value(attempt.Upstream); owner != d.Identity.VM {
		result.Owner = owner
	}
	go func() {
		_ = d.Peers.Send(d.base, to, resultsMessage{Incarnation: incarnation, Results: []wireResult{d.encode(result)}})
	}()
}

func (d *dispatcher) onResults(_ core.VM, message kinds.Message) {
	m := message.(*resultsMessage)
	if m.Incarnation != d.Identity.Incarnation {
		return
	}
	for i := range m.Results {
		value, ok := d.pending.LoadAndDelete(m.Results[i].Sequence)
		if !ok {
			continue
		}
		p := value.(*pendingAttempt)
		d.finish(p, m.Results[i].result(p.attempt.ID), m.Results[i].OwnerVM)
	}
}

func (d *dispatcher) onCancel(_ core.VM, message kinds.Message) {
	m := message.(*cancelMessage)
	for _, sequence := range m.Sequences {
		if cancel, ok := d.running.Load(runningKey{vm: m.From, incarnation: m.Incarnation, sequence: sequence}); ok {
			cancel.(context.CancelFunc)()
		}
	}
}
