// Package owner is the plug-in that brings sub-requests to the VMs that own their upstreams.
package owner

import (
	"context"
	"sync"

	"go.uber.org/fx"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.DispatchKind, Name: "owner",
		Options: func(any) fx.Option { return fx.Provide(newDispatcher) },
	})
}

type params struct {
	fx.In
	State    *kernel.State
	Identity kernel.Identity
	Executor kinds.Executor
	Peers    kinds.Peers
}

// pending is an attempt that was sent to another VM.
type pending struct {
	attempt core.AttemptID
	owner   core.VMName
	deliver func(core.LegResult)
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
	pending sync.Map
	running sync.Map
	local   sync.Map
	// base is cancelled when the dispatcher stops.
	base   context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup
}

func newDispatcher(lc fx.Lifecycle, p params) kinds.Dispatcher {
	d := &dispatcher{params: p}
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
	finished := make(chan struct{})
	go func() {
		d.work.Wait()
		close(finished)
	}()
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Send implements kinds.Dispatcher.
func (d *dispatcher) Send(ctx context.Context, legs []core.Leg, deliver func(core.LegResult)) {
	ownership := d.State.Load().Ownership
	remote := make(map[core.VMName][]core.Leg)
	for _, leg := range legs {
		owner := leg.Via
		if owner == "" {
			owner = ownership.Owner[leg.Upstream]
		}
		switch owner {
		case d.Identity.VM:
			d.runLocal(ctx, leg, deliver)
		case "":
			deliver(core.LegResult{Attempt: leg.Attempt, Outcome: core.OutcomeNotRun, Code: core.CodeUnreachable})
		default:
			remote[owner] = append(remote[owner], leg)
		}
	}
	for owner, group := range remote {
		d.sendRemote(ctx, owner, group, deliver)
	}
}

func (d *dispatcher) runLocal(ctx context.Context, leg core.Leg, deliver func(core.LegResult)) {
	ctx, cancel := context.WithDeadline(ctx, leg.NotAfter)
	d.local.Store(leg.Attempt.Sequence, cancel)
	d.work.Go(func() {
		defer cancel()
		defer d.local.Delete(leg.Attempt.Sequence)
		deliver(d.Executor.Execute(ctx, leg))
	})
}

func (d *dispatcher) sendRemote(ctx context.Context, owner core.VMName, legs []core.Leg, deliver func(core.LegResult)) {
	vm := d.State.Load().Members.Find(owner)
	if vm == nil {
		notDelivered(legs, deliver)
		return
	}
	for i := range legs {
		d.pending.Store(legs[i].Attempt.Sequence, &pending{attempt: legs[i].Attempt, owner: owner, deliver: deliver})
	}
	if err := d.Peers.Send(ctx, *vm, encodeLegs(legs)); err != nil {
		for i := range legs {
			d.pending.Delete(legs[i].Attempt.Sequence)
		}
		notDelivered(legs, deliver)
		return
	}
	context.AfterFunc(ctx, func() { d.forget(*vm, legs) })
}

func notDelivered(legs []core.Leg, deliver func(core.LegResult)) {
	for i := range legs {
		deliver(core.LegResult{Attempt: legs[i].Attempt, Outcome: core.OutcomeNotRun, Code: core.CodeUnreachable})
	}
}

// forget cancels the attempts that are still open when the query ends.
func (d *dispatcher) forget(vm core.VM, legs []core.Leg) {
	open := make([]core.Leg, 0, len(legs))
	for i := range legs {
		if _, ok := d.pending.LoadAndDelete(legs[i].Attempt.Sequence); ok {
			open = append(open, legs[i])
		}
	}
	d.sendCancel(vm, open)
}

// Cancel implements kinds.Dispatcher.
func (d *dispatcher) Cancel(legs []core.Leg) {
	remote := make(map[core.VMName][]core.Leg)
	for _, leg := range legs {
		if cancel, ok := d.local.Load(leg.Attempt.Sequence); ok {
			cancel.(context.CancelFunc)()
			continue
		}
		if p, ok := d.pending.Load(leg.Attempt.Sequence); ok {
			owner := p.(*pending).owner
			remote[owner] = append(remote[owner], leg)
		}
	}
	for owner, group := range remote {
		if vm := d.State.Load().Members.Find(owner); vm != nil {
			d.sendCancel(*vm, group)
		}
	}
}

func (d *dispatcher) sendCancel(vm core.VM, legs []core.Leg) {
	if len(legs) == 0 {
		return
	}
	m := cancelMessage{From: d.Identity.VM, Started: d.Identity.Incarnation}
	for i := range legs {
		m.Sequences = append(m.Sequences, legs[i].Attempt.Sequence)
	}
	// A lost cancellation only costs work: the upstream ends the attempt at its deadline.
	_ = d.Peers.Send(d.base, vm, m)
}

func (d *dispatcher) onLegs(from core.VM, message kinds.Message) {
	m := message.(*legsMessage)
	for i := range m.Legs {
		leg := m.leg(i)
		key := running{vm: leg.Attempt.VM, started: leg.Attempt.Incarnation, sequence: leg.Attempt.Sequence}
		ctx, cancel := context.WithDeadline(d.base, leg.NotAfter)
		if _, doubled := d.running.LoadOrStore(key, cancel); doubled {
			cancel()
			continue
		}
		d.work.Go(func() {
			defer cancel()
			result := d.Executor.Execute(ctx, leg)
			d.running.Delete(key)
			// A lost result looks like a late one to the other VM.
			_ = d.Peers.Send(d.base, from, resultsMessage{Started: m.Started, Results: []wireResult{encodeResult(result)}})
		})
	}
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
		p.deliver(m.Results[i].result(p.attempt))
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

// onLinkDown ends the attempts whose results can no longer be expected from a VM.
func (d *dispatcher) onLinkDown(vm core.VMName) {
	d.pending.Range(func(key, value any) bool {
		p := value.(*pending)
		if p.owner == vm {
			if _, ok := d.pending.LoadAndDelete(key); ok {
				p.deliver(core.LegResult{Attempt: p.attempt, Code: core.CodeConnectionLost})
			}
		}
		return true
	})
}
