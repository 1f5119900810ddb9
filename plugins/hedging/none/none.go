// Package none is the plug-in that never hedges. It is the baseline for comparisons of hedging.
package none

import (
	"time"

	"go.uber.org/fx"

	"gooseberrylane.example/coord/query"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.HedgingKind, Name: "none",
		Options: func(any) fx.Option { return fx.Provide(func() query.Hedger { return hedger{} }) },
	})
}

type hedger struct{}

// Delay implements query.Hedger.
func (hedger) Delay(*core.Service, core.GroupName) (time.Duration, bool) { return 0, false }

// Allow implements query.Hedger.
func (hedger) Allow(time.Time, *core.Service) bool { return false }

// ObserveFirstAttempt implements query.Hedger.
func (hedger) ObserveFirstAttempt(time.Time, *core.Service) {}

// ObserveLatency implements query.Hedger.
func (hedger) ObserveLatency(*core.Service, core.GroupName, time.Duration) {}

// ObserveCancelled implements query.Hedger.
func (hedger) ObserveCancelled(*core.Service, core.GroupName, time.Duration) {}
