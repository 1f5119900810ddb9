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

// RecordRequest implements kinds.Reach.
func (reach) RecordRequest(core.FailureDomain) {}

// RecordResponse implements kinds.Reach.
func (reach) RecordResponse(core.FailureDomain) {}

// IsUnreachable implements kinds.Reach.
func (reach) IsUnreachable(core.FailureDomain) bool { return false }

// Isolated implements kinds.Reach.
func (reach) Isolated() bool { return false }
