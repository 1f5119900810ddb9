// Package peers is the plug-in that finds out whether stale reads of the store lag. The VMs share the reads of the store's position:
// the one that reads it notifies the VMs of its failure domain and one VM of each other domain, which passes it on in its own.
package peers

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"gooseberrylane.example/coord/freshness"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.FreshnessKind, Name: "peers",
		Settings: func() any { return &Settings{ApplyMS: defaultApplyMS} },
		Options: func(s any) fx.Option {
			return fx.Provide(func(lc fx.Lifecycle, p params) provided {
				c := newChecker(p, s.(*Settings))
				lc.Append(fx.Hook{OnStart: c.start, OnStop: c.shutdown})
				return provided{Freshness: c, Metrics: c.metrics()}
			})
		},
	})
}

const defaultApplyMS = 3000

// Settings of the plug-in.
type Settings struct {
	// ApplyMS is the time within which a change of the store must be in force at a VM, in milliseconds. A lag of stale reads is
	// found within 0.8 of it. Default 3000.
	ApplyMS int64 `json:"apply_ms" validate:"gte=300,lte=600000"`
}

type params struct {
	fx.In
	Store    kinds.CatalogStore
	State    *kernel.State
	Clock    kernel.Clock
	Random   *kernel.Random
	Log      *slog.Logger
	Identity kernel.Identity
	Peers    kinds.Peers
}

type provided struct {
	fx.Out
	Freshness kinds.Freshness
	Metrics   []kinds.Metric `group:"metrics,flatten"`
}

// positionMessage notifies other VMs of the position of the store.
type positionMessage struct {
	_        struct{} `cbor:",toarray"`
	Position kinds.Cursor
}

// MessageName implements kinds.Message.
func (positionMessage) MessageName() string { return "store_position" }

type checker struct {
	params
	settings freshness.Settings
	// random distinguishes this VM from others that wait for the same time.
	random float64
	stop   context.CancelFunc
	done   sync.WaitGroup
	// wake has an element when the tracker or toRelay has changed.
	wake chan struct{}
	// reads counts reads of the current position, lags the times at which stale reads turned out to lag.
	reads, lags atomic.Uint64

	mu      sync.Mutex
	tracker *freshness.Tracker
	// toRelay is a position of another failure domain that the VMs of this one have to be notified of, 0 if there is none.
	toRelay kinds.Cursor
	// stale ends when stale reads turn out to lag.
	stale    context.Context
	endStale context.CancelFunc

	// members and roles are used only by loop. roles are those in members.
	members *core.Members
	roles   freshness.Roles
}

func newChecker(p params, settings *Settings) *checker {
	c := &checker{
		params: p, settings: freshness.NewSettings(time.Duration(settings.ApplyMS) * time.Millisecond),
		random: p.Random.Generator().Float64(), wake: make(chan struct{}, 1),
	}
	c.tracker = freshness.NewTracker(c.settings, p.Clock.Now())
	c.stale, c.endStale = context.WithCancel(context.Background())
	p.Peers.Handle(positionMessage{}, func(from core.VM, m kinds.Message) { c.receive(from, m.(*positionMessage).Position) })
	return c
}

func (c *checker) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	c.done.Go(func() { c.loop(ctx) })
	return nil
}

func (c *checker) shutdown(context.Context) error {
	c.stop()
	c.done.Wait()
	return nil
}

