// Package listen provides the HTTP server that all listeners of plug-ins share, with TLS and limits on connections,
// headers and time.
package listen

import (
	"context"
	"errors"
	"log"
	"log/slog"
	"net"
	"net/http"
	"time"

	"gooseberrylane.example/kernel/kinds"
	"gooseberrylane.example/kernel/tlsconf"
	"gooseberrylane.example/plugins/internal/receive"
)

// Limits that every HTTP listener has.
const (
	headerTimeout  = 5 * time.Second
	bodyTimeout    = 10 * time.Second
	answerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
)

// Server is one HTTP listener.
type Server struct {
	server         *http.Server
	address        string
	maxConnections int
	tls            *tlsconf.Files
	log            *slog.Logger
	answerTimeout  time.Duration
	// intake admits the connections; nil for listeners that are not for callers.
	intake       kinds.Intake
	maxBodyBytes int64
	// observeState is called after each change of the state of a connection; nil in daemons. It is set before Listen.
	observeState func(net.Conn, http.ConnState)
}

// NewServer returns a server that listens on address once started and holds at most maxConnections. tls is nil for plain
// text.
func NewServer(handler http.Handler, address string, maxConnections int, tls *tlsconf.Files, log *slog.Logger) *Server {
	s := &Server{address: address, maxConnections: maxConnections, tls: tls, log: log, answerTimeout: answerTimeout}
	s.server = &http.Server{
		Handler: s.boundAnswers(handler), ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: errorLog(log),
	}
	return s
}

// Admit makes the intake admit the connections and the requests, whose bodies have at most maxBodyBytes. It must be called before Start.
func (s *Server) Admit(intake kinds.Intake, maxBodyBytes int64) {
	s.intake, s.maxBodyBytes = intake, maxBodyBytes
	s.server.ConnContext = receive.ConnContext
}

// Start opens the listener and serves in the background. The error is that of the listener.
func (s *Server) Start(ctx context.Context) error {
	_, err := s.Listen(ctx)
	return err
}

// Listen is Start and returns the address of the listener.
func (s *Server) Listen(ctx context.Context) (net.Addr, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.address)
	if err != nil {
		return nil, err
	}
	address := listener.Addr()
	if s.intake != nil {
		// A body is held as text and decoded.
		s.intake.Fit(2*s.maxBodyBytes, maxHeaderBytes)
		listener = s.intake.Listen(listener)
	}
	limited := newLimitListener(listener, s.maxConnections)
	s.server.ConnState = func(c net.Conn, state http.ConnState) {
		limited.idle.track(c, state)
		receive.ConnState(c, state)
		if s.observeState != nil {
			s.observeState(c, state)
		}
	}
	go func() {
		if err := s.server.Serve(s.tls.Listener(limited)); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("listener_failed", "address", s.address, "error", err.Error())
		}
	}()
	return address, nil
}

// Stop closes the listener and waits for the requests in flight until ctx ends.
func (s *Server) Stop(ctx context.Context) error { return s.server.Shutdown(ctx) }

// Close closes the listener and all connections that were not hijacked.
func (s *Server) Close() error { return s.server.Close() }

// boundAnswers bounds the time that a client takes to read an answer, from its first byte on. The time that the handler
// takes before that does not count.
func (s *Server) boundAnswers(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(&boundedWriter{ResponseWriter: w, timeout: s.answerTimeout}, r)
	})
}

type boundedWriter struct {
	http.ResponseWriter
	timeout time.Duration
	started bool
}

// Unwrap lets http.ResponseController reach the connection.
func (w *boundedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *boundedWriter) WriteHeader(status int) {
	w.start()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *boundedWriter) Write(data []byte) (int, error) {
	w.start()
	return w.ResponseWriter.Write(data)
}

func (w *boundedWriter) start() {
	if w.started {
		return
	}
	w.started = true
	// A writer without a connection, as in tests, has no deadline to set.
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(w.timeout))
}

// errorLog logs each message of net/http, such as a failed handshake, as an event.
func errorLog(l *slog.Logger) *log.Logger { return log.New(errorWriter{l}, "", 0) }

type errorWriter struct{ log *slog.Logger }

// Write implements io.Writer.
func (w errorWriter) Write(text []byte) (int, error) {
	w.log.Warn("connection_refused", "error", string(text[:max(len(text)-1, 0)]))
	return len(text), nil
}
