// Package websocket is the plug-in that carries messages between VMs as CBOR over WebSocket. Each VM opens one link
// to every VM that it sends to; answers travel on the link of the other direction.
package websocket

import (
	"context"
	"log/slog"
	"maps"
	"net/http"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
	"gooseberrylane.example/kernel/tlsconf"
	"gooseberrylane.example/plugins/internal/listen"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.PeerKind, Name: "websocket",
		Settings: func() any {
			return &Settings{
				MaxFrameBytes: defaultMaxFrameBytes, QueueLength: defaultQueueLength, QueueBytes: defaultQueueBytes,
				MaxLinks: defaultMaxLinks, KeepaliveMS: defaultKeepaliveMS, IdleTimeoutMS: defaultIdleTimeoutMS,
				BackoffMS: defaultBackoffMS, MaxBackoffMS: defaultMaxBackoffMS,
				TLS: tlsconf.Defaults(),
			}
		},
		Options: func(s any) fx.Option {
			return fx.Provide(func(lc fx.Lifecycle, p params) provided {
				ps := newPeers(lc, p, s.(*Settings))
				return provided{Peers: ps, Metrics: append(ps.traffic.metrics(), kinds.Metric{
					Name: "peer_bulk_bytes", Value: func() any { return ps.bulkBytes.Load() },
				})}
			})
		},
	})
}

const (
	defaultMaxFrameBytes = 8 << 20
	defaultQueueLength   = 4096
	defaultQueueBytes    = 16 << 20
	defaultMaxLinks      = 16_384
	defaultKeepaliveMS   = 250
	defaultIdleTimeoutMS = 60_000
	defaultBackoffMS     = 100
	defaultMaxBackoffMS  = 2000
	// handshakeAllowance is the number of connections above MaxLinks that may be open before they are refused.
	handshakeAllowance = 1024
)

// Settings of the plug-in.
type Settings struct {
	// Listen is the address for links from other VMs. Required.
	Listen string `json:"listen" validate:"required,hostname_port"`
	// Advertise is the address that other VMs use; empty means Listen.
	Advertise string `json:"advertise" validate:"omitempty,hostname_port"`
	// SourceAddress is the local IP address of links to other VMs; empty leaves the choice to the operating system.
	SourceAddress string `json:"source_address" validate:"omitempty,ip"`
	// MaxFrameBytes bounds one frame. Default 8388608.
	MaxFrameBytes int64 `json:"max_frame_bytes" validate:"gte=1024"`
	// QueueLength bounds the messages waiting on one link. Default 4096.
	QueueLength int `json:"queue_length" validate:"gte=1"`
	// QueueBytes bounds the bytes of the messages waiting on one link, and of those written but not confirmed by a
	// ping. Default 16777216.
	QueueBytes int64 `json:"queue_bytes" validate:"gte=1024"`
	// MaxBulkBytes bounds the memory of the messages on all links that their senders can do without, such as requests that are handed
	// over, in bytes. 0 takes 0.05 of memory_mb, or no limit without it. Default 0.
	MaxBulkBytes int64 `json:"max_bulk_bytes" validate:"gte=0"`
	// MaxLinks bounds the links that other VMs open to this one. Default 16384.
	MaxLinks int64 `json:"max_links" validate:"gte=1"`
	// KeepaliveMS is the time between pings while messages are unconfirmed; a link whose ping is not answered within it
	// is closed. Default 250.
	KeepaliveMS int64 `json:"keepalive_ms" validate:"gte=10,lte=60000"`
	// IdleTimeoutMS is the time without traffic after which a link that another VM opened is closed, in milliseconds.
	// Default 60000.
	IdleTimeoutMS int64 `json:"idle_timeout_ms" validate:"gte=10,lte=3600000"`
	// BackoffMS is the minimum time between dials of an address after a failed dial, in milliseconds. It doubles up to
	// MaxBackoffMS, and half of it is random. Default 100.
	BackoffMS int64 `json:"backoff_ms" validate:"gte=1,lte=60000"`
	// MaxBackoffMS bounds the time between dials, in milliseconds. Default 2000.
	MaxBackoffMS int64 `json:"max_backoff_ms" validate:"gte=1,lte=60000"`
	// Key is the shared key by which VMs authenticate to each other. Empty turns authentication off.
	Key string `json:"key"`
	// TLS protects the links. Both sides need a certificate with the name of their VM. Off by default.
	TLS tlsconf.Settings `json:"tls"`
}

