// Package open is the plug-in that admits every query.
package open

import (
	"context"
	"time"

	"go.uber.org/fx"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.AdmissionKind, Name: "open",
		Options: func(any) fx.Option { return fx.Provide(func() kinds.Admission { return admission{} }) },
	})
}

type admission struct{}

// Enter implements kinds.Admission.
func (admission) Enter(context.Context, *core.Query, *core.Service) (func(*core.Answer), time.Duration, error) {
	return func(*core.Answer) {}, 0, nil
}
