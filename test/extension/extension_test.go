// Package extension checks that plug-ins from outside the module are enabled by the settings alone.
package extension

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/fx"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
	_ "gooseberrylane.example/plugins/standard"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.QueryObserverKind, Name: "collector",
		Settings: func() any { return &collectorSettings{MaxCodes: 10} },
		Options: func(s any) fx.Option {
			return fx.Options(
				fx.Provide(func() *collector { return &collector{maxCodes: s.(*collectorSettings).MaxCodes} }),
				kinds.ProvideObserver(func(c *collector) kinds.QueryObserver { return c }),
			)
		},
	})
}

type collectorSettings struct {
	// MaxCodes is the maximum number of codes to keep. Default 10.
	MaxCodes int `json:"most" validate:"gte=1"`
}

// collector is a plug-in that this file adds to the program. It keeps the codes of finished queries.
type collector struct {
	maxCodes int
	codes    []core.Code
}

// QueryFinished implements kinds.QueryObserver.
func (c *collector) QueryFinished(_ *core.Query, answer *core.Answer, _ time.Duration) {
	if len(c.codes) < c.maxCodes {
		c.codes = append(c.codes, answer.Code)
	}
}

// noDispatcher replaces the dispatcher, which a refused query does not use.
type noDispatcher struct{}

// Send implements kinds.Dispatcher.
func (noDispatcher) Send(context.Context, []core.Attempt, func(core.AttemptResult)) {}

// Cancel implements kinds.Dispatcher.
func (noDispatcher) Cancel([]core.Attempt) {}

// enabled holds the collector if the settings enable it.
type enabled struct {
	fx.In
	Collector *collector `optional:"true"`
}

const settings = `{"vm": {"name": "vm-1", "failure_domain": "fd-1"}, "plugins": {
	"engine": [{"name": "standard"}], "selection": [{"name": "random"}], "hedging": [{"name": "none"}],
	"retry": [{"name": "none"}], "admission": [{"name": "open"}], "records": [{"name": "none"}]%s}}`

// TestExtraPluginIsEnabledBySettings guards against a kernel or engine that must change when a plug-in is added.
func TestExtraPluginIsEnabledBySettings(t *testing.T) {
	c := qt.New(t)
	observed := func(choice string) []core.Code {
		loaded, err := kernel.Load(kernel.DefaultRegistry(), []byte(fmt.Sprintf(settings, choice)))
		c.Assert(err, qt.IsNil)
		var engine kinds.Engine
		var found enabled
		app, err := kernel.New(loaded, kernel.Options{Extra: []fx.Option{
			fx.Provide(func() kinds.Dispatcher { return noDispatcher{} }),
			fx.Populate(&engine),
			fx.Invoke(func(in enabled) { found = in }),
		}})
		c.Assert(err, qt.IsNil)
		c.Assert(app.Start(context.Background()), qt.IsNil)
		defer func() { c.Check(app.Stop(context.Background()), qt.IsNil) }()
		for range 3 {
			answer := engine.Run(context.Background(), core.Query{Service: "s", Deadline: time.Now().Add(time.Minute)})
			c.Check(answer.Code, qt.Equals, core.CodeNotReady)
		}
		if found.Collector == nil {
			return nil
		}
		return found.Collector.codes
	}
	c.Check(observed(""), qt.IsNil)
	c.Check(observed(`, "query_observer": [{"name": "collector"}]`), qt.HasLen, 3)
	c.Check(observed(`, "query_observer": [{"name": "collector", "settings": {"most": 2}}]`), qt.DeepEquals, []core.Code{core.CodeNotReady, core.CodeNotReady})
}
