package capacity_test

import (
	"context"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/bench/capacity"
)

// TestRun guards against a series that fails or has no figures.
func TestRun(t *testing.T) {
	c := qt.New(t)
	sizes := capacity.Sizes{Upstreams: []int{100, 200}, DomainMembers: []int{3, 6}, Members: []int{6, 60}}
	done, err := capacity.Run(context.Background(), sizes, 1, io.Discard)
	c.Assert(err, qt.IsNil)
	c.Assert(done, qt.HasLen, 5)
	for _, e := range done {
		c.Check(e.Points, qt.HasLen, 2, qt.Commentf("%s", e.Name))
		c.Check(len(e.Fits), qt.Equals, len(e.Points[0].Figures), qt.Commentf("%s", e.Name))
	}
}
