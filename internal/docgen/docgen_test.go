package docgen

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	_ "gooseberrylane.example/plugins/standard"
)

const root = "../.."

// TestPagesAreCurrent guards against committed pages that differ from the codes and settings in the source.
func TestPagesAreCurrent(t *testing.T) {
	c := qt.New(t)
	pages, err := Pages(root, kernel.DefaultRegistry())
	c.Assert(err, qt.IsNil)
	for _, page := range pages {
		committed, err := os.ReadFile(filepath.Join(root, page.Path))
		c.Assert(err, qt.IsNil)
		if string(committed) != page.Text {
			c.Errorf("%s is out of date: run go generate ./internal/docgen", page.Path)
		}
	}
}

// TestCodesAreOrderedAndInAFamily guards against duplicate or unordered codes, and against codes without a family, which
// would have no documented exit status.
func TestCodesAreOrderedAndInAFamily(t *testing.T) {
	c := qt.New(t)
	last := core.Code(-1)
	names := make(map[string]bool)
	for _, info := range core.Codes() {
		c.Check(info.Code > last, qt.IsTrue, qt.Commentf("%s is out of order", info.Name))
		c.Check(names[info.Name], qt.IsFalse, qt.Commentf("%s is used twice", info.Name))
		c.Check(families[int(info.Code)/codesPerFamily], qt.Not(qt.Equals), "", qt.Commentf("%s has no family", info.Name))
		c.Check(info.Meaning, qt.Not(qt.Equals), "", qt.Commentf("%s", info.Name))
		last, names[info.Name] = info.Code, true
	}
}

var documentedDefault = regexp.MustCompile(`Default (\S+?)\.( |$)`)

// TestDocumentedDefaultsMatch guards against a doc comment that states an outdated default.
func TestDocumentedDefaultsMatch(t *testing.T) {
	c := qt.New(t)
	docs := &sources{root: root, comments: map[string]map[string]string{}}
	check := func(where string, settings any) {
		var fields []field
		value := reflect.Indirect(reflect.ValueOf(settings))
		c.Assert(docs.walk(&fields, "", value.Type(), value), qt.IsNil)
		for _, f := range fields {
			if found := documentedDefault.FindStringSubmatch(f.comment); found != nil && f.defaultValue != "" {
				c.Check(f.defaultValue, qt.Equals, found[1], qt.Commentf("%s %s", where, f.path))
			}
		}
	}
	check("daemon", kernel.Defaults())
	registry := kernel.DefaultRegistry()
	for _, kind := range registry.Kinds() {
		for _, name := range registry.Names(kind) {
			if plugin, _ := registry.Find(kind, name); plugin.Settings != nil {
				check(fmt.Sprintf("%s %s", kind, name), plugin.Settings())
			}
		}
	}
}
