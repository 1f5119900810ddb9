package main

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestMainJob guards against a demo that asks a daemon before it serves the configuration, or that ends with success
// though a step did not show what it says.
func TestMainJob(t *testing.T) {
	for range 3 {
		qt.New(t).Assert(run("directorate", 3, false), qt.IsNil)
	}
}
