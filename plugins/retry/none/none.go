// Package none is the plug-in that never retries. It is the baseline for comparisons of retries.
package none

import (
	"math/rand/v2"
	"time"

	"go.uber.org/fx"

	"gooseberrylane.example/coord/query"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.RetryKind, Name: "none",
		Options: func(any) fx.Option { return fx.Provide(func() query.Retrier { return retrier{} }) },
	})
}

type retrier struct{}

// Allow implements query.Retrier.
func (retrier) Allow(time.Time, *rand.Rand, *core.Service, query.Failure) (time.Duration, bool, bool) {
	return 0, false, false
}

// ObserveFirstAttempt implements query.Retrier.
func (retrier) ObserveFirstAttempt(time.Time, *core.Service) {}
