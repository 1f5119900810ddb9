// Package none is the plug-in for deployments without non-idempotent requests. It refuses such requests.
package none

import (
	"context"

	"go.uber.org/fx"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.RecordsKind, Name: "none",
		Options: func(any) fx.Option { return fx.Provide(func() kinds.Records { return records{} }) },
	})
}

type records struct{}

// Begin implements kinds.Records.
func (records) Begin(context.Context, *core.Query) (kinds.Claim, kinds.Record, error) {
	return nil, kinds.Record{}, core.Errorf(core.CodeNotRun, "this VM stores no request records, so it refuses non-idempotent requests")
}
