package store

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// shortestStability is the shortest time after a fault within which a VM has to be up to date, on the machines' platform.
const shortestStability = 4 * time.Second

// TestVanishedUpstreamsAreDroppedInTime guards against work for an upstream that left while the store refused this VM: the
// next list may come after the longest pause, and the grace time begins with it.
func TestVanishedUpstreamsAreDroppedInTime(t *testing.T) {
	longestPause := time.Duration(1.5 * defaultMaxRetryMS * float64(time.Millisecond))
	qt.Assert(t, longestPause+millis(defaultGraceMS) < shortestStability-200*time.Millisecond, qt.IsTrue)
}
