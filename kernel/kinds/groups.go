package kinds

import (
	"time"

	"go.uber.org/fx"

	"gooseberrylane.example/core"
)

// fx value groups, to which any number of plug-ins add values. Struct tags cannot use constants, so the fields that
// receive a group repeat its name.
const (
	observerGroup = `group:"query_observers"`
	metricGroup   = `group:"metrics"`
)

// QueryObserver is notified of every query that an engine finishes, including refused ones.
type QueryObserver interface {
	// QueryFinished is called on the path of the query, so it must neither block nor take a lock. It must not retain or
	// change q and answer. took is the time from the arrival at the engine to the answer.
	QueryFinished(q *core.Query, answer *core.Answer, took time.Duration)
}

// Metric is one variable that metrics plug-ins publish. docs/metrics.md lists all of them.
type Metric struct {
	// Name is the stable name of the variable.
	Name string
	// Value returns a value that can be encoded as JSON. It must be safe for concurrent use.
	Value func() any
}

// ProvideObserver adds the result of constructor to the observers. constructor must return a QueryObserver, with or
// without an error.
func ProvideObserver(constructor any) fx.Option {
	return fx.Provide(fx.Annotate(constructor, fx.ResultTags(observerGroup)))
}

// ProvideMetric adds the result of constructor to the metrics. constructor must return a Metric, with or without an error.
func ProvideMetric(constructor any) fx.Option {
	return fx.Provide(fx.Annotate(constructor, fx.ResultTags(metricGroup)))
}
