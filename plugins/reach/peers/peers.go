// Package peers is the plug-in that finds out which failure domains are cut off from this VM. The VMs of a domain tell each
// other of a cut, so that those without traffic look too: the balancer sends callers to other domains only when no VM of
// this one is ready.
package peers

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"go.uber.org/fx"

	"gooseberrylane.example/coord/reach"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.ReachKind, Name: "peers",
		Settings: func() any {
			return &Settings{Tracker: reach.Defaults(), PeriodMS: defaultPeriodMS, ProbeMS: defaultProbeMS}
		},
		Options: func(s any) fx.Option {
			return fx.Provide(func(lc fx.Lifecycle, p params) kinds.Reach {
				r := newReach(p, s.(*Settings))
				lc.Append(fx.Hook{OnStart: r.start, OnStop: r.shutdown})
				return r
			})
		},
	})
}

const (
	defaultPeriodMS = 250
	defaultProbeMS  = 300
	// probesPerDomain is how many upstreams of a domain must all be out of reach.
	probesPerDomain = 3
)

// Settings of the plug-in.
type Settings struct {
	// Tracker rules when a failure domain counts as cut off.
	Tracker reach.Settings `json:"tracker"`
	// PeriodMS is the time between two looks at the failure domains, in milliseconds. Default 250.
	PeriodMS int64 `json:"period_ms" validate:"gte=10,lte=60000"`
	// ProbeMS is how long a probe waits for a connection, in milliseconds. Default 300.
	ProbeMS int64 `json:"probe_ms" validate:"gte=1,lte=60000"`
}

type params struct {
	fx.In
	State    *kernel.State
	Clock    kernel.Clock
	Random   *kernel.Random
	Log      *slog.Logger
	Identity kernel.Identity
	Peers    kinds.Peers
}

// lostMessage tells the VMs of the own failure domain that another one is cut off.
type lostMessage struct {
	_      struct{} `cbor:",toarray"`
	Domain core.FailureDomain
}

// MessageName implements kinds.Message.
func (lostMessage) MessageName() string { return "domain_lost" }

type tracker struct {
	params
	*reach.Tracker
	settings *Settings
	stop     context.CancelFunc
	done     sync.WaitGroup
	// told holds the domains that other VMs say are cut off.
	told   chan core.FailureDomain
	random *rand.Rand
	// lost holds the domains that counted as cut off at the last look. Only the loop uses it.
	lost map[core.FailureDomain]bool
}

func newReach(p params, settings *Settings) *tracker {
	r := &tracker{
		params: p, Tracker: reach.New(settings.Tracker), settings: settings, told: make(chan core.FailureDomain, 1),
		random: p.Random.Generator(), lost: make(map[core.FailureDomain]bool),
	}
	p.Peers.Handle(lostMessage{}, func(_ core.VM, m kinds.Message) {
		select {
		case r.told <- m.(*lostMessage).Domain:
		default:
			// A look at one domain waits already; the other VM tells again.
		}
	})
	return r
}

// RecordRequest implements kinds.Reach.
func (r *tracker) RecordRequest(domain core.FailureDomain) {
	r.Tracker.RecordRequest(r.Clock.Now(), domain)
}

// IsUnreachable implements kinds.Reach.
func (r *tracker) IsUnreachable(domain core.FailureDomain) bool {
	return domain != r.Identity.Domain && r.Tracker.IsUnreachable(r.Clock.Now(), domain)
}

// Isolated implements kinds.Reach.
func (r *tracker) Isolated() bool {
	others := r.otherDomains()
	for domain := range others {
		if !r.IsUnreachable(domain) {
			return false
		}
	}
	return len(others) > 0
}

// otherDomains returns the upstreams of the other failure domains.
func (r *tracker) otherDomains() map[core.FailureDomain][]string {
	addresses := make(map[core.FailureDomain][]string)
	registered := r.State.Load().Registered
	if registered == nil {
		return addresses
	}
	for _, group := range registered.Groups {
		for i := range group.Upstreams {
			if u := &group.Upstreams[i]; u.Domain != r.Identity.Domain {
				addresses[u.Domain] = append(addresses[u.Domain], u.Address)
			}
		}
	}
	return addresses
}

func (r *tracker) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	r.done.Go(func() { r.loop(ctx) })
	return nil
}

func (r *tracker) shutdown(context.Context) error {
	r.stop()
	r.done.Wait()
	return nil
}

func (r *tracker) loop(ctx context.Context) {
	ticker := time.NewTicker(time.Duration(r.settings.PeriodMS) * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.look(ctx)
		case domain := <-r.told:
			if !r.IsUnreachable(domain) && r.silent(ctx, domain) {
				r.MarkUnreachable(r.Clock.Now(), domain)
			}
		case <-ctx.Done():
			return
		}
	}
}

// look logs what changed, tells the VMs of the own domain of a cut, and probes domains that are cut off.
func (r *tracker) look(ctx context.Context) {
	for domain := range r.otherDomains() {
		lost := r.IsUnreachable(domain)
		if lost != r.lost[domain] {
			r.Log.Warn("domain_reach_changed", "domain", string(domain), "lost", lost)
			if lost {
				r.tell(domain)
			}
		}
		r.lost[domain] = lost
		if lost && !r.silent(ctx, domain) {
			r.RecordResponse(domain)
		}
	}
}

// tell asks the VMs of the own domain to look too.
func (r *tracker) tell(domain core.FailureDomain) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(r.settings.PeriodMS)*time.Millisecond)
	defer cancel()
	members := r.State.Load().Members
	for i := range members.All {
		vm := members.All[i]
		if vm.Domain != r.Identity.Domain || vm.Name == r.Identity.VM {
			continue
		}
		if err := r.Peers.Send(ctx, vm, lostMessage{Domain: domain}); err != nil {
			r.Log.Info("domain_lost_undelivered", "peer", string(vm.Name), "error", err.Error())
		}
	}
}

// silent reports whether no connection can be opened to a few upstreams of a domain. A refused connection is an answer.
func (r *tracker) silent(ctx context.Context, domain core.FailureDomain) bool {
	addresses := r.otherDomains()[domain]
	if len(addresses) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.settings.ProbeMS)*time.Millisecond)
	defer cancel()
	results := make(chan bool, probesPerDomain)
	for range probesPerDomain {
		address := addresses[r.random.IntN(len(addresses))]
		go func() { results <- answers(ctx, address) }()
	}
	for range probesPerDomain {
		if <-results {
			return false
		}
	}
	return true
}

// answers reports whether something at an address accepts or refuses a connection.
func answers(ctx context.Context, address string) bool {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return ctx.Err() == nil
	}
	// Nothing was sent on the connection.
	_ = c.Close()
	return true
}
