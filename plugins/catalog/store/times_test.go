package store

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// minStabilityWindow is the shortest time after a fault within which the platform requires a VM to be up to date.
const minStabilityWindow = 4 * time.Second

// TestVanishedUpstreamsAreDroppedInTime guards against requests to an upstream that left while the store did not answer this
// VM: the next list may come after the maximum pause, and the grace period starts with it.
func TestVanishedUpstreamsAreDroppedInTime(t *testing.T) {
	maxPause := time.Duration(1.5 * defaultMaxRetryMS * float64(time.Millisecond))
	qt.Assert(t, maxPause+millis(defaultGraceMS) < minStabilityWindow-200*time.Millisecond, qt.IsTrue)
}
