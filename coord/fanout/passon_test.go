package fanout_test

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/coord/fanout"
	"gooseberrylane.example/core"
)

// TestMayPassOn guards against spoiled bytes of an upstream that a caller gets as a success or as a refusal by this VM, and against a promise
// that a request did not run although it did.
func TestMayPassOn(t *testing.T) {
	c := qt.New(t)
	promises := []int{408, 421, 429, 503}
	for status := range 700 {
		for _, signature := range []string{"", "signed"} {
			for _, outcome := range []core.Outcome{core.OutcomeRan, core.OutcomeNotRun, core.OutcomeUnknown} {
				reply := core.Reply{Status: status, Signature: signature, Outcome: outcome, Code: core.CodeUpstreamError}
				want := signature != "" && outcome == core.OutcomeRan && status >= 400 && status < 600 && !slices.Contains(promises, status)
				c.Check(fanout.MayPassOn(&reply), qt.Equals, want, qt.Commentf("%+v", reply))
			}
		}
	}
}
