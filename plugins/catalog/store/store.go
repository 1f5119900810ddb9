// Package store is the plug-in that watches the platform's store and publishes the routes and the registered upstreams.
package store

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"gooseberrylane.example/coord/availability"
	"gooseberrylane.example/coord/catalog"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.CatalogKind, Name: "store",
		Settings: func() any {
			return &Settings{
				WatchMS: defaultWatchMS, CoalesceMS: defaultCoalesceMS, UpstreamCoalesceMS: defaultUpstreamCoalesceMS, AllowStale: true,
				RetryMS: defaultRetryMS, MaxRetryMS: defaultMaxRetryMS, GraceMS: defaultGraceMS,
			}
		},
		Options: func(s any) fx.Option {
			return fx.Provide(func(lc fx.Lifecycle, p params) provided {
				f := newFollower(lc, p, s.(*Settings))
				return provided{Catalog: f, Metrics: f.metrics()}
			})
		},
	})
}

const (
	defaultWatchMS = 2500
	// defaultCoalesceMS and defaultUpstreamCoalesceMS are a tenth and a quarter of the 3 s within which a change must be in
	// force. Upstreams change far more often than routes.
	defaultCoalesceMS         = 300
	defaultUpstreamCoalesceMS = 800
	defaultRetryMS            = 150
	defaultMaxRetryMS         = 1000
	// defaultGraceMS covers the two seconds within which live upstreams register again after an outage of the store. Added
	// to the maximum retry pause, it is shorter than the 4 s after which a VM must be up to date.
	defaultGraceMS = 2200
)

// Settings of the plug-in.
type Settings struct {
	// WatchMS is the maximum duration of one watch, in milliseconds. A watch with stale reads may detect only at its end
	// that the store dropped its history. Default 2500.
	WatchMS int64 `json:"watch_ms" validate:"gte=100,lte=30000"`
	// CoalesceMS is the pause after a watch that reported a change, in milliseconds, so that one call returns several changes
	// in quick succession. Default 300.
	CoalesceMS int64 `json:"gather_ms" validate:"gte=0,lte=60000"`
	// UpstreamCoalesceMS is the same pause after a change of upstream entries, in milliseconds. Default 800.
	UpstreamCoalesceMS int64 `json:"upstream_gather_ms" validate:"gte=0,lte=60000"`
	// AllowStale permits reads that may be seconds old, at a tenth of the cost of current reads, as long as a comparison
	// finds them as new as current reads. Default true.
	AllowStale bool `json:"allow_stale"`
	// RetryMS is the mean pause after a failed call, in milliseconds; it doubles up to MaxRetryMS. Default 150.
	RetryMS int64 `json:"retry_ms" validate:"gte=1,lte=60000"`
	// MaxRetryMS bounds the mean pause, in milliseconds. Default 1000.
	MaxRetryMS int64 `json:"max_retry_ms" validate:"gte=1,lte=60000"`
	// GraceMS is how long after the end of an outage of the store an upstream whose entry is missing is still used, in
	// milliseconds. Default 2200.
	GraceMS int64 `json:"grace_ms" validate:"gte=0,lte=60000"`
}

type params struct {
	fx.In
	Store     kinds.CatalogStore
	Freshness kinds.Freshness
	State     *kernel.State
	Clock     kernel.Clock
	Random    *kernel.Random
	Log       *slog.Logger
}

type provided struct {
	fx.Out
	Catalog kinds.Catalog
	Metrics []kinds.Metric `group:"metrics,flatten"`
}

// follower keeps the routes and the registered upstreams in the view up to date.
type follower struct {
	params
	settings *Settings
	stop     context.CancelFunc
	done     sync.WaitGroup
	// failures and lists count failed calls and complete lists.
	failures, lists atomic.Uint64
	// unavailable is set from a call that the store did not answer until its recovery is recorded. In the meantime, the store
	// may have dropped live entries.
	unavailable atomic.Bool
	outage      outage

	// routesListed is set after the first successful list of the routes.
	routesListed atomic.Bool

	mu           sync.Mutex
	directory    *catalog.Directory
	incarnations map[core.UpstreamID]catalog.Incarnation
	// departed holds the states of removed upstreams whose answers announced something that also holds if their entries
	// return.
	departed map[core.UpstreamID]departedUpstream
	// upstreamsListed is true after the first successful list of the upstreams.
	upstreamsListed bool
	// expiry fires at the next end of a grace period.
	expiry *time.Timer
}

func newFollower(lc fx.Lifecycle, p params, settings *Settings) *follower {
	f := &follower{
		params: p, settings: settings, directory: catalog.NewDirectory(millis(settings.GraceMS)),
		incarnations: make(map[core.UpstreamID]catalog.Incarnation), departed: make(map[core.UpstreamID]departedUpstream),
	}
	lc.Append(fx.Hook{OnStart: f.start, OnStop: f.shutdown})
	return f
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func (f *follower) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	f.expiry = time.AfterFunc(time.Hour, f.expire)
	f.expiry.Stop()
	f.done.Go(func() { f.follow(ctx, "routes", millis(f.settings.CoalesceMS), f.listRoutes, f.watchRoutes) })
	f.done.Go(func() {
		f.follow(ctx, "upstreams", millis(f.settings.UpstreamCoalesceMS), f.listUpstreams, f.watchUpstreams)
	})
	return nil
}

func (f *follower) shutdown(context.Context) error {
	f.stop()
	f.expiry.Stop()
	f.done.Wait()
	return nil
}

