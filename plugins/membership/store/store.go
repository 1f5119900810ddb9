// Package store is the plug-in that finds the other VMs by the entries that each VM writes to the platform's store. It costs
// the store one write a start and a watch that waits; whether a VM answers is learned from the links to it.
package store

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/fx"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.MembershipKind, Name: "store",
		Settings: func() any {
			return &Settings{WatchMS: defaultWatchMS, GatherMS: defaultGatherMS, RetryMS: defaultRetryMS}
		},
		Options: func(s any) fx.Option {
			return fx.Provide(func(lc fx.Lifecycle, p params) kinds.Membership { return newMembership(lc, p, s.(*Settings)) })
		},
	})
}

const (
	defaultWatchMS  = 14_000
	defaultGatherMS = 2000
	// defaultRetryMS may be long: links tell which VMs answer, so the list may be old.
	defaultRetryMS = 3000
	// withdrawTimeout bounds the removal of the own entry at a stop.
	withdrawTimeout = 300 * time.Millisecond
)

// Settings of the plug-in.
type Settings struct {
	// Capacity is the processing power of this VM in cores. Required.
	Capacity float64 `json:"capacity" validate:"gt=0"`
	// WatchMS is the length of one waiting watch, in milliseconds. Default 14000.
	WatchMS int64 `json:"watch_ms" validate:"gte=100,lte=30000"`
	// GatherMS is the pause after a change, in milliseconds, so that many VMs that start together cost few calls. Default
	// 2000.
	GatherMS int64 `json:"gather_ms" validate:"gte=0,lte=60000"`
	// RetryMS is the mean pause after a failed call, in milliseconds. Default 3000.
	RetryMS int64 `json:"retry_ms" validate:"gte=1,lte=60000"`
}

type params struct {
	fx.In
	State    *kernel.State
	Clock    kernel.Clock
	Random   *kernel.Random
	Log      *slog.Logger
	Identity kernel.Identity
	Store    kinds.VMStore
	// Peers is needed so that the own address is published before it is announced.
	Peers kinds.Peers
}

type membership struct {
	params
	settings *Settings
	stop     context.CancelFunc
	done     sync.WaitGroup
	leave    sync.Once
	known    map[core.VMName]kinds.VMEntry
}

func newMembership(lc fx.Lifecycle, p params, settings *Settings) kinds.Membership {
	m := &membership{params: p, settings: settings, known: make(map[core.VMName]kinds.VMEntry)}
	lc.Append(fx.Hook{OnStart: m.start, OnStop: m.shutdown})
	return m
}

func (m *membership) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	m.done.Go(func() { m.follow(ctx) })
	return nil
}

func (m *membership) shutdown(ctx context.Context) error {
	m.stop()
	m.done.Wait()
	return m.Leave(ctx)
}

// Leave implements kinds.Membership. A VM that cannot remove its entry is found out by the links to it.
func (m *membership) Leave(ctx context.Context) error {
	m.leave.Do(func() {
		ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
		defer cancel()
		if err := m.Store.WithdrawVM(ctx, m.Identity.VM); err != nil {
			m.Log.Warn("vm_entry_left_behind", "error", err.Error())
		}
	})
	return nil
}

// follow announces this VM and then follows the entries of the others. Until it is announced, every round tries again.
func (m *membership) follow(ctx context.Context) {
	random := m.Random.Generator()
	m.readEarlier(ctx)
	announced := false
	for ctx.Err() == nil {
		err := m.round(ctx, &announced)
		if ctx.Err() != nil {
			return
		}
		m.Log.Info("vm_list_unavailable", "error", err.Error(), "known", len(m.known))
		kernel.Sleep(ctx, time.Duration((0.5+random.Float64())*float64(m.settings.RetryMS))*time.Millisecond)
	}
}

// readEarlier takes the entries that the store has from before. VMs that were killed together find each other by those of
// their earlier incarnations, without waiting for the new ones.
func (m *membership) readEarlier(ctx context.Context) {
	entries, _, err := m.Store.VMs(ctx, true)
	if err != nil {
		m.Log.Info("vm_list_unavailable", "error", err.Error(), "known", 0)
		return
	}
	m.take(entries)
}

// round lists once and watches until a call fails.
func (m *membership) round(ctx context.Context, announced *bool) error {
	self := m.State.Load().Members.Self
	if !*announced {
		if err := m.Store.AnnounceVM(ctx, kinds.VMEntry{VM: self, Capacity: m.settings.Capacity}); err != nil {
			return err
		}
		*announced = true
		// VMs that start together see each other in one list.
		kernel.Sleep(ctx, time.Duration(m.settings.GatherMS)*time.Millisecond)
	}
	entries, cursor, err := m.Store.VMs(ctx, true)
	if err != nil {
		return err
	}
	clear(m.known)
	m.take(entries)
	for {
		entries, next, err := m.Store.WatchVMs(ctx, kinds.WatchOptions{After: cursor, Wait: time.Duration(m.settings.WatchMS) * time.Millisecond, AllowStale: true})
		if err != nil {
			return err
		}
		if m.take(entries); next != cursor {
			kernel.Sleep(ctx, time.Duration(m.settings.GatherMS)*time.Millisecond)
		}
		cursor = next
	}
}

// take adds changed entries and publishes the members.
func (m *membership) take(entries []kinds.VMEntry) {
	if len(entries) == 0 {
		return
	}
	for _, e := range entries {
		if e.Removed {
			delete(m.known, e.VM.Name)
		} else {
			m.known[e.VM.Name] = e
		}
	}
	m.State.Update(func(v *core.View) {
		members := &core.Members{Self: v.Members.Self, Capacity: make(map[core.VMName]float64, len(m.known))}
		for name, e := range m.known {
			members.All = append(members.All, e.VM)
			members.Capacity[name] = e.Capacity
		}
		slices.SortFunc(members.All, func(a, b core.VM) int { return strings.Compare(string(a.Name), string(b.Name)) })
		v.Members = members
	})
	m.Log.Info("members_applied", "members", len(m.known), "changed", len(entries))
}
