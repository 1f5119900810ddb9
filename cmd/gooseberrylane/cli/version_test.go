package cli

import (
	"runtime/debug"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestVersionContainsCommit guards against builds that cannot be distinguished by their commit, and against reporting a
// commit that the build did not record.
func TestVersionContainsCommit(t *testing.T) {
	c := qt.New(t)
	info := &debug.BuildInfo{GoVersion: "go1.26", Main: debug.Module{Path: "m"}, Settings: []debug.BuildSetting{
		{Key: "vcs.revision", Value: "abc"}, {Key: "vcs.modified", Value: "true"}, {Key: "vcs.time", Value: "2026-01-01T00:00:00Z"},
	}}
	c.Assert(versionOf(info, true), qt.Equals, buildVersion{Module: "m", Go: "go1.26", Revision: "abc", Time: "2026-01-01T00:00:00Z", Modified: true})
	c.Assert(versionOf(nil, false), qt.Equals, buildVersion{})
}