// Check implements kernel.Checker.
func (s *Settings) Check() []kernel.Problem { return s.TLS.CheckMutual() }

// HeldBytes implements kernel.MemoryHolder.
func (s *Settings) HeldBytes(r kernel.Resources) int64 {
	if s.MaxBulkBytes > 0 {
		return s.MaxBulkBytes
	}
	return int64(kernel.LinkMemoryShare * float64(r.MemoryBytes))
}

func (s *Settings) keepalive() time.Duration { return time.Duration(s.KeepaliveMS) * time.Millisecond }

type params struct {
	fx.In
	Identity kernel.Identity
	State    *kernel.State
	Log      *slog.Logger
	Clock    kernel.Clock
	Random   *kernel.Random
	// Resources is the zero value in tests.
	Resources kernel.Resources
}

type provided struct {
	fx.Out
	Peers   kinds.Peers
	Metrics []kinds.Metric `group:"metrics,flatten"`
}

type handler struct {
	prototype reflect.Type
	handle    func(from core.VM, m kinds.Message)
}

type peers struct {
	params
	settings *Settings
	traffic  traffic
	files    *tlsconf.Files
	handlers map[string]handler
	linkDown []func(kinds.LinkDown)
	// links is copied on write under linksMu; senders load it without a lock.
	links        atomic.Pointer[map[core.VMName]*link]
	linksMu      sync.Mutex
	dials        backoffs
	inboundLinks atomic.Int64
	// bulkBytes is the memory of the bulk messages on all links.
	bulkBytes atomic.Int64
	// stopping is guarded by linksMu.
	stopping bool
	server   *listen.Server
	base     context.Context
	cancel   context.CancelFunc
	work     sync.WaitGroup
}

func newPeers(lc fx.Lifecycle, p params, settings *Settings) *peers {
	ps := &peers{params: p, settings: settings, handlers: make(map[string]handler)}
	ps.files = tlsconf.New(settings.TLS, p.Log)
	ps.files.RequireName(string(p.Identity.VM))
	ps.links.Store(&map[core.VMName]*link{})
	ps.dials.init(settings, p.Random.Generator())
	ps.base, ps.cancel = context.WithCancel(context.Background())
	ps.Handle(hello{}, func(core.VM, kinds.Message) {})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/peer", ps.accept)
	ps.server = listen.NewServer(mux, settings.Listen, int(settings.MaxLinks)+handshakeAllowance, ps.files, p.Log)
	lc.Append(fx.Hook{OnStart: ps.files.Start, OnStop: ps.files.Stop})
	lc.Append(fx.Hook{OnStart: ps.start, OnStop: ps.stop})
	return ps
}

func (ps *peers) start(ctx context.Context) error {
	bound, err := ps.server.Listen(ctx)
	if err != nil {
		return err
	}
	advertise := ps.settings.Advertise
	if advertise == "" {
		advertise = bound.String()
	}
	self := core.VM{Name: ps.Identity.VM, Incarnation: ps.Identity.Incarnation, Domain: ps.Identity.Domain, PeerAddress: advertise}
	ps.State.Update(func(v *core.View) {
		members := *v.Members
		members.Self = self
		v.Members = &members
	})
	return nil
}

// stop writes the queued messages, closes the links and stops the listener, bounded by ctx.
func (ps *peers) stop(ctx context.Context) error {
	ps.linksMu.Lock()
	ps.stopping = true
	links := *ps.links.Load()
	ps.linksMu.Unlock()
	for _, l := range links {
		close(l.flush)
	}
	for _, l := range links {
		select {
		case <-l.ended:
		case <-ctx.Done():
		}
	}
	ps.cancel()
	err := ps.server.Close()
	ps.work.Wait()
	return err
}

