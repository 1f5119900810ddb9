// Package none is the plug-in that hands no request to another VM.
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
func (delegate) Delegate(context.Context, *core.View, *core.Route, *core.ForwardRequest) (kinds.RoutedAnswer, bool) {
	return kinds.RoutedAnswer{}, false
}

// Serve implements kinds.Delegate.
func (delegate) Serve(func(context.Context, *core.View, *core.ForwardRequest) kinds.RoutedAnswer) {}
