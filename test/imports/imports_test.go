// Package imports checks the import rules of the design page.
package imports

import (
	"errors"
	"os/exec"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const module = "gooseberrylane.example"

// dependencies returns all packages that the packages of a pattern depend on, excluding test files.
func dependencies(c *qt.C, pattern string) []string {
	cmd := exec.Command("go", "list", "-deps", pattern)
	cmd.Dir = "../.."
	out, err := cmd.Output()
	c.Assert(err, qt.IsNil)
	return strings.Fields(string(out))
}

// TestDecisionsImportNoTransportOrCodec guards against decisions that only one front end can use.
func TestDecisionsImportNoTransportOrCodec(t *testing.T) {
	c := qt.New(t)
	banned := []string{"net/http", "net", "encoding/json", "github.com/fxamacker/cbor", "github.com/coder/websocket", "github.com/gin-gonic/gin", module + "/kernel", module + "/plugins"}
	for _, dependency := range dependencies(c, "./coord/...") {
		for _, prefix := range banned {
			c.Check(dependency == prefix || strings.HasPrefix(dependency, prefix+"/"), qt.IsFalse, qt.Commentf("coord depends on %s", dependency))
		}
	}
}

// TestKernelImportsNoPlugin guards against a kernel that must change when a plug-in is added.
func TestKernelImportsNoPlugin(t *testing.T) {
	c := qt.New(t)
	for _, dependency := range dependencies(c, "./kernel/...") {
		c.Check(strings.HasPrefix(dependency, module+"/plugins"), qt.IsFalse, qt.Commentf("kernel depends on %s", dependency))
	}
}

// TestCoreImportsNoOtherPackage guards against value types that depend on the packages that use them.
func TestCoreImportsNoOtherPackage(t *testing.T) {
	c := qt.New(t)
	for _, dependency := range dependencies(c, "./core/...") {
		c.Check(strings.HasPrefix(dependency, module+"/") && dependency != module+"/core", qt.IsFalse, qt.Commentf("core depends on %s", dependency))
	}
}

// TestPluginsImportNoOtherPlugin guards against a plug-in that cannot be replaced in the settings, because
// another one uses it directly.
func TestPluginsImportNoOtherPlugin(t *testing.T) {
	c := qt.New(t)
	plugins := make(map[string]bool)
	for _, path := range linkedPlugins(c) {
		plugins[path] = true
	}
	c.Assert(len(plugins) > 0, qt.IsTrue)
	for path := range plugins {
		for _, dependency := range dependencies(c, path) {
			c.Check(plugins[dependency] && dependency != path, qt.IsFalse, qt.Commentf("%s depends on %s", path, dependency))
		}
	}
}

// linkedPlugins returns the packages that plugins/standard imports.
func linkedPlugins(c *qt.C) []string {
	cmd := exec.Command("go", "list", "-f", "{{join .Imports \"\\n\"}}", "./plugins/standard")
	cmd.Dir = "../.."
	out, err := cmd.Output()
	c.Assert(err, qt.IsNil)
	return strings.Fields(string(out))
}

// TestPlatformNamesStayInPlatformFolder guards against names of the platform in other packages.
func TestPlatformNamesStayInPlatformFolder(t *testing.T) {
	c := qt.New(t)
	cmd := exec.Command("git", "grep", "-lE", `Gooseberrylane[-][A-Z]|warmup_left[_]ms|path[_]prefix|stability_window[_]ms|GOOSEBERRYLANE[_]CONFIG`, "--", "*.go", ":!platform")
	cmd.Dir = "../.."
	out, err := cmd.Output()
	var exit *exec.ExitError
	if err != nil && (!errors.As(err, &exit) || exit.ExitCode() != 1) {
		c.Fatal(err)
	}
	c.Assert(strings.Fields(string(out)), qt.HasLen, 0)
}

// TestPlatformFolderImportsNoDecisions guards against decisions in the platform folder, which only translates: it may
// import the project's types, but none of the packages that decide or run requests.
func TestPlatformFolderImportsNoDecisions(t *testing.T) {
	c := qt.New(t)
	cmd := exec.Command("go", "list", "-f", "{{join .Imports \"\\n\"}}", "./platform")
	cmd.Dir = "../.."
	out, err := cmd.Output()
	c.Assert(err, qt.IsNil)
	allowed := map[string]bool{module + "/core": true, module + "/coord/catalog": true, module + "/kernel": true, module + "/kernel/kinds": true}
	for _, path := range strings.Fields(string(out)) {
		c.Check(!strings.HasPrefix(path, module) || allowed[path], qt.IsTrue, qt.Commentf("platform imports %s", path))
	}
}