// Handle implements kinds.Peers.
func (ps *peers) Handle(prototype kinds.Message, handle func(core.VM, kinds.Message)) {
	ps.handlers[prototype.MessageName()] = handler{prototype: reflect.TypeOf(prototype), handle: handle}
}

// OnLinkDown implements kinds.Peers.
func (ps *peers) OnLinkDown(f func(kinds.LinkDown)) { ps.linkDown = append(ps.linkDown, f) }

// Send implements kinds.Peers.
func (ps *peers) Send(ctx context.Context, to core.VM, m kinds.Message) error {
	frame, err := encodeMessage(m)
	if err != nil {
		return err
	}
	if int64(len(frame)) > ps.settings.MaxFrameBytes {
		return core.Errorf(core.CodeBodyTooLarge, "message %s of %d bytes exceeds max_frame_bytes", m.MessageName(), len(frame))
	}
	queued := &item{message: m, frame: frame}
	if !ps.count(queued) {
		return core.Errorf(core.CodeOverloaded, "the messages on the links hold max_bulk_bytes")
	}
	if err := ps.enqueue(ctx, to, queued); err != nil {
		ps.uncount(queued)
		return err
	}
	return nil
}

// bulkCopies is the number of copies of the body of a message that its link holds: in the message and in its frame.
const bulkCopies = 2

// count admits a message to the links, or returns false.
func (ps *peers) count(i *item) bool {
	limit := ps.settings.HeldBytes(ps.Resources)
	if _, bulk := i.message.(kinds.BulkMessage); !bulk || limit == 0 {
		return true
	}
	i.counted = bulkCopies * int64(len(i.frame))
	if ps.bulkBytes.Add(i.counted) > limit && i.counted > freeBulkBytes {
		ps.uncount(i)
		return false
	}
	return true
}

// freeBulkBytes is the size up to which a bulk message is always admitted.
const freeBulkBytes = 16 << 10

// uncount gives back the memory of messages that have left the links.
func (ps *peers) uncount(items ...*item) {
	for _, i := range items {
		ps.bulkBytes.Add(-i.counted)
		i.counted = 0
	}
}

// enqueue adds a message to the link to a VM and opens the link if necessary.
func (ps *peers) enqueue(ctx context.Context, to core.VM, queued *item) error {
	for {
		l := (*ps.links.Load())[to.Name]
		if l == nil || !l.matches(to) || l.isDown() {
			var opened bool
			var err error
			if l, opened, err = ps.openLink(to, queued); err != nil || opened {
				return err
			}
		}
		err := l.enqueue(ctx, queued)
		// If the link ended between the look-up and the send, a new one may work.
		if err != errLinkEnded || ctx.Err() != nil {
			return err
		}
	}
}

// openLink returns the link to a VM. Without a working link, it starts one, queues first on it, and returns opened as true.
func (ps *peers) openLink(to core.VM, first *item) (l *link, opened bool, err error) {
	ps.linksMu.Lock()
	defer ps.linksMu.Unlock()
	if ps.stopping {
		return nil, false, core.Errorf(core.CodeUnreachable, "the VM is stopping")
	}
	current := *ps.links.Load()
	old := current[to.Name]
	if old != nil && old.matches(to) && !old.isDown() {
		return old, false, nil
	}
	if !ps.dials.allow(ps.Clock.Now(), to.PeerAddress) {
		return nil, false, core.Errorf(core.CodeUnreachable, "the last dial to %s failed and its back-off has not ended", to.Name)
	}
	l = newLink(ps, to)
	if l.queue.push(first) != pushed {
		return nil, false, core.Errorf(core.CodeUnreachable, "the message exceeds the bounds of the link's queue")
	}
	ps.traffic.messagesSent.Add(1)
	next := maps.Clone(current)
	next[to.Name] = l
	ps.links.Store(&next)
	if old != nil {
		old.stop(errReplaced)
	}
	ps.work.Go(l.run)
	return l, true, nil
}

func (ps *peers) reportDown(down kinds.LinkDown) {
	for _, f := range ps.linkDown {
		f(down)
	}
}
