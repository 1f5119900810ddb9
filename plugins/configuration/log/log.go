// Package log is the plug-in that stores the configuration as a change log on the platform. A few VMs watch the log; the
// others receive changes from their peers. It also serves the operations that change the configuration.
package log

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"gooseberrylane.example/coord/config"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.ConfigurationKind, Name: "log",
		Settings: func() any { return defaultSettings() },
		Options: func(s any) fx.Option {
			return fx.Provide(func(lc fx.Lifecycle, p params) (kinds.Configuration, kinds.Operations) {
				service := newService(lc, p, s.(*Settings))
				return service, service
			})
		},
	})
}

const (
	defaultWatchMS           = 10_000
	defaultCompareIntervalMS = 1000
	defaultStaleAfterMS      = 45_000
	defaultStartTimeoutMS    = 1000
	defaultProgressTimeoutMS = 1000
	defaultKeepChanges       = 1024
	// inboxLength bounds the queued messages of peers. Further ones are dropped; the next comparison of revisions makes up
	// for the loss.
	inboxLength = 1024
)

// Settings of the plug-in.
type Settings struct {
	// WatchMS is the time that one watch waits at the platform, in milliseconds. Default 10000.
	WatchMS int64 `json:"watch_ms" validate:"gte=10,lte=60000"`
	// CompareIntervalMS is the mean time between two comparisons of revisions with a peer, in milliseconds. Default 1000.
	CompareIntervalMS int64 `json:"compare_ms" validate:"gte=5,lte=60000"`
	// StaleAfterMS is the time without contact with the platform, direct or through peers, after which the configuration is
	// reported as stale, in milliseconds. Default 45000.
	StaleAfterMS int64 `json:"stale_after_ms" validate:"gte=50,lte=3600000"`
	// StartTimeoutMS bounds the wait for the platform and the peers before the initial configuration set is chosen, in
	// milliseconds. Default 1000.
	StartTimeoutMS int64 `json:"start_ms" validate:"gte=10,lte=60000"`
	// ProgressTimeoutMS bounds the wait for the VMs to report their revision, in milliseconds. Default 1000.
	ProgressTimeoutMS int64 `json:"progress_ms" validate:"gte=10,lte=60000"`
	// KeepChanges is the number of applied changes that are kept for peers. Default 1024.
	KeepChanges int `json:"keep_changes" validate:"gte=1,lte=1000000"`
}

func defaultSettings() *Settings {
	return &Settings{
		WatchMS: defaultWatchMS, CompareIntervalMS: defaultCompareIntervalMS, StaleAfterMS: defaultStaleAfterMS, StartTimeoutMS: defaultStartTimeoutMS,
		ProgressTimeoutMS: defaultProgressTimeoutMS, KeepChanges: defaultKeepChanges,
	}
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

type params struct {
	fx.In
	Identity kernel.Identity
	State    *kernel.State
	Clock    kernel.Clock
	Random   *kernel.Random
	Log      *slog.Logger
	Platform kinds.Platform
	Peers    kinds.Peers
}

// service is the configuration of one VM.
type service struct {
	params
	settings *Settings

	// mu serializes changes of the log and their publication. It is never locked on the request path.
	mu  sync.Mutex
	log *config.Log
	// published is set once the initial set is chosen; until then, changes of the log are not published.
	published bool
	// lastContact is the latest time at which the current set was known to be the head of the log.
	lastContact time.Time
	// peerRevisions holds the revisions that peers reported before the initial set was published.
	peerRevisions map[core.VMName]core.Revision
	// loaded is true once the log on the platform has been read to its end.
	loaded bool

	// peerReported is signalled when a peer reported a revision.
	peerReported chan struct{}
	inbox        chan inbound
	// transfers is used by the goroutine of serveInbox only.
	transfers     transfers
	partners      atomic.Pointer[partnerList]
	sequence      atomic.Uint64
	progressCalls sync.Map
	// checkpointed is the revision of the last known checkpoint. It is used by the goroutine of follow only.
	checkpointed core.Revision

	base   context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup
}

func newService(lc fx.Lifecycle, p params, settings *Settings) *service {
	s := &service{
		params: p, settings: settings, log: config.NewLog(settings.KeepChanges), peerRevisions: make(map[core.VMName]core.Revision),
		peerReported: make(chan struct{}, 1), inbox: make(chan inbound, inboxLength),
	}
	s.base, s.cancel = context.WithCancel(context.Background())
	s.handleMessages()
	lc.Append(fx.Hook{OnStart: s.start, OnStop: s.stop})
	return s
}

func (s *service) start(context.Context) error {
	s.work.Go(s.serveInbox)
	s.work.Go(s.follow)
	return nil
}

func (s *service) stop(context.Context) error {
	s.cancel()
	s.work.Wait()
	return nil
}

// Revision implements kinds.Configuration.
func (s *service) Revision() core.Revision { return s.State.Load().Config.Revision }

// logRevision returns the revision of the log. It is ahead of the published one only before the first publication.
func (s *service) logRevision() core.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.Revision()
}
