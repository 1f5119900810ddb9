// Package peers is the plug-in that detects which failure domains this VM cannot reach. The VMs of a domain notify each other
// of an unreachable domain, so that those without traffic probe it too: the balancer sends callers to other domains only
// when no VM of this one is ready.
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
			return &Settings{Tracker: reach.Defaults(), PeriodMS: defaultPeriodMS, ProbeTimeoutMS: defaultProbeTimeoutMS}
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
	defaultPeriodMS       = 250
	defaultProbeTimeoutMS = 300
	// probesPerDomain is the number of probes that must all fail before a domain counts as unresponsive.
	probesPerDomain = 3
)

// Settings of the plug-in.
type Settings struct {
	// Tracker holds the settings for when a failure domain counts as unreachable.
	Tracker reach.Settings `json:"tracker"`
	// PeriodMS is the time between two checks of the failure domains, in milliseconds. Default 250.
	PeriodMS int64 `json:"period_ms" validate:"gte=10,lte=60000"`
	// ProbeTimeoutMS is the timeout of a probe for opening a connection, in milliseconds. Default 300.
	ProbeTimeoutMS int64 `json:"probe_ms" validate:"gte=1,lte=60000"`
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

// unreachableMessage notifies the VMs of the own failure domain that another one is unreachable.
type unreachableMessage struct {
	_      struct{} `cbor:",toarray"`
	Domain core.FailureDomain
}

// MessageName implements kinds.Message.
func (unreachableMessage) MessageName() string { return "domain_lost" }

type tracker struct {
	params
	*reach.Tracker
	settings *Settings
	stop     context.CancelFunc
	done     sync.WaitGroup
	reports  reports
	random   *rand.Rand
	// wasUnreachable is true for domains that were unreachable at the last check. It is used only by loop.
	wasUnreachable map[core.FailureDomain]bool
}

func newReach(p params, settings *Settings) *tracker {
	r := &tracker{
		params: p, Tracker: reach.New(settings.Tracker), settings: settings, reports: newReports(),
		random: p.Random.Generator(), wasUnreachable: make(map[core.FailureDomain]bool),
	}
	p.Peers.Handle(unreachableMessage{}, func(_ core.VM, m kinds.Message) {
		r.reports.add(m.(*unreachableMessage).Domain)
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
	addresses := r.remoteAddresses()
	for domain := range addresses {
		if !r.IsUnreachable(domain) {
			return false
		}
	}
	return len(addresses) > 0
}

// remoteAddresses returns the addresses of the upstreams in the other failure domains.
func (r *tracker) remoteAddresses() map[core.FailureDomain][]string {
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
			// A panic is logged, and the next tick checks again.
			_ = kernel.Protect(r.Log, "check of failure domains", func() { r.checkDomains(ctx) })
		case <-r.reports.ready:
			_ = kernel.Protect(r.Log, "probe of failure domains", func() { r.probeReported(ctx) })
		case <-ctx.Done():
			return
		}
	}
}

// probeReported probes the failure domains that other VMs reported as unreachable.
func (r *tracker) probeReported(ctx context.Context) {
	for domain := range r.reports.take() {
		if !r.IsUnreachable(domain) && r.unresponsive(ctx, domain) {
			r.MarkUnreachable(r.Clock.Now(), domain)
		}
	}
}

// checkDomains logs changes, notifies the VMs of the own domain of newly unreachable domains, and probes unreachable domains.
func (r *tracker) checkDomains(ctx context.Context) {
	for domain := range r.remoteAddresses() {
		unreachable := r.IsUnreachable(domain)
		if unreachable != r.wasUnreachable[domain] {
			r.Log.Warn("domain_reach_changed", "domain", string(domain), "lost", unreachable)
			if unreachable {
				r.notifyPeers(domain)
			}
		}
		r.wasUnreachable[domain] = unreachable
		if unreachable && !r.unresponsive(ctx, domain) {
			r.RecordResponse(domain)
		}
	}
}

// notifyPeers notifies the VMs of the own domain that another domain is unreachable, so that they probe it.
func (r *tracker) notifyPeers(domain core.FailureDomain) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(r.settings.PeriodMS)*time.Millisecond)
	defer cancel()
	members := r.State.Load().Members
	for i := range members.All {
		vm := members.All[i]
		if vm.Domain != r.Identity.Domain || vm.Name == r.Identity.VM {
			continue
		}
		if err := r.Peers.Send(ctx, vm, unreachableMessage{Domain: domain}); err != nil {
			r.Log.Info("domain_lost_undelivered", "peer", string(vm.Name), "error", err.Error())
		}
	}
}

// unresponsive reports whether no connection can be opened to a few upstreams of a domain. A refused connection counts as a
// response.
func (r *tracker) unresponsive(ctx context.Context, domain core.FailureDomain) bool {
	addresses := r.remoteAddresses()[domain]
	if len(addresses) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.settings.ProbeTimeoutMS)*time.Millisecond)
	defer cancel()
	results := make(chan bool, probesPerDomain)
	for range probesPerDomain {
		address := addresses[r.random.IntN(len(addresses))]
		go func() { results <- responds(ctx, address) }()
	}
	for range probesPerDomain {
		if <-results {
			return false
		}
	}
	return true
}

// responds reports whether a connection to an address is accepted or refused.
func responds(ctx context.Context, address string) bool {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return ctx.Err() == nil
	}
	// No data was sent, so a failed close has no effect.
	_ = c.Close()
	return true
}
