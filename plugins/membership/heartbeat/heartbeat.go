// Package heartbeat is the plug-in that keeps the members and the ownership of upstreams by heartbeats and claims
// between VMs. It drives coord/ownership.
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
	// eventsWaiting bounds the messages that wait for the agent. Further ones are dropped, as a network may do.
	eventsWaiting = 8192
	// ticksPerPeriod is the number of ticks in a heartbeat period.
	ticksPerPeriod = 4
)

type params struct {
	fx.In
	State *kernel.State
	// Peers starts earlier and publishes the own address.
	Peers         kinds.Peers
	Executor      kinds.Executor
	Configuration kinds.Configuration
	// Platform may be missing when the settings name the members.
	Platform kinds.Platform `optional:"true"`
	Clock    kernel.Clock
	Random   *kernel.Random
	Log      *slog.Logger
}

// event is handled by the loop. It returns what to do.
type event func(now time.Time) ownership.Actions

type service struct {
	params
	settings *Settings
	events   chan event
	dropped  atomic.Uint64
	// The loop alone uses the following fields after the start.
	agent    *ownership.Agent
	config   *core.ConfigSet
	members  *core.Members
	settled  bool
	active   bool
	held     int
	leaving  bool
	started  time.Time
	progress chan struct{}

	base   context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup
	leave  sync.Once
}

func newService(lc fx.Lifecycle, p params, settings *Settings) *service {
	s := &service{params: p, settings: settings, events: make(chan event, eventsWaiting), progress: make(chan struct{}, 1)}
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
	// The front ends start later, and must not be ready before the loop has run.
	self := s.State.Update(func(v *core.View) { v.Ready = false }).Members.Self
	hold := core.NewLease(s.started)
	s.agent = ownership.NewAgent(s.settings.members(), s.settings.claims(), self, hold, s.Random.Generator(), s.started)
	if len(s.settings.Members) > 0 {
		s.agent.ReplaceList(s.started, s.settings.seeds())
	}
	s.work.Go(s.run)
	if s.Platform != nil {
		s.work.Go(s.followList)
	}
	return nil
}

func (s *service) stop(ctx context.Context) error {
	err := s.Leave(ctx)
	s.cancel()
	s.work.Wait()
	return err
}

// run handles one event after the other.
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
			s.perform(e(s.Clock.Now()), false)
		case <-ticker.C:
			s.perform(s.agent.Tick(s.Clock.Now()), true)
		case <-changed:
			// The configuration may have set the VM ready before it knows its members.
			if s.State.Load().Ready != (s.settled && !s.leaving) {
				s.publish(false)
			}
		case <-s.base.Done():
			return
		}
	}
}

// noWait makes a send fail at once when the queue of the link is full.
var noWait = endedContext()

func endedContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// perform does what the agent asks for. The view is published first, so that the executor takes no work for an
// upstream that is being released. Member states change with time, so they are compared at each tick.
func (s *service) perform(a ownership.Actions, tick bool) {
	if tick || a.Changed {
		s.publish(a.Changed)
	}
	for _, id := range a.Release {
		s.work.Go(func() { s.release(id) })
	}
	for _, out := range a.Send {
		// Messages are sent again in the next period, so a failed send is not an error.
		_ = s.Peers.Send(noWait, out.To, encode(out.Message))
	}
	if a.Changed {
		select {
		case s.progress <- struct{}{}:
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

// post hands an event to the loop and waits for room.
func (s *service) post(ctx context.Context, e event) bool {
	select {
	case s.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// offer hands an event to the loop unless too many wait.
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
		s.offer(func(now time.Time) ownership.Actions { return s.agent.Refused(now, down.VM.Name, down.VM.PeerAddress) })
	}
}

// members returns the timing of the member table.
func (s *Settings) members() membership.Settings {
	return membership.Settings{
		Period: s.period(), SuspectAfter: milliseconds(s.SuspectAfterMS), GoneAfter: milliseconds(s.FenceAfterMS),
		PauseAfter: milliseconds(s.HoldForMS), CrossDomainContacts: s.Across, RetryGone: retryGonePeriods * s.period(),
		ForgetAfter: milliseconds(s.ForgetAfterMS),
	}
}

// claims returns the timing of claims.
func (s *Settings) claims() ownership.Settings {
	return ownership.Settings{
		HoldFor: milliseconds(s.HoldForMS), FenceAfter: milliseconds(s.FenceAfterMS), Retry: s.period() / claimsPerPeriod,
	}
}
