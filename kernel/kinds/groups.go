package kinds

import (
	"time"

	"go.uber.org/fx"

	"gooseberrylane.example/core"
)

// Groups of fx, to which any number of plug-ins add values. The tags of fields that receive a group spell the names out.
const (
	observerGroup = `group:"query_observers"`
	metricGroup   = `group:"metrics"`
)

// QueryObserver learns of every query that an engine finished, those that it refused included.
type QueryObserver interface {
	// QueryFinished is called on the path of the query, so it must neither block nor take a lock. q and answer must not
	// be kept or changed. took is the time from the arrival at the engine to the answer.
	QueryFinished(q *core.Query, answer *core.Answer, took time.Duration)
}

// Metric is one variable that metrics plug-ins publish. docs/metrics.md lists all of them.
type Metric struct {
	// Name is the stable name of the variable.
	Name string
	// Value returns a value that encodes as JSON. It is called from any goroutine.
	Value func() any
}

// ProvideObserver adds what constructor returns to the observers. constructor must return a QueryObserver, with or
// without an error.
func ProvideObserver(constructor any) fx.Option {
	return fx.Provide(fx.Annotate(constructor, fx.ResultTags(observerGroup)))
}

// ProvideMetric adds what constructor returns to the metrics. constructor must return a Metric, with or without an error.
func ProvideMetric(constructor any) fx.Option {
	return fx.Provide(fx.Annotate(constructor, fx.ResultTags(metricGroup)))
}
