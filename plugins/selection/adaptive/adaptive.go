// Package adaptive is the plug-in that selects replicas by the VM's own observations and ejects outliers.
package adaptive

import (
	"go.uber.org/fx"

	"gooseberrylane.example/coord/query"
	"gooseberrylane.example/coord/selection"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.SelectionKind, Name: "adaptive",
		Settings: func() any {
			settings := selection.Defaults()
			return &settings
		},
		Options: func(s any) fx.Option {
			return fx.Provide(func() query.Selector { return selection.New(*s.(*selection.Settings)) })
		},
	})
}
