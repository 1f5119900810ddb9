package gateway

import (
	"context"
	"errors"
	"log"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
	"gooseberrylane.example/plugins/internal/receive"
)

// server is a listener whose limits may change while it runs. net/http reads its limits without a lock, so each set of
// limits has an http.Server of its own: connections keep the limits with which they were accepted.
type server struct {
	handler  http.Handler
	intake   kinds.Intake
	log      *slog.Logger
	listener net.Listener

	mu          sync.Mutex
	limits      core.CallerLimits
	generations []*generation
}

// generation is an http.Server and the queue of connections that it accepts.
type generation struct {
	http  *http.Server
	conns *connQueue
}

func newServer(handler http.Handler, intake kinds.Intake, log *slog.Logger) *server {
	return &server{handler: handler, intake: intake, log: log}
}

// listen opens the listener and accepts connections in the background.
func (s *server) listen(ctx context.Context, address string) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	s.listener = s.intake.Listen(listener)
	s.setLimits(defaultLimits)
	go s.accept()
	return nil
}

// Pauses after a failed accept. A failure lasts as long as, for example, the process has no free file descriptor.
const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

func (s *server) accept() {
	pause := time.Duration(0)
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			pause = min(max(2*pause, minAcceptPause), maxAcceptPause)
			s.log.Warn("accept_failed", "error", err.Error(), "pause_ms", pause.Milliseconds())
			time.Sleep(pause)
			continue
		}
		pause = 0
		s.mu.Lock()
		newest := s.generations[len(s.generations)-1]
		s.mu.Unlock()
		newest.conns.put(c)
	}
}

// setLimits sets the limits of connections that are accepted from now on.
func (s *server) setLimits(limits core.CallerLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limits == s.limits {
		return
	}
	s.limits = limits
	g := &generation{conns: newConnQueue(s.listener.Addr())}
	g.http = &http.Server{
		Handler: s.handler, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout, MaxHeaderBytes: limits.HeaderBytes,
		ConnContext: receive.ConnContext, ConnState: receive.ConnState,
		ErrorLog: log.New(errorWriter{s.log}, "", 0),
	}
	s.generations = append(s.generations, g)
	go func() {
		if err := g.http.Serve(g.conns); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			s.log.Error("listener_failed", "error", err.Error())
		}
	}()
}

// shutdown closes the listener and waits for the requests in flight until ctx ends.
func (s *server) shutdown(ctx context.Context) error {
	failures := []error{s.listener.Close()}
	s.mu.Lock()
	defer s.mu.Unlock()
	results := make(chan error, len(s.generations))
	for _, g := range s.generations {
		go func() { results <- g.http.Shutdown(ctx) }()
	}
	for range s.generations {
		failures = append(failures, <-results)
	}
	return errs.Combine(failures...)
}

// connQueue is an unbuffered net.Listener that returns the connections that are put into it.
type connQueue struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func newConnQueue(address net.Addr) *connQueue {
	return &connQueue{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (q *connQueue) put(c net.Conn) {
	select {
	case q.conns <- c:
	case <-q.closed:
		// The server is stopping and has not read a request from this connection.
		_ = c.Close()
	}
}

// Accept implements net.Listener.
func (q *connQueue) Accept() (net.Conn, error) {
	select {
	case c := <-q.conns:
		return c, nil
	case <-q.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (q *connQueue) Close() error {
	q.once.Do(func() { close(q.closed) })
	return nil
}

// Addr implements net.Listener.
func (q *connQueue) Addr() net.Addr { return q.address }

// errorWriter logs each message of net/http as an event.
type errorWriter struct{ log *slog.Logger }

// Write implements io.Writer.
func (w errorWriter) Write(text []byte) (int, error) {
	w.log.Warn("caller_connection_failed", "error", string(text[:max(len(text)-1, 0)]))
	return len(text), nil
}
