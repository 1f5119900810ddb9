// Package budget is the plug-in that retries within one budget per service. The budget covers the whole path of a
// query, because only the entry VM retries.
package budget

import (
	"go.uber.org/fx"

	"gooseberrylane.example/coord/query"
	"gooseberrylane.example/coord/retry"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.RetryKind, Name: "budget",
		Settings: func() any {
			settings := retry.Defaults()
			return &settings
		},
		Options: func(s any) fx.Option {
			return fx.Provide(func() query.Retrier { return retry.New(*s.(*retry.Settings)) })
		},
	})
}