// update changes the tracker, and opens or ends the context of stale reads accordingly.
func (c *checker) update(change func(now time.Time)) {
	c.mu.Lock()
	before := c.tracker.AllowStale()
	_, staleBefore := c.tracker.Positions()
	change(c.Clock.Now())
	allowed := c.tracker.AllowStale()
	current, stale := c.tracker.Positions()
	var end context.CancelFunc
	switch {
	case before && !allowed:
		end = c.endStale
		c.lags.Add(1)
	case !before && allowed:
		c.stale, c.endStale = context.WithCancel(context.Background())
	}
	c.mu.Unlock()
	if end != nil {
		end()
	}
	if before != allowed || (staleBefore == 0 && stale != 0) {
		c.Log.Info("staleness_checked", "current", current, "stale", stale, "allow_stale", allowed)
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// receive records the report of another VM. It is passed on if it comes from another failure domain.
func (c *checker) receive(from core.VM, position kinds.Cursor) {
	c.update(func(now time.Time) {
		c.tracker.RecordReport(now, uint64(position))
		if from.Domain != c.Identity.Domain {
			c.toRelay = max(c.toRelay, position)
		}
	})
}

// StaleReads implements kinds.Freshness.
func (c *checker) StaleReads() context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stale
}

// Newest implements kinds.Freshness.
func (c *checker) Newest() kinds.Cursor {
	c.mu.Lock()
	defer c.mu.Unlock()
	return kinds.Cursor(c.tracker.Newest())
}

// RecordRead implements kinds.Freshness.
func (c *checker) RecordRead(position kinds.Cursor, stale bool) {
	c.update(func(now time.Time) {
		if stale {
			c.tracker.RecordStale(uint64(position))
		} else {
			c.tracker.RecordCurrent(now, uint64(position))
		}
	})
}

// RecordHistoryGone implements kinds.Freshness.
func (c *checker) RecordHistoryGone() {
	c.update(func(now time.Time) { c.tracker.RecordHistoryGone(now) })
}

// RecordUnavailable implements kinds.Freshness.
func (c *checker) RecordUnavailable() { c.update(func(time.Time) { c.tracker.RecordUnavailable() }) }

// CurrentWatch implements kinds.Freshness.
func (c *checker) CurrentWatch() time.Duration { return c.settings.CurrentWatch }

func (c *checker) loop(ctx context.Context) {
	for ctx.Err() == nil {
		// A panic is logged. The pause keeps a lasting cause from occupying the processor.
		if kernel.Protect(c.Log, "check of stale reads", func() { c.step(ctx) }) != nil {
			kernel.Sleep(ctx, c.settings.Period)
		}
	}
}

// step does what is due, or waits.
func (c *checker) step(ctx context.Context) {
	if members := c.State.Load().Members; members != c.members {
		c.members, c.roles = members, freshness.Assign(members)
	}
	c.mu.Lock()
	now := c.Clock.Now()
	action, until := c.tracker.Next(now, c.roles.Step, c.random)
	relay := c.toRelay
	c.toRelay = 0
	c.mu.Unlock()
	if relay != 0 {
		c.notify(ctx, c.roles.Domain, relay)
	}
	switch action {
	case freshness.ReadCurrent:
		c.readCurrent(ctx)
	case freshness.ReadStale:
		c.readStale(ctx)
	default:
		c.wait(ctx, until.Sub(now))
	}
}

func (c *checker) wait(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.wake:
	case <-ctx.Done():
	}
}

// readCurrent reads the position of the store and passes it on, unless that took so long that it may be outdated.
func (c *checker) readCurrent(ctx context.Context) {
	started := c.Clock.Now()
	c.update(func(time.Time) { c.tracker.RecordAttempt(started) })
	c.reads.Add(1)
	position, err := c.readPosition(ctx, false)
	if err != nil {
		c.Log.Info("store_position_unknown", "stale", false, "error", err.Error())
		return
	}
	c.update(func(time.Time) { c.tracker.RecordCurrent(started, uint64(position)) })
	if c.Clock.Now().Sub(started) <= c.settings.AcceptedLag {
		c.notify(ctx, c.roles.Domain, position)
		c.notify(ctx, c.roles.Heads, position)
	}
}

// readStale compares the position that a stale read shows with the one that it must show.
func (c *checker) readStale(ctx context.Context) {
	position, err := c.readPosition(ctx, true)
	if err != nil {
		c.update(func(now time.Time) { c.tracker.RecordFailedComparison(now) })
		c.Log.Info("store_position_unknown", "stale", true, "error", err.Error())
		return
	}
	c.update(func(now time.Time) { c.tracker.RecordComparison(now, uint64(position)) })
}

func (c *checker) readPosition(ctx context.Context, allowStale bool) (kinds.Cursor, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.CallTimeout)
	defer cancel()
	return c.Store.Position(ctx, allowStale)
}

// notify sends a position to other VMs. A VM that is not reached reads the position itself.
func (c *checker) notify(ctx context.Context, vms []core.VM, position kinds.Cursor) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Takeover)
	defer cancel()
	for _, vm := range vms {
		if err := c.Peers.Send(ctx, vm, positionMessage{Position: position}); err != nil {
			c.Log.Debug("store_position_undelivered", "peer", string(vm.Name), "error", err.Error())
		}
	}
}

func (c *checker) metrics() []kinds.Metric {
	return []kinds.Metric{
		{Name: "store_position_reads", Value: func() any { return c.reads.Load() }},
		{Name: "stale_reads_lagged", Value: func() any { return c.lags.Load() }},
	}
}
