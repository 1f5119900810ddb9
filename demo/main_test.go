package main

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestMainJob guards against a demo that queries a daemon before the configuration is in force, or that succeeds although
// an answer has an unexpected coverage.
func TestMainJob(t *testing.T) {
	for range 3 {
		qt.New(t).Assert(run("directorate", 3, false), qt.IsNil)
	}
}
