// Package learned is the plug-in that hedges after a delay learned per group, within a load budget per service.
package learned

import (
	"go.uber.org/fx"

	"gooseberrylane.example/coord/hedge"
	"gooseberrylane.example/coord/query"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.HedgingKind, Name: "learned",
		Settings: func() any {
			settings := hedge.Defaults()
			return &settings
		},
		Options: func(s any) fx.Option {
			return fx.Provide(func() query.Hedger { return hedge.New(*s.(*hedge.Settings)) })
		},
	})
}
