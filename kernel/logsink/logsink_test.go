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

// TestWriteDoesNotBlockOnStalledReader guards against requests that block on a full pipe.
func TestWriteDoesNotBlockOnStalledReader(t *testing.T) {
	c := qt.New(t)
	_, stalled := io.Pipe()
	sink := logsink.New(stalled, 1<<30)
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
		c.Fatal("Write blocks while the output is not read")
	}
	c.Assert(sink.Dropped() > 10_000, qt.IsTrue)
	sink.Close(10 * time.Millisecond)
}

// TestVolumeIsBounded guards against a log volume that grows with the load, and against lines dropped without a report.
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
