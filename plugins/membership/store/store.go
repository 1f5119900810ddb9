// Package store is the plug-in that discovers the other VMs from the entries that each VM writes to the store. It costs
// the store one write per start and one long-poll watch per VM. Whether a VM is reachable is determined by the links
// to it.
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
			return &Settings{WatchMS: defaultWatchMS, CoalesceMS: defaultCoalesceMS, RetryMS: defaultRetryMS}
		},
		Options: func(s any) fx.Option {
			return fx.Provide(func(lc fx.Lifecycle, p params) kinds.Membership { return newMembership(lc, p, s.(*Settings)) })
		},
	})
}

const (
	defaultWatchMS    = 14_000
	defaultCoalesceMS = 2000
	// defaultRetryMS may be long: links show which VMs are reachable, so a stale list is acceptable.
	defaultRetryMS = 3000
	// withdrawTimeout bounds the removal of the entry of this VM at a stop.
	withdrawTimeout = 300 * time.Millisecond
)

// Settings of the plug-in.
type Settings struct {
	// Capacity is the processing power of this VM in cores. Required.
	Capacity float64 `json:"capacity" validate:"gt=0"`
	// WatchMS is the time that one watch waits for changes, in milliseconds. Default 14000.
	WatchMS int64 `json:"watch_ms" validate:"gte=100,lte=30000"`
	// CoalesceMS is the pause after a change, in milliseconds. It combines the changes of VMs that start together into few
	// calls. Default 2000.
	CoalesceMS int64 `json:"gather_ms" validate:"gte=0,lte=60000"`
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
	// Freshness tells whether reads of the entries may be stale.
	Freshness kinds.Freshness
	// Peers is a dependency so that the view holds the address of this VM before this plug-in writes it to the store.
	Peers kinds.Peers
}

type membership struct {
	params
	settings *Settings
	stop     context.CancelFunc
	done     sync.WaitGroup
	leave    sync.Once
	// entries holds the current entries of all VMs. It is used by the goroutine of follow only.
	entries map[core.VMName]kinds.VMEntry
}

func newMembership(lc fx.Lifecycle, p params, settings *Settings) kinds.Membership {
	m := &membership{params: p, settings: settings, entries: make(map[core.VMName]kinds.VMEntry)}
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

// Leave implements kinds.Membership. If a VM cannot remove its entry, the other VMs detect its stop from the links to it.
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

// follow announces this VM and watches the entries of the others. A failed announcement is repeated in the next round.
func (m *membership) follow(ctx context.Context) {
	random := m.Random.Generator()
	m.readPreviousEntries(ctx)
	announced := false
	for ctx.Err() == nil {
		var err error
		if panicked := kernel.Protect(m.Log, "list of VMs", func() { err = m.round(ctx, &announced) }); panicked != nil {
			err = panicked
		}
		if ctx.Err() != nil {
			return
		}
		m.Log.Info("vm_list_unavailable", "error", err.Error(), "known", len(m.entries))
		kernel.Sleep(ctx, time.Duration((0.5+random.Float64())*float64(m.settings.RetryMS))*time.Millisecond)
	}
}

// readPreviousEntries reads the entries that were written before the start. VMs that were killed together discover each other
// from the entries of their earlier incarnations, without waiting for the new ones.
func (m *membership) readPreviousEntries(ctx context.Context) {
	entries, _, err := m.Store.VMs(ctx, true)
	if err != nil {
		m.Log.Info("vm_list_unavailable", "error", err.Error(), "known", 0)
		return
	}
	m.apply(entries)
}

// round announces this VM if necessary, lists the entries once and watches them until a call fails.
func (m *membership) round(ctx context.Context, announced *bool) error {
	self := m.State.Load().Members.Self
	if !*announced {
		if err := m.Store.AnnounceVM(ctx, kinds.VMEntry{VM: self, Capacity: m.settings.Capacity}); err != nil {
			return err
		}
		*announced = true
		// After the pause, one list contains the VMs that start together.
		kernel.Sleep(ctx, time.Duration(m.settings.CoalesceMS)*time.Millisecond)
	}
	entries, cursor, err := m.Store.VMs(ctx, m.Freshness.StaleReads().Err() == nil)
	if err != nil {
		return err
	}
	clear(m.entries)
	m.apply(entries)
	for {
		if cursor, err = m.watch(ctx, cursor); err != nil {
			return err
		}
	}
}

// watch waits for changed entries and pauses after a change. It is given up, without an error, when stale reads turn out to lag.
func (m *membership) watch(ctx context.Context, after kinds.Cursor) (kinds.Cursor, error) {
	stale := m.Freshness.StaleReads()
	options := kinds.WatchOptions{After: after, Wait: time.Duration(m.settings.WatchMS) * time.Millisecond, AllowStale: stale.Err() == nil}
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if options.AllowStale {
		defer context.AfterFunc(stale, cancel)()
	}
	entries, next, err := m.Store.WatchVMs(watchCtx, options)
	if err != nil && options.AllowStale && stale.Err() != nil && ctx.Err() == nil {
		m.Log.Info("watch_given_up", "what", "vms", "position", uint64(after))
		return after, nil
	}
	if err != nil {
		return after, err
	}
	if m.apply(entries); next != after {
		kernel.Sleep(ctx, time.Duration(m.settings.CoalesceMS)*time.Millisecond)
	}
	return next, nil
}

// apply applies changed entries and publishes the members.
func (m *membership) apply(entries []kinds.VMEntry) {
	if len(entries) == 0 {
		return
	}
	for _, e := range entries {
		if e.Removed {
			delete(m.entries, e.VM.Name)
		} else {
			m.entries[e.VM.Name] = e
		}
	}
	m.State.Update(func(v *core.View) {
		members := &core.Members{Self: v.Members.Self, Capacity: make(map[core.VMName]float64, len(m.entries))}
		for name, e := range m.entries {
			members.All = append(members.All, e.VM)
			members.Capacity[name] = e.Capacity
		}
		slices.SortFunc(members.All, func(a, b core.VM) int { return strings.Compare(string(a.Name), string(b.Name)) })
		v.Members = members
	})
	m.Log.Info("members_applied", "members", len(m.entries), "changed", len(entries))
}
