// Package logsink writes log lines in the background, so that a slow log reader never delays a request. Lines beyond the
// queue or the rate limit are dropped and counted.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines is the capacity of the queue in lines, about 1 MB.
	queueLines = 4096
	// DefaultBytesPerSecond is the default rate limit; the CPU time for more lines would slow down requests.
	DefaultBytesPerSecond = 64 << 10
	// burstSeconds is the maximum burst, in seconds of the rate limit.
	burstSeconds = 4
	// flushDelay is how long lines are collected, so that many lines share one write.
	flushDelay = 100 * time.Millisecond
	// maxBatchBytes is the size at which a batch is written.
	maxBatchBytes = 64 << 10
	// reportPeriod is the interval at which the number of dropped lines is written.
	reportPeriod = 5 * time.Second
)

// Sink is an io.Writer that accepts whole lines and never blocks.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
	dropped atomic.Uint64
	// mu protects the token bucket of the rate limit, in bytes.
	mu        sync.Mutex
	perSecond float64
	tokens    float64
	refilled  time.Time
}

// New returns a sink that writes to out at most bytesPerSecond on average.
func New(out io.Writer, bytesPerSecond int) *Sink {
	s := &Sink{
		out: out, lines: make(chan []byte, queueLines), stop: make(chan struct{}), done: make(chan struct{}),
		perSecond: float64(bytesPerSecond), tokens: burstSeconds * float64(bytesPerSecond), refilled: time.Now(),
	}
	go s.run()
	return s
}

// Write implements io.Writer. It always reports success, because the caller cannot handle a dropped line.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.takeTokens(len(line)) {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

func (s *Sink) takeTokens(n int) bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = min(s.tokens+s.perSecond*now.Sub(s.refilled).Seconds(), burstSeconds*s.perSecond)
	s.refilled = now
	if s.tokens < float64(n) {
		return false
	}
	s.tokens -= float64(n)
	return true
}

// Dropped returns the number of dropped lines.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

func (s *Sink) run() {
	defer close(s.done)
	report := time.NewTicker(reportPeriod)
	defer report.Stop()
	var reported uint64
	for {
		select {
		case line := <-s.lines:
			s.collect(line)
		case <-report.C:
			reported = s.report(reported)
		case <-s.stop:
			s.writeQueued(nil)
			s.report(reported)
			return
		}
	}
}

// collect waits for more lines and writes them together.
func (s *Sink) collect(first []byte) {
	timer := time.NewTimer(flushDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.stop:
	}
	s.writeQueued(first)
}

// writeQueued writes batch and all queued lines.
func (s *Sink) writeQueued(batch []byte) {
	for {
		select {
		case line := <-s.lines:
			batch = append(batch, line...)
			if len(batch) < maxBatchBytes {
				continue
			}
		default:
			if len(batch) == 0 {
				return
			}
		}
		// A write error is ignored, because there is no other place to report it.
		_, _ = s.out.Write(batch)
		batch = batch[:0]
	}
}

func (s *Sink) report(reported uint64) uint64 {
	dropped := s.dropped.Load()
	if dropped > reported {
		_, _ = fmt.Fprintf(s.out, `{"time":%q,"level":"WARN","msg":"log_lines_dropped","lines":%d}`+"\n", time.Now().Format(time.RFC3339Nano), dropped-reported)
	}
	return dropped
}

// Close writes the queued lines and returns after limit at the latest.
func (s *Sink) Close(limit time.Duration) {
	s.once.Do(func() { close(s.stop) })
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
	}
}
