// Package websocket is the plug-in that carries messages between VMs as CBOR over WebSocket. Each VM opens one link
// to every VM that it sends to; answers travel on the link of the other direction.
package websocket

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.PeerKind, Name: "websocket",
		Settings: func() any {
			return &Settings{MaxFrameBytes: defaultMaxFrameBytes, QueueLength: defaultQueueLength, KeepaliveMS: defaultKeepaliveMS}
		},
		Options: func(s any) fx.Option {
			return fx.Provide(func(lc fx.Lifecycle, p params) provided {
				ps := newPeers(lc, p, s.(*Settings))
				return provided{Peers: ps, Metrics: ps.traffic.metrics()}
			})
		},
	})
}

const (
	defaultMaxFrameBytes = 8 << 20
	defaultQueueLength   = 4096
	defaultKeepaliveMS   = 500
	headerTimeout        = 5 * time.Second
)

// Settings of the plug-in.
type Settings struct {
	// Listen is the address for links from other VMs. Required.
	Listen string `json:"listen" validate:"required,hostname_port"`
	// Advertise is the address that other VMs use; empty means Listen.
	Advertise string `json:"advertise" validate:"omitempty,hostname_port"`
	// SourceAddress is the IP address that links to other VMs come from; empty leaves the choice to the operating system.
	SourceAddress string `json:"source_address" validate:"omitempty,ip"`
	// MaxFrameBytes bounds one frame. Default 8388608.
	MaxFrameBytes int64 `json:"max_frame_bytes" validate:"gte=1024"`
	// QueueLength bounds the messages waiting on one link. Default 4096.
	QueueLength int `json:"queue_length" validate:"gte=1"`
	// KeepaliveMS is the time between pings; a link whose ping is not answered within it is closed. Default 500.
	KeepaliveMS int64 `json:"keepalive_ms" validate:"gte=10,lte=60000"`
	// Key authenticates VMs to each other; every VM has the same. Empty turns authentication off.
	Key string `json:"key"`
}

func (s *Settings) keepalive() time.Duration { return time.Duration(s.KeepaliveMS) * time.Millisecond }

type params struct {
	fx.In
	Identity kernel.Identity
	State    *kernel.State
	Log      *slog.Logger
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
	client   *http.Client
	handlers map[string]handler
	linkDown []func(core.VMName)
	// links is replaced as a whole; senders load it without a lock.
	links   atomic.Pointer[map[core.VMName]*link]
	writers sync.Mutex
	server  *http.Server
	base    context.Context
	cancel  context.CancelFunc
	work    sync.WaitGroup
}

func newPeers(lc fx.Lifecycle, p params, settings *Settings) *peers {
	ps := &peers{params: p, settings: settings, handlers: make(map[string]handler), client: newClient(settings.SourceAddress)}
	ps.links.Store(&map[core.VMName]*link{})
	ps.base, ps.cancel = context.WithCancel(context.Background())
	ps.Handle(hello{}, func(core.VM, kinds.Message) {})
	lc.Append(fx.Hook{OnStart: ps.start, OnStop: ps.stop})
	return ps
}

func (ps *peers) start(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", ps.settings.Listen)
	if err != nil {
		return err
	}
	advertise := ps.settings.Advertise
	if advertise == "" {
		advertise = listener.Addr().String()
	}
	self := core.VM{Name: ps.Identity.VM, Incarnation: ps.Identity.Incarnation, Domain: ps.Identity.Domain, PeerAddress: advertise}
	ps.State.Update(func(v *core.View) {
		members := *v.Members
		members.Self = self
		v.Members = &members
	})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/peer", ps.accept)
	ps.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	ps.work.Go(func() {
		if err := ps.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			ps.Log.Error("peer_listener_failed", "error", err.Error())
		}
	})
	return nil
}

func (ps *peers) stop(context.Context) error {
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
func (ps *peers) OnLinkDown(f func(core.VMName)) { ps.linkDown = append(ps.linkDown, f) }

// Send implements kinds.Peers.
func (ps *peers) Send(ctx context.Context, to core.VM, m kinds.Message) error {
	frame, err := encodeMessage(m)
	if err != nil {
		return err
	}
	l := (*ps.links.Load())[to.Name]
	if l == nil || l.address != to.PeerAddress || l.isDown() {
		if l, err = ps.openLink(to); err != nil {
			return err
		}
	}
	return l.enqueue(ctx, frame)
}

// openLink returns the link to a VM, and starts one if there is none that works.
func (ps *peers) openLink(to core.VM) (*link, error) {
	if ps.base.Err() != nil {
		return nil, core.Errorf(core.CodeUnreachable, "the VM is stopping")
	}
	ps.writers.Lock()
	defer ps.writers.Unlock()
	current := *ps.links.Load()
	if l := current[to.Name]; l != nil && l.address == to.PeerAddress && !l.isDown() {
		return l, nil
	}
	l := newLink(ps, to)
	next := maps.Clone(current)
	next[to.Name] = l
	ps.links.Store(&next)
	ps.work.Go(l.run)
	return l, nil
}

func (ps *peers) reportDown(vm core.VMName) {
	for _, f := range ps.linkDown {
		f(vm)
	}
}
