package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestExplainMergesLogsOfSeveralVMs guards against an output that lacks the gatherer's lines or the VMs' lines about
// upstreams near the request, or that includes unrelated lines.
func TestExplainMergesLogsOfSeveralVMs(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
		return path
	}
	entry := write("entry.log", `{"time":"2026-12-04T10:00:00.1Z","msg":"gather_handed_over","vm":"vm-1","request":"r1","peer":"vm-2"}
{"time":"2026-12-04T10:00:00.5Z","msg":"request_ended","vm":"vm-1","request":"r2"}
{"time":"2026-12-04T09:00:00.5Z","msg":"store_lost","vm":"vm-1","what":"routes"}
`)
	gatherer := write("gatherer.log", `   3.2 vm-2 {"time":"2026-12-04T10:00:00.2Z","msg":"attempt_failed","vm":"vm-2","request":"r1","code":"shed"}
{"time":"2026-12-04T09:59:59.2Z","msg":"upstream_draining","vm":"vm-2","upstream":"u1"}
not a log line
`)
	var out, errs bytes.Buffer
	status := Run(context.Background(), []string{"explain", "-o", "json", "r1", entry, gatherer}, Streams{Out: &out, Err: &errs})
	c.Assert(status, qt.Equals, ExitOK, qt.Commentf("%s", errs.String()))
	for _, want := range []string{"gather_handed_over", "attempt_failed", "upstream_draining", `"unreadable": 1`} {
		c.Check(out.String(), qt.Contains, want)
	}
	for _, unwanted := range []string{"r2", "store_lost"} {
		c.Check(out.String(), qt.Not(qt.Contains), unwanted)
	}
	c.Assert(Run(context.Background(), []string{"explain", "r9", entry}, Streams{Out: &out, Err: &errs}), qt.Equals, ExitBadInput)
}
