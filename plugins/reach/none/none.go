// Package none is the plug-in that assumes that every failure domain is reachable.
package none

import (
	"go.uber.org/fx"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.ReachKind, Name: "none",
		Options: func(any) fx.Option { return fx.Provide(func() kinds.Reach { return reach{} }) },
	})
}

type reach struct{}

// Asked implements kinds.Reach.
func (reach) Asked(core.FailureDomain) {}

// Answered implements kinds.Reach.
func (reach) Answered(core.FailureDomain) {}

// Lost implements kinds.Reach.
func (reach) Lost(core.FailureDomain) bool { return false }

// Isolated implements kinds.Reach.
func (reach) Isolated() bool { return false }
