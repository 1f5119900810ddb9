// Package static is the plug-in that reads the member list from the settings.
package static

import (
	"cmp"
	"context"
	"slices"

	"go.uber.org/fx"

	"gooseberrylane.example/coord/ownership"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.MembershipKind, Name: "static",
		Settings: func() any { return &Settings{} },
		Options: func(s any) fx.Option {
			return fx.Provide(func(lc fx.Lifecycle, p params) kinds.Membership { return newMembership(lc, p, s.(*Settings)) })
		},
	})
}

// Settings of the plug-in.
type Settings struct {
	// Members lists the other VMs.
	Members []Member `json:"members" validate:"dive"`
}

// Member is one VM.
type Member struct {
	Name          string `json:"name" validate:"required"`
	FailureDomain string `json:"failure_domain" validate:"required"`
	PeerAddress   string `json:"peer_address" validate:"required,hostname_port"`
}

type params struct {
	fx.In
	State *kernel.State
	// Peers is a dependency so that the view holds the address of this VM before the members are published.
	Peers         kinds.Peers
	Configuration kinds.Configuration
}

type membership struct {
	params
	settings *Settings
	stop     context.CancelFunc
	done     chan struct{}
}

func newMembership(lc fx.Lifecycle, p params, settings *Settings) kinds.Membership {
	m := &membership{params: p, settings: settings, done: make(chan struct{})}
	lc.Append(fx.Hook{OnStart: m.start, OnStop: func(context.Context) error {
		m.stop()
		<-m.done
		return nil
	}})
	return m
}

func (m *membership) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	m.publish()
	go m.follow(ctx)
	return nil
}

func (m *membership) follow(ctx context.Context) {
	defer close(m.done)
	revision := m.State.Load().Config.Revision
	for {
		changed := m.State.Changed()
		if now := m.State.Load().Config.Revision; now != revision {
			revision = now
			m.publish()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (m *membership) publish() {
	m.State.Update(func(v *core.View) {
		self := v.Members.Self
		all := []core.VM{self}
		for _, member := range m.settings.Members {
			if core.VMName(member.Name) != self.Name {
				all = append(all, core.VM{
					Name: core.VMName(member.Name), Domain: core.FailureDomain(member.FailureDomain), PeerAddress: member.PeerAddress,
				})
			}
		}
		slices.SortFunc(all, func(a, b core.VM) int { return cmp.Compare(a.Name, b.Name) })
		v.Members = &core.Members{Self: self, All: all}
		v.Ownership = ownership.Assign(v.Config, v.Members)
		// Ready is set together with Ownership: a VM that is ready without it reports every shard as unreachable.
		v.Ready = v.Config.Revision > 0
	})
}

// Leave implements kinds.Membership. A static list cannot change.
func (m *membership) Leave(context.Context) error { return nil }
