package catalog_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/coord/catalog"
)

// TestStaleReadsAreNotAllowedWhileTheStoreLags guards against a VM that keeps an old routing table because the stale
// reads of the store lag by seconds, also when the VM started during the lag.
func TestStaleReadsAreNotAllowedWhileTheStoreLags(t *testing.T) {
	c := qt.New(t)
	var s catalog.Staleness
	c.Assert(s.AllowStale(), qt.IsFalse)
	c.Assert(s.NeedsCheck(start), qt.IsTrue)
	s.RecordCheck(start, 100, 100)
	c.Assert(s.AllowStale(), qt.IsTrue)
	c.Assert(s.NeedsCheck(start.Add(time.Hour)), qt.IsFalse)
	c.Assert(s.AllowStaleList(), qt.IsTrue)
	s.HistoryGone()
	c.Assert(s.AllowStale(), qt.IsFalse)
	c.Assert(s.AllowStaleList(), qt.IsFalse)
	s.RecordCheck(start, 200, 150)
	c.Assert(s.AllowStale(), qt.IsFalse)
	c.Assert(s.NeedsCheck(start), qt.IsFalse)
	c.Assert(s.NeedsCheck(start.Add(catalog.RecheckAfter)), qt.IsTrue)
	s.RecordCheck(start.Add(catalog.RecheckAfter), 300, 301)
	c.Assert(s.AllowStale(), qt.IsTrue)
}
