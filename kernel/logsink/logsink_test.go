package logsink_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/kernel/logsink"
)

// TestReaderThatStopsDelaysNothing guards against requests that wait for a full pipe.
func TestReaderThatStopsDelaysNothing(t *testing.T) {
	c := qt.New(t)
	_, stuck := io.Pipe()
	sink := logsink.New(stuck, 1<<30)
	line := []byte(strings.Repeat("x", 200) + "\n")
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 20_000 {
			_, _ = sink.Write(line)
		}
	}()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		c.Fatal("writing blocks while nobody reads")
	}
	c.Assert(sink.Dropped() > 10_000, qt.IsTrue)
	sink.Close(10 * time.Millisecond)
}

// TestVolumeIsBounded guards against a log that grows with the load, and against lines that are dropped silently.
func TestVolumeIsBounded(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	sink := logsink.New(&out, 1000)
	for range 1000 {
		_, _ = sink.Write([]byte(strings.Repeat("x", 99) + "\n"))
	}
	sink.Close(10 * time.Second)
	c.Assert(out.Len() < 6000, qt.IsTrue)
	c.Assert(out.String(), qt.Contains, `"log_lines_dropped","lines":9`)
}
