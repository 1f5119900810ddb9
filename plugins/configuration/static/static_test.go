package static

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestNullServiceIsRefused guards against a null service that makes the daemon panic instead of reporting the problem
// with its path.
func TestNullServiceIsRefused(t *testing.T) {
	c := qt.New(t)
	var settings Settings
	c.Assert(json.Unmarshal([]byte(`{"services":[{"name":"s"},null]}`), &settings), qt.IsNil)
	problems := settings.Check()
	c.Assert(problems, qt.HasLen, 1)
	c.Check(problems[0].Path, qt.Equals, "services[1]")
}