func (f *follower) listRoutes(ctx context.Context) (listing, error) {
	var table *core.RoutingTable
	reader := listReader{
		list: func(allowStale bool) (cursor kinds.Cursor, err error) {
			table, cursor, err = f.Store.Routes(ctx, allowStale)
			return cursor, err
		},
		catchUp: func(after kinds.Cursor) (kinds.Cursor, error) {
			newer, cursor, err := f.Store.WatchRoutes(ctx, kinds.WatchOptions{After: after, Wait: catchUpWait})
			if newer != nil {
				table = newer
			}
			return cursor, err
		},
	}
	read := f.readList
	if !f.routesListed.Load() {
		// The list of the routes is one object, so a current read at the start costs one call.
		read = f.readCurrentList
	}
	listed, err := read(reader)
	switch core.CodeOf(err) {
	case core.CodeNotFound:
		// No routing table has been written yet; the watch reports the first.
		err = nil
	case core.CodeTableUnreadable:
		f.Log.Error("routes_unreadable", "error", err.Error())
		err = nil
	}
	if err == nil && table != nil {
		f.apply(table, "list")
	}
	if err == nil {
		f.routesListed.Store(true)
	}
	return listed, err
}

func (f *follower) watchRoutes(ctx context.Context, o kinds.WatchOptions) (kinds.Cursor, error) {
	table, cursor, err := f.Store.WatchRoutes(ctx, o)
	if core.CodeOf(err) == core.CodeTableUnreadable {
		f.Log.Error("routes_unreadable", "error", err.Error())
		return cursor, nil
	}
	if err == nil && table != nil {
		f.apply(table, "watch")
	}
	return cursor, err
}

// apply puts a routing table in force unless its version is already in force or older.
func (f *follower) apply(table *core.RoutingTable, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if current := f.State.Load().Routes; current != nil && table.Version <= current.Version {
		if table.Version < current.Version {
			f.Log.Warn("routes_refused", "version", uint64(table.Version), "in_force", uint64(current.Version), "source", source)
		}
		return
	}
	f.publish(table)
	f.Log.Info("routes_applied", "version", uint64(table.Version), "routes", len(table.Routes), "services", len(table.Services), "source", source)
}

func (f *follower) listUpstreams(ctx context.Context) (listing, error) {
	var entries, changes []catalog.Entry
	listed, err := f.readList(listReader{
		list: func(allowStale bool) (cursor kinds.Cursor, err error) {
			entries, cursor, err = f.Store.Upstreams(ctx, allowStale)
			changes = nil
			return cursor, err
		},
		catchUp: func(after kinds.Cursor) (cursor kinds.Cursor, err error) {
			changes, cursor, err = f.Store.WatchUpstreams(ctx, kinds.WatchOptions{After: after, Wait: catchUpWait})
			return cursor, err
		},
	})
	if err != nil {
		return listed, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	if f.unavailable.Swap(false) {
		// This list is the first answer after an outage. The grace period must start before entries are dropped.
		f.directory.StoreRecovered(now)
	}
	changed := f.directory.Replace(now, entries) || !f.upstreamsListed
	for i := range changes {
		changed = f.directory.Put(now, changes[i]) || changed
	}
	f.upstreamsListed = true
	f.update(now, changed, "list", len(entries))
	return listed, nil
}

func (f *follower) watchUpstreams(ctx context.Context, o kinds.WatchOptions) (kinds.Cursor, error) {
	entries, cursor, err := f.Store.WatchUpstreams(ctx, o)
	if err != nil {
		return cursor, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	changed := false
	for i := range entries {
		changed = f.directory.Put(now, entries[i]) || changed
		f.logEntry(&entries[i])
	}
	f.update(now, changed, "watch", len(entries))
	return cursor, nil
}

func (f *follower) logEntry(e *catalog.Entry) {
	switch {
	case e.Deleted:
		f.Log.Info("upstream_removed", "upstream", string(e.ID), "entry_revision", e.Revision)
	case e.DamageReason != "":
		f.Log.Warn("upstream_entry_damaged", "upstream", string(e.ID), "entry_revision", e.Revision, "error", e.DamageReason)
	case e.Draining:
		f.Log.Info("upstream_draining", "upstream", string(e.ID), "service", string(e.Service), "entry_revision", e.Revision)
	default:
		f.Log.Info("upstream_registered", "upstream", string(e.ID), "service", string(e.Service), "entry_revision", e.Revision, "cold_ms", e.ColdFor.Milliseconds())
	}
}

// ReportMisdirected implements kinds.Catalog. The upstream receives no requests until its entry changes.
func (f *follower) ReportMisdirected(id core.UpstreamID) {
	if state := f.State.Load().State(id); state != nil && state.DrainSince.CompareAndSwap(0, f.Clock.Now().UnixNano()) {
		f.Log.Warn("upstream_moved", "upstream", string(id))
	}
}

// ReportLeaving implements kinds.Catalog.
func (f *follower) ReportLeaving(upstream core.Upstream, since time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	incarnation := catalog.Incarnation{Address: upstream.Address, StartedMS: upstream.StartedMS}
	registered := f.State.Load().State(upstream.ID)
	if registered != nil && !f.incarnations[upstream.ID].SameProcess(incarnation) {
		return
	}
	state := registered
	if state == nil {
		state = f.newState(upstream.ID, incarnation)
	}
	if availability.MarkLeaving(since, state) {
		f.Log.Info("upstream_leaving", "upstream", string(upstream.ID), "source", "peer")
	}
	if registered == nil {
		// The entry of the upstream may return.
		f.depart(upstream.ID, incarnation, state)
	}
}

func (f *follower) metrics() []kinds.Metric {
	return []kinds.Metric{
		{Name: "store_calls_failed", Value: func() any { return f.failures.Load() }},
		{Name: "store_lists", Value: func() any { return f.lists.Load() }},
		{Name: "routes_version", Value: func() any {
			if table := f.State.Load().Routes; table != nil {
				return uint64(table.Version)
			}
			return 0
		}},
	}
}
