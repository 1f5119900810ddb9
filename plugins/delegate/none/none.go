// Package none is the plug-in that hands over no requests to other VMs.
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
		Kind: kinds.DelegateKind, Name: "none",
		Options: func(any) fx.Option { return fx.Provide(func() kinds.Delegate { return delegate{} }) },
	})
}

type delegate struct{}

// Delegate implements kinds.Delegate.
func (delegate) Delegate(context.Context, *core.View, *core.Route, *core.ForwardRequest) (kinds.RoutedAnswer, kinds.DelegateOutcome) {
	return kinds.RoutedAnswer{}, kinds.NotDelegated
}

// Serve implements kinds.Delegate.
func (delegate) Serve(func(context.Context, kinds.DelegatedRequest) kinds.RoutedAnswer) {}

// Share implements kinds.Delegate.
func (delegate) Share(view *core.View, _ core.ServiceName) float64 {
	return 1 / float64(max(len(view.Members.All), 1))
}
