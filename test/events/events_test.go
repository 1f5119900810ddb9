// Package events checks that the operators' page lists the events that the code logs.
package events

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// logCall matches a log call in the code and captures the event.
var logCall = regexp.MustCompile(`[lL]og\.(?:Info|Warn|Error|Debug)\(\s*"([a-z_]+)"`)

// TestOperatorsPageListsEveryEvent guards against a log line that the on-call engineer cannot look up.
func TestOperatorsPageListsEveryEvent(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	c.Assert(err, qt.IsNil)
	found := 0
	for _, root := range []string{"platform", "plugins", "kernel", "cmd"} {
		err := filepath.WalkDir(filepath.Join("../..", root), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			source, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			for _, match := range logCall.FindAllSubmatch(source, -1) {
				found++
				c.Check(strings.Contains(string(page), "`"+string(match[1])+"`"), qt.IsTrue, qt.Commentf("%s logs %s", path, match[1]))
			}
			return nil
		})
		c.Assert(err, qt.IsNil)
	}
	c.Assert(found > 20, qt.IsTrue)
}
