// Package heartbeat is the plug-in that maintains the member list and the ownership of upstreams with heartbeats and
// claims between VMs. It drives coord/ownership.
package heartbeat

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"gooseberrylane.example/coord/membership"
	"gooseberrylane.example/coord/ownership"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.MembershipKind, Name: "heartbeat",
		Settings: func() any { return defaults() },
		Options: func(s any) fx.Option {
			return fx.Provide(func(lc fx.Lifecycle, p params) kinds.Membership { return newService(lc, p, s.(*Settings)) })
		},
	})
}

const (
	// eventQueueLength bounds the messages queued for the agent. Further ones are dropped, as on an unreliable network.
	eventQueueLength = 8192
	// ticksPerPeriod is the number of ticks in a heartbeat period.
	ticksPerPeriod = 4
)

type params struct {
	fx.In
	State *kernel.State
	// Peers is a dependency so that the view holds the address of this VM at the start.
	Peers         kinds.Peers
	Executor      kinds.Executor
	Configuration kinds.Configuration
	// Platform is not needed if the settings list the members.
	Platform kinds.Platform `optional:"true"`
	Clock    kernel.Clock
	Random   *kernel.Random
	Log      *slog.Logger
}

// event runs on the event loop and returns the actions to perform.
type event func(now time.Time) ownership.Actions

type service struct {
	params
	settings *Settings
	events   chan event
	dropped  atomic.Uint64
	// After the start, the following fields are used by the event loop only.
	agent *ownership.Agent
	// config and members are the last handled ones.
	config  *core.ConfigSet
	members *core.Members
	// settled stays true once this VM has no open claim or ReadyAfterMS has passed.
	settled bool
	// active and held are the last logged state of the ownership.
	active  bool
	held    int
	leaving bool
	started time.Time
	// agentChanged wakes await, outside the event loop, after a change of the agent.
	agentChanged chan struct{}

	base   context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup
	leave  sync.Once
}

func newService(lc fx.Lifecycle, p params, settings *Settings) *service {
	s := &service{params: p, settings: settings, events: make(chan event, eventQueueLength), agentChanged: make(chan struct{}, 1)}
	s.base, s.cancel = context.WithCancel(context.Background())
	for _, prototype := range prototypes {
		p.Peers.Handle(prototype, s.onMessage)
	}
	p.Peers.OnLinkDown(s.onLinkDown)
	lc.Append(fx.Hook{OnStart: s.start, OnStop: s.stop})
	return s
}

func (s *service) start(context.Context) error {
	s.started = s.Clock.Now()
	// The front ends start later. They must not report ready before the event loop has published the members.
	self := s.State.Update(func(v *core.View) { v.Ready = false }).Members.Self
	lease := core.NewLease(s.started)
	s.agent = ownership.NewAgent(s.settings.membership(), s.settings.ownership(), self, lease, s.Random.Generator(), s.started)
	if len(s.settings.Members) > 0 {
		s.agent.ReplaceList(s.started, s.settings.initialMembers())
	}
	s.work.Go(s.run)
	if s.Platform != nil {
		s.work.Go(s.pollList)
	}
	return nil
}

func (s *service) stop(ctx context.Context) error {
	err := s.Leave(ctx)
	s.cancel()
	s.work.Wait()
	return err
}

// run is the event loop.
func (s *service) run() {
	ticker := time.NewTicker(s.settings.period() / ticksPerPeriod)
	defer ticker.Stop()
	for {
		changed := s.State.Changed()
		if set := s.State.Load().Config; set != s.config {
			s.config = set
			s.perform(s.agent.Configure(s.Clock.Now(), set), true)
		}
		select {
		case e := <-s.events:
			// A message that cannot be handled is dropped.
			_ = kernel.Protect(s.Log, "a message of another VM", func() { s.perform(e(s.Clock.Now()), false) })
		case <-ticker.C:
			s.perform(s.agent.Tick(s.Clock.Now()), true)
		case <-changed:
			// Another plug-in that updates the view may have changed Ready, as catalog/store does.
			if s.State.Load().Ready != (s.settled && !s.leaving) {
				s.publish(false)
			}
		case <-s.base.Done():
			return
		}
	}
}

// noWait makes a send fail immediately when the queue of the link is full.
var noWait = cancelledContext()

func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// perform executes the actions of the agent. The view is published first, so that the executor accepts no work for an
// upstream that is being released. Member states depend on the time, so each tick publishes them if they changed.
func (s *service) perform(a ownership.Actions, tick bool) {
	if tick || a.Changed {
		s.publish(a.Changed)
	}
	for _, id := range a.Release {
		s.work.Go(func() { s.release(id) })
	}
	for _, out := range a.Send {
		// Messages are repeated in the next period, so a failed send is not an error.
		_ = s.Peers.Send(noWait, out.To, encode(out.Message))
	}
	if a.Changed {
		select {
		case s.agentChanged <- struct{}{}:
		default:
		}
	}
}

func (s *service) release(id core.UpstreamID) {
	if err := s.Executor.Release(s.base, id); err != nil {
		return
	}
	s.post(s.base, func(now time.Time) ownership.Actions { return s.agent.Released(now, id) })
}

// post queues an event for the loop and waits while the queue is full. It returns false if ctx ends first.
func (s *service) post(ctx context.Context, e event) bool {
	select {
	case s.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// offer queues an event for the loop, or drops it if the queue is full.
func (s *service) offer(e event) {
	select {
	case s.events <- e:
	default:
		s.dropped.Add(1)
	}
}

func (s *service) onMessage(from core.VM, message kinds.Message) {
	decoded, sender := decode(message)
	if decoded == nil || sender.Name != from.Name {
		return
	}
	s.offer(func(now time.Time) ownership.Actions { return s.agent.Receive(now, decoded) })
}

func (s *service) onLinkDown(down kinds.LinkDown) {
	if down.Refused {
		s.offer(func(now time.Time) ownership.Actions {
			return s.agent.ConnectionRefused(now, down.VM.Name, down.VM.PeerAddress)
		})
	}
}

// membership returns the settings of the member table.
func (s *Settings) membership() membership.Settings {
	return membership.Settings{
		Period: s.period(), SuspectAfter: milliseconds(s.SuspectAfterMS), GoneAfter: milliseconds(s.FenceAfterMS),
		PauseAfter: milliseconds(s.HoldForMS), CrossDomainContacts: s.CrossDomainContacts, RetryGone: retryGonePeriods * s.period(),
		ForgetAfter: milliseconds(s.ForgetAfterMS),
	}
}

// ownership returns the settings of claims.
func (s *Settings) ownership() ownership.Settings {
	return ownership.Settings{
		HoldFor: milliseconds(s.HoldForMS), FenceAfter: milliseconds(s.FenceAfterMS), Retry: s.period() / claimRetriesPerPeriod,
	}
}
