package expvar_test

import (
	"encoding/json"
	"os"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/fx"

	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
	_ "gooseberrylane.example/platform"
	"gooseberrylane.example/plugins/metrics/expvar"
	_ "gooseberrylane.example/plugins/standard"
)

// required holds the settings of plug-ins that have required fields. Nothing is started, so no address is used.
var required = map[kernel.Kind]string{
	kinds.FrontEnd: `{"listen": "127.0.0.1:1"}`, kinds.MetricsKind: `{"listen": "127.0.0.1:1"}`, kinds.PeerKind: `{"listen": "127.0.0.1:1"}`,
	kinds.PlatformKind: `{"address": "127.0.0.1:1"}`,
}

// requiredByPlugin holds the settings of plug-ins whose required fields differ from those of their kind.
var requiredByPlugin = map[string]string{
	"configuration static": `{"services": []}`, "membership store": `{"capacity": 1}`, "catalog_store machines": `{"address": "127.0.0.1:1"}`,
	"front_end gateway": `{"listen": "127.0.0.1:1", "listen_ready": "127.0.0.1:1", "ready_path": "/"}`,
}

// multiple lists the kinds of which any number of plug-ins can be chosen.
var multiple = []kernel.Kind{kinds.FrontEnd, kinds.MetricsKind, kinds.QueryObserverKind, kinds.ReportKind}

// choose returns settings with all plug-ins of the kinds in multiple and one plug-in of each other kind, which depends on
// the round.
func choose(c *qt.C, round int) []byte {
	plugins := make(map[kernel.Kind][]kernel.PluginChoice)
	for _, kind := range kernel.DefaultRegistry().Kinds() {
		names := kernel.DefaultRegistry().Names(kind)
		if !slices.Contains(multiple, kind) {
			names = []string{names[round%len(names)]}
		}
		for _, name := range names {
			settings := required[kind]
			if override, ok := requiredByPlugin[string(kind)+" "+name]; ok {
				settings = override
			}
			plugins[kind] = append(plugins[kind], kernel.PluginChoice{Name: name, Settings: json.RawMessage(settings)})
		}
	}
	raw, err := json.Marshal(map[string]any{"vm": kernel.VMSettings{Name: "vm-1", FailureDomain: "fd-1"}, "plugins": plugins})
	c.Assert(err, qt.IsNil)
	return raw
}

// rounds returns the largest number of plug-ins of one kind, so that each plug-in is chosen at least once.
func rounds() int {
	largest := 0
	for _, kind := range kernel.DefaultRegistry().Kinds() {
		largest = max(largest, len(kernel.DefaultRegistry().Names(kind)))
	}
	return largest
}

// published returns the names of the variables that all linked plug-ins publish.
func published(c *qt.C) []string {
	names := expvar.VariableNames()
	for round := range rounds() {
		loaded, err := kernel.Load(kernel.DefaultRegistry(), choose(c, round))
		c.Assert(err, qt.IsNil)
		_, err = kernel.New(loaded, kernel.Options{Extra: []fx.Option{fx.Invoke(func(in struct {
			fx.In
			Metrics []kinds.Metric `group:"metrics"`
		},
		) {
			for _, metric := range in.Metrics {
				names = append(names, metric.Name)
			}
		})}})
		c.Assert(err, qt.IsNil)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// TestMetricsPageIsComplete guards against a variable without a documented unit and meaning, and against documented
// variables that no longer exist.
func TestMetricsPageIsComplete(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../../docs/metrics.md")
	c.Assert(err, qt.IsNil)
	var documented []string
	for _, line := range strings.Split(string(page), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) != 5 || !strings.HasPrefix(line, "| `") {
			continue
		}
		name := strings.Trim(cells[1], " `")
		documented = append(documented, name)
		c.Check(strings.TrimSpace(cells[2]), qt.Not(qt.Equals), "", qt.Commentf("%s has no unit", name))
		c.Check(strings.TrimSpace(cells[3]), qt.Not(qt.Equals), "", qt.Commentf("%s has no meaning", name))
	}
	slices.Sort(documented)
	c.Check(documented, qt.DeepEquals, published(c))
}
