// Package account is the plug-in that bounds what callers hold with one account for all front ends.
package account

import (
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"

	"go.uber.org/fx"

	"gooseberrylane.example/coord/intake"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.IntakeKind, Name: "account", Default: true,
		Settings: func() any { return &Settings{ReceiveBufferBytes: defaultReceiveBufferBytes} },
		Options: func(s any) fx.Option {
			return fx.Provide(func(p params) provided {
				a := newAccount(p, s.(*Settings))
				return provided{Intake: a, Metrics: a.metrics()}
			})
		},
	})
}

const (
	// connectionBytes is the memory of a connection without the request on it: the stack of its goroutine, two buffers of 4 KiB
	// and its state.
	connectionBytes = 24 << 10
	// defaultReceiveBufferBytes lets a caller send 5 MB/s at a round trip of 6 ms.
	defaultReceiveBufferBytes = 32 << 10
)

// Settings of the plug-in.
type Settings struct {
	// MaxBytes bounds the memory of the requests of all callers, headers and bodies, in bytes. A fifth of it is kept for requests up
	// to 16 KiB, and a fifth for headers that are being received. 0 takes 0.2 of memory_mb, or no limit without it. Default 0.
	MaxBytes int64 `json:"max_bytes" validate:"gte=0"`
	// MaxConnections bounds the connections of all callers. 0 takes as many as fit into 0.1 of memory_mb at 24 KiB each and into 0.4
	// of max_sockets, or no limit without them. Default 0.
	MaxConnections int64 `json:"max_connections" validate:"gte=0"`
	// ReceiveBufferBytes is the size of the buffer in which the operating system keeps what a caller has sent and the VM has not
	// read, in bytes. Default 32768.
	ReceiveBufferBytes int `json:"receive_buffer_bytes" validate:"gte=4096,lte=16777216"`
}

// HeldBytes implements kernel.MemoryHolder.
func (s *Settings) HeldBytes(r kernel.Resources) int64 {
	limits := s.limits(r)
	return limits.Bytes + limits.Connections*connectionBytes
}

// limits returns the limits of the account.
func (s *Settings) limits(r kernel.Resources) intake.Limits {
	limits := intake.Limits{Bytes: s.MaxBytes, Connections: s.MaxConnections}
	if limits.Bytes == 0 {
		limits.Bytes = int64(kernel.CallerMemoryShare * float64(r.MemoryBytes))
	}
	if limits.Connections > 0 {
		return limits
	}
	if r.MemoryBytes > 0 {
		limits.Connections = max(int64(kernel.ConnectionMemoryShare*float64(r.MemoryBytes))/connectionBytes, 1)
	}
	if r.Sockets > 0 {
		fit := max(int64(kernel.CallerSocketShare*float64(r.Sockets)), 1)
		if limits.Connections == 0 || fit < limits.Connections {
			limits.Connections = fit
		}
	}
	return limits
}

type params struct {
	fx.In
	Clock     kernel.Clock
	Log       *slog.Logger
	Resources kernel.Resources
}

type provided struct {
	fx.Out
	Intake  kinds.Intake
	Metrics []kinds.Metric `group:"metrics,flatten"`
}

// account implements kinds.Intake.
type account struct {
	params
	settings *Settings
	decision *intake.Account[*conn]
	// places wakes a connection that waits for a place when another one is closed.
	places chan struct{}
	// refusedConnections and refusedRequests count what had no room, evicted the connections that were closed to make room.
	refusedConnections, refusedRequests, evicted atomic.Uint64
}

func newAccount(p params, settings *Settings) *account {
	return &account{params: p, settings: settings, decision: intake.NewAccount[*conn](settings.limits(p.Resources)), places: make(chan struct{}, 1)}
}

// Acquire implements kinds.Intake.
func (a *account) Acquire(n int64) (release func(), ok bool) {
	if victims, ok := a.decision.Acquire(a.Clock.Now(), n); !a.grown(victims, ok) {
		return nil, false
	}
	return func() { a.decision.Return(n) }, true
}

// Fit implements kinds.Intake.
func (a *account) Fit(body, head int64) {
	if a.decision.Fit(body, (head+headSlopBytes)*headFactor) {
		a.Log.Warn("caller_memory_raised", "body_bytes", body, "head_bytes", head, "reason", "a request of the largest legal size would not fit")
	}
}

// EndUnreadAnswers implements kinds.Intake.
func (a *account) EndUnreadAnswers(n int64) bool {
	victims := a.decision.EvictUnreadAnswers(a.Clock.Now(), n)
	for _, v := range victims {
		a.logEviction(v)
		_ = v.Owner.Conn.Close()
	}
	return len(victims) > 0
}

// grown ends the requests that were evicted for another one, and counts a refusal.
func (a *account) grown(victims []*intake.Holder[*conn], ok bool) bool {
	for _, v := range victims {
		a.logEviction(v)
		v.Owner.endRequest()
	}
	if !ok {
		a.refusedRequests.Add(1)
	}
	return ok
}

func (a *account) logEviction(victim *intake.Holder[*conn]) {
	a.evicted.Add(1)
	a.Log.Info("caller_connection_evicted", "caller", victim.Owner.RemoteAddr().String(), "receiving", victim.Owner.receiving.Load(),
		"stalled_ms", victim.Stalled(a.Clock.Now()).Milliseconds())
}

// Listen implements kinds.Intake.
func (a *account) Listen(l net.Listener) net.Listener {
	if tcp, ok := l.(*net.TCPListener); ok {
		a.setReceiveBuffer(tcp)
	}
	return &listener{Listener: l, account: a, closed: make(chan struct{})}
}

// setReceiveBuffer sets the size of the buffers that the connections of a listener inherit.
func (a *account) setReceiveBuffer(l *net.TCPListener) {
	raw, err := l.SyscallConn()
	if err == nil {
		var setErr error
		err = raw.Control(func(fd uintptr) {
			setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, a.settings.ReceiveBufferBytes)
		})
		if err == nil {
			err = setErr
		}
	}
	if err != nil {
		a.Log.Warn("receive_buffer_not_set", "address", l.Addr().String(), "error", err.Error())
	}
}

func (a *account) metrics() []kinds.Metric {
	return []kinds.Metric{
		{Name: "caller_bytes", Value: func() any { return a.decision.Used() }},
		{Name: "caller_connections", Value: func() any { return a.decision.Connections() }},
		{Name: "caller_connections_evicted", Value: func() any { return a.evicted.Load() }},
		{Name: "caller_connections_refused", Value: func() any { return a.refusedConnections.Load() }},
		{Name: "caller_requests_without_room", Value: func() any { return a.refusedRequests.Load() }},
	}
}
